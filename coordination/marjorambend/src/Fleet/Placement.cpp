#include "marjorambend/src/Fleet/Placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
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

double runTimeFactor(const PlacerJob &Job, const PlacerWorker &Worker,
                     double MedianSlowness, double RemoteFactor) {
  double Factor = Worker.Held_.Slowness_ / MedianSlowness;
  if (!Job.Request_.DataRack_.empty() &&
      !internal::hasLabel(Worker.Held_, Job.Request_.DataRack_))
    Factor *= RemoteFactor;
  return Factor;
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

// Adds the worker with this key to the capacity of its slowness bucket, or
// removes it if \p Sign is -1.
static void addCapacity(WorkerIndex &Open, const WorkerIndexKey &Key,
                        int Sign) {
  SlownessCapacity &Same = Open.Capacity_[Key.SlownessBucket_];
  Same.Slowness_ = std::pow(SlownessBucketRatio, Key.SlownessBucket_);
  Same.MilliCores_ += Sign * Key.MilliCores_;
  Same.FreeMilliCores_ += Sign * Key.FreeMilliCores_;
  if (Same.MilliCores_ == 0)
    Open.Capacity_.erase(Key.SlownessBucket_);
}

static void removeFromIndex(WorkerIndex &Open, const std::string &Id,
                            const WorkerIndexKey &Key) {
  const std::pair<int64_t, std::string> Entry{Key.FreeMilliCores_, Id};
  addCapacity(Open, Key, -1);
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
                     .MilliCores_ = Report.Capacity_.MilliCores_,
                     .FreeMilliCores_ = Free,
                     .Labels_ = Report.Labels_};
  WorkerIndex &Open = Placer.OpenWorkers_;
  internal::addCapacity(Open, *Worker.Key_, 1);
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
  double EndFactor_ = 1.0; ///< From the run time to the end of the job.

  bool add(const std::string &Id) {
    const auto It = Placing_.Workers_.find(Id);
    if (!canStartNow(It->second, Id, Requirements_.Job_, Now_))
      return false;
    const Milliseconds Run =
        expectedRunTime(Requirements_.Job_, It->second,
                        Requirements_.MedianSlowness_, Options_.RemoteFactor_);
    const Milliseconds End{
        static_cast<int64_t>(static_cast<double>(Run.Count_) * EndFactor_)};
    if (Requirements_.LatestEnd_ && Now_ + End > *Requirements_.LatestEnd_)
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

} // namespace internal

namespace internal {

// Summing up all slowness buckets for each task would cost more than the choice
// itself, so that it is done once per millisecond.
static const FastWorkers &fastWorkers(PlacerState &Placer,
                                      const WorkerChoiceOptions &Options,
                                      Milliseconds Now) {
  if (Placer.FastFoundAt_ == Now)
    return Placer.Fast_;
  std::vector<SlownessCapacity> Fleet;
  for (const auto &[Bucket, Capacity] : Placer.OpenWorkers_.Capacity_)
    Fleet.push_back(Capacity);
  Placer.Fast_ = findFastWorkers(Fleet, Options);
  Placer.FastFoundAt_ = Now;
  return Placer.Fast_;
}

// Considers the slowest workers first; as in addBySlowness, stops at the first
// bucket whose workers are faster than the found ones by more than the
// similarity bound.
static void addSlower(Candidates &Into, int FastBucket) {
  std::optional<int> LastBucket;
  const int Similar = slownessBucket(1.0 + Into.Options_.RunTimeTolerance_) + 1;
  const auto &BySlowness = Into.Placing_.OpenWorkers_.BySlowness_;
  for (auto It = BySlowness.rbegin(); It != BySlowness.rend(); ++It) {
    if (It->first <= FastBucket || (LastBucket && It->first < *LastBucket))
      return;
    for (const auto &[DataCentre, Workers] : It->second)
      Into.addBestFit(Workers);
    if (!LastBucket && !Into.Available_.empty())
      LastBucket = It->first - Similar;
  }
}

// Chooses the candidate in the caller's data centre, among those the best fit.
static WorkerEntry bestFit(const Candidates &Found, double MaxRunTime) {
  auto Best = Found.Placing_.Workers_.end();
  std::pair<bool, int64_t> BestRank; // in another data centre, free cores
  for (const auto &[It, Run] : Found.Available_) {
    if (static_cast<double>(Run.Count_) > MaxRunTime)
      continue;
    const WorkerReport &Report = It->second.Held_.Report_;
    const std::pair<bool, int64_t> Rank{
        Report.DataCentre_ != Found.Requirements_.Job_.OriginDataCentre_,
        Report.Capacity_.MilliCores_ - It->second.Reserved_.MilliCores_};
    if (Best == Found.Placing_.Workers_.end() || Rank < BestRank) {
      Best = It;
      BestRank = Rank;
    }
  }
  return Best;
}

// A worker that is not fast, for a job that has slack while the fleet is busy;
// the end of the workers if there is none.
static WorkerEntry chooseSlower(PlacerState &Placer,
                                const TaskRequirements &Requirements,
                                const PlacerOptions &Options,
                                Milliseconds Now) {
  const PlacerJob &Job = Requirements.Job_;
  const PlaceRequest &Request = Job.Request_;
  if (Options.Choice_.Policy_ != WorkerPolicy::BySlack ||
      !Requirements.LatestEnd_ || !Request.Label_.empty() ||
      !Request.DataRack_.empty())
    return Placer.Workers_.end();
  const FastWorkers &Fast = fastWorkers(Placer, Options.Choice_, Now);
  if (!Fast.IsBusy_)
    return Placer.Workers_.end();
  Candidates Found{Placer, Requirements, Options, Now, {}};
  Found.EndFactor_ = endFactor(
      Request.Tasks_.size() + Job.Reservations_.size(),
      expectedRatio(Placer.RunTimes_, Request.Route_, Options.RunTimes_),
      Options.Choice_);
  // Buckets are half open, so that the middle is unambiguous.
  addSlower(Found,
            slownessBucket(Fast.MaxSlowness_ * std::sqrt(SlownessBucketRatio)));
  return bestFit(Found, std::numeric_limits<double>::infinity());
}

} // namespace internal

std::map<std::string, PlacerWorker>::iterator
chooseWorker(PlacerState &Placer, const TaskRequirements &Requirements,
             const PlacerOptions &Options, Milliseconds Now) {
  const PlacerJob &Job = Requirements.Job_;
  const auto Slower =
      internal::chooseSlower(Placer, Requirements, Options, Now);
  if (Slower != Placer.Workers_.end())
    return Slower;
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
  return internal::bestFit(Found, Similar);
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
