/// \file
/// \brief How workers answer orders to start and stop runs.

#include "marjorambend/src/Fleet/HoldStep.h"

#include <utility>

namespace marjorambend::internal {

// The next look will show whether the run is there.
static void settleRun(WorkerHold &Hold, HeldRun &Run) {
  Run.FirstConclusivePoll_ = Hold.NextPoll_;
}

static bool mayRepeatStart(const FleetStepContext &Ctx, const WorkerHold &Hold,
                           const HeldRun &Run) {
  // Not after a pause: the origin may have given the job up since.
  const bool IsRecent =
      Ctx.Now_ >= Ctx.State_.PauseSettledAt_ &&
      Ctx.Now_ - Run.OrderedAt_ <= Ctx.State_.Options_.Holder_.OriginTimeout_;
  // Nor once a look is to find it gone with the life that it was sent to.
  return IsRecent && !Run.IsRepeated_ && Run.FirstConclusivePoll_ == 0 &&
         Run.Phase_ == RunPhase::Starting && Hold.Phase_ == HoldPhase::Open &&
         canRenewLease(Ctx, Hold);
}

// Load pattern: a share of the orders gets no answer and is carried out seconds
// later. The same order passes once more, since a worker starts a run only
// once; without it the task would wait for a stop and a look.
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

// The first order may still be carried out, or has been.
static bool applyRepeatedStart(FleetStepContext &Ctx, WorkerHold &Hold,
                               const RunId &Id, HeldRun &Run,
                               OrderResult Result) {
  switch (Result) {
  case OrderResult::Superseded:
    // It has run; the lists tell how it ended.
    settleRun(Hold, Run);
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
    settleRun(Hold, Run);
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
    // It may start at any time until its lease is over; a stop forbids it.
    if (mayRepeatStart(Ctx, Hold, Run))
      repeatStart(Ctx, Hold, Id, Run);
    else
      sendStop(Ctx, Hold, Id, Run);
    return;
  case OrderResult::Fenced:
  case OrderResult::OtherIncarnation:
    return; // The worker is lost.
  }
}

// The worker and the run that an answer is about; no run if either is gone.
static std::pair<WorkerHold *, HeldRun *>
runOfAnswer(FleetStepContext &Ctx, const std::string &Worker, const RunId &Id,
            std::optional<Milliseconds> Clock) {
  WorkerHold *Hold = findHold(Ctx.State_, Worker);
  if (Hold == nullptr)
    return {};
  updateClockOffset(Ctx, *Hold, Clock);
  return {Hold, findRun(*Hold, Id)};
}

void handleStartAnswer(FleetStepContext &Ctx, const StartAnswered &Answer) {
  const auto [Hold, Run] =
      runOfAnswer(Ctx, Answer.Worker_, Answer.Run_, Answer.WorkerClock_);
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
  applyStart(Ctx, *Hold, Answer.Run_, *Run, Answer.Result_);
}

void handleStopAnswer(FleetStepContext &Ctx, const StopAnswered &Answer) {
  const auto [Hold, Run] =
      runOfAnswer(Ctx, Answer.Worker_, Answer.Run_, Answer.WorkerClock_);
  if (Run == nullptr)
    return;
  Run->IsStopInFlight_ = false;
  if (handleWorkerLoss(Ctx, *Hold, Answer.Result_))
    return;
  switch (Answer.Result_) {
  case OrderResult::Unknown:
  case OrderResult::NotDelivered:
  case OrderResult::Unhealthy:
    Run->NextStopAt_ = Ctx.Now_ + Ctx.State_.Options_.Holder_.RetryDelay_;
    return;
  default:
    settleRun(*Hold, *Run);
    Run->NextStopAt_ = {INT64_MAX};
    pollSoon(Ctx, *Hold);
  }
}

} // namespace marjorambend::internal
