#include "CallerClosures.h"

#include <array>

namespace marjorambend {

Counter counterOf(CloseCause Cause) {
  switch (Cause) {
  case CloseCause::HeaderTooLarge:
    return Counter::CallersClosedHeader;
  case CloseCause::BodyTooLarge:
    return Counter::CallersClosedBody;
  case CloseCause::Malformed:
    return Counter::CallersClosedMalformed;
  case CloseCause::TooSlow:
    return Counter::CallersClosedSlow;
  case CloseCause::Unread:
    return Counter::CallersClosedUnread;
  case CloseCause::TooManyBytes:
    return Counter::CallersClosedBytes;
  case CloseCause::InputUnread:
    return Counter::CallersClosedInput;
  case CloseCause::TooManyConnections:
    break;
  }
  return Counter::CallersClosedConnections;
}

std::string_view nameOf(CloseCause Cause) {
  static constexpr std::array<std::string_view, CloseCauses> Names{
      "header_too_large",
      "body_too_large",
      "malformed",
      "too_slow",
      "answer_unread",
      "too_many_bytes",
      "too_many_connections",
      "input_unread"};
  return Names[static_cast<std::size_t>(Cause)];
}

std::string renderLoad(const HttpServerLoad &Load) {
  return renderGauge("caller_bytes_held", Load.Bytes_) +
         renderGauge("caller_connections_receiving", Load.Receiving_) +
         renderGauge("caller_connections_answering", Load.Answering_) +
         renderGauge("caller_connections_idle", Load.Idle_);
}

} // namespace marjorambend
