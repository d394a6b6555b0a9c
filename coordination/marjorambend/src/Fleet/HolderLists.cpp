/// \file
/// \brief What the lists of a held worker tell of its runs.

#include "marjorambend/src/Fleet/HoldStep.h"

#include <algorithm>
#include <vector>

namespace marjorambend::internal {

// A run without any progress for long is taken for hung; it is stopped, and
// its origin starts it elsewhere.
static void noteProgress(FleetTurn &T, WorkerHold &Hold,
                         const ListedRun &Listed, HeldRun &Run) {
  Run.IsStartUnconfirmed_ = Run.IsRepeated_;
  if (Run.Phase_ == RunPhase::Starting) {
    Run.Phase_ = RunPhase::Running;
    Run.StartedAt_ = Run.OrderedAt_;
  }
  if (Listed.Percent_ != Run.Percent_) {
    Run.Percent_ = Listed.Percent_;
    Run.ProgressAt_ = T.Now_;
    return;
  }
  const HolderOptions &Options = T.State_.Options_.Holder_;
  const auto Share = static_cast<int64_t>(
      static_cast<double>(Run.Estimate_.Count_) * Options.HangTimeoutShare_);
  const Milliseconds Bound{std::max(Options.MinHangTimeout_.Count_, Share)};
  if (Run.Phase_ != RunPhase::Running || T.Now_ - Run.ProgressAt_ < Bound)
    return;
  increment(T.State_.Counters_, Counter::RunsHung);
  log(T, "run_hung", Listed.Run_.Job_,
      {{"task", std::to_string(Listed.Run_.Task_)},
       {"worker", Hold.Report_.Id_},
       {"still_ms", text(T.Now_ - Run.ProgressAt_)},
       {"percent", std::to_string(static_cast<int>(Run.Percent_))}});
  countFailure(T, Hold, "runs make no progress");
  sendStop(T, Hold, Listed.Run_, Run);
}

// Stops what the worker lists and nobody here has ordered.
static bool stopStrangers(FleetTurn &T, WorkerHold &Hold,
                          const PollAnswered &Listed) {
  bool HasStrangers = false;
  for (const ListedRun &One : Listed.Running_) {
    if (Hold.Runs_.contains(One.Run_))
      continue;
    HasStrangers = true;
    log(T, "stranger_stopped", One.Run_.Job_,
        {{"task", std::to_string(One.Run_.Task_)},
         {"attempt", std::to_string(One.Run_.Attempt_)},
         {"worker", Hold.Report_.Id_}});
    T.Out_.push_back(StopRun{targetOf(Hold), One.Run_});
  }
  return HasStrangers;
}

static void finishMissing(FleetTurn &T, WorkerHold &Hold,
                          const PollAnswered &Listed) {
  std::vector<RunId> Missing;
  for (auto &[Id, Run] : Hold.Runs_) {
    const auto Same = std::find_if(
        Listed.Running_.begin(), Listed.Running_.end(),
        [&Id = Id](const ListedRun &One) { return One.Run_ == Id; });
    if (Same != Listed.Running_.end())
      noteProgress(T, Hold, *Same, Run);
    else if (Run.FirstConclusivePoll_ != 0 &&
             Run.FirstConclusivePoll_ <= Listed.Poll_)
      Missing.push_back(Id);
  }
  for (const RunId &Id : Missing)
    finishRun(T, Hold, Id, RunEnd::Lost);
}

void applyPollAnswer(FleetTurn &T, WorkerHold &Hold,
                     const PollAnswered &Listed) {
  updateClockOffset(T, Hold, Listed.WorkerClock_);
  for (const ListedEnd &End : Listed.Ended_) {
    if (End.Number_ <= Hold.AckedThrough_)
      continue;
    Hold.AckedThrough_ = End.Number_;
    finishRun(T, Hold, End.Run_, End.End_);
  }
  finishMissing(T, Hold, Listed);
  const bool HasStrangers = stopStrangers(T, Hold, Listed);
  if (Hold.Phase_ != HoldPhase::Claiming || HasStrangers)
    return;
  Hold.Phase_ = HoldPhase::Open;
  log(T, "worker_open", 0,
      {{"worker", Hold.Report_.Id_},
       {"life", std::to_string(Hold.Report_.Incarnation_)},
       {"fence", std::to_string(Hold.FencingToken_)}});
  announceWorker(T, Hold);
}

} // namespace marjorambend::internal
