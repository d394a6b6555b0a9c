/// \file
/// \brief Updates the runs of a held worker from its lists.

#include "marjorambend/src/Fleet/HoldStep.h"

#include <algorithm>
#include <vector>

namespace marjorambend::internal {

// A run without progress for too long counts as hung: it is stopped, and its
// origin starts the task elsewhere.
static void checkProgress(FleetStepContext &Ctx, WorkerHold &Hold,
                          const ListedRun &Listed, HeldRun &Run) {
  Run.IsStartUnconfirmed_ = Run.IsRepeated_;
  if (Run.Phase_ == RunPhase::Starting) {
    Run.Phase_ = RunPhase::Running;
    Run.StartedAt_ = Run.OrderedAt_;
  }
  if (Listed.Percent_ != Run.Percent_) {
    Run.Percent_ = Listed.Percent_;
    Run.ProgressAt_ = Ctx.Now_;
    return;
  }
  const HolderOptions &Options = Ctx.State_.Options_.Holder_;
  const auto Share = static_cast<int64_t>(
      static_cast<double>(Run.Estimate_.Count_) * Options.HangTimeoutShare_);
  const Milliseconds Bound{std::max(Options.MinHangTimeout_.Count_, Share)};
  if (Run.Phase_ != RunPhase::Running || Ctx.Now_ - Run.ProgressAt_ < Bound)
    return;
  increment(Ctx.State_.Counters_, Counter::RunsHung);
  log(Ctx, "run_hung", Listed.Run_.Job_,
      {{"task", std::to_string(Listed.Run_.Task_)},
       {"worker", Hold.Report_.Id_},
       {"still_ms", toString(Ctx.Now_ - Run.ProgressAt_)},
       {"percent", std::to_string(static_cast<int>(Run.Percent_))}});
  countFailure(Ctx, Hold, "runs make no progress");
  sendStop(Ctx, Hold, Listed.Run_, Run);
}

// Stops listed runs that this instance has not ordered; returns whether there
// are any.
static bool stopUnknownRuns(FleetStepContext &Ctx, WorkerHold &Hold,
                            const PollAnswered &Listed) {
  Hold.UnknownRuns_.clear();
  for (const ListedRun &One : Listed.Running_) {
    if (Hold.Runs_.contains(One.Run_))
      continue;
    Hold.UnknownRuns_.push_back(One.Run_);
    log(Ctx, "stranger_stopped", One.Run_.Job_,
        {{"task", std::to_string(One.Run_.Task_)},
         {"attempt", std::to_string(One.Run_.Attempt_)},
         {"worker", Hold.Report_.Id_}});
    Ctx.Out_.push_back(StopRun{targetOf(Hold), One.Run_});
  }
  return !Hold.UnknownRuns_.empty();
}

static void finishMissing(FleetStepContext &Ctx, WorkerHold &Hold,
                          const PollAnswered &Listed) {
  std::vector<RunId> Missing;
  for (auto &[Id, Run] : Hold.Runs_) {
    const auto Same = std::find_if(
        Listed.Running_.begin(), Listed.Running_.end(),
        [&Id = Id](const ListedRun &One) { return One.Run_ == Id; });
    if (Same != Listed.Running_.end())
      checkProgress(Ctx, Hold, *Same, Run);
    else if (Run.FirstConclusivePoll_ != 0 &&
             Run.FirstConclusivePoll_ <= Listed.Poll_)
      Missing.push_back(Id);
  }
  for (const RunId &Id : Missing)
    finishRun(Ctx, Hold, Id, RunEnd::Lost);
}

void applyPollAnswer(FleetStepContext &Ctx, WorkerHold &Hold,
                     const PollAnswered &Listed) {
  updateClockOffset(Ctx, Hold, Listed.WorkerClock_);
  for (const ListedEnd &End : Listed.Ended_) {
    if (End.Number_ <= Hold.AckedThrough_)
      continue;
    Hold.AckedThrough_ = End.Number_;
    finishRun(Ctx, Hold, End.Run_, End.End_);
  }
  finishMissing(Ctx, Hold, Listed);
  const bool HasUnknownRuns = stopUnknownRuns(Ctx, Hold, Listed);
  if (Hold.Phase_ != HoldPhase::Claiming || HasUnknownRuns)
    return;
  Hold.Phase_ = HoldPhase::Open;
  log(Ctx, "worker_open", 0,
      {{"worker", Hold.Report_.Id_},
       {"life", std::to_string(Hold.Report_.Incarnation_)},
       {"fence", std::to_string(Hold.FencingToken_)}});
  announceWorker(Ctx, Hold);
}

} // namespace marjorambend::internal
