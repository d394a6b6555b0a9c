#ifndef MARJORAMBEND_DAEMON_LOGLIMITER_H
#define MARJORAMBEND_DAEMON_LOGLIMITER_H

#include <cstdint>
#include <marjorambend/Instance>
#include <optional>

namespace marjorambend {

/// \brief Limits log lines about a repeated event to one in 10 s.
class LogLimiter {
public:
  /// \brief Counts an event; returns how many the log line that is now due
  /// stands for, or nullopt.
  std::optional<uint64_t> note(Milliseconds Now);

private:
  uint64_t Count_ = 0; ///< Since the last line.
  std::optional<Milliseconds> LoggedAt_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_DAEMON_LOGLIMITER_H
