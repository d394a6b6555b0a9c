/// \file
/// \brief Which instance places the tasks of this one.

#include "marjorambend/src/Fleet/OriginStep.h"

#include <utility>

namespace marjorambend::internal {

// What waits and what is reserved moves to the new placer.
static void moveToPlacer(FleetStepContext &Ctx, Incarnation Before) {
  const bool IsBeforeThere = isReachable(Ctx.State_, Before);
  for (auto &[Number, Job] : Ctx.State_.Jobs_) {
    std::vector<uint32_t> Waiting = waitingTasks(Job);
    if (!Waiting.empty() && IsBeforeThere)
      sendMessage(Ctx, Before, PlaceWithdraw{Number});
    if (!Waiting.empty())
      requestWorkers(Ctx, Job, std::move(Waiting));
    for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      OriginTask &Task = Job.Tasks_[Index];
      if (Task.Phase_ != OriginTaskPhase::Dispatched)
        continue;
      if (isReachable(Ctx.State_, Task.Placer_))
        sendMessage(Ctx, Task.Placer_,
                    PlaceRelease{Number, Index, RunEnd::Done});
      Task.Placer_ = Ctx.State_.Placer_;
      sendMessage(
          Ctx, Task.Placer_,
          PlaceAdopt{Number, Index, Task.Worker_, Job.Submission_.Needs_});
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
  const Incarnation Before = State.Placer_;
  State.Placer_ = Chosen;
  log(Ctx, "placer", 0,
      {{"other", Best == nullptr ? State.Self_.Name_ : Best->Name_}});
  moveToPlacer(Ctx, Before);
  sendPaces(Ctx, PaceUpdate::All);
}

} // namespace marjorambend::internal
