#ifndef MARJORAMBEND_CTL_EXPLAIN_H
#define MARJORAMBEND_CTL_EXPLAIN_H

#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambend {

/// \brief One line of an instance's log about a job.
struct StoryLine {
  int64_t TimeMs_ = 0; ///< Since 1970.
  std::string Instance_;
  std::string Event_;
  std::string Fields_; ///< name=value, separated by spaces.
  std::string Json_;   ///< The line as it was.
};

/// \brief What the logs tell of one job.
struct JobStory {
  std::vector<StoryLine> Lines_; ///< In the order of their time.
  std::string Outcome_;          ///< Empty if no answer is in the logs.
  std::string Cause_;            ///< One sentence.
};

/// \brief Adds the lines of \p From that are about the job \p Id. Lines that
/// are no JSON objects are passed over; anything may stand before the object.
void collectStory(std::istream &From, std::string_view Id, JobStory &Into);

/// \brief Orders the lines and finds the outcome and its cause.
void concludeStory(JobStory &Story);

/// \brief The command: `explain ID [FILE...]`, standard input without files.
/// \returns an ExitCode.
int runExplain(const std::vector<std::string> &Words, bool IsJson);

} // namespace marjorambend

#endif // MARJORAMBEND_CTL_EXPLAIN_H
