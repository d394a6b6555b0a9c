#ifndef MARJORAMBEND_JOBS_JOBRECORD_H
#define MARJORAMBEND_JOBS_JOBRECORD_H

#include "marjorambend/src/Jobs/JobTypes.h"
#include "marjorambend/src/Support/Trace.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace marjorambend {

/// \brief Who waits for the answer of a job: a caller's open request or a
/// forwarding instance.
struct Waiter {
  uint64_t Token_ = 0;              ///< The request at the instance that waits.
  std::optional<Incarnation> Peer_; ///< That instance, if it is another one.
};

/// \brief Phase of a job at an instance that has a record of it.
enum class JobPhase : uint8_t {
  Claiming, ///< The table service is being asked who holds the job.
  Active,   ///< Held here; tasks wait or run.
  Remote,   ///< Held by another instance, which was sent the submission.
  Finished  ///< Answered.
};

/// \brief Whether this incarnation alone may start the job.
enum class ClaimState : uint8_t {
  Unsettled, ///< No claim, or one whose effect is not known.
  Held ///< The claim row names this incarnation, or the identity is reserved by
       ///< it.
};

/// \brief Phase of one task of an active job.
enum class TaskPhase : uint8_t { Waiting, Sent, Done };

/// \brief One task of an active job.
struct TaskRecord {
  TaskPhase Phase_ = TaskPhase::Waiting;
  uint8_t Refusals_ = 0; ///< Times a worker provably did not run it.
  uint64_t Send_ = 0;    ///< Number of the send under way.
};

/// \brief Everything an instance remembers of one job.
struct JobRecord {
  JobRequest Request_;
  uint64_t Fingerprint_ = 0;
  JobPhase Phase_ = JobPhase::Claiming;
  ClaimState Claim_ = ClaimState::Unsettled;
  uint64_t Attempt_ = 0; ///< Distinguishes successive runs through the phases.
  uint64_t ClaimNonce_ = 0; ///< Identifies this record in its claim row.
  Incarnation Holder_;      ///< The instance that holds a remote job.
  Milliseconds ReceivedAt_;
  Milliseconds ActiveAt_;
  Milliseconds Deadline_;
  Milliseconds FinishedAt_;
  uint8_t Class_ = 0;     ///< Class of urgency.
  double TaskMs_ = 0;     ///< Expected run time of one task when admitted.
  Milliseconds OrderKey_; ///< Place in the queue of the team.
  TraceContext Trace_;    ///< Span of this instance for the job.
  std::vector<TaskRecord> Tasks_;
  std::vector<std::string> Results_;
  std::vector<uint32_t> Ready_; ///< Indices of waiting tasks, in reverse order.
  uint32_t Done_ = 0;
  uint32_t PossiblyRun_ = 0; ///< Tasks sent and not proved to be not run.
  std::vector<Waiter> Waiters_;
  AnswerPtr Answer_;
};

/// \brief Whether no task of the job can have started anywhere.
inline bool isProvablyNotRun(const JobRecord &Record) {
  return Record.Claim_ == ClaimState::Held && Record.PossiblyRun_ == 0;
}

} // namespace marjorambend

#endif // MARJORAMBEND_JOBS_JOBRECORD_H
