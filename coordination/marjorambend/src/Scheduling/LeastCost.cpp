#include "marjorambend/src/Scheduling/LeastCost.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <queue>
#include <tuple>

namespace marjorambend {

Milliseconds startBy(Milliseconds ArrivedAt, Milliseconds LatestStart,
                     const LeastCostOptions &Options) {
  const auto Slack = static_cast<double>((LatestStart - ArrivedAt).Count_);
  return ArrivedAt +
         Milliseconds{static_cast<int64_t>(Slack * Options.StartMargin_)};
}

namespace {

/// \brief Work of a job and its index; the greatest work has the least value
/// for its work, since a part of the value is fixed.
using Candidate = std::pair<double, std::size_t>;

/// \brief Jobs walked so far that may be refused, by class and size band.
struct Candidates {
  std::array<std::array<std::priority_queue<Candidate>, SizeBandCount>,
             PriorityClassCount>
      ByBand_;

  void add(const JobSize &Size, std::size_t Index) {
    ByBand_[Size.Class_][Size.Band_].push({Size.Work_, Index});
  }
  bool hasAny(std::size_t Class) const {
    return std::any_of(ByBand_[Class].begin(), ByBand_[Class].end(),
                       [](const auto &Band) { return !Band.empty(); });
  }
};

/// \brief One walk through the waiting jobs.
class Walk {
public:
  Walk(std::span<const AdmissionJob> Jobs, double MilliCores,
       const FairShares &Shares, const LeastCostOptions &Options)
      : Jobs_(Jobs), MilliCores_(MilliCores), Options_(Options),
        Classes_(Shares.Window_), Bands_(Shares.Bands_),
        Entitled_(entitledWork(Shares.Window_, Options.Shares_)),
        Refusals_(Jobs.size()) {
    for (const AdmissionJob &Job : Jobs)
      QueuedWork_ += Job.IsStarted_ || Job.IsAdmitted_ ? Job.WaitingWork_ : 0;
  }

  AdmissionReview run(Milliseconds Now) {
    for (const std::size_t Index : order())
      visit(Index, Now);
    AdmissionReview Review;
    for (std::size_t Index = 0; Index < Jobs_.size(); ++Index) {
      const AdmissionJob &Job = Jobs_[Index];
      if (!Refusals_[Index].empty())
        Review.Refused_.push_back({Job.Key_, Refusals_[Index]});
      else if (!Job.IsAdmitted_ && !Job.IsStarted_)
        Review.Admitted_.push_back(Job.Key_);
    }
    return Review;
  }

private:
  std::vector<std::size_t> order() const {
    std::vector<std::size_t> Order(Jobs_.size());
    for (std::size_t Index = 0; Index < Order.size(); ++Index)
      Order[Index] = Index;
    const auto Rank = [this](std::size_t Index) {
      const AdmissionJob &Job = Jobs_[Index];
      return std::tuple{!Job.IsStarted_, Job.StartBy_, Job.Key_};
    };
    std::sort(
        Order.begin(), Order.end(),
        [&Rank](std::size_t A, std::size_t B) { return Rank(A) < Rank(B); });
    return Order;
  }

  void visit(std::size_t Index, Milliseconds Now) {
    const AdmissionJob &Job = Jobs_[Index];
    const auto Left = static_cast<double>((Job.StartBy_ - Now).Count_);
    WorkAhead_ += Job.WaitingWork_;
    if (Job.IsStarted_)
      return;
    if (Job.IsAdmitted_) {
      Displaceable_.add(Job.Size_, Index);
    } else {
      New_.add(Job.Size_, Index);
      Classes_[Job.Size_.Class_].Admitted_ += Job.Size_.Work_;
      Bands_[Job.Size_.Class_][Job.Size_.Band_].Admitted_ += 1;
      QueuedWork_ += Job.WaitingWork_;
      yieldToOthers(Job.Size_.Class_);
    }
    while (Refusals_[Index].empty() &&
           WorkAhead_ - Job.WaitingWork_ > Left * MilliCores_) {
      if (!displace(Job) && !refuseNew())
        return;
    }
  }

  // Whether a class has clearly less than its share.
  bool isAnyShort() const {
    for (std::size_t Class = 0; Class < PriorityClassCount; ++Class) {
      if (Classes_[Class].Admitted_ <
          Entitled_[Class] * (1.0 - Options_.ShareTolerance_))
        return true;
    }
    return false;
  }

  // Jobs with much slack would otherwise fill the capacity in advance and leave
  // none for those with little.
  void yieldToOthers(std::size_t Class) {
    const double MaxQueue =
        static_cast<double>(Options_.MaxQueueAboveShare_.Count_) * MilliCores_;
    while (New_.hasAny(Class) && QueuedWork_ > MaxQueue && isAnyShort() &&
           Classes_[Class].Admitted_ > Entitled_[Class] &&
           !isProtected(Class, cheapestBand(New_, Class)))
      refuse(takeCheapest(New_, Class), "its priority has had its share");
  }

  double relativeShare(std::size_t Class) const {
    return Classes_[Class].Admitted_ / classWeight(Class, Options_.Shares_);
  }

  std::optional<std::size_t> yieldingClass(const Candidates &From) const {
    std::optional<std::size_t> Most;
    for (std::size_t Class = 0; Class < PriorityClassCount; ++Class) {
      if (From.hasAny(Class) &&
          (!Most || relativeShare(Class) >= relativeShare(*Most)))
        Most = Class;
    }
    return Most;
  }

  bool isProtected(std::size_t Class, std::size_t Band) const {
    BandJobs All;
    for (const BandJobs &One : Bands_[Class]) {
      All.Demanded_ += One.Demanded_;
      All.Admitted_ += One.Admitted_;
    }
    const BandJobs &Own = Bands_[Class][Band];
    return Band > 0 &&
           Own.Admitted_ * All.Demanded_ <
               Options_.Shares_.MinBandShare_ * All.Admitted_ * Own.Demanded_;
  }

  // The band of the job with the least value for its work, unless that band has
  // less than its share.
  std::size_t cheapestBand(const Candidates &From, std::size_t Class) const {
    std::optional<std::size_t> Chosen;
    for (std::size_t Band = SizeBandCount; Band-- > 0;) {
      if (!From.ByBand_[Class][Band].empty() &&
          (!Chosen || isProtected(Class, *Chosen)))
        Chosen = Band;
    }
    return Chosen.value_or(0);
  }

  std::size_t takeCheapest(Candidates &From, std::size_t Class) const {
    auto &Band = From.ByBand_[Class][cheapestBand(From, Class)];
    const std::size_t Index = Band.top().second;
    Band.pop();
    return Index;
  }

  void refuse(std::size_t Index, std::string_view Why) {
    const AdmissionJob &Job = Jobs_[Index];
    Refusals_[Index] = Why;
    WorkAhead_ -= Job.WaitingWork_;
    QueuedWork_ -= Job.WaitingWork_;
    Classes_[Job.Size_.Class_].Admitted_ -= Job.Size_.Work_;
    Bands_[Job.Size_.Class_][Job.Size_.Band_].Admitted_ -= 1;
  }

  bool refuseNew() {
    const auto Class = yieldingClass(New_);
    if (!Class)
      return false;
    refuse(takeCheapest(New_, *Class), "others cost more to refuse");
    return true;
  }

  // An admitted job yields only to a class that is below its share, and only
  // if its own class is above and has no new job to refuse.
  bool displace(const AdmissionJob &For) {
    const auto Class = yieldingClass(Displaceable_);
    if (For.IsAdmitted_ || !Class || *Class == For.Size_.Class_)
      return false;
    const std::size_t Own = For.Size_.Class_;
    const bool IsBelow = Classes_[Own].Admitted_ < Entitled_[Own];
    const bool IsAbove = Classes_[*Class].Admitted_ > Entitled_[*Class];
    if (!IsBelow || !IsAbove || New_.hasAny(*Class))
      return false;
    refuse(takeCheapest(Displaceable_, *Class),
           "another priority is below its share");
    return true;
  }

  std::span<const AdmissionJob> Jobs_;
  double MilliCores_;
  const LeastCostOptions &Options_;
  std::array<ClassWork, PriorityClassCount> Classes_;
  std::array<std::array<BandJobs, SizeBandCount>, PriorityClassCount> Bands_;
  std::array<double, PriorityClassCount> Entitled_;
  std::vector<std::string_view> Refusals_; ///< Empty if not refused.
  Candidates New_;
  Candidates Displaceable_;
  double WorkAhead_ = 0;  ///< Of the jobs walked so far.
  double QueuedWork_ = 0; ///< The same, and of all that are admitted.
};

} // namespace

AdmissionReview reviewAdmission(std::span<const AdmissionJob> Jobs,
                                double MilliCoresAtWork,
                                const FairShares &Shares,
                                const LeastCostOptions &Options,
                                Milliseconds Now) {
  return Walk(Jobs, std::max(0.0, MilliCoresAtWork), Shares, Options).run(Now);
}

} // namespace marjorambend
