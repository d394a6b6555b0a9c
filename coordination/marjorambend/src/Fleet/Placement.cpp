#include "marjorambend/src/Fleet/Placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <vector>

namespace marjorambend {
namespace internal {

// Ratio between the bounds of a slowness bucket; the width is about a third of
// PlacerOptions::RunTimeTolerance_.
static constexpr double SlownessBucketRatio = 1.1;

static bool hasLabel(const HeldWorker &Worker, const std::string &Label) {
  const auto &Labels = Worker.Report_.Labels_;
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

static bool hasMaxTasks(const PlacerJob &Job, const std::string &Worker) {
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

bool isRemote(const PlacerJob &Job, const PlacerWorker &Worker) {
  const std::string &Rack = Job.Request_.DataRack_;
  return !Rack.empty() && !internal::hasLabel(Worker.Held_, Rack);
}

double runTimeFactor(const PlacerJob &Job, const PlacerWorker &Worker,
                     double MedianSlowness, double RemoteFactor) {
  const double Factor = Worker.Held_.Slowness_ / MedianSlowness;
  return isRemote(Job, Worker) ? Factor * RemoteFactor : Factor;
}

Milliseconds expectedRunTime(const PlacerJob &Job, const PlacerWorker &Worker,
                             double MedianSlowness, double RemoteFactor) {
  return {static_cast<int64_t>(
      static_cast<double>(Job.Request_.Estimate_.Count_) *
      runTimeFactor(Job, Worker, MedianSlowness, RemoteFactor))};
}

namespace internal {

static bool canStartNow(const PlacerWorker &Worker, const std::string &Id,
                        const PlacerJob &Job, Milliseconds Now) {
  const Room Free = Worker.Held_.Report_.Capacity_ - Worker.Reserved_;
  const std::vector<Incarnation> &Avoid = Job.Request_.Avoid_;
  if (std::find(Avoid.begin(), Avoid.end(), Worker.Holder_) != Avoid.end())
    return false;
  return fits(Job.Request_.Needs_, Free) && Worker.Held_.IsOpen_ &&
         Worker.BackOffUntil_ <= Now && isEligible(Job, Worker) &&
         !hasMaxTasks(Job, Id);
}

} // namespace internal

int slownessBucket(double Slowness) {
  return static_cast<int>(
      std::floor(std::log(Slowness) / std::log(internal::SlownessBucketRatio)));
}

namespace internal {

static void removeFromIndex(WorkerIndex &Open, const std::string &Id,
                            const WorkerIndexKey &Key) {
  const std::pair<int64_t, std::string> Entry{Key.FreeMilliCores_, Id};
  const auto Bucket = Open.BySlowness_.find(Key.SlownessBucket_);
  WorkersByFreeCores &Same = Bucket->second[Key.DataCentre_];
  Same.erase(Entry);
  if (Same.empty())
    Bucket->second.erase(Key.DataCentre_);
  if (Bucket->second.empty())
    Open.BySlowness_.erase(Bucket);
  for (const std::string &Label : Key.Labels_)
    Open.ByLabel_[Label].erase(Entry);
  Open.FreeCores_.erase(Open.FreeCores_.find(Key.FreeMilliCores_));
}

} // namespace internal

void updateWorkerIndex(PlacerState &Placer, const std::string &Id,
                       PlacerWorker &Worker) {
  if (Worker.Key_)
    internal::removeFromIndex(Placer.OpenWorkers_, Id, *Worker.Key_);
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
  WorkerIndex &Open = Placer.OpenWorkers_;
  Open.BySlowness_[Worker.Key_->SlownessBucket_][Report.DataCentre_].insert(
      {Free, Id});
  for (const std::string &Label : Report.Labels_)
    Open.ByLabel_[Label].insert({Free, Id});
  Open.FreeCores_.insert(Free);
}

void removeWorker(PlacerState &Placer, const std::string &Id) {
  const auto Known = Placer.Workers_.find(Id);
  if (Known == Placer.Workers_.end())
    return;
  if (Known->second.Key_)
    internal::removeFromIndex(Placer.OpenWorkers_, Id, *Known->second.Key_);
  Placer.Workers_.erase(Known);
}

namespace internal {

using WorkerEntry = std::map<std::string, PlacerWorker>::iterator;

/// \brief A worker that can start a task now.
struct Candidate {
  WorkerEntry Worker_;
  Milliseconds Run_; ///< Expected run time of the task there.
};

/// \brief Workers that can start a task now and end it in time.
struct Candidates {
  PlacerState &Placing_;
  const TaskRequirements &Requirements_;
  const PlacerOptions &Options_;
  Milliseconds Now_;
  std::vector<Candidate> Available_;
  Milliseconds ShortestRunTime_{INT64_MAX};

  bool add(const std::string &Id) {
    const auto It = Placing_.Workers_.find(Id);
    if (!canStartNow(It->second, Id, Requirements_.Job_, Now_))
      return false;
    const Milliseconds Run =
        expectedRunTime(Requirements_.Job_, It->second,
                        Requirements_.MedianSlowness_, Options_.RemoteFactor_);
    if (Requirements_.LatestEnd_ && Now_ + Run > *Requirements_.LatestEnd_)
      return false;
    Available_.push_back({It, Run});
    ShortestRunTime_ = std::min(ShortestRunTime_, Run);
    return true;
  }
  void addBestFit(const WorkersByFreeCores &Workers) {
    for (auto Free = firstWithRoom(Workers); Free != Workers.end(); ++Free) {
      if (add(Free->second))
        return;
    }
  }
  void addAll(const WorkersByFreeCores &Workers) {
    for (auto Free = firstWithRoom(Workers); Free != Workers.end(); ++Free)
      add(Free->second);
  }

private:
  WorkersByFreeCores::const_iterator
  firstWithRoom(const WorkersByFreeCores &Workers) const {
    return Workers.lower_bound(
        {Requirements_.Job_.Request_.Needs_.MilliCores_, std::string()});
  }
};

// Stops at the first bucket whose workers are slower than the fastest available
// one by more than the similarity bound: none of them can be chosen.
static void addBySlowness(Candidates &Into, double SimilarRunTime) {
  std::optional<int> LastBucket;
  const int Similar = slownessBucket(1.0 + SimilarRunTime) + 1;
  for (const auto &[Bucket, ByDataCentre] :
       Into.Placing_.OpenWorkers_.BySlowness_) {
    if (LastBucket && Bucket > *LastBucket)
      return;
    for (const auto &[DataCentre, Workers] : ByDataCentre)
      Into.addBestFit(Workers);
    if (!LastBucket && !Into.Available_.empty())
      LastBucket = Bucket + Similar;
  }
}

static void addLabelled(Candidates &Into, const std::string &Label) {
  const auto &ByLabel = Into.Placing_.OpenWorkers_.ByLabel_;
  const auto Found = ByLabel.find(Label);
  if (Found != ByLabel.end())
    Into.addAll(Found->second);
}

// Whether the task waits although it could run remotely on the chosen worker.
static bool waitsForData(const PlacerState &Placer,
                         const TaskRequirements &Requirements,
                         const PlacerOptions &Options, const Candidate &Chosen,
                         Milliseconds Now) {
  const PlacerJob &Job = Requirements.Job_;
  if (!Options.WaitsForData_ || !isRemote(Job, Chosen.Worker_->second))
    return false;
  const std::string &Rack = Job.Request_.DataRack_;
  const auto Rate = Placer.Releases_.find(Rack);
  const auto Local = Placer.OpenWorkers_.ByLabel_.find(Rack);
  if (Rate == Placer.Releases_.end() ||
      Local == Placer.OpenWorkers_.ByLabel_.end())
    return false;
  Milliseconds Sum;
  int64_t Count = 0;
  for (const auto &[Free, Id] : Local->second) {
    const PlacerWorker &Worker = Placer.Workers_.at(Id);
    if (!isEligible(Job, Worker) || Worker.BackOffUntil_ > Now)
      continue;
    Sum = Sum + expectedRunTime(Job, Worker, Requirements.MedianSlowness_,
                                Options.RemoteFactor_);
    ++Count;
  }
  const auto Wait =
      timeToRelease(Rate->second, Job.Request_.Needs_.MilliCores_, Now);
  if (Count == 0 || !Wait)
    return false;
  // The remote run ends in time, and so does a local one that ends earlier.
  return *Wait + Milliseconds{Sum.Count_ / Count} < Chosen.Run_;
}

} // namespace internal

std::map<std::string, PlacerWorker>::iterator
chooseWorker(PlacerState &Placer, const TaskRequirements &Requirements,
             const PlacerOptions &Options, Milliseconds Now) {
  const PlacerJob &Job = Requirements.Job_;
  internal::Candidates Found{Placer, Requirements, Options, Now, {}};
  if (!Job.Request_.Label_.empty()) {
    internal::addLabelled(Found, Job.Request_.Label_);
  } else {
    if (!Job.Request_.DataRack_.empty())
      internal::addLabelled(Found, Job.Request_.DataRack_);
    internal::addBySlowness(Found, Options.RunTimeTolerance_);
  }
  const auto Similar = static_cast<double>(Found.ShortestRunTime_.Count_) *
                       (1.0 + Options.RunTimeTolerance_);
  auto Best = Placer.Workers_.end();
  std::pair<bool, int64_t> BestRank; // in another data centre, free cores
  Milliseconds BestRun;
  for (const auto &[It, Run] : Found.Available_) {
    if (static_cast<double>(Run.Count_) > Similar)
      continue;
    const WorkerReport &Report = It->second.Held_.Report_;
    const std::pair<bool, int64_t> Rank{
        Report.DataCentre_ != Job.OriginDataCentre_,
        Report.Capacity_.MilliCores_ - It->second.Reserved_.MilliCores_};
    if (Best == Placer.Workers_.end() || Rank < BestRank) {
      Best = It;
      BestRank = Rank;
      BestRun = Run;
    }
  }
  const bool IsWaiting = Best != Placer.Workers_.end() &&
                         internal::waitsForData(Placer, Requirements, Options,
                                                {Best, BestRun}, Now);
  return IsWaiting ? Placer.Workers_.end() : Best;
}

std::map<std::string, PlacerWorker>::iterator
chooseIsolatedWorker(PlacerState &Placer, const PlacerJob &Job,
                     const std::set<std::string> &Avoid, Milliseconds Now) {
  auto Best = Placer.Workers_.end();
  for (auto It = Placer.Workers_.begin(); It != Placer.Workers_.end(); ++It) {
    if (!internal::canStartNow(It->second, It->first, Job, Now))
      continue;
    const auto Rank = [&Avoid](const PlacerWorker &Worker) {
      const auto &Labels = Worker.Held_.Report_.Labels_;
      const bool IsAvoided = std::any_of(
          Labels.begin(), Labels.end(),
          [&Avoid](const std::string &Label) { return Avoid.contains(Label); });
      return std::tuple{IsAvoided, Worker.Reserved_.MilliCores_,
                        Worker.Held_.Slowness_};
    };
    if (Best == Placer.Workers_.end() || Rank(It->second) < Rank(Best->second))
      Best = It;
  }
  return Best;
}

} // namespace marjorambend
