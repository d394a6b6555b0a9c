#include "LogLimiter.h"

#include <utility>

namespace marjorambend {

static constexpr Milliseconds LogInterval{10'000};

std::optional<uint64_t> LogLimiter::note(Milliseconds Now) {
  ++Count_;
  if (LoggedAt_ && Now - *LoggedAt_ < LogInterval)
    return std::nullopt;
  LoggedAt_ = Now;
  return std::exchange(Count_, 0);
}

} // namespace marjorambend
