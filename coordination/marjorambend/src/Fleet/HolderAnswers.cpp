/// \file
/// \brief How workers answer orders to start and stop runs.

#include "marjorambend/src/Fleet/HoldStep.h"

#include <utility>

namespace marjorambend::internal {

// The next look will show whether the run is there.
static void settleRun(WorkerHold &Hold, HeldRun &Run) {
  Run.FirstConclusivePoll_ = Hold.NextPoll_;
}

static bool mayRepeatStart(const FleetTurn &T, const WorkerHold &Hold,
                           const HeldRun &Run) {
  // Not after a pause: the origin may have given the job up since.
  const bool IsRecent =
      T.Now_ >= T.State_.PauseSettledAt_ &&
      T.Now_ - Run.OrderedAt_ <= T.State_.Options_.Holder_.OriginTimeout_;
  // Nor once a look is to find it gone with the life that it was sent to.
  return IsRecent && !Run.IsRepeated_ && Run.FirstConclusivePoll_ == 0 &&
         Run.Phase_ == RunPhase::Starting && Hold.Phase_ == HoldPhase::Open &&
         canRenewLease(T, Hold);
}

// Load pattern: a share of the orders gets no answer and is carried out seconds
// later. The same order passes once more, since a worker starts a run only
// once; without it the task would wait for a stop and a look.
static void repeatStart(FleetTurn &T, WorkerHold &Hold, const RunId &Id,
                        HeldRun &Run) {
  Run.IsRepeated_ = true;
  log(T, "start_repeated", Id.Job_,
      {{"task", std::to_string(Id.Task_)},
       {"attempt", std::to_string(Id.Attempt_)},
       {"worker", Hold.Report_.Id_},
       {"after_ms", text(T.Now_ - Run.OrderedAt_)}});
  sendStart(T, Hold, Id, Run);
}

// The first order may still be carried out, or has been.
static bool applyRepeatedStart(FleetTurn &T, WorkerHold &Hold, const RunId &Id,
                               HeldRun &Run, OrderResult Result) {
  switch (Result) {
  case OrderResult::Superseded:
    // It has run; the lists tell how it ended.
    settleRun(Hold, Run);
    pollSoon(T, Hold);
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
  if (handleWorkerLoss(T, Hold, Result))
    return;
  if (Run.IsRepeated_ && applyRepeatedStart(T, Hold, Id, Run, Result))
    return;
  switch (Result) {
  case OrderResult::Accepted:
    Run.StartedAt_ = T.Now_;
    Run.IsStartUnconfirmed_ = Run.IsRepeated_;
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
    countFailure(T, Hold, "starts are refused as unhealthy");
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
  case OrderResult::OtherIncarnation:
    return; // The worker is lost.
  }
}

// The worker and the run that an answer is about; no run if either is gone.
static std::pair<WorkerHold *, HeldRun *>
runOfAnswer(FleetTurn &T, const std::string &Worker, const RunId &Id,
            std::optional<Milliseconds> Clock) {
  WorkerHold *Hold = findHold(T.State_, Worker);
  if (Hold == nullptr)
    return {};
  updateClockOffset(T, *Hold, Clock);
  return {Hold, findRun(*Hold, Id)};
}

void handleStartAnswer(FleetTurn &T, const StartAnswered &Answer) {
  const auto [Hold, Run] =
      runOfAnswer(T, Answer.Worker_, Answer.Run_, Answer.WorkerClock_);
  if (Run == nullptr)
    return;
  if (Answer.Result_ != OrderResult::Accepted) {
    increment(T.State_.Counters_, Counter::StartsRejected);
    log(T, "start_rejected", Answer.Run_.Job_,
        {{"task", std::to_string(Answer.Run_.Task_)},
         {"attempt", std::to_string(Answer.Run_.Attempt_)},
         {"worker", Answer.Worker_},
         {"result", nameOf(Answer.Result_)},
         {"after_ms", text(T.Now_ - Run->OrderedAt_)}});
  }
  applyStart(T, *Hold, Answer.Run_, *Run, Answer.Result_);
}

void handleStopAnswer(FleetTurn &T, const StopAnswered &Answer) {
  const auto [Hold, Run] =
      runOfAnswer(T, Answer.Worker_, Answer.Run_, Answer.WorkerClock_);
  if (Run == nullptr)
    return;
  Run->IsStopInFlight_ = false;
  if (handleWorkerLoss(T, *Hold, Answer.Result_))
    return;
  switch (Answer.Result_) {
  case OrderResult::Unknown:
  case OrderResult::NotDelivered:
  case OrderResult::Unhealthy:
    Run->NextStopAt_ = T.Now_ + T.State_.Options_.Holder_.RetryDelay_;
    return;
  default:
    settleRun(*Hold, *Run);
    Run->NextStopAt_ = {INT64_MAX};
    pollSoon(T, *Hold);
  }
}

} // namespace marjorambend::internal
