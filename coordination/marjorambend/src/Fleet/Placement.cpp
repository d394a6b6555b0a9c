#include "marjorambend/src/Fleet/Placement.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace marjorambend {
namespace internal {

// A task away from its data takes this many times as long; the platform's
// `remote_factor` is 1.5 to 2.
static constexpr double RemoteDataFactor = 2.0;
// Workers whose slowness differs by less share a class; a third of what counts
// as similar.
static constexpr double PaceStep = 1.1;

static bool hasLabel(const HeldWorker &Worker, const std::string &Label) {
  const auto &Labels = Worker.Report_.Labels_;
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

static bool isCrowded(const PlacerJob &Job, const std::string &Worker) {
  if (Job.Request_.MaxPerWorker_ == 0)
    return false;
  const auto Count = std::count_if(
      Job.Reservations_.begin(), Job.Reservations_.end(),
      [&Worker](const Reservation &One) { return One.Worker_ == Worker; });
  return Count >= static_cast<std::ptrdiff_t>(Job.Request_.MaxPerWorker_);
}

} // namespace internal

bool isEligible(const PlacerJob &Job, const PlacerWorker &Worker) {
  const HeldWorker &Held = Worker.Held_;
  if (Held.Report_.Service_ != Job.Request_.Service_)
    return false;
  if (!Job.Request_.Label_.empty() &&
      !internal::hasLabel(Held, Job.Request_.Label_))
    return false;
  return fits(Job.Request_.Needs_, Held.Report_.Capacity_);
}

Milliseconds expectedRun(const PlacerJob &Job, const PlacerWorker &Worker,
                         double UsualSlowness) {
  double Factor = Worker.Held_.Slowness_ / UsualSlowness;
  if (!Job.Request_.DataRack_.empty() &&
      !internal::hasLabel(Worker.Held_, Job.Request_.DataRack_))
    Factor *= internal::RemoteDataFactor;
  return {static_cast<int64_t>(
      static_cast<double>(Job.Request_.Estimate_.Count_) * Factor)};
}

namespace internal {

static bool canTakeNow(const PlacerWorker &Worker, const std::string &Id,
                       const TaskWish &Wish, Milliseconds Now) {
  const PlacerJob &Job = Wish.Job_;
  const Room Free = Worker.Held_.Report_.Capacity_ - Worker.Reserved_;
  const std::vector<Incarnation> &Avoid = Job.Request_.Avoid_;
  if (std::find(Avoid.begin(), Avoid.end(), Worker.Holder_) != Avoid.end())
    return false;
  if (!fits(Job.Request_.Needs_, Free) || !Worker.Held_.IsOpen_ ||
      Worker.BackOffUntil_ > Now || !isEligible(Job, Worker) ||
      isCrowded(Job, Id))
    return false;
  return !Wish.EndBefore_ ||
         Now + expectedRun(Job, Worker, Wish.UsualSlowness_) <=
             *Wish.EndBefore_;
}

} // namespace internal

int paceClass(double Slowness) {
  return static_cast<int>(
      std::floor(std::log(Slowness) / std::log(internal::PaceStep)));
}

namespace internal {

static void removeFromIndex(WorkerIndex &Open, const std::string &Id,
                            const WorkerKey &Key) {
  const std::pair<int64_t, std::string> Entry{Key.FreeMilliCores_, Id};
  const auto Class = Open.ByPace_.find(Key.PaceClass_);
  WorkersByFree &Same = Class->second[Key.DataCentre_];
  Same.erase(Entry);
  if (Same.empty())
    Class->second.erase(Key.DataCentre_);
  if (Class->second.empty())
    Open.ByPace_.erase(Class);
  for (const std::string &Label : Key.Labels_)
    Open.ByLabel_[Label].erase(Entry);
  Open.Free_.erase(Open.Free_.find(Key.FreeMilliCores_));
}

} // namespace internal

void indexWorker(PlacerState &Placing, const std::string &Id,
                 PlacerWorker &Worker) {
  if (Worker.Key_)
    internal::removeFromIndex(Placing.Open_, Id, *Worker.Key_);
  Worker.Key_.reset();
  const WorkerReport &Report = Worker.Held_.Report_;
  const int64_t Free =
      Report.Capacity_.MilliCores_ - Worker.Reserved_.MilliCores_;
  if (!Worker.Held_.IsOpen_ || Free < 0)
    return;
  Worker.Key_ = WorkerKey{.PaceClass_ = paceClass(Worker.Held_.Slowness_),
                          .DataCentre_ = Report.DataCentre_,
                          .FreeMilliCores_ = Free,
                          .Labels_ = Report.Labels_};
  WorkerIndex &Open = Placing.Open_;
  Open.ByPace_[Worker.Key_->PaceClass_][Report.DataCentre_].insert({Free, Id});
  for (const std::string &Label : Report.Labels_)
    Open.ByLabel_[Label].insert({Free, Id});
  Open.Free_.insert(Free);
}

void eraseWorker(PlacerState &Placing, const std::string &Id) {
  const auto Known = Placing.Workers_.find(Id);
  if (Known == Placing.Workers_.end())
    return;
  if (Known->second.Key_)
    internal::removeFromIndex(Placing.Open_, Id, *Known->second.Key_);
  Placing.Workers_.erase(Known);
}

namespace internal {

using WorkerEntry = std::map<std::string, PlacerWorker>::iterator;

/// \brief Collects workers that can take a task now.
struct Candidates {
  PlacerState &Placing_;
  const TaskWish &Wish_;
  Milliseconds Now_;
  std::vector<WorkerEntry> Able_;
  Milliseconds Shortest_{INT64_MAX};

  bool add(const std::string &Id) {
    const auto It = Placing_.Workers_.find(Id);
    if (!canTakeNow(It->second, Id, Wish_, Now_))
      return false;
    Able_.push_back(It);
    Shortest_ = std::min(
        Shortest_, expectedRun(Wish_.Job_, It->second, Wish_.UsualSlowness_));
    return true;
  }
  void addTightest(const WorkersByFree &Workers) {
    for (auto Free = from(Workers); Free != Workers.end(); ++Free) {
      if (add(Free->second))
        return;
    }
  }
  void addAll(const WorkersByFree &Workers) {
    for (auto Free = from(Workers); Free != Workers.end(); ++Free)
      add(Free->second);
  }

private:
  WorkersByFree::const_iterator from(const WorkersByFree &Workers) const {
    return Workers.lower_bound(
        {Wish_.Job_.Request_.Needs_.MilliCores_, std::string()});
  }
};

// Classes that are slower than the fastest able worker by more than what counts
// as similar hold no better one.
static void addByPace(Candidates &Into, double SimilarRunTime) {
  std::optional<int> Slowest;
  const int Similar = paceClass(1.0 + SimilarRunTime) + 1;
  for (const auto &[Class, Centres] : Into.Placing_.Open_.ByPace_) {
    if (Slowest && Class > *Slowest)
      return;
    for (const auto &[DataCentre, Workers] : Centres)
      Into.addTightest(Workers);
    if (!Slowest && !Into.Able_.empty())
      Slowest = Class + Similar;
  }
}

static void addLabelled(Candidates &Into, const std::string &Label) {
  const auto &ByLabel = Into.Placing_.Open_.ByLabel_;
  const auto Found = ByLabel.find(Label);
  if (Found != ByLabel.end())
    Into.addAll(Found->second);
}

} // namespace internal

std::map<std::string, PlacerWorker>::iterator
chooseWorkerFor(PlacerState &Placing, const TaskWish &Wish,
                const PlacerOptions &Options, Milliseconds Now) {
  const PlacerJob &Job = Wish.Job_;
  internal::Candidates Found{Placing, Wish, Now, {}};
  if (!Job.Request_.Label_.empty()) {
    internal::addLabelled(Found, Job.Request_.Label_);
  } else {
    if (!Job.Request_.DataRack_.empty())
      internal::addLabelled(Found, Job.Request_.DataRack_);
    internal::addByPace(Found, Options.RunTimeTolerance_);
  }
  const auto Similar = static_cast<double>(Found.Shortest_.Count_) *
                       (1.0 + Options.RunTimeTolerance_);
  auto Best = Placing.Workers_.end();
  std::pair<bool, int64_t> BestRank; // whether it is far, what is left over
  for (const auto It : Found.Able_) {
    const Milliseconds Run = expectedRun(Job, It->second, Wish.UsualSlowness_);
    if (static_cast<double>(Run.Count_) > Similar)
      continue;
    const WorkerReport &Report = It->second.Held_.Report_;
    const std::pair<bool, int64_t> Rank{
        Report.DataCentre_ != Job.OriginDataCentre_,
        Report.Capacity_.MilliCores_ - It->second.Reserved_.MilliCores_};
    if (Best == Placing.Workers_.end() || Rank < BestRank) {
      Best = It;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace marjorambend
