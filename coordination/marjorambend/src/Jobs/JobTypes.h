#ifndef MARJORAMBEND_JOBS_JOBTYPES_H
#define MARJORAMBEND_JOBS_JOBTYPES_H

#include "marjorambend/src/Support/Identity.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambend {

/// \brief What a caller may conclude from an answer.
enum class Outcome : uint8_t {
  Complete,  ///< Every task has run once; all results are in the answer.
  NotRun,    ///< No task of the job has started anywhere; safe to send again.
  MayHaveRun ///< Some task may have started; only the same identity is safe.
};

/// \brief Why a job has not been completed.
enum class Reason : uint8_t {
#define MARJORAMBEND_REASON(Id, Name, Help) Id,
#include "marjorambend/src/Jobs/Reasons.def"
#undef MARJORAMBEND_REASON
};

/// \brief The name of \p Which on the wire, in lower case with underscores.
std::string_view outcomeName(Outcome Which);

/// \brief The name of \p Which on the wire, in lower case with underscores.
std::string_view reasonName(Reason Which);

/// \brief One sentence that says what \p Which means.
std::string_view reasonHelp(Reason Which);

/// \brief A job as its caller submitted it.
struct JobRequest {
  JobId Id_;
  std::string Team_;
  std::string Kind_;
  std::vector<std::string> Tasks_; ///< One payload for each task.
  Milliseconds Timeout_;           ///< Remaining time when received.
  std::string TraceParent_;        ///< W3C trace context; may be empty.
};

/// \brief The final answer to a submission.
struct Answer {
  JobId Id_;
  Outcome Outcome_ = Outcome::MayHaveRun;
  Reason Reason_ = Reason::None;
  Milliseconds RetryAfter_; ///< When a retry is useful; 0 if it is not.
  std::vector<std::string>
      Results_; ///< One for each task if complete, else empty.
};

/// \brief An answer shared by all submissions that joined the job.
using AnswerPtr = std::shared_ptr<const Answer>;

/// \brief Fingerprint of what a job asks for: team, kind and tasks, but not its
/// timeout.
///
/// A resubmission must have the fingerprint of the first submission.
uint64_t fingerprint(const JobRequest &Request);

} // namespace marjorambend

#endif // MARJORAMBEND_JOBS_JOBTYPES_H
