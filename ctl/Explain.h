#ifndef MARJORAMBEND_CTL_EXPLAIN_H
#define MARJORAMBEND_CTL_EXPLAIN_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambend {

/// \brief One line of an instance's log about a job.
struct JobLogLine {
  int64_t TimeMs_ = 0; ///< Since the Unix epoch.
  std::string Instance_;
  std::string Event_;
  std::string Fields_; ///< name=value, separated by spaces.
  std::string Json_;   ///< The original line.
};

/// \brief The log lines of one job and its outcome.
struct JobHistory {
  std::vector<JobLogLine> Lines_; ///< In the order of their time.
  std::string Outcome_;           ///< Empty if no answer is in the logs.
  std::string Cause_;             ///< One sentence.
};

/// \brief Adds the lines of \p From about job \p Id. Lines without a JSON
/// object are skipped, and text before the object is ignored.
void collectLines(std::istream &From, std::string_view Id, JobHistory &Into);

/// \brief Sorts the lines by time and derives the outcome and its cause.
void summariseHistory(JobHistory &History);

/// \brief The command: `explain ID [FILE...]`, standard input without files.
/// \returns an ExitCode.
int runExplain(const std::vector<std::string> &Arguments, bool IsJson);

} // namespace marjorambend

#endif // MARJORAMBEND_CTL_EXPLAIN_H
