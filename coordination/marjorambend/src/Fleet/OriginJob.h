#ifndef MARJORAMBEND_FLEET_ORIGINJOB_H
#define MARJORAMBEND_FLEET_ORIGINJOB_H

#include "marjorambend/src/Fleet/FleetTypes.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief Where a task stands at the instance that took its job.
enum class OriginTaskPhase : uint8_t {
  Waiting,    ///< For a worker.
  Dispatched, ///< Its holder was told to start it; it may run.
  Done,
  Dropped, ///< Not wanted any more, and surely not running.
};

/// \brief One task of a job.
struct OriginTask {
  OriginTaskPhase Phase_ = OriginTaskPhase::Waiting;
  uint32_t Attempt_ = 0;
  uint32_t Failures_ = 0;
  std::string Worker_;
  Incarnation Holder_;
  Incarnation Placer_; ///< Who has reserved the worker's room for it.
};

/// \brief A job at the instance that took it from its caller.
struct OriginJob {
  uint64_t Number_ = 0;
  JobSubmission Submission_;
  Route Route_;
  std::vector<uint64_t> Tokens_; ///< Requests that wait for the answer.
  std::vector<OriginTask> Tasks_;
  uint32_t DoneTasks_ = 0;
  bool HasEndedRuns_ = false; ///< A run that is over may have begun.
  bool IsAnswered_ = false;   ///< What is left is to see its runs end.
  Incarnation Placer_;        ///< Where its waiting tasks wait.
  std::vector<Incarnation> UnreachableHolders_; ///< Holders without a session.
  Milliseconds ArrivedAt_;
  Milliseconds ObjectiveAt_; ///< Answers after this count as late.
  Milliseconds GiveUpAt_;    ///< The caller or the route waits no longer.
};

/// \brief Whether a task of the job runs or may run.
bool hasDispatchedTasks(const OriginJob &Job);

/// \brief Whether a task of the job runs, or may have run.
bool mayHaveRun(const OriginJob &Job);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_ORIGINJOB_H
