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

Milliseconds expectedRunTime(const PlacerJob &Job, const PlacerWorker &Worker,
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
                       const TaskRequirements &Wish, Milliseconds Now) {
  const PlacerJob &Job = Wish.Job_;
  const Room Free = Worker.Held_.Report_.Capacity_ - Worker.Reserved_;
  const std::vector<Incarnation> &Avoid = Job.Request_.Avoid_;
  if (std::find(Avoid.begin(), Avoid.end(), Worker.Holder_) != Avoid.end())
    return false;
  if (!fits(Job.Request_.Needs_, Free) || !Worker.Held_.IsOpen_ ||
      Worker.BackOffUntil_ > Now || !isEligible(Job, Worker) ||
      isCrowded(Job, Id))
    return false;
  return !Wish.LatestEnd_ ||
         Now + expectedRunTime(Job, Worker, Wish.MedianSlowness_) <=
             *Wish.LatestEnd_;
}

} // namespace internal

int slownessBucket(double Slowness) {
  return static_cast<int>(
      std::floor(std::log(Slowness) / std::log(internal::PaceStep)));
}

namespace internal {

static void removeFromIndex(WorkerIndex &Open, const std::string &Id,
                            const WorkerIndexKey &Key) {
  const std::pair<int64_t, std::string> Entry{Key.FreeMilliCores_, Id};
  const auto Class = Open.BySlowness_.find(Key.SlownessBucket_);
  WorkersByFreeCores &Same = Class->second[Key.DataCentre_];
  Same.erase(Entry);
  if (Same.empty())
    Class->second.erase(Key.DataCentre_);
  if (Class->second.empty())
    Open.BySlowness_.erase(Class);
  for (const std::string &Label : Key.Labels_)
    Open.ByLabel_[Label].erase(Entry);
  Open.FreeCores_.erase(Open.FreeCores_.find(Key.FreeMilliCores_));
}

} // namespace internal

void updateWorkerIndex(PlacerState &Placing, const std::string &Id,
                       PlacerWorker &Worker) {
  if (Worker.Key_)
    internal::removeFromIndex(Placing.OpenWorkers_, Id, *Worker.Key_);
  Worker.Key_.reset();
  const WorkerReport &Report = Worker.Held_.Report_;
  const int64_t Free =
      Report.Capacity_.MilliCores_ - Worker.Reserved_.MilliCores_;
  if (!Worker.Held_.IsOpen_ || Free < 0)
    return;
  Worker.Key_ =
      WorkerIndexKey{.SlownessBucket_ = slownessBucket(Worker.Held_.Slowness_),
                     .DataCentre_ = Report.DataCentre_,
                     .FreeMilliCores_ = Free,
                     .Labels_ = Report.Labels_};
  WorkerIndex &Open = Placing.OpenWorkers_;
  Open.BySlowness_[Worker.Key_->SlownessBucket_][Report.DataCentre_].insert(
      {Free, Id});
  for (const std::string &Label : Report.Labels_)
    Open.ByLabel_[Label].insert({Free, Id});
  Open.FreeCores_.insert(Free);
}

void removeWorker(PlacerState &Placing, const std::string &Id) {
  const auto Known = Placing.Workers_.find(Id);
  if (Known == Placing.Workers_.end())
    return;
  if (Known->second.Key_)
    internal::removeFromIndex(Placing.OpenWorkers_, Id, *Known->second.Key_);
  Placing.Workers_.erase(Known);
}

namespace internal {

using WorkerEntry = std::map<std::string, PlacerWorker>::iterator;

/// \brief Collects workers that can take a task now.
struct Candidates {
  PlacerState &Placing_;
  const TaskRequirements &Wish_;
  Milliseconds Now_;
  std::vector<WorkerEntry> Able_;
  Milliseconds Shortest_{INT64_MAX};

  bool add(const std::string &Id) {
    const auto It = Placing_.Workers_.find(Id);
    if (!canTakeNow(It->second, Id, Wish_, Now_))
      return false;
    Able_.push_back(It);
    Shortest_ = std::min(Shortest_, expectedRunTime(Wish_.Job_, It->second,
                                                    Wish_.MedianSlowness_));
    return true;
  }
  void addTightest(const WorkersByFreeCores &Workers) {
    for (auto Free = from(Workers); Free != Workers.end(); ++Free) {
      if (add(Free->second))
        return;
    }
  }
  void addAll(const WorkersByFreeCores &Workers) {
    for (auto Free = from(Workers); Free != Workers.end(); ++Free)
      add(Free->second);
  }

private:
  WorkersByFreeCores::const_iterator
  from(const WorkersByFreeCores &Workers) const {
    return Workers.lower_bound(
        {Wish_.Job_.Request_.Needs_.MilliCores_, std::string()});
  }
};

// Classes that are slower than the fastest able worker by more than what counts
// as similar hold no better one.
static void addByPace(Candidates &Into, double SimilarRunTime) {
  std::optional<int> Slowest;
  const int Similar = slownessBucket(1.0 + SimilarRunTime) + 1;
  for (const auto &[Class, Centres] : Into.Placing_.OpenWorkers_.BySlowness_) {
    if (Slowest && Class > *Slowest)
      return;
    for (const auto &[DataCentre, Workers] : Centres)
      Into.addTightest(Workers);
    if (!Slowest && !Into.Able_.empty())
      Slowest = Class + Similar;
  }
}

static void addLabelled(Candidates &Into, const std::string &Label) {
  const auto &ByLabel = Into.Placing_.OpenWorkers_.ByLabel_;
  const auto Found = ByLabel.find(Label);
  if (Found != ByLabel.end())
    Into.addAll(Found->second);
}

} // namespace internal

std::map<std::string, PlacerWorker>::iterator
chooseWorker(PlacerState &Placing, const TaskRequirements &Wish,
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
    const Milliseconds Run =
        expectedRunTime(Job, It->second, Wish.MedianSlowness_);
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
