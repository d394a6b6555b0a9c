#ifndef MARJORAMBEND_FLEET_WORKERHOLD_H
#define MARJORAMBEND_FLEET_WORKERHOLD_H

#include "marjorambend/src/Fleet/FleetTypes.h"

#include <cstdint>
#include <map>
#include <optional>

namespace marjorambend {

/// \brief Where a run stands at the holder of its worker.
enum class RunPhase : uint8_t {
  Starting, ///< The order is on its way.
  Running,
  Stopping, ///< It is to end; an end or a look without it is awaited.
};

/// \brief One run on a held worker.
struct HeldRun {
  uint64_t Job_ = 0; ///< Number of the job at its origin.
  Incarnation Origin_;
  Room Needs_;
  Milliseconds Estimate_;
  std::string Spec_; ///< For a second order; empty once it has begun.
  RunPhase Phase_ = RunPhase::Starting;
  Milliseconds OrderedAt_;
  Milliseconds StartedAt_;
  double Percent_ = -1;
  Milliseconds ProgressAt_;
  Milliseconds NextStop_;   ///< When the stop is sent again.
  bool IsStopSent_ = false; ///< A stop is under way.
  /// An order to start was not answered; while it may still arrive, no other
  /// life of the worker may take it.
  bool IsStartOpen_ = true;
  bool IsRepeated_ = false; ///< The order was sent a second time.
  /// First look that was sent after the worker's last word on the run; 0 while
  /// there is none. A run that this look does not list is gone.
  uint64_t SettledBy_ = 0;
};

/// \brief Where a worker stands at its holder.
enum class HoldPhase : uint8_t {
  Claiming, ///< Fenced off from others; what it still runs is being stopped.
  Open,     ///< New runs are taken.
  Suspect,  ///< It does not answer.
  Fenced,   ///< Another holder has taken it.
};

/// \brief A worker that this instance alone gives orders to.
struct WorkerHold {
  WorkerReport Report_;
  HoldPhase Phase_ = HoldPhase::Claiming;
  uint64_t Fence_ = 0;
  uint32_t FenceTries_ = 0;
  /// The worker's clock less ours; unknown before its first answer.
  std::optional<Milliseconds> ClockOffset_;
  Milliseconds AnsweredAt_; ///< Its last answer.
  uint64_t AckedThrough_ = 0;
  std::map<RunId, HeldRun> Runs_;
  Room Used_; ///< By these runs.
  uint64_t NextLook_ = 1;
  bool IsLooking_ = false;
  Milliseconds NextLookAt_;
  uint32_t FailedLooks_ = 0;
  Milliseconds LeaseSentAt_; ///< Of the last order that renewed the lease.
  Milliseconds FencedAt_;    ///< When another holder's token was noticed.
  bool IsClosing_ = false;   ///< Given up once nothing runs.
  bool IsListed_ = true;     ///< The platform's list has it.
  bool WasToldOpen_ = false;
  double ToldSlowness_ = 1.0;
  double Slowness_ = 1.0;
  uint32_t BadInRow_ = 0;
  uint64_t LastBadJob_ = 0;
  Milliseconds EjectedUntil_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_WORKERHOLD_H
