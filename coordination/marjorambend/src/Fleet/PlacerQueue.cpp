/// \file
/// \brief Places the waiting tasks of all instances on workers, or refuses
/// their jobs.

#include "marjorambend/src/Fleet/Placement.h"
#include "marjorambend/src/Fleet/PlacerAdmission.h"
#include "marjorambend/src/Fleet/PlacerStep.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace marjorambend::internal {

// Reference for run time estimates: the median of the open workers, since
// objectives are meant for healthy workers.
static double medianSlowness(const PlacerState &Placer) {
  std::vector<double> Known;
  for (const auto &[Id, Worker] : Placer.Workers_) {
    if (Worker.Held_.IsOpen_)
      Known.push_back(Worker.Held_.Slowness_);
  }
  if (Known.empty())
    return Placer.MedianSlowness_;
  const auto Middle =
      Known.begin() + static_cast<std::ptrdiff_t>(Known.size() / 2);
  std::nth_element(Known.begin(), Middle, Known.end());
  return *Middle;
}

// A worker should be open soon if it does not drain and a coordinator of its
// data centre can be reached.
static int64_t listedMilliCores(const FleetStepContext &Ctx) {
  const FleetInstance &State = Ctx.State_;
  std::set<std::string> Reachable;
  if (State.IsCoordinating_)
    Reachable.insert(State.Self_.DataCentre_);
  for (const auto &[Run, Other] : State.Members_) {
    if (Other.Status_.IsCoordinating_)
      Reachable.insert(Other.Info_.DataCentre_);
  }
  int64_t Sum = 0;
  for (const auto &[Id, Report] : State.ListedWorkers_) {
    if (!Report.IsDraining_ && Reachable.contains(Report.DataCentre_) &&
        isAdmitted(Ctx, Report))
      Sum += Report.Capacity_.MilliCores_;
  }
  return Sum;
}

static double waitingWork(const PlacerState &Placer) {
  double Work = 0;
  for (const auto &[Key, Job] : Placer.Jobs_)
    Work += waitingWork(Job);
  return Work;
}

static void summarizeFleet(FleetStepContext &Ctx) {
  const FleetInstance &State = Ctx.State_;
  PlacerState &Placer = Ctx.State_.Placing_;
  if (Ctx.Now_ - Placer.SummarizedAt_ < State.Options_.Placer_.SummaryInterval_)
    return;
  Placer.SummarizedAt_ = Ctx.Now_;
  Placer.MedianSlowness_ = medianSlowness(Placer);
  Placer.WaitingWork_ = waitingWork(Placer);
  FleetCapacity &Capacity = Placer.Capacity_;
  Capacity.OpenMilliCores_ = 0;
  Placer.ReservedMilliCores_ = 0;
  for (const auto &[Id, Worker] : Placer.Workers_) {
    if (!Worker.Held_.IsOpen_)
      continue;
    Capacity.OpenMilliCores_ += Worker.Held_.Report_.Capacity_.MilliCores_;
    Placer.ReservedMilliCores_ += Worker.Reserved_.MilliCores_;
  }
  Capacity.ListedMilliCores_ = listedMilliCores(Ctx);
  Capacity.LastSettledAt_ =
      isSettled(Capacity, State.Options_.Placer_.Overload_)
          ? Ctx.Now_
          : std::max(Capacity.LastSettledAt_, State.StartedAt_);
}

static bool isSettling(const FleetStepContext &Ctx) {
  return isSettling(Ctx.State_.Placing_.Capacity_,
                    Ctx.State_.Options_.Placer_.Overload_, Ctx.Now_);
}

// What is reserved while jobs wait is what the fleet can do at present, except
// for what a worker that has shrunk still runs. Run times are longer than their
// estimates by the median slowness.
static double milliCoresAtWork(const PlacerState &Placer) {
  int64_t Reserved = 0;
  for (const auto &[Id, Worker] : Placer.Workers_) {
    if (Worker.Held_.IsOpen_)
      Reserved += std::min(Worker.Reserved_.MilliCores_,
                           Worker.Held_.Report_.Capacity_.MilliCores_);
  }
  return static_cast<double>(Reserved) / Placer.MedianSlowness_;
}

// Holders send changes at once, and each heartbeat confirms that there are no
// others; so the age is the time since the last message.
static Milliseconds viewAge(const FleetStepContext &Ctx, Incarnation Holder) {
  const auto Known = Ctx.State_.Members_.find(Holder);
  return Known == Ctx.State_.Members_.end() ? Milliseconds{0}
                                            : Ctx.Now_ - Known->second.HeardAt_;
}

static Milliseconds oldestView(const FleetStepContext &Ctx) {
  Milliseconds Oldest;
  for (const auto &[Run, Member] : Ctx.State_.Members_)
    Oldest = std::max(Oldest, Ctx.Now_ - Member.HeardAt_);
  return Oldest;
}

static void refuseJob(FleetStepContext &Ctx, const PlacerJobKey &Key,
                      std::string_view Why, Milliseconds MinRetryAfter = {}) {
  PlacerState &Placer = Ctx.State_.Placing_;
  PlacerJob &Job = Placer.Jobs_.at(Key);
  recordRefusal(Ctx, Job);
  const Milliseconds RetryAfter =
      returnDelay(Ctx, Job, waitingWork(Job), MinRetryAfter);
  log(Ctx, "place_refused", Job.Request_.Id_,
      {{"why", std::string(Why)},
       {"waited_ms", toString(Ctx.Now_ - Job.ArrivedAt_)},
       {"waiting_jobs", std::to_string(countWaitingJobs(Placer))},
       {"open_workers", std::to_string(Placer.OpenWorkers_.FreeCores_.size())},
       {"view_age_ms", toString(oldestView(Ctx))},
       {"retry_after_ms", toString(RetryAfter)}});
  Job.Request_.Tasks_.clear();
  Job.Suspects_.clear();
  sendMessage(Ctx, Job.Origin_, PlaceRefused{Job.Request_.Job_, RetryAfter});
  removeIfDone(Placer, Key);
}

/// \brief Requirements that no worker met in this pass. A job that needs at
/// least as many resources and as fast a worker can't be placed either.
class UnplaceableRequirements {
public:
  bool covers(const PlacerJob &Job, double MaxSlowness) const {
    return isUnconstrained(Job) &&
           std::any_of(Entries_.begin(), Entries_.end(),
                       [&](const Requirements &One) {
                         return One.Service_ == Job.Request_.Service_ &&
                                fits(One.Needs_, Job.Request_.Needs_) &&
                                MaxSlowness <= One.MaxSlowness_;
                       });
  }
  void add(const PlacerJob &Job, double MaxSlowness) {
    if (isUnconstrained(Job) && Entries_.size() < MaxEntries)
      Entries_.push_back(
          {Job.Request_.Service_, Job.Request_.Needs_, MaxSlowness});
  }

private:
  struct Requirements {
    std::string Service_;
    Room Needs_;
    double MaxSlowness_;
  };
  // More entries rarely help: the jobs of one pass have similar requirements.
  static constexpr std::size_t MaxEntries = 16;

  static bool isUnconstrained(const PlacerJob &Job) {
    return Job.Request_.Label_.empty() && Job.Request_.DataRack_.empty() &&
           Job.Request_.MaxPerWorker_ == 0 && Job.Request_.Avoid_.empty();
  }
  std::vector<Requirements> Entries_;
};

// Greatest slowness, relative to the median, at which the job meets its
// objective.
static double maxSlowness(const PlacerJob &Job, Milliseconds Now) {
  if (latestStart(Job) < Now || Job.Request_.Estimate_.Count_ <= 0)
    return std::numeric_limits<double>::infinity();
  return static_cast<double>((Job.ObjectiveAt_ - Now).Count_) /
         static_cast<double>(Job.Request_.Estimate_.Count_);
}

static std::map<std::string, PlacerWorker>::iterator
chooseIsolatedWorker(FleetStepContext &Ctx, const PlacerJob &Job) {
  const FleetInstance &State = Ctx.State_;
  const std::set<std::string> Racks =
      recentlyCrashedRacks(State.Crashes_, State.Options_.Crashes_, Ctx.Now_);
  return chooseIsolatedWorker(Ctx.State_.Placing_, Job, Racks, Ctx.Now_);
}

static void placeJob(FleetStepContext &Ctx, PlacerJob &Job) {
  PlacerState &Placer = Ctx.State_.Placing_;
  TaskRequirements Requirements{.Job_ = Job,
                                .MedianSlowness_ = Placer.MedianSlowness_};
  if (latestStart(Job) >= Ctx.Now_)
    Requirements.LatestEnd_ = Job.ObjectiveAt_;
  Placed Answer{.Job_ = Job.Request_.Job_};
  std::vector<uint32_t> &Tasks = Job.Request_.Tasks_;
  while (!Tasks.empty()) {
    const bool IsSuspect = Job.Suspects_.contains(Tasks.front());
    const auto Chosen =
        IsSuspect ? chooseIsolatedWorker(Ctx, Job)
                  : chooseWorker(Placer, Requirements,
                                 Ctx.State_.Options_.Placer_, Ctx.Now_);
    if (Chosen == Placer.Workers_.end())
      break;
    Answer.Tasks_.push_back(
        {.Task_ = Tasks.front(),
         .Worker_ = Chosen->first,
         .Holder_ = Chosen->second.Holder_,
         .FreeMilliCores_ = Chosen->second.Key_->FreeMilliCores_,
         .ViewAge_ = viewAge(Ctx, Chosen->second.Holder_)});
    const Room Amount =
        amountToReserve(Placer, Chosen->first, Job.Request_.Needs_, IsSuspect);
    addReservation(Placer, Chosen->first, Amount);
    Job.Reservations_.push_back({Tasks.front(), Chosen->first, Amount});
    Job.Suspects_.erase(Tasks.front());
    Tasks.erase(Tasks.begin());
  }
  if (Answer.Tasks_.empty())
    return;
  sendMessage(Ctx, Job.Origin_, std::move(Answer));
  recordPlacement(Ctx, Job);
}

// Refuses a job that would end after its caller has left.
static bool refuseIfOutOfTime(FleetStepContext &Ctx, const PlacerJobKey &Key) {
  const PlacerJob &Job = Ctx.State_.Placing_.Jobs_.at(Key);
  if (Ctx.Now_ + Job.Request_.Estimate_ <= Job.GiveUpAt_)
    return false;
  refuseJob(Ctx, Key, "too little time is left");
  return true;
}

// Does not refuse a job that has started: its work would be lost, and a worker
// may grow in time.
static bool refuseIfTooLarge(FleetStepContext &Ctx, const PlacerJobKey &Key) {
  const PlacerJob &Job = Ctx.State_.Placing_.Jobs_.at(Key);
  if (isStarted(Job) || !exceedsAllWorkers(Ctx.State_, Job))
    return false;
  refuseJob(Ctx, Key, whyExceedsAllWorkers(Ctx.State_),
            Ctx.State_.Options_.Placer_.Retry_.TooLargeRetryAfter_);
  return true;
}

// Tries to place the waiting tasks of a job, unless the pass has shown that
// this is not possible; returns whether tasks still wait.
static bool tryJob(FleetStepContext &Ctx, const PlacerJobKey &Key,
                   UnplaceableRequirements &Unplaceable) {
  PlacerJob &Job = Ctx.State_.Placing_.Jobs_.at(Key);
  const double MaxSlowness = maxSlowness(Job, Ctx.Now_);
  if (Unplaceable.covers(Job, MaxSlowness))
    return true;
  increment(Ctx.State_.Counters_, Counter::PlacementsTried);
  placeJob(Ctx, Job);
  const bool IsWaiting = !Job.Request_.Tasks_.empty();
  if (IsWaiting)
    Unplaceable.add(Job, MaxSlowness);
  removeIfDone(Ctx.State_.Placing_, Key);
  return IsWaiting;
}

static int64_t maxFreeMilliCores(const PlacerState &Placer) {
  const std::multiset<int64_t> &Free = Placer.OpenWorkers_.FreeCores_;
  return Free.empty() ? -1 : *Free.rbegin();
}

// Jobs with constraints that no free worker meets are tried in vain; the next
// tick tries all.
static constexpr uint32_t MaxTriesInVain = 32;

static void placeQueue(FleetStepContext &Ctx, WaitingQueue &Queue,
                       uint32_t MaxInVain,
                       UnplaceableRequirements &Unplaceable) {
  PlacerState &Placer = Ctx.State_.Placing_;
  uint32_t InVain = 0;
  auto Next = nextThatFits(Queue, maxFreeMilliCores(Placer));
  while (Next && InVain < MaxInVain) {
    if (tryJob(Ctx, Next->Key_, Unplaceable))
      ++InVain;
    Next = nextThatFits(Queue, maxFreeMilliCores(Placer), Next);
  }
}

static bool refusesLateJobs(const FleetStepContext &Ctx) {
  const PlacerState &Placer = Ctx.State_.Placing_;
  return refusesLateJobs(Placer.InTime_.Size_ + Placer.Unreviewed_.Size_,
                         Placer.Capacity_,
                         Ctx.State_.Options_.Placer_.Overload_, Ctx.Now_);
}

// Jobs that await a review would otherwise take the resources of admitted ones.
// While workers are being claimed, there are no reviews.
static bool placesUnreviewedJobs(const FleetStepContext &Ctx) {
  return Ctx.State_.Placing_.InTime_.Size_ == 0 || !isFleetBusy(Ctx) ||
         isSettling(Ctx);
}

static void placeAllJobs(FleetStepContext &Ctx, uint32_t MaxInVain) {
  PlacerState &Placer = Ctx.State_.Placing_;
  Placer.NewJobs_.clear();
  UnplaceableRequirements Unplaceable;
  placeQueue(Ctx, Placer.InTime_, MaxInVain, Unplaceable);
  if (placesUnreviewedJobs(Ctx))
    placeQueue(Ctx, Placer.Unreviewed_, MaxInVain, Unplaceable);
  if (!refusesLateJobs(Ctx))
    placeQueue(Ctx, Placer.Late_, MaxInVain, Unplaceable);
}

// Jobs that can still meet their objective, and jobs that have started, are
// placed first, ordered by their latest start with a lead for urgent ones; late
// jobs get the remaining resources. While no resources were released, only new
// jobs are tried: the others cannot be placed.
void placeTasks(FleetStepContext &Ctx) {
  PlacerState &Placer = Ctx.State_.Placing_;
  if (Placer.IsDirty_) {
    Placer.IsDirty_ = false;
    placeAllJobs(Ctx, MaxTriesInVain);
    return;
  }
  const std::vector<PlacerJobKey> Keys = std::exchange(Placer.NewJobs_, {});
  UnplaceableRequirements Unplaceable;
  for (const PlacerJobKey &Key : Keys) {
    const auto Job = Placer.Jobs_.find(Key);
    if (Job == Placer.Jobs_.end() || !Job->second.Waiting_)
      continue;
    if (refuseIfOutOfTime(Ctx, Key))
      continue;
    if (Job->second.IsAdmitted_ || placesUnreviewedJobs(Ctx))
      tryJob(Ctx, Key, Unplaceable);
  }
}

static void moveLateJobs(FleetStepContext &Ctx) {
  PlacerState &Placer = Ctx.State_.Placing_;
  for (auto &[Key, Job] : Placer.Jobs_) {
    if (!Job.Waiting_ || Job.IsLate_ || isStarted(Job) ||
        latestStart(Job) >= Ctx.Now_)
      continue;
    removeFromQueue(queueOf(Placer, Job), *Job.Waiting_);
    Job.IsLate_ = true;
    addToQueue(Placer.Late_, *Job.Waiting_);
  }
}

// Refuses jobs in time for which the work ahead of them leaves too little time.
static void refuseForecastLateJobs(FleetStepContext &Ctx) {
  PlacerState &Placer = Ctx.State_.Placing_;
  if (Placer.InTime_.Size_ == 0 || isSettling(Ctx))
    return;
  std::vector<ForecastJob> Jobs;
  for (auto Next = nextThatFits(Placer.InTime_, INT64_MAX); Next;
       Next = nextThatFits(Placer.InTime_, INT64_MAX, Next)) {
    const PlacerJob &Job = Placer.Jobs_.at(Next->Key_);
    Jobs.push_back({.Entry_ = *Next,
                    .Work_ = waitingWork(Job),
                    .IsStarted_ = isStarted(Job)});
  }
  const std::vector<PlacerJobKey> Late =
      forecastLateJobs(Jobs, milliCoresAtWork(Placer),
                       Ctx.State_.Options_.Placer_.Overload_, Ctx.Now_);
  for (const PlacerJobKey &Key : Late)
    refuseJob(Ctx, Key, "the work ahead takes too long");
}

// The jobs that are admitted are placed at the end of the step. While the fleet
// is not busy, those that wait for certain workers are refused when late.
static void refuseByLeastCost(FleetStepContext &Ctx) {
  if (isSettling(Ctx))
    return;
  for (const AdmissionRefusal &One : admitWaitingJobs(Ctx))
    refuseJob(Ctx, One.Key_, One.Why_);
}

void reviewWaitingJobs(FleetStepContext &Ctx) {
  PlacerState &Placer = Ctx.State_.Placing_;
  summarizeFleet(Ctx);
  reviewReturns(Ctx);
  moveLateJobs(Ctx);
  placeAllJobs(Ctx, UINT32_MAX);
  if (admitsByLeastCost(Ctx) && isFleetBusy(Ctx))
    refuseByLeastCost(Ctx);
  else
    refuseForecastLateJobs(Ctx);
  std::vector<PlacerJobKey> Waiting;
  for (const auto &[Key, Job] : Placer.Jobs_) {
    if (Job.Waiting_)
      Waiting.push_back(Key);
  }
  for (const PlacerJobKey &Key : Waiting) {
    if (refuseIfOutOfTime(Ctx, Key) || refuseIfTooLarge(Ctx, Key) ||
        !refusesLateJobs(Ctx))
      continue;
    const PlacerJob &Job = Placer.Jobs_.at(Key);
    if (Job.IsLate_ && !isStarted(Job))
      refuseJob(Ctx, Key, "late, while others can be in time");
  }
}

} // namespace marjorambend::internal
