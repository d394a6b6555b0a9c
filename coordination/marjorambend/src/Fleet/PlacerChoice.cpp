/// \file
/// \brief Chooses the instance that places the tasks of this one.

#include "marjorambend/src/Fleet/OriginStep.h"

#include <utility>

namespace marjorambend::internal {

// Moves waiting tasks and reservations to the new placer.
static void moveToNewPlacer(FleetStepContext &Ctx, Incarnation Previous) {
  const bool IsPreviousReachable = isReachable(Ctx.State_, Previous);
  for (auto &[Number, Job] : Ctx.State_.Jobs_) {
    const std::vector<uint32_t> Waiting = waitingTasks(Job);
    if (!Waiting.empty() && IsPreviousReachable)
      sendMessage(Ctx, Previous, PlaceWithdraw{Number});
    if (!Waiting.empty())
      requestWorkers(Ctx, Job, Waiting);
    for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      OriginTask &Task = Job.Tasks_[Index];
      if (Task.Phase_ != OriginTaskPhase::Dispatched)
        continue;
      if (isReachable(Ctx.State_, Task.Placer_))
        sendMessage(Ctx, Task.Placer_,
                    PlaceRelease{Number, Index, RunEnd::Done});
      Task.Placer_ = Ctx.State_.Placer_;
      const TaskId Id{Job.Submission_.Id_, Index};
      sendMessage(
          Ctx, Task.Placer_,
          PlaceAdopt{.Job_ = Number,
                     .Task_ = Index,
                     .Worker_ = Task.Worker_,
                     .Needs_ = Job.Submission_.Needs_,
                     .IsSuspect_ = isSuspect(Ctx.State_.Crashes_, Id,
                                             Ctx.State_.Options_.Crashes_)});
    }
  }
}

void choosePlacer(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  const InstanceInfo *Best =
      State.IsCoordinating_ && isReady(State) ? &State.Self_ : nullptr;
  for (const auto &[Run, Other] : State.Members_) {
    const bool IsEligible =
        isActiveCoordinator(Other.Status_) && isAlive(State, Other, Ctx.Now_);
    if (IsEligible && (Best == nullptr || isPreferred(Other.Info_, *Best)))
      Best = &Other.Info_;
  }
  const Incarnation Chosen = Best == nullptr ? State.Self_.Run_ : Best->Run_;
  if (Chosen == State.Placer_)
    return;
  const Incarnation Previous = State.Placer_;
  State.Placer_ = Chosen;
  log(Ctx, "placer", 0,
      {{"other", Best == nullptr ? State.Self_.Name_ : Best->Name_}});
  moveToNewPlacer(Ctx, Previous);
  sendPaces(Ctx, PaceUpdate::All);
}

} // namespace marjorambend::internal
