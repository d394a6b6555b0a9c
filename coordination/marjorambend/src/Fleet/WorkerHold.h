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
  Milliseconds NextStopAt_;     ///< When the stop is sent again.
  bool IsStopInFlight_ = false; ///< A stop is under way.
  /// An order to start was not answered; while it may still arrive, no other
  /// life of the worker may take it.
  bool IsStartUnconfirmed_ = true;
  bool IsRepeated_ = false; ///< The order was sent a second time.
  /// First look that was sent after the worker's last word on the run; 0 while
  /// there is none. A run that this look does not list is gone.
  uint64_t FirstConclusivePoll_ = 0;
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
  uint64_t FencingToken_ = 0;
  uint32_t FencedClaims_ = 0;
  /// The worker's clock less ours; unknown before its first answer.
  std::optional<Milliseconds> ClockOffset_;
  Milliseconds AnsweredAt_; ///< Its last answer.
  uint64_t AckedThrough_ = 0;
  std::map<RunId, HeldRun> Runs_;
  Room Used_; ///< By these runs.
  uint64_t NextPoll_ = 1;
  bool IsPolling_ = false;
  Milliseconds NextPollAt_;
  uint32_t FailedPolls_ = 0;
  Milliseconds LeaseSentAt_; ///< Of the last order that renewed the lease.
  Milliseconds FencedAt_;    ///< When another holder's token was noticed.
  bool IsClosing_ = false;   ///< Given up once nothing runs.
  bool IsListed_ = true;     ///< The platform's list has it.
  bool WasAnnouncedOpen_ = false;
  double AnnouncedSlowness_ = 1.0;
  double Slowness_ = 1.0;
  uint32_t ConsecutiveFailures_ = 0;
  uint64_t LastFailedJob_ = 0;
  Milliseconds EjectedUntil_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_WORKERHOLD_H
