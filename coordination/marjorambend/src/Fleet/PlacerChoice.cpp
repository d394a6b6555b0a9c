/// \file
/// \brief Which instance places the tasks of this one.

#include "marjorambend/src/Fleet/OriginStep.h"

#include <utility>

namespace marjorambend::internal {

// What waits and what is reserved moves to the new placer.
static void moveToPlacer(FleetTurn &T, Incarnation Before) {
  const bool IsBeforeThere = isReachable(T.State_, Before);
  for (auto &[Number, Job] : T.State_.Jobs_) {
    std::vector<uint32_t> Waiting = waitingTasks(Job);
    if (!Waiting.empty() && IsBeforeThere)
      tell(T, Before, PlaceWithdraw{Number});
    if (!Waiting.empty())
      requestTasks(T, Job, std::move(Waiting));
    for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      OriginTask &Task = Job.Tasks_[Index];
      if (Task.Phase_ != OriginTaskPhase::Ordered)
        continue;
      if (isReachable(T.State_, Task.Placer_))
        tell(T, Task.Placer_, PlaceRelease{Number, Index, RunEnd::Done});
      Task.Placer_ = T.State_.Placer_;
      tell(T, Task.Placer_,
           PlaceAdopt{Number, Index, Task.Worker_, Job.Submission_.Needs_});
    }
  }
}

void choosePlacer(FleetTurn &T) {
  FleetInstance &State = T.State_;
  const InstanceInfo *Best =
      State.IsCoordinating_ && isReady(State) ? &State.Self_ : nullptr;
  for (const auto &[Run, Other] : State.Members_) {
    const bool IsEligible =
        isActiveCoordinator(Other.Status_) && isAlive(State, Other, T.Now_);
    if (IsEligible && (Best == nullptr || isPreferred(Other.Info_, *Best)))
      Best = &Other.Info_;
  }
  const Incarnation Chosen = Best == nullptr ? State.Self_.Run_ : Best->Run_;
  if (Chosen == State.Placer_)
    return;
  const Incarnation Before = State.Placer_;
  State.Placer_ = Chosen;
  log(T, "placer", 0,
      {{"other", Best == nullptr ? State.Self_.Name_ : Best->Name_}});
  moveToPlacer(T, Before);
  sendPaces(T, PaceUpdate::All);
}

} // namespace marjorambend::internal
