/// \file
/// \brief Handles the answers of workers to start and stop orders.

#include "marjorambend/src/Fleet/HoldStep.h"

#include <utility>

namespace marjorambend::internal {

// The next poll shows whether the worker has the run.
static void awaitNextPoll(WorkerHold &Hold, HeldRun &Run) {
  Run.FirstConclusivePoll_ = Hold.NextPoll_;
}

static bool canRepeatStart(const FleetStepContext &Ctx, const WorkerHold &Hold,
                           const HeldRun &Run) {
  // Does not repeat the order after a pause of this process: the origin may
  // have given up the job in the meantime.
  const bool IsRecent =
      Ctx.Now_ >= Ctx.State_.PauseSettledAt_ &&
      Ctx.Now_ - Run.OrderedAt_ <= Ctx.State_.Options_.Holder_.OriginTimeout_;
  // Does not repeat it either once a poll is to show whether the run was lost
  // with the incarnation that the order was sent to.
  return IsRecent && !Run.IsRepeated_ && Run.FirstConclusivePoll_ == 0 &&
         !isEvacuated(Ctx.State_.Evacuations_, Hold.Report_.DataCentre_) &&
         Run.Phase_ == RunPhase::Starting && Hold.Phase_ == HoldPhase::Open &&
         canRenewLease(Ctx, Hold);
}

// Load pattern: some orders get no answer and are carried out seconds later.
// Repeating the order is safe, since a worker starts a run only once; otherwise
// the task would have to wait for a stop and a poll.
static void repeatStart(FleetStepContext &Ctx, WorkerHold &Hold,
                        const RunId &Id, HeldRun &Run) {
  Run.IsRepeated_ = true;
  log(Ctx, "start_repeated", Id.Job_,
      {{"task", std::to_string(Id.Task_)},
       {"attempt", std::to_string(Id.Attempt_)},
       {"worker", Hold.Report_.Id_},
       {"after_ms", toString(Ctx.Now_ - Run.OrderedAt_)}});
  sendStart(Ctx, Hold, Id, Run);
}

// Handles the answer to a repeated start; the first order may have been carried
// out or may still be.
static bool applyRepeatedStart(FleetStepContext &Ctx, WorkerHold &Hold,
                               const RunId &Id, HeldRun &Run,
                               OrderResult Result) {
  switch (Result) {
  case OrderResult::Superseded:
    // The run is over; the worker's lists show how it ended.
    awaitNextPoll(Hold, Run);
    pollSoon(Ctx, Hold);
    return true;
  case OrderResult::Invalid:
  case OrderResult::Unhealthy:
  case OrderResult::NotDelivered:
  case OrderResult::Late:
  case OrderResult::NoRoom:
    sendStop(Ctx, Hold, Id, Run);
    return true;
  default:
    return false;
  }
}

static void applyStart(FleetStepContext &Ctx, WorkerHold &Hold, const RunId &Id,
                       HeldRun &Run, OrderResult Result) {
  if (handleWorkerLoss(Ctx, Hold, Result))
    return;
  if (Run.IsRepeated_ && applyRepeatedStart(Ctx, Hold, Id, Run, Result))
    return;
  switch (Result) {
  case OrderResult::Accepted:
    Run.StartedAt_ = Ctx.Now_;
    Run.IsStartUnconfirmed_ = Run.IsRepeated_;
    Run.Spec_.clear();
    observe(Ctx.State_.Times_.Starts_, Ctx.Now_ - Run.OrderedAt_);
    awaitNextPoll(Hold, Run);
    if (Run.Phase_ == RunPhase::Starting)
      Run.Phase_ = RunPhase::Running;
    return;
  case OrderResult::Superseded:
    finishRun(Ctx, Hold, Id, RunEnd::Superseded);
    return;
  case OrderResult::Invalid:
    finishRun(Ctx, Hold, Id, RunEnd::Failed);
    return;
  case OrderResult::Unhealthy:
    countFailure(Ctx, Hold, "starts are refused as unhealthy");
    finishRun(Ctx, Hold, Id, RunEnd::NotStarted);
    return;
  case OrderResult::NotDelivered:
  case OrderResult::Late:
  case OrderResult::NoRoom:
    finishRun(Ctx, Hold, Id, RunEnd::NotStarted);
    return;
  case OrderResult::Unknown:
    // The run may start at any time until its lease ends; a stop prevents that.
    if (canRepeatStart(Ctx, Hold, Run))
      repeatStart(Ctx, Hold, Id, Run);
    else
      sendStop(Ctx, Hold, Id, Run);
    return;
  case OrderResult::Fenced:
  case OrderResult::OtherIncarnation:
    return; // The worker is lost.
  }
}

// Returns the worker and the run that an answer refers to; the run is nullptr
// if the worker is not held or does not have the run.
static std::pair<WorkerHold *, HeldRun *>
findRunOfAnswer(FleetStepContext &Ctx, const std::string &Worker,
                const RunId &Id, std::optional<Milliseconds> Clock) {
  WorkerHold *Hold = findHold(Ctx.State_, Worker);
  if (Hold == nullptr)
    return {};
  updateClockOffset(Ctx, *Hold, Clock);
  return {Hold, findRun(*Hold, Id)};
}

void handleStartAnswer(FleetStepContext &Ctx, const StartAnswered &Answer) {
  const auto [Hold, Run] =
      findRunOfAnswer(Ctx, Answer.Worker_, Answer.Run_, Answer.WorkerClock_);
  if (Run == nullptr)
    return;
  if (Answer.Result_ != OrderResult::Accepted) {
    increment(Ctx.State_.Counters_, Counter::StartsRejected);
    log(Ctx, "start_rejected", Answer.Run_.Job_,
        {{"task", std::to_string(Answer.Run_.Task_)},
         {"attempt", std::to_string(Answer.Run_.Attempt_)},
         {"worker", Answer.Worker_},
         {"result", nameOf(Answer.Result_)},
         {"after_ms", toString(Ctx.Now_ - Run->OrderedAt_)}});
  }
  if (Answer.Result_ == OrderResult::NoRoom)
    limitCapacity(Ctx, *Hold);
  applyStart(Ctx, *Hold, Answer.Run_, *Run, Answer.Result_);
}

void handleStopAnswer(FleetStepContext &Ctx, const StopAnswered &Answer) {
  const auto [Hold, Run] =
      findRunOfAnswer(Ctx, Answer.Worker_, Answer.Run_, Answer.WorkerClock_);
  if (Run == nullptr)
    return;
  Run->IsStopInFlight_ = false;
  if (handleWorkerLoss(Ctx, *Hold, Answer.Result_))
    return;
  switch (Answer.Result_) {
  case OrderResult::Unknown:
  case OrderResult::NotDelivered:
  case OrderResult::Unhealthy:
    log(Ctx, "stop_unconfirmed", Answer.Run_.Job_,
        {{"task", std::to_string(Answer.Run_.Task_)},
         {"attempt", std::to_string(Answer.Run_.Attempt_)},
         {"worker", Answer.Worker_},
         {"result", nameOf(Answer.Result_)},
         {"after_ms", toString(Ctx.Now_ - Run->StopSentAt_)},
         {"lease_left_ms", toString(leaseLeft(Ctx, *Hold))}});
    Run->NextStopAt_ = Ctx.Now_ + Ctx.State_.Options_.Holder_.RetryDelay_;
    return;
  default:
    Run->IsStopConfirmed_ = true;
    awaitNextPoll(*Hold, *Run);
    Run->NextStopAt_ = {INT64_MAX};
    pollSoon(Ctx, *Hold);
  }
}

} // namespace marjorambend::internal
