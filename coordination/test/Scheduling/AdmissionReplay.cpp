/// \file
/// \brief A deterministic model of workers with cores and a queue of jobs, for
/// the comparison of admission policies.

#include "Scheduling/AdmissionReplay.h"

#include "marjorambend/src/Support/Random.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>

namespace marjorambend::test {

static constexpr uint32_t Workers = 48;
static constexpr int64_t LoadTime = 12'000;
static constexpr int64_t DrainTime = 4'000;
static constexpr int64_t ReviewInterval = 20;
static constexpr double MeanCores = 32'000;
static constexpr double LateWorthShare = 0.2;

std::vector<ReplayKind> deploymentKinds() {
  // Shares of the work and worths per job of the users' profile.
  return {{0, 0.21, 8, 32, 60, 0.0291},
          {1, 0.51, 2, 8, 200, 0.01},
          {2, 0.28, 4, 16, 900, 0.16}};
}

namespace {

struct Job {
  std::size_t Kind_ = 0;
  PlacerJobKey Key_;
  int64_t ArrivedAt_ = 0;
  int64_t Cores_ = 0; ///< Thousandths, of each task.
  double Estimate_ = 0;
  std::vector<double> Runs_;
  double Work_ = 0;
  double Worth_ = 0;
  int64_t Objective_ = 0;
  int64_t LatestStart_ = 0;
  int64_t GiveUpAt_ = 0;
  uint32_t Placed_ = 0;
  int64_t EndsAt_ = 0;
  bool IsAdmitted_ = false;
  bool IsRefused_ = false;
  JobSize Size_;

  bool isWaiting() const { return !IsRefused_ && Placed_ < Runs_.size(); }
  double waitingWork() const {
    return static_cast<double>(Runs_.size() - Placed_) *
           static_cast<double>(Cores_) * Estimate_;
  }
};

double logNormal(Random &From, double Mean, double Sigma) {
  const double A = std::max(1e-12, uniformUnit(From));
  const double B = uniformUnit(From);
  const double Normal =
      std::sqrt(-2 * std::log(A)) * std::cos(2 * 3.14159265358979 * B);
  return Mean * std::exp(Sigma * Normal - Sigma * Sigma / 2);
}

/// \brief The state of a replay.
class Replay {
public:
  explicit Replay(const ReplayOptions &Options)
      : Options_(Options), Generator_(Options.Seed_) {
    for (uint32_t Index = 0; Index < Workers; ++Index)
      Free_.push_back(Index % 3 == 2 ? 96'000 : 64'000);
    Capacity_ = std::accumulate(Free_.begin(), Free_.end(), int64_t{0});
    generate();
  }

  ReplayResult run() {
    std::size_t Next = 0;
    for (Now_ = 0; Now_ < LoadTime + DrainTime; ++Now_) {
      const bool HasEnded = endRuns();
      const std::size_t First = Next;
      for (; Next < Jobs_.size() && Jobs_[Next].ArrivedAt_ <= Now_; ++Next)
        arrive(Next);
      if (HasEnded || Next > First)
        place();
      if (Now_ % ReviewInterval == 0)
        review();
    }
    return tally();
  }

private:
  void generate() {
    for (std::size_t Kind = 0; Kind < Options_.Kinds_.size(); ++Kind) {
      const ReplayKind &Of = Options_.Kinds_[Kind];
      const double Mean = Of.MeanTasks_ * Of.MeanRunTime_ * MeanCores;
      const double PerMs = Options_.Load_ * static_cast<double>(Capacity_) *
                           Of.WorkShare_ / Mean;
      double When = 0;
      while (true) {
        When -= std::log(std::max(1e-12, uniformUnit(Generator_))) / PerMs;
        if (When >= LoadTime)
          break;
        Jobs_.push_back(makeJob(Kind, static_cast<int64_t>(When), Mean));
      }
    }
    std::sort(Jobs_.begin(), Jobs_.end(), [](const Job &A, const Job &B) {
      return std::pair{A.ArrivedAt_, A.Kind_} <
             std::pair{B.ArrivedAt_, B.Kind_};
    });
    for (std::size_t Index = 0; Index < Jobs_.size(); ++Index)
      Jobs_[Index].Key_ = {Incarnation{1}, Index};
  }

  Job makeJob(std::size_t Kind, int64_t When, double MeanWork) {
    const ReplayKind &Of = Options_.Kinds_[Kind];
    Job Made;
    Made.Kind_ = Kind;
    Made.ArrivedAt_ = When;
    const auto Tasks = static_cast<uint32_t>(
        std::clamp(std::round(logNormal(Generator_, Of.MeanTasks_, 0.4)), 1.0,
                   static_cast<double>(Of.MaxTasks_)));
    const double Run = std::min(4 * Of.MeanRunTime_,
                                logNormal(Generator_, Of.MeanRunTime_, 0.4));
    Made.Cores_ = static_cast<int64_t>(
        std::clamp(logNormal(Generator_, MeanCores, 0.2), 1'000.0, 48'000.0));
    double Longest = 0;
    for (uint32_t Task = 0; Task < Tasks; ++Task) {
      Made.Runs_.push_back(std::max(1.0, logNormal(Generator_, Run, 0.15)));
      Longest = std::max(Longest, Made.Runs_.back());
      Made.Work_ += Made.Runs_.back() * static_cast<double>(Made.Cores_);
    }
    Made.Worth_ = Of.Worth_ * std::min(4.0, 0.3 + 0.7 * Made.Work_ / MeanWork);
    Made.Estimate_ =
        std::max(1.0, logNormal(Generator_, Run, Options_.EstimateError_));
    Made.Objective_ = static_cast<int64_t>(Longest * 1.6 + 60);
    // The placer knows only what follows from the estimate.
    Made.LatestStart_ = When + static_cast<int64_t>(Made.Estimate_ * 0.6) + 60;
    Made.GiveUpAt_ = When + std::max<int64_t>(1'500, Made.Objective_ * 3);
    return Made;
  }

  bool endRuns() {
    bool HasEnded = false;
    while (!Runs_.empty() && Runs_.top().first <= Now_) {
      const auto [Worker, Cores] = Runs_.top().second;
      Free_[Worker] += Cores;
      Reserved_ -= Cores;
      Runs_.pop();
      HasEnded = true;
    }
    return HasEnded;
  }

  int64_t rank(const Job &One) const {
    if (Options_.IsLeastCost_)
      return One.Placed_ > 0 ? One.ArrivedAt_
                             : startBy({One.ArrivedAt_}, {One.LatestStart_},
                                       Options_.LeastCost_)
                                   .Count_;
    return One.LatestStart_ +
           100 * static_cast<int64_t>(Options_.Kinds_[One.Kind_].Priority_);
  }

  void arrive(std::size_t Index) {
    Job &One = Jobs_[Index];
    if (Options_.IsLeastCost_) {
      One.Size_ =
          recordDemand(Shares_, Options_.Kinds_[One.Kind_].Priority_,
                       One.waitingWork(), Options_.LeastCost_.Shares_, {Now_});
    }
    Waiting_.push_back(Index);
  }

  void sortQueue() {
    std::erase_if(Waiting_,
                  [this](std::size_t I) { return !Jobs_[I].isWaiting(); });
    std::stable_sort(Waiting_.begin(), Waiting_.end(),
                     [this](std::size_t A, std::size_t B) {
                       return rank(Jobs_[A]) < rank(Jobs_[B]);
                     });
  }

  bool isLate(const Job &One) const {
    return One.Placed_ == 0 && One.LatestStart_ < Now_;
  }

  bool hasInTime() const {
    return std::any_of(Waiting_.begin(), Waiting_.end(), [this](std::size_t I) {
      return Jobs_[I].isWaiting() && !isLate(Jobs_[I]);
    });
  }

  bool hasAdmitted() const {
    return std::any_of(Waiting_.begin(), Waiting_.end(), [this](std::size_t I) {
      return Jobs_[I].isWaiting() &&
             (Jobs_[I].IsAdmitted_ || Jobs_[I].Placed_ > 0);
    });
  }

  void admit(Job &One) {
    if (!One.IsAdmitted_ && Options_.IsLeastCost_) {
      recordAdmission(Shares_, One.Size_, Options_.LeastCost_.Shares_, {Now_});
      One.IsAdmitted_ = true;
    }
  }

  void place() {
    sortQueue();
    const bool OnlyAdmitted = Options_.IsLeastCost_ && hasAdmitted();
    const bool HasInTime = hasInTime();
    for (const std::size_t Index : Waiting_) {
      Job &One = Jobs_[Index];
      if ((OnlyAdmitted && !One.IsAdmitted_) || (HasInTime && isLate(One)))
        continue;
      placeJob(One);
    }
  }

  void placeJob(Job &One) {
    while (One.isWaiting()) {
      std::optional<uint32_t> Best;
      for (uint32_t Worker = 0; Worker < Workers; ++Worker) {
        if (Free_[Worker] >= One.Cores_ &&
            (!Best || Free_[Worker] < Free_[*Best]))
          Best = Worker;
      }
      if (!Best)
        return;
      admit(One);
      const int64_t End =
          Now_ + static_cast<int64_t>(std::ceil(One.Runs_[One.Placed_]));
      Runs_.push({End, {*Best, One.Cores_}});
      Free_[*Best] -= One.Cores_;
      Reserved_ += One.Cores_;
      One.EndsAt_ = std::max(One.EndsAt_, End);
      ++One.Placed_;
    }
  }

  void refuse(Job &One) {
    One.IsRefused_ = true;
    if (Options_.IsLeastCost_)
      recordRefusal(Shares_, One.Size_, One.IsAdmitted_,
                    Options_.LeastCost_.Shares_, {Now_});
    Result_.RefusedAfter_.push_back(Now_ - One.ArrivedAt_);
  }

  void review() {
    place();
    sortQueue();
    if (Options_.IsLeastCost_)
      reviewLeastCost();
    else
      reviewToday();
    const bool HasInTime = hasInTime();
    for (const std::size_t Index : Waiting_) {
      Job &One = Jobs_[Index];
      if (One.Placed_ > 0 || One.IsRefused_)
        continue;
      if (Now_ + static_cast<int64_t>(One.Estimate_) > One.GiveUpAt_ ||
          (HasInTime && isLate(One)))
        refuse(One);
    }
    place();
  }

  void reviewToday() {
    std::vector<ForecastJob> Forecast;
    for (const std::size_t Index : Waiting_) {
      if (const Job &One = Jobs_[Index]; !isLate(One))
        Forecast.push_back({.Entry_ = {.Rank_ = {rank(One)},
                                       .Key_ = One.Key_,
                                       .LatestStart_ = {One.LatestStart_}},
                            .Work_ = One.waitingWork(),
                            .IsStarted_ = One.Placed_ > 0});
    }
    for (const PlacerJobKey &Key :
         forecastLateJobs(Forecast, static_cast<double>(Reserved_),
                          OverloadOptions{}, {Now_}))
      refuse(Jobs_[Key.second]);
  }

  void reviewLeastCost() {
    std::vector<AdmissionJob> Asked;
    for (const std::size_t Index : Waiting_) {
      const Job &One = Jobs_[Index];
      if (!isLate(One))
        Asked.push_back(
            {.Key_ = One.Key_,
             .Size_ = One.Size_,
             .WaitingWork_ = One.waitingWork(),
             .StartBy_ = startBy({One.ArrivedAt_}, {One.LatestStart_},
                                 Options_.LeastCost_),
             .IsStarted_ = One.Placed_ > 0,
             .IsAdmitted_ = One.IsAdmitted_});
    }
    advanceWindow(Shares_, Options_.LeastCost_.Shares_, {Now_});
    const AdmissionReview Review =
        reviewAdmission(Asked, static_cast<double>(Reserved_), Shares_,
                        Options_.LeastCost_, {Now_});
    for (const PlacerJobKey &Key : Review.Admitted_)
      admit(Jobs_[Key.second]);
    for (const AdmissionRefusal &One : Review.Refused_)
      refuse(Jobs_[One.Key_.second]);
  }

  void addTo(ReplayTally &Tally, const Job &One, std::size_t Band) const {
    const int64_t Took = One.EndsAt_ - One.ArrivedAt_;
    const bool IsServed =
        One.Placed_ == One.Runs_.size() && Took <= 3 * One.Objective_;
    const bool IsInTime = IsServed && Took <= One.Objective_;
    ++Tally.Asked_;
    ++Tally.AskedBySize_[Band];
    Tally.WorthAsked_ += One.Worth_;
    Tally.WorkAsked_ += One.Work_;
    if (!IsServed)
      return;
    ++Tally.ServedBySize_[Band];
    ++(IsInTime ? Tally.InTime_ : Tally.Late_);
    Tally.WorthEarned_ += One.Worth_ * (IsInTime ? 1 : LateWorthShare);
    Tally.WorkServed_ += One.Work_;
  }

  ReplayResult tally() {
    std::sort(Result_.RefusedAfter_.begin(), Result_.RefusedAfter_.end());
    for (std::size_t Kind = 0; Kind < Options_.Kinds_.size(); ++Kind) {
      std::vector<const Job *> Same;
      for (const Job &One : Jobs_) {
        if (One.Kind_ == Kind)
          Same.push_back(&One);
      }
      std::sort(Same.begin(), Same.end(),
                [](const Job *A, const Job *B) { return A->Work_ < B->Work_; });
      for (std::size_t Index = 0; Index < Same.size(); ++Index) {
        const std::size_t Percent = Index * 100 / Same.size();
        const std::size_t Band = Percent >= 90 ? 2 : Percent >= 70 ? 1 : 0;
        addTo(Result_.ByPriority_[Options_.Kinds_[Kind].Priority_],
              *Same[Index], Band);
        addTo(Result_.All_, *Same[Index], Band);
      }
    }
    Result_.OracleWorth_ = oracleWorth();
    return Result_;
  }

  // Fills the capacity of the load's time with the jobs of the greatest worth
  // for their work.
  double oracleWorth() const {
    std::vector<const Job *> Best;
    for (const Job &One : Jobs_)
      Best.push_back(&One);
    std::sort(Best.begin(), Best.end(), [](const Job *A, const Job *B) {
      return A->Worth_ * B->Work_ > B->Worth_ * A->Work_;
    });
    double Left = static_cast<double>(Capacity_) * LoadTime;
    double Worth = 0;
    for (const Job *One : Best) {
      const double Part = std::min(1.0, Left / One->Work_);
      Worth += One->Worth_ * Part;
      Left -= One->Work_ * Part;
    }
    return Worth;
  }

  using Run = std::pair<int64_t, std::pair<uint32_t, int64_t>>;
  const ReplayOptions &Options_;
  Random Generator_;
  int64_t Now_ = 0;
  int64_t Capacity_ = 0;
  int64_t Reserved_ = 0;
  std::vector<int64_t> Free_;
  std::vector<Job> Jobs_;
  std::vector<std::size_t> Waiting_;
  std::priority_queue<Run, std::vector<Run>, std::greater<>> Runs_;
  FairShares Shares_;
  ReplayResult Result_;
};

} // namespace

ReplayTally &ReplayTally::operator+=(const ReplayTally &More) {
  Asked_ += More.Asked_;
  InTime_ += More.InTime_;
  Late_ += More.Late_;
  WorthAsked_ += More.WorthAsked_;
  WorthEarned_ += More.WorthEarned_;
  WorkServed_ += More.WorkServed_;
  WorkAsked_ += More.WorkAsked_;
  for (std::size_t Band = 0; Band < SizeBandCount; ++Band) {
    AskedBySize_[Band] += More.AskedBySize_[Band];
    ServedBySize_[Band] += More.ServedBySize_[Band];
  }
  return *this;
}

ReplayResult replay(const ReplayOptions &Options) {
  return Replay(Options).run();
}

} // namespace marjorambend::test
