#ifndef MARJORAMBEND_TRANSPORT_HTTPTYPES_H
#define MARJORAMBEND_TRANSPORT_HTTPTYPES_H

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjorambend {

/// \brief Header fields in the order in which they are sent.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/// \brief An HTTP response.
struct HttpReply {
  uint16_t Status_ = 200;
  HttpHeaders Headers_;
  std::string Body_;
};

/// \brief The value of a header field, or an empty string.
std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name);

/// \brief The value of a query parameter, or an empty string.
std::string queryValue(std::string_view Query, std::string_view Name);

/// \brief Percent-encodes a text as a value in a query (RFC 3986); slashes are
/// allowed there and stay.
std::string encodeQueryValue(std::string_view Text);

/// \brief A response with a JSON body.
HttpReply jsonReply(uint16_t Status, std::string Body);

namespace header {
inline constexpr const char *JobId = "Marjorambend-Job-Id";
inline constexpr const char *Team = "Marjorambend-Team";
inline constexpr const char *Timeout = "Marjorambend-Timeout-Ms";
inline constexpr const char *Outcome = "Marjorambend-Outcome";
inline constexpr const char *Kind = "Marjorambend-Kind";
inline constexpr const char *Task = "Marjorambend-Task";
inline constexpr const char *NotRun = "Marjorambend-Not-Run";
inline constexpr const char *Leaving = "Marjorambend-Leaving";
inline constexpr const char *TraceParent = "traceparent";
} // namespace header

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_HTTPTYPES_H
