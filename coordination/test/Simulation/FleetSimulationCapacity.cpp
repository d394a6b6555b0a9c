/// \file
/// \brief Workers whose capacity shrinks and grows again.

#include "Simulation/FleetSimulation.h"

#include <algorithm>

namespace marjorambend::test {

// How often a worker reports about itself, in milliseconds.
static constexpr int64_t ReportInterval = 1'500;
// Time after a fault in which the bounds do not apply; the users' `contact_ms`.
static constexpr Milliseconds ContactTime{3'000};
static constexpr Milliseconds ShrinkBound =
    ContactTime + Milliseconds{ReportInterval};

void FleetSimulation::scheduleShrinks() {
  for (uint32_t Count = 0; Count < Options_.Shrinks_; ++Count)
    at(randomTimeInLoad(),
       [this, Id = randomWorker(), Share = randomBetween(0, 80),
        Duration = randomBetween(500, 6'000)] {
         const Room Full = findWorker(Id)->FullCapacity_;
         setCapacity(Id, {Full.MilliCores_ * Share / 100, Full.MemoryMb_,
                          Full.Accelerators_});
         after(Duration,
               [this, Id] { setCapacity(Id, findWorker(Id)->FullCapacity_); });
       });
}

void FleetSimulation::setCapacity(const std::string &Id, const Room &Capacity) {
  SimWorker &Worker = *findWorker(Id);
  Worker.PreviousCapacities_.emplace_back(Now_, Worker.Capacity_);
  Worker.Capacity_ = Capacity;
  if (Options_.InjectedBug_ == InjectedFleetBug::HideShrinks)
    return;
  after(randomBetween(0, ReportInterval), [this, Id] {
    SimWorker &Reporting = *findWorker(Id);
    Reporting.Report_.Capacity_ = Reporting.Capacity_;
  });
}

// The list may have been unavailable to the sender, which then cannot know of
// the shrink.
bool FleetSimulation::wasListUnavailable(const std::string &DataCentre) const {
  if (isListUnavailableIn(DataCentre))
    return true;
  return std::any_of(ListRestoredAt_.begin(), ListRestoredAt_.end(),
                     [this, &DataCentre](const auto &Entry) {
                       return (Entry.first.empty() ||
                               Entry.first == DataCentre) &&
                              Now_ - Entry.second < ContactTime;
                     });
}

void FleetSimulation::checkCapacity(std::size_t Index,
                                    const SimWorker &Worker) {
  if (Worker.GuardsCapacity_ || IsApplyingDelayedOrder_ ||
      wasListUnavailable(Nodes_[Index].DataCentre_))
    return;
  const Room Used = usedRoom(Worker);
  const bool WasAllowed = std::any_of(
      Worker.PreviousCapacities_.begin(), Worker.PreviousCapacities_.end(),
      [this, &Used](const auto &Entry) {
        return Now_ - Entry.first <= ShrinkBound && fits(Used, Entry.second);
      });
  if (!WasAllowed && !fits(Used, Worker.Capacity_))
    reportViolation("start brings worker " + Worker.Report_.Id_ + " to " +
                    std::to_string(Used.MilliCores_) + " of " +
                    std::to_string(Worker.Capacity_.MilliCores_));
}

} // namespace marjorambend::test
