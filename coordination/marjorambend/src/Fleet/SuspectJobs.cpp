/// \file
/// \brief Jobs whose tasks may crash workers, at their origin.

#include "marjorambend/src/Fleet/OriginStep.h"

#include <algorithm>
#include <utility>

namespace marjorambend::internal {

std::vector<uint32_t> tasksOverCrashBudget(const FleetInstance &State,
                                           uint64_t Job) {
  const CrashLedger &Ledger = State.Crashes_;
  std::vector<uint32_t> Tasks;
  for (auto It = Ledger.ByTask_.lower_bound({Job, 0});
       It != Ledger.ByTask_.end() && It->first.Job_ == Job; ++It) {
    if (exceedsCrashBudget(Ledger, It->first, State.Options_.Crashes_))
      Tasks.push_back(It->first.Task_);
  }
  return Tasks;
}

bool exceedsCrashBudget(const FleetInstance &State, const OriginJob &Job) {
  const std::vector<uint32_t> Tasks =
      tasksOverCrashBudget(State, Job.Submission_.Id_);
  return std::any_of(Tasks.begin(), Tasks.end(), [&Job](uint32_t Task) {
    return Task < Job.Tasks_.size() &&
           Job.Tasks_[Task].Phase_ != OriginTaskPhase::Done;
  });
}

void failCrashingJob(FleetStepContext &Ctx, OriginJob &Job) {
  increment(Ctx.State_.Counters_, Counter::JobsCrashing);
  answerJob(Ctx, Job, JobOutcome::Failed, "a task crashes its workers");
  stopJob(Ctx, Job);
}

bool isSuspect(const FleetInstance &State, const OriginJob &Job,
               uint32_t Task) {
  return isSuspect(State.Crashes_, {Job.Submission_.Id_, Task},
                   State.Options_.Crashes_);
}

// Number of further suspect tasks of the job that may run now. One may at
// first, so that a job exposes one worker at a time; each that is done allows
// one more at once.
static int64_t countAllowedSuspects(const FleetInstance &State,
                                    const OriginJob &Job) {
  int64_t Allowed = 1;
  for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    const OriginTask &Task = Job.Tasks_[Index];
    if (!isSuspect(State, Job, Index))
      continue;
    const bool IsActive =
        Task.Phase_ == OriginTaskPhase::Dispatched ||
        (Task.Phase_ == OriginTaskPhase::Waiting && !Task.IsHeldBack_);
    Allowed += Task.Phase_ == OriginTaskPhase::Done ? 1 : 0;
    Allowed -= IsActive ? 1 : 0;
  }
  return Allowed;
}

void requestHeldBackTasks(FleetStepContext &Ctx, OriginJob &Job) {
  const bool HasHeldBack =
      std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(),
                  [](const OriginTask &Task) { return Task.IsHeldBack_; });
  if (!HasHeldBack)
    return;
  const int64_t Allowed = countAllowedSuspects(Ctx.State_, Job);
  std::vector<uint32_t> Tasks;
  for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    OriginTask &Task = Job.Tasks_[Index];
    if (!Task.IsHeldBack_ || static_cast<int64_t>(Tasks.size()) >= Allowed ||
        isInDoubt(Ctx.State_.Crashes_, {Job.Submission_.Id_, Index},
                  Ctx.State_.Options_.Crashes_, Ctx.Now_))
      continue;
    Task.IsHeldBack_ = false;
    Tasks.push_back(Index);
    log(Ctx, "task_isolated", Job.Submission_.Id_,
        {{"task", std::to_string(Index)},
         {"attempt", std::to_string(Task.Attempt_ + 1)}});
    increment(Ctx.State_.Counters_, Counter::TasksIsolated);
  }
  if (Tasks.empty())
    return;
  Job.Placer_ = Ctx.State_.Placer_;
  sendPlaceRequest(Ctx, Job, std::move(Tasks), true);
}

void reviewSuspectJobs(FleetStepContext &Ctx) {
  if (Ctx.State_.Crashes_.ByTask_.empty())
    return;
  std::vector<uint64_t> Failed;
  for (auto &[Number, Job] : Ctx.State_.Jobs_) {
    if (Job.IsAnswered_)
      continue;
    if (exceedsCrashBudget(Ctx.State_, Job))
      Failed.push_back(Number);
    else
      requestHeldBackTasks(Ctx, Job);
  }
  for (const uint64_t Number : Failed)
    failCrashingJob(Ctx, Ctx.State_.Jobs_.at(Number));
}

} // namespace marjorambend::internal
