#ifndef MARJORAMBEND_CTL_LOSSES_H
#define MARJORAMBEND_CTL_LOSSES_H

#include <cstdint>
#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief Answers that did not serve their callers in time, by one property.
struct LossCount {
  uint64_t Late_ = 0;    ///< Served after the objective.
  uint64_t NotRun_ = 0;  ///< Refused, nothing has run.
  uint64_t Started_ = 0; ///< Not served although tasks had run.
};

/// \brief Losses of a log by cause, route, time and instance.
struct LossTable {
  uint64_t Answers_ = 0;
  std::map<std::string, LossCount> ByReason_;
  std::map<std::string, LossCount> ByRoute_;
  std::map<std::string, LossCount> ByInstance_;
  std::map<int64_t, LossCount> ByWindow_; ///< By start, Unix milliseconds.
};

/// \brief Adds the answers in the log lines of \p From. The reason of a refusal
/// is that of the placer, if its line is there.
/// \param WindowMs Length of the windows of time.
void collectLosses(std::istream &From, int64_t WindowMs, LossTable &Into);

/// \brief Prints the table as text.
void printLosses(const LossTable &Table, std::ostream &To);

/// \brief The command: `losses [FILE...]`, standard input without files.
/// \returns an ExitCode.
int runLosses(const std::vector<std::string> &Arguments, int64_t WindowMs);

} // namespace marjorambend

#endif // MARJORAMBEND_CTL_LOSSES_H
