#ifndef MARJORAMBEND_DAEMON_CALLERCLOSURES_H
#define MARJORAMBEND_DAEMON_CALLERCLOSURES_H

#include <array>
#include <cstdint>
#include <marjorambend/Instance>
#include <marjorambend/Transport>
#include <optional>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Counter of a cause.
Counter counterOf(CloseCause Cause);

/// \brief Name of a cause in the log.
std::string_view nameOf(CloseCause Cause);

/// \brief Gauges of what the connections of callers hold.
std::string renderLoad(const HttpServerLoad &Load);

/// \brief Limits log lines about closed connections to one per interval and
/// cause.
class CallerClosures {
public:
  /// \brief Counts a closed connection; returns how many the log line that is
  /// now due stands for, or nullopt.
  std::optional<uint64_t> note(CloseCause Cause, Milliseconds Now);

private:
  struct Entry {
    uint64_t Count_ = 0; ///< Since the last line.
    std::optional<Milliseconds> LoggedAt_;
  };
  std::array<Entry, CloseCauses> Entries_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_DAEMON_CALLERCLOSURES_H
