#ifndef MARJORAMBEND_FLEET_ORIGINJOB_H
#define MARJORAMBEND_FLEET_ORIGINJOB_H

#include "marjorambend/src/Fleet/FleetTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief State of a task at the origin of its job.
enum class OriginTaskPhase : uint8_t {
  Waiting,    ///< No worker is assigned yet.
  Dispatched, ///< The holder was asked to start it; it may be running.
  Done,
  Dropped, ///< No longer needed; its run, if any, has ended or is lost.
};

/// \brief One task of a job.
struct OriginTask {
  OriginTaskPhase Phase_ = OriginTaskPhase::Waiting;
  uint32_t Attempt_ = 0;  ///< The next start gets the next higher number.
  uint32_t Failures_ = 0; ///< Failed runs.
  std::string Worker_;
  Incarnation Holder_;
  Incarnation Placer_; ///< The placer with its reservation.
  /// It waits for other suspect tasks of the job; no worker is requested yet.
  bool IsHeldBack_ = false;
};

/// \brief A job at its origin, the instance that accepted it from its caller.
struct OriginJob {
  uint64_t Number_ = 0;
  JobSubmission Submission_;
  Route Route_;
  std::vector<uint64_t> Tokens_; ///< Open requests that await the answer.
  std::vector<OriginTask> Tasks_;
  uint32_t DoneTasks_ = 0;
  bool HasEndedRuns_ = false; ///< A run that is over may have started.
  bool IsAnswered_ = false;   ///< It only waits for its runs to end.
  Incarnation Placer_;        ///< Who was asked to place its waiting tasks.
  std::vector<Incarnation> UnreachableHolders_; ///< Holders without a session.
  Milliseconds ArrivedAt_;
  Milliseconds ObjectiveAt_; ///< Later answers count as late.
  Milliseconds GiveUpAt_;    ///< When the caller's timeout expires.
};

/// \brief Whether a task of the job is or may be running.
bool hasDispatchedTasks(const OriginJob &Job);

/// \brief Whether a task of the job is running or may have run.
bool mayHaveRun(const OriginJob &Job);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_ORIGINJOB_H
