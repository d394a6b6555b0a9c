/// \file
/// \brief Runs on the workers that this instance holds.

#include "marjorambend/src/Fleet/FleetStep.h"
#include "marjorambend/src/Fleet/HoldStep.h"

#include <cmath>

namespace marjorambend::internal {

WorkerTarget targetOf(const WorkerHold &Hold) {
  return {.Id_ = Hold.Report_.Id_,
          .Address_ = Hold.Report_.Address_,
          .Port_ = Hold.Report_.Port_,
          .Life_ = Hold.Report_.Life_,
          .Fence_ = Hold.Fence_};
}

bool isOpen(const WorkerHold &Hold, Milliseconds Now) {
  return Hold.Phase_ == HoldPhase::Open && Hold.IsListed_ &&
         !Hold.Report_.IsDraining_ && !Hold.IsClosing_ &&
         Hold.EjectedUntil_ <= Now;
}

// A lease holds for all runs of a worker. One that is renewed for the sake of
// others must not keep those of an origin that is gone.
bool isRenewable(const FleetTurn &T, const WorkerHold &Hold) {
  const FleetInstance &State = T.State_;
  for (const auto &[Id, Run] : Hold.Runs_) {
    if (Run.Origin_ == State.Self_.Run_ || Run.Phase_ == RunPhase::Stopping)
      continue;
    const auto Origin = State.Members_.find(Run.Origin_);
    if (Origin == State.Members_.end() ||
        T.Now_ - Origin->second.HeardAt_ >
            State.Options_.Holder_.OriginSilence_)
      return false;
  }
  return true;
}

// The offset is taken at the worker's last answer, so that the end lies a
// little earlier than it could.
Milliseconds leaseEnd(const FleetTurn &T, const WorkerHold &Hold) {
  return T.Now_ + *Hold.ClockOffset_ + T.State_.Options_.Holder_.Lease_;
}

// On our clock, and late rather than early.
Milliseconds leaseSurelyOver(const FleetTurn &T, const WorkerHold &Hold) {
  const HolderOptions &Options = T.State_.Options_.Holder_;
  const int64_t Slack =
      Options.Lease_.Count_ * Options.ClockSlackPercent_ / 100;
  return Hold.LeaseSentAt_ + Options.Lease_ + Milliseconds{Slack} +
         Options.RetryPause_;
}

void tellHold(FleetTurn &T, WorkerHold &Hold) {
  Hold.WasToldOpen_ = isOpen(Hold, T.Now_);
  Hold.ToldSlowness_ = Hold.Slowness_;
  const WorkersHeld Message{{{.Report_ = Hold.Report_,
                              .IsOpen_ = Hold.WasToldOpen_,
                              .Slowness_ = Hold.Slowness_}}};
  tellAll(T, Message);
  tell(T, T.State_.Self_.Run_, Message);
}

void tellIfChanged(FleetTurn &T, WorkerHold &Hold) {
  const double Change =
      std::abs(Hold.Slowness_ - Hold.ToldSlowness_) / Hold.ToldSlowness_;
  if (Hold.WasToldOpen_ != isOpen(Hold, T.Now_) ||
      Change > T.State_.Options_.Holder_.TellChange_)
    tellHold(T, Hold);
}

static void learnFromEnd(FleetTurn &T, WorkerHold &Hold, const RunId &Id,
                         const HeldRun &Run, RunEnd End) {
  const HolderOptions &Options = T.State_.Options_.Holder_;
  if (End == RunEnd::Done) {
    Hold.BadInRow_ = 0;
    observe(T.State_.Times_.Runs_, T.Now_ - Run.StartedAt_);
    const auto Ran = static_cast<double>((T.Now_ - Run.StartedAt_).Count_);
    const auto Expected = static_cast<double>(Run.Estimate_.Count_);
    if (Expected <= 0 || Ran <= 0)
      return;
    const double Sample = std::log(Ran / Expected);
    const double Known = std::log(Hold.Slowness_);
    Hold.Slowness_ = std::exp(Known + Options.LearningRate_ * (Sample - Known));
    return;
  }
  if (End != RunEnd::Failed || Hold.LastBadJob_ == Id.Job_)
    return;
  Hold.LastBadJob_ = Id.Job_;
  blameHold(T, Hold, "runs fail");
}

void blameHold(FleetTurn &T, WorkerHold &Hold, std::string_view Why) {
  const HolderOptions &Options = T.State_.Options_.Holder_;
  if (++Hold.BadInRow_ < Options.EjectAfter_)
    return;
  // One more bad end after the ejection ejects it again.
  Hold.BadInRow_ = Options.EjectAfter_ - 1;
  Hold.EjectedUntil_ = T.Now_ + Options.Ejection_;
  increment(T.State_.Counters_, Counter::WorkersEjected);
  log(T, "worker_ejected", 0,
      {{"worker", Hold.Report_.Id_},
       {"why", std::string(Why)},
       {"for_ms", text(Options.Ejection_)}});
}

// The identity is a copy: the caller's may be the key that is erased here.
void finishRun(FleetTurn &T, WorkerHold &Hold, RunId Id, RunEnd End) {
  const auto Found = Hold.Runs_.find(Id);
  if (Found == Hold.Runs_.end())
    return;
  const HeldRun Run = Found->second;
  Hold.Runs_.erase(Found);
  Hold.Used_ = Hold.Used_ - Run.Needs_;
  learnFromEnd(T, Hold, Id, Run, End);
  const bool IsOriginThere = Run.Origin_ == T.State_.Self_.Run_ ||
                             T.State_.Members_.contains(Run.Origin_);
  if (IsOriginThere)
    tell(T, Run.Origin_,
         RunEnded{.Job_ = Run.Job_,
                  .Run_ = Id,
                  .Worker_ = Hold.Report_.Id_,
                  .End_ = End,
                  .Ran_ = Run.StartedAt_.Count_ == 0
                              ? Milliseconds{0}
                              : T.Now_ - Run.StartedAt_});
  tellIfChanged(T, Hold);
}

void finishAllRuns(FleetTurn &T, WorkerHold &Hold, RunEnd End) {
  while (!Hold.Runs_.empty())
    finishRun(T, Hold, Hold.Runs_.begin()->first, End);
}

// A start without an answer may still be carried out, by the next life of the
// worker too. It is over once a look with the next token, which that life then
// knows, does not list it.
void awaitNextToken(WorkerHold &Hold) {
  for (auto &[Id, Run] : Hold.Runs_) {
    if (Run.IsStartOpen_)
      Run.SettledBy_ = Hold.NextLook_;
  }
}

void finishRunsOfLife(FleetTurn &T, WorkerHold &Hold) {
  std::vector<RunId> Over;
  for (auto &[Id, Run] : Hold.Runs_) {
    if (Run.IsStartOpen_)
      Run.Phase_ = RunPhase::Stopping;
    else
      Over.push_back(Id);
  }
  for (const RunId &Id : Over)
    finishRun(T, Hold, Id, RunEnd::Lost);
  awaitNextToken(Hold);
}

void finishOldOrders(FleetTurn &T, WorkerHold &Hold) {
  const Milliseconds Oldest =
      T.Now_ - T.State_.Options_.Holder_.LateOrderBound_;
  std::vector<RunId> Over;
  for (const auto &[Id, Run] : Hold.Runs_) {
    if (Run.IsStartOpen_ && Run.OrderedAt_ < Oldest)
      Over.push_back(Id);
  }
  for (const RunId &Id : Over)
    finishRun(T, Hold, Id, RunEnd::Lost);
}

static void refuseStart(FleetTurn &T, Incarnation Origin,
                        const StartOrder &Order, std::string_view Why) {
  increment(T.State_.Counters_, Counter::StartsRefused);
  log(T, "start_refused", Order.Run_.Job_,
      {{"task", std::to_string(Order.Run_.Task_)},
       {"worker", Order.Worker_},
       {"why", std::string(Why)}});
  tell(T, Origin,
       RunEnded{.Job_ = Order.Job_,
                .Run_ = Order.Run_,
                .Worker_ = Order.Worker_,
                .End_ = RunEnd::NotStarted});
}

void startRun(FleetTurn &T, Incarnation Origin, const StartOrder &Order) {
  const auto Found = T.State_.Holds_.find(Order.Worker_);
  if (Found == T.State_.Holds_.end()) {
    refuseStart(T, Origin, Order, "the worker is not held here");
    return;
  }
  if (T.Now_ < T.State_.PauseSettledAt_) {
    refuseStart(T, Origin, Order, "just after a pause");
    return;
  }
  WorkerHold &Hold = Found->second;
  if (!isOpen(Hold, T.Now_) || !Hold.ClockOffset_ || !isRenewable(T, Hold)) {
    refuseStart(T, Origin, Order, "the worker takes no new runs");
    return;
  }
  if (!fits(Order.Needs_, Hold.Report_.Capacity_ - Hold.Used_)) {
    refuseStart(T, Origin, Order, "no room");
    return;
  }
  if (!Hold.Runs_
           .try_emplace(Order.Run_, HeldRun{.Job_ = Order.Job_,
                                            .Origin_ = Origin,
                                            .Needs_ = Order.Needs_,
                                            .Estimate_ = Order.Estimate_,
                                            .Spec_ = Order.Spec_,
                                            .OrderedAt_ = T.Now_,
                                            .ProgressAt_ = T.Now_})
           .second) {
    refuseStart(T, Origin, Order, "the run is there already");
    return;
  }
  Hold.Used_ = Hold.Used_ + Order.Needs_;
  Hold.LeaseSentAt_ = T.Now_;
  increment(T.State_.Counters_, Counter::TasksStarted);
  log(T, "run_start", Order.Run_.Job_,
      {{"task", std::to_string(Order.Run_.Task_)},
       {"attempt", std::to_string(Order.Run_.Attempt_)},
       {"worker", Order.Worker_},
       {"life", std::to_string(Hold.Report_.Life_)},
       {"used_m", std::to_string(Hold.Used_.MilliCores_)},
       {"slowness_pct",
        std::to_string(static_cast<int>(Hold.Slowness_ * 100))}});
  T.Out_.push_back(StartRun{.Worker_ = targetOf(Hold),
                            .Run_ = Order.Run_,
                            .Spec_ = Order.Spec_,
                            .LeaseEnd_ = leaseEnd(T, Hold)});
  lookSoon(T, Hold);
}

void sendStop(FleetTurn &T, WorkerHold &Hold, const RunId &Id, HeldRun &Run) {
  Run.Phase_ = RunPhase::Stopping;
  if (Run.IsStopSent_)
    return;
  Run.IsStopSent_ = true;
  T.Out_.push_back(StopRun{targetOf(Hold), Id});
}

void stopRun(FleetTurn &T, const StopOrder &Order) {
  const auto Found = T.State_.Holds_.find(Order.Worker_);
  if (Found == T.State_.Holds_.end())
    return;
  const auto Run = Found->second.Runs_.find(Order.Run_);
  if (Run == Found->second.Runs_.end() ||
      Run->second.Phase_ == RunPhase::Stopping)
    return;
  sendStop(T, Found->second, Order.Run_, Run->second);
}

void stopRunsOf(FleetTurn &T, Incarnation Origin) {
  for (auto &[Id, Hold] : T.State_.Holds_) {
    for (auto &[Run, State] : Hold.Runs_) {
      if (State.Origin_ == Origin && State.Phase_ != RunPhase::Stopping)
        sendStop(T, Hold, Run, State);
    }
  }
}

void noteClock(FleetTurn &T, WorkerHold &Hold,
               std::optional<Milliseconds> Clock) {
  if (Clock)
    Hold.ClockOffset_ = *Clock - T.Now_;
}

// The next look will show whether the run is there.
static void settleRun(WorkerHold &Hold, HeldRun &Run) {
  Run.SettledBy_ = Hold.NextLook_;
}

static bool mayRepeatStart(const FleetTurn &T, const WorkerHold &Hold,
                           const HeldRun &Run) {
  // Not after a pause: the origin may have given the job up since.
  const bool IsRecent =
      T.Now_ >= T.State_.PauseSettledAt_ &&
      T.Now_ - Run.OrderedAt_ <= T.State_.Options_.Holder_.OriginSilence_;
  return IsRecent && !Run.IsRepeated_ && Run.Phase_ == RunPhase::Starting &&
         Hold.Phase_ == HoldPhase::Open && isRenewable(T, Hold);
}

// Load pattern: a share of the orders gets no answer and is carried out seconds
// later. The same order passes once more, since a worker starts a run only
// once; without it the task would wait for a stop and a look.
static void repeatStart(FleetTurn &T, WorkerHold &Hold, const RunId &Id,
                        HeldRun &Run) {
  Run.IsRepeated_ = true;
  Hold.LeaseSentAt_ = T.Now_;
  T.Out_.push_back(StartRun{.Worker_ = targetOf(Hold),
                            .Run_ = Id,
                            .Spec_ = Run.Spec_,
                            .LeaseEnd_ = leaseEnd(T, Hold)});
}

// The first order may still be carried out, or has been.
static bool applyRepeatedStart(FleetTurn &T, WorkerHold &Hold, const RunId &Id,
                               HeldRun &Run, OrderResult Result) {
  switch (Result) {
  case OrderResult::Superseded:
    // It has run; the lists tell how it ended.
    settleRun(Hold, Run);
    lookSoon(T, Hold);
    return true;
  case OrderResult::Invalid:
  case OrderResult::Unhealthy:
  case OrderResult::NotDelivered:
  case OrderResult::Late:
  case OrderResult::NoRoom:
    sendStop(T, Hold, Id, Run);
    return true;
  default:
    return false;
  }
}

static void applyStart(FleetTurn &T, WorkerHold &Hold, const RunId &Id,
                       HeldRun &Run, OrderResult Result) {
  if (Run.IsRepeated_ && applyRepeatedStart(T, Hold, Id, Run, Result))
    return;
  switch (Result) {
  case OrderResult::Accepted:
    Run.StartedAt_ = T.Now_;
    Run.IsStartOpen_ = Run.IsRepeated_;
    Run.Spec_.clear();
    observe(T.State_.Times_.Starts_, T.Now_ - Run.OrderedAt_);
    settleRun(Hold, Run);
    if (Run.Phase_ == RunPhase::Starting)
      Run.Phase_ = RunPhase::Running;
    return;
  case OrderResult::Superseded:
    finishRun(T, Hold, Id, RunEnd::Superseded);
    return;
  case OrderResult::Invalid:
    finishRun(T, Hold, Id, RunEnd::Failed);
    return;
  case OrderResult::Unhealthy:
    blameHold(T, Hold, "starts are refused as unhealthy");
    finishRun(T, Hold, Id, RunEnd::NotStarted);
    return;
  case OrderResult::NotDelivered:
  case OrderResult::Late:
  case OrderResult::NoRoom:
    finishRun(T, Hold, Id, RunEnd::NotStarted);
    return;
  case OrderResult::Unknown:
    // It may start at any time until its lease is over; a stop forbids it.
    if (mayRepeatStart(T, Hold, Run))
      repeatStart(T, Hold, Id, Run);
    else
      sendStop(T, Hold, Id, Run);
    return;
  case OrderResult::Fenced:
    loseToFence(T, Hold);
    return;
  case OrderResult::OtherLife:
    endLife(T, Hold);
    return;
  }
}

void takeStartAnswer(FleetTurn &T, const StartAnswered &Answer) {
  const auto Found = T.State_.Holds_.find(Answer.Worker_);
  if (Found == T.State_.Holds_.end())
    return;
  WorkerHold &Hold = Found->second;
  noteClock(T, Hold, Answer.WorkerClock_);
  const auto Run = Hold.Runs_.find(Answer.Run_);
  if (Run == Hold.Runs_.end())
    return;
  if (Answer.Result_ != OrderResult::Accepted) {
    increment(T.State_.Counters_, Counter::StartsRejected);
    log(T, "start_rejected", Answer.Run_.Job_,
        {{"task", std::to_string(Answer.Run_.Task_)},
         {"attempt", std::to_string(Answer.Run_.Attempt_)},
         {"worker", Answer.Worker_},
         {"result", nameOf(Answer.Result_)},
         {"after_ms", text(T.Now_ - Run->second.OrderedAt_)}});
  }
  applyStart(T, Hold, Answer.Run_, Run->second, Answer.Result_);
}

void takeStopAnswer(FleetTurn &T, const StopAnswered &Answer) {
  const auto Found = T.State_.Holds_.find(Answer.Worker_);
  if (Found == T.State_.Holds_.end())
    return;
  WorkerHold &Hold = Found->second;
  noteClock(T, Hold, Answer.WorkerClock_);
  const auto Run = Hold.Runs_.find(Answer.Run_);
  if (Run == Hold.Runs_.end())
    return;
  Run->second.IsStopSent_ = false;
  switch (Answer.Result_) {
  case OrderResult::Fenced:
    loseToFence(T, Hold);
    return;
  case OrderResult::OtherLife:
    endLife(T, Hold);
    return;
  case OrderResult::Unknown:
  case OrderResult::NotDelivered:
  case OrderResult::Unhealthy:
    Run->second.NextStop_ = T.Now_ + T.State_.Options_.Holder_.RetryPause_;
    return;
  default:
    settleRun(Hold, Run->second);
    Run->second.NextStop_ = {INT64_MAX};
    lookSoon(T, Hold);
  }
}

} // namespace marjorambend::internal
