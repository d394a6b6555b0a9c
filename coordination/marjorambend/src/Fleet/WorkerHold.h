#ifndef MARJORAMBEND_FLEET_WORKERHOLD_H
#define MARJORAMBEND_FLEET_WORKERHOLD_H

#include "marjorambend/src/Fleet/FleetTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marjorambend {

/// \brief State of a run at the holder of its worker.
enum class RunPhase : uint8_t {
  Starting, ///< The order is not confirmed yet.
  Running,
  Stopping, ///< Waits for its end, or for a poll that does not list it.
};

/// \brief One run on a held worker.
struct HeldRun {
  uint64_t Job_ = 0; ///< Number of the job at its origin.
  Incarnation Origin_;
  Room Needs_;
  Milliseconds Estimate_;
  std::string Spec_; ///< To repeat the order; empty once started.
  RunPhase Phase_ = RunPhase::Starting;
  Milliseconds OrderedAt_;
  Milliseconds StartedAt_;
  double Percent_ = -1; ///< Last listed progress; -1 before the first.
  Milliseconds ProgressAt_;
  Milliseconds StopSentAt_;     ///< When a stop was first sent.
  Milliseconds NextStopAt_;     ///< When the stop is to be sent again.
  bool IsStopInFlight_ = false; ///< A stop is not answered yet.
  /// The worker has answered a stop, so that the run ends within milliseconds.
  bool IsStopConfirmed_ = false;
  /// When the origin is known to have last needed the run; not set while it may
  /// still need it.
  std::optional<Milliseconds> LastNeededAt_;
  /// A start order was not answered and may still arrive; no later incarnation
  /// of the worker may accept it.
  bool IsStartUnconfirmed_ = true;
  bool IsRepeated_ = false; ///< The start order was sent a second time.
  /// Incarnation whose crash counts for this run; not set if there is none. An
  /// unconfirmed start can outlast several, but is carried out once.
  std::optional<int64_t> CrashedIncarnation_;
  /// Number of the first poll that was sent after the worker's last answer
  /// about the run; 0 if there is none. A run that this poll or a later one
  /// does not list has ended.
  uint64_t FirstConclusivePoll_ = 0;
};

/// \brief State of a worker at its holder.
enum class HoldPhase : uint8_t {
  Claiming, ///< Other holders are being fenced off and their runs stopped.
  Open,     ///< It accepts new runs.
  Suspect,  ///< It does not answer.
  Fenced,   ///< Another holder has claimed it.
};

/// \brief A worker that this instance holds: no other instance may send it
/// orders.
struct WorkerHold {
  /// As listed, but with the incarnation that last answered.
  WorkerReport Report_;
  int64_t ListedIncarnation_ = 0; ///< The incarnation that the report is of.
  HoldPhase Phase_ = HoldPhase::Claiming;
  uint64_t FencingToken_ = 0;
  uint32_t FencedClaims_ = 0; ///< Claims that a higher token has fenced off.
  /// The worker's clock minus this instance's; unknown before its first answer.
  std::optional<Milliseconds> ClockOffset_;
  Milliseconds AnsweredAt_;   ///< Receipt of its last answer.
  uint64_t AckedThrough_ = 0; ///< Number of the last processed end of a run.
  std::map<RunId, HeldRun> Runs_;
  Room Used_; ///< Taken by these runs.
  /// Upper bound of the capacity, learnt from a rejected start; not set if the
  /// report holds. \sa HolderOptions::CapacityLimitTime_
  std::optional<Room> CapacityLimit_;
  Milliseconds CapacityLimitUntil_;
  /// Runs in its last lists that this instance has not ordered.
  std::vector<RunId> UnknownRuns_;
  uint64_t NextPoll_ = 1;
  bool IsPolling_ = false;
  Milliseconds NextPollAt_;
  uint32_t FailedPolls_ = 0;
  Milliseconds LeaseSentAt_; ///< Sending of the last lease renewal.
  Milliseconds FencedAt_;    ///< Notice of another holder's higher token.
  bool IsClosing_ = false;   ///< Takes no new runs; released when idle.
  bool IsListed_ = true;     ///< The platform's list contains it.
  bool WasAnnouncedOpen_ = false;
  double AnnouncedSlowness_ = 1.0;
  double Slowness_ = 1.0;
  uint32_t ConsecutiveFailures_ = 0;
  uint64_t LastFailedJob_ = 0;
  Milliseconds EjectedUntil_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_WORKERHOLD_H
