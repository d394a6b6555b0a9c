/// \file
/// \brief Data centres that the operator evacuates for some time.

#include "Simulation/FleetSimulation.h"

#include <algorithm>

namespace marjorambend::test {

// The users' `evacuation_ms` and `contact_ms`.
static constexpr Milliseconds EvacuationBound{5'000};
static constexpr Milliseconds ContactTime{4'000};
// A poll of the feed returns after at most 700 ms, or its answer is lost and
// the table is read after its timeout.
static constexpr int64_t MaxFeedWait = 700;
static constexpr int64_t LostFeedDelay = 1'700;
static constexpr double LostFeedShare = 0.2;
static constexpr int64_t RecheckDelay = 100;

void FleetSimulation::scheduleEvacuations() {
  for (uint32_t Count = 0; Count < Options_.Evacuations_; ++Count) {
    const std::string DataCentre =
        "dc" + std::to_string(randomBetween(0, Options_.DataCentres_ - 1));
    at(Options_.LoadFrom_ + Milliseconds{randomBetween(0, 3'000)},
       [this, DataCentre, Duration = randomBetween(5'500, 9'000)] {
         if (!EvacuatedAt_.try_emplace(DataCentre, Now_).second)
           return;
         ++OpVersion_;
         after(Duration, [this, DataCentre] {
           EvacuatedAt_.erase(DataCentre);
           ++OpVersion_;
         });
       });
  }
}

void FleetSimulation::readEvacuations(std::size_t Index, uint64_t Epoch) {
  EvacuationsRead Read{.Version_ = OpVersion_};
  for (const auto &[DataCentre, Since] : EvacuatedAt_) {
    if (Options_.InjectedBug_ != InjectedFleetBug::HideEvacuations)
      Read.DataCentres_.insert(DataCentre);
  }
  deliver(Index, Epoch, std::move(Read));
  deliver(Index, Epoch, ConfigConfirmed{});
}

void FleetSimulation::followEvacuations(std::size_t Index, uint64_t Epoch) {
  const Node &Reading = Nodes_[Index];
  if (Options_.Evacuations_ == 0 || Reading.Epoch_ != Epoch)
    return;
  int64_t Delay = RecheckDelay;
  if (!Reading.IsFrozen_ && shouldFollowConfig(*Reading.State_, Now_)) {
    const bool IsLost =
        isListUnavailableIn(Reading.DataCentre_) || chance(LostFeedShare);
    Delay = IsLost ? LostFeedDelay : randomBetween(1, MaxFeedWait);
    if (!IsLost)
      readEvacuations(Index, Epoch);
  }
  after(Delay, [this, Index, Epoch] { followEvacuations(Index, Epoch); });
}

// An instance that has just started, or was suspended, may not have read the
// store yet.
bool FleetSimulation::wasInContact(std::size_t Index) const {
  const FleetInstance &State = *Nodes_[Index].State_;
  return Now_ - State.StartedAt_ > ContactTime &&
         Now_ - State.PauseSettledAt_ > ContactTime &&
         !wasListUnavailable(Nodes_[Index].DataCentre_);
}

void FleetSimulation::checkEvacuation(std::size_t Index,
                                      const SimWorker &Worker) {
  const auto Since = EvacuatedAt_.find(Worker.Report_.DataCentre_);
  if (Since == EvacuatedAt_.end() || IsApplyingDelayedOrder_ ||
      !wasInContact(Index))
    return;
  const Milliseconds Late = Now_ - Since->second;
  Result_.LatestEvacuatedStart_ = std::max(Result_.LatestEvacuatedStart_, Late);
  if (Late > EvacuationBound)
    reportViolation("start on " + Worker.Report_.Id_ + " " +
                    std::to_string(Late.Count_) +
                    " ms after the evacuation of its data centre");
}

} // namespace marjorambend::test
