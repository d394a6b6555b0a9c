/// \file
/// \brief Starts, tracks and stops runs on the workers that this instance
/// holds.

#include "marjorambend/src/Fleet/FleetStep.h"
#include "marjorambend/src/Fleet/HoldStep.h"

#include <algorithm>
#include <cmath>

namespace marjorambend::internal {

WorkerHold *findHold(FleetInstance &State, const std::string &Worker) {
  const auto Found = State.Holds_.find(Worker);
  return Found == State.Holds_.end() ? nullptr : &Found->second;
}

HeldRun *findRun(WorkerHold &Hold, const RunId &Id) {
  const auto Found = Hold.Runs_.find(Id);
  return Found == Hold.Runs_.end() ? nullptr : &Found->second;
}

WorkerTarget targetOf(const WorkerHold &Hold) {
  return {.Id_ = Hold.Report_.Id_,
          .Address_ = Hold.Report_.Address_,
          .Port_ = Hold.Report_.Port_,
          .Incarnation_ = Hold.Report_.Incarnation_,
          .FencingToken_ = Hold.FencingToken_};
}

// A worker may restart with other labels, another service or another capacity
// under its id. Until the list has been read again, the report is that of the
// previous incarnation and must not be used to place tasks.
static bool isReportCurrent(const WorkerHold &Hold) {
  return Hold.ListedIncarnation_ == 0 ||
         Hold.ListedIncarnation_ >= Hold.Report_.Incarnation_;
}

bool isOpen(const WorkerHold &Hold, Milliseconds Now) {
  return isReportCurrent(Hold) && Hold.Phase_ == HoldPhase::Open &&
         Hold.IsListed_ && !Hold.Report_.IsDraining_ && !Hold.IsClosing_ &&
         Hold.EjectedUntil_ <= Now;
}

// When the origin is known to have last needed the run; not set if nothing is
// known.
static std::optional<Milliseconds> lastNeededAt(const FleetStepContext &Ctx,
                                                const HeldRun &Run) {
  if (Run.LastNeededAt_)
    return Run.LastNeededAt_;
  if (Run.Origin_ == Ctx.State_.Self_.Run_)
    return Ctx.Now_;
  const auto Origin = Ctx.State_.Members_.find(Run.Origin_);
  if (Origin == Ctx.State_.Members_.end())
    return std::nullopt;
  return Origin->second.HeardAt_;
}

// A lease covers all runs of a worker, so it must not be renewed for other runs
// while the origin of one of them may be lost, or while a run that is no longer
// needed may not have received its stop.
bool canRenewLease(const FleetStepContext &Ctx, const WorkerHold &Hold) {
  const Milliseconds Timeout = Ctx.State_.Options_.Holder_.OriginTimeout_;
  return std::all_of(Hold.Runs_.begin(), Hold.Runs_.end(),
                     [&Ctx, Timeout](const auto &Entry) {
                       const HeldRun &Run = Entry.second;
                       const auto NeededAt = lastNeededAt(Ctx, Run);
                       return Run.IsStopConfirmed_ ||
                              (NeededAt && Ctx.Now_ - *NeededAt <= Timeout);
                     });
}

// The clock offset was measured on receipt of the worker's last answer, so the
// computed end is early by that answer's transmission time.
Milliseconds leaseEnd(const FleetStepContext &Ctx, const WorkerHold &Hold) {
  return Ctx.Now_ + *Hold.ClockOffset_ + Ctx.State_.Options_.Holder_.Lease_;
}

// A conservative upper bound, on this instance's clock.
Milliseconds latestLeaseEnd(const FleetStepContext &Ctx,
                            const WorkerHold &Hold) {
  const HolderOptions &Options = Ctx.State_.Options_.Holder_;
  const bool IsFenced = Hold.Phase_ == HoldPhase::Fenced;
  const Milliseconds Lease = IsFenced ? Options.MaxLease_ : Options.Lease_;
  const Milliseconds Slack{Lease.Count_ * Options.MaxClockDriftPercent_ / 100};
  return (IsFenced ? Hold.FencedAt_ : Hold.LeaseSentAt_) + Lease + Slack +
         Options.RetryDelay_;
}

Milliseconds leaseLeft(const FleetStepContext &Ctx, const WorkerHold &Hold) {
  const Milliseconds End =
      Hold.LeaseSentAt_ + Ctx.State_.Options_.Holder_.Lease_;
  return std::max(End - Ctx.Now_, Milliseconds{0});
}

void announceWorker(FleetStepContext &Ctx, WorkerHold &Hold) {
  Hold.WasAnnouncedOpen_ = isOpen(Hold, Ctx.Now_);
  Hold.AnnouncedSlowness_ = Hold.Slowness_;
  const WorkersHeld Message{{describeWorker(Hold, Ctx.Now_)},
                            Ctx.State_.HighestToken_};
  sendToCoordinators(Ctx, Message);
}

void announceIfChanged(FleetStepContext &Ctx, WorkerHold &Hold) {
  if (Hold.WasAnnouncedOpen_ != isOpen(Hold, Ctx.Now_))
    announceWorker(Ctx, Hold);
}

// Sends to the placer only, since no other instance uses these values.
void sendPaces(FleetStepContext &Ctx, PaceUpdate Which) {
  const double Change = Which == PaceUpdate::All
                            ? -1.0
                            : Ctx.State_.Options_.Holder_.MinAnnouncedChange_;
  WorkerPaces News;
  for (auto &[Id, Hold] : Ctx.State_.Holds_) {
    if (std::abs(Hold.Slowness_ - Hold.AnnouncedSlowness_) <=
        Change * Hold.AnnouncedSlowness_)
      continue;
    Hold.AnnouncedSlowness_ = Hold.Slowness_;
    News.Workers_.push_back({Id, Hold.Slowness_});
  }
  if (!News.Workers_.empty())
    sendMessage(Ctx, Ctx.State_.Placer_, std::move(News));
}

static void recordRunEnd(FleetStepContext &Ctx, WorkerHold &Hold,
                         const RunId &Id, const HeldRun &Run, RunEnd End) {
  const HolderOptions &Options = Ctx.State_.Options_.Holder_;
  if (End == RunEnd::Done) {
    Hold.ConsecutiveFailures_ = 0;
    observe(Ctx.State_.Times_.Runs_, Ctx.Now_ - Run.StartedAt_);
    const auto Ran = static_cast<double>((Ctx.Now_ - Run.StartedAt_).Count_);
    const auto Expected = static_cast<double>(Run.Estimate_.Count_);
    if (Expected <= 0 || Ran <= 0)
      return;
    const double Sample = std::log(Ran / Expected);
    const double Known = std::log(Hold.Slowness_);
    Hold.Slowness_ = std::exp(Known + Options.LearningRate_ * (Sample - Known));
    return;
  }
  if (End != RunEnd::Failed || Hold.LastFailedJob_ == Id.Job_)
    return;
  Hold.LastFailedJob_ = Id.Job_;
  countFailure(Ctx, Hold, "runs fail");
}

void countFailure(FleetStepContext &Ctx, WorkerHold &Hold,
                  std::string_view Why) {
  const HolderOptions &Options = Ctx.State_.Options_.Holder_;
  if (++Hold.ConsecutiveFailures_ < Options.EjectAfter_)
    return;
  // A single further failure after the ejection ejects the worker again.
  Hold.ConsecutiveFailures_ = Options.EjectAfter_ - 1;
  Hold.EjectedUntil_ = Ctx.Now_ + Options.EjectionTime_;
  increment(Ctx.State_.Counters_, Counter::WorkersEjected);
  log(Ctx, "worker_ejected", 0,
      {{"worker", Hold.Report_.Id_},
       {"why", std::string(Why)},
       {"for_ms", toString(Options.EjectionTime_)}});
}

// Takes the identity by value: a reference might be to the key that is erased.
void finishRun(FleetStepContext &Ctx, WorkerHold &Hold, RunId Id, RunEnd End) {
  const auto Found = Hold.Runs_.find(Id);
  if (Found == Hold.Runs_.end())
    return;
  const HeldRun Run = Found->second;
  Hold.Runs_.erase(Found);
  Hold.Used_ = Hold.Used_ - Run.Needs_;
  recordRunEnd(Ctx, Hold, Id, Run, End);
  const bool IsOriginReachable = Run.Origin_ == Ctx.State_.Self_.Run_ ||
                                 Ctx.State_.Members_.contains(Run.Origin_);
  if (IsOriginReachable)
    sendMessage(Ctx, Run.Origin_,
                RunEnded{.Job_ = Run.Job_,
                         .Run_ = Id,
                         .Worker_ = Hold.Report_.Id_,
                         .End_ = End,
                         .Ran_ = Run.StartedAt_.Count_ == 0
                                     ? Milliseconds{0}
                                     : Ctx.Now_ - Run.StartedAt_});
  announceIfChanged(Ctx, Hold);
}

template <typename Condition>
static void endRunsAsLost(FleetStepContext &Ctx, WorkerHold &Hold,
                          Condition IsSelected) {
  std::vector<RunId> Selected;
  for (const auto &[Id, Run] : Hold.Runs_) {
    if (IsSelected(Run))
      Selected.push_back(Id);
  }
  for (const RunId &Id : Selected)
    finishRun(Ctx, Hold, Id, RunEnd::Lost);
}

void loseAllRuns(FleetStepContext &Ctx, WorkerHold &Hold) {
  endRunsAsLost(Ctx, Hold, [](const HeldRun &) { return true; });
}

// An unconfirmed start may still be carried out, also by the next incarnation
// of the worker. It is lost once a poll with the next token does not list it,
// since from then on the worker rejects the order's older token.
void awaitNextToken(WorkerHold &Hold) {
  for (auto &[Id, Run] : Hold.Runs_) {
    if (Run.IsStartUnconfirmed_)
      Run.FirstConclusivePoll_ = Hold.NextPoll_;
  }
}

void loseStartedRuns(FleetStepContext &Ctx, WorkerHold &Hold) {
  endRunsAsLost(Ctx, Hold,
                [](const HeldRun &Run) { return !Run.IsStartUnconfirmed_; });
  for (auto &[Id, Run] : Hold.Runs_)
    Run.Phase_ = RunPhase::Stopping;
  awaitNextToken(Hold);
}

void loseExpiredStarts(FleetStepContext &Ctx, WorkerHold &Hold) {
  const Milliseconds Oldest =
      Ctx.Now_ - Ctx.State_.Options_.Holder_.MaxOrderDelay_;
  endRunsAsLost(Ctx, Hold, [Oldest](const HeldRun &Run) {
    return Run.IsStartUnconfirmed_ && Run.OrderedAt_ < Oldest;
  });
}

static void refuseStart(FleetStepContext &Ctx, Incarnation Origin, uint64_t Job,
                        const OrderedRun &Wanted, std::string_view Why) {
  increment(Ctx.State_.Counters_, Counter::StartsRefused);
  log(Ctx, "start_refused", Wanted.Run_.Job_,
      {{"task", std::to_string(Wanted.Run_.Task_)},
       {"worker", Wanted.Worker_},
       {"why", std::string(Why)}});
  sendMessage(Ctx, Origin,
              RunEnded{.Job_ = Job,
                       .Run_ = Wanted.Run_,
                       .Worker_ = Wanted.Worker_,
                       .End_ = RunEnd::NotStarted});
}

void sendStart(FleetStepContext &Ctx, WorkerHold &Hold, const RunId &Id,
               const HeldRun &Run) {
  Hold.LeaseSentAt_ = Ctx.Now_;
  Ctx.Out_.push_back(StartRun{.Worker_ = targetOf(Hold),
                              .Run_ = Id,
                              .Spec_ = Run.Spec_,
                              .LeaseEnd_ = leaseEnd(Ctx, Hold)});
}

// The placer observes the limit as well, but may lack a reservation: one that
// another placer made while both were believed in, or one that its origin
// released before it learnt that the run goes on.
static bool runsMaxTasks(const WorkerHold &Hold, uint64_t Job,
                         uint32_t MaxPerWorker) {
  if (MaxPerWorker == 0)
    return false;
  const auto Count = std::count_if(
      Hold.Runs_.begin(), Hold.Runs_.end(),
      [Job](const auto &Entry) { return Entry.first.Job_ == Job; });
  return Count >= static_cast<std::ptrdiff_t>(MaxPerWorker);
}

static void startRun(FleetStepContext &Ctx, Incarnation Origin,
                     const StartOrder &Order, const OrderedRun &Wanted) {
  WorkerHold *Found = findHold(Ctx.State_, Wanted.Worker_);
  if (Found == nullptr) {
    refuseStart(Ctx, Origin, Order.Job_, Wanted, "the worker is not held here");
    return;
  }
  if (Ctx.Now_ < Ctx.State_.PauseSettledAt_) {
    refuseStart(Ctx, Origin, Order.Job_, Wanted, "just after a pause");
    return;
  }
  WorkerHold &Hold = *Found;
  if (isEvacuated(Ctx.State_.Evacuations_, Hold.Report_.DataCentre_)) {
    refuseStart(Ctx, Origin, Order.Job_, Wanted,
                "the data centre is evacuated");
    return;
  }
  if (!isOpen(Hold, Ctx.Now_) || !Hold.ClockOffset_ ||
      !canRenewLease(Ctx, Hold)) {
    refuseStart(Ctx, Origin, Order.Job_, Wanted,
                "the worker takes no new runs");
    return;
  }
  if (runsMaxTasks(Hold, Wanted.Run_.Job_, Order.MaxPerWorker_)) {
    refuseStart(Ctx, Origin, Order.Job_, Wanted,
                "the worker runs as many tasks of the job as it may");
    return;
  }
  if (!fits(Order.Needs_, usableCapacity(Hold) - Hold.Used_)) {
    refuseStart(Ctx, Origin, Order.Job_, Wanted, "no room");
    return;
  }
  const auto [Started, IsNew] =
      Hold.Runs_.try_emplace(Wanted.Run_, HeldRun{.Job_ = Order.Job_,
                                                  .Origin_ = Origin,
                                                  .Needs_ = Order.Needs_,
                                                  .Estimate_ = Order.Estimate_,
                                                  .Spec_ = Order.Spec_,
                                                  .OrderedAt_ = Ctx.Now_,
                                                  .ProgressAt_ = Ctx.Now_});
  if (!IsNew) {
    refuseStart(Ctx, Origin, Order.Job_, Wanted, "the run is there already");
    return;
  }
  Hold.Used_ = Hold.Used_ + Order.Needs_;
  increment(Ctx.State_.Counters_, Counter::TasksStarted);
  log(Ctx, "run_start", Wanted.Run_.Job_,
      {{"task", std::to_string(Wanted.Run_.Task_)},
       {"attempt", std::to_string(Wanted.Run_.Attempt_)},
       {"worker", Wanted.Worker_},
       {"life", std::to_string(Hold.Report_.Incarnation_)},
       {"used_m", std::to_string(Hold.Used_.MilliCores_)},
       {"lease_left_ms", toString(leaseLeft(Ctx, Hold))},
       {"answer_age_ms", toString(Ctx.Now_ - Hold.AnsweredAt_)},
       {"slowness_pct",
        std::to_string(static_cast<int>(Hold.Slowness_ * 100))}});
  sendStart(Ctx, Hold, Wanted.Run_, Started->second);
  pollSoon(Ctx, Hold);
}

void startRuns(FleetStepContext &Ctx, Incarnation Origin,
               const StartOrder &Order) {
  for (const OrderedRun &Wanted : Order.Runs_)
    startRun(Ctx, Origin, Order, Wanted);
}

void sendStop(FleetStepContext &Ctx, WorkerHold &Hold, const RunId &Id,
              HeldRun &Run) {
  Run.Phase_ = RunPhase::Stopping;
  if (Run.IsStopInFlight_)
    return;
  Run.IsStopInFlight_ = true;
  if (Run.StopSentAt_.Count_ == 0)
    Run.StopSentAt_ = Ctx.Now_;
  Ctx.Out_.push_back(StopRun{targetOf(Hold), Id});
}

void stopRun(FleetStepContext &Ctx, const StopOrder &Order) {
  WorkerHold *Hold = findHold(Ctx.State_, Order.Worker_);
  HeldRun *Run = Hold == nullptr ? nullptr : findRun(*Hold, Order.Run_);
  if (Run == nullptr)
    return;
  Run->LastNeededAt_ = lastNeededAt(Ctx, *Run);
  if (Run->Phase_ != RunPhase::Stopping)
    sendStop(Ctx, *Hold, Order.Run_, *Run);
}

void stopRunsOfOrigin(FleetStepContext &Ctx, Incarnation Origin,
                      Milliseconds LastMessage) {
  for (auto &[Id, Hold] : Ctx.State_.Holds_) {
    for (auto &[Key, Run] : Hold.Runs_) {
      if (Run.Origin_ != Origin)
        continue;
      if (!Run.LastNeededAt_)
        Run.LastNeededAt_ = LastMessage;
      if (Run.Phase_ != RunPhase::Stopping)
        sendStop(Ctx, Hold, Key, Run);
    }
  }
}

void updateClockOffset(FleetStepContext &Ctx, WorkerHold &Hold,
                       std::optional<Milliseconds> Clock) {
  if (!Clock)
    return;
  Hold.ClockOffset_ = *Clock - Ctx.Now_;
  Hold.AnsweredAt_ = Ctx.Now_;
}

} // namespace marjorambend::internal
