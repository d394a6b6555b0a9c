#include "marjorambend/src/Transport/HttpTypes.h"

#include <cstdlib>
#include <event2/http.h>
#include <memory>
#include <strings.h>

namespace marjorambend {

std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name) {
  for (const auto &[Key, Value] : Headers) {
    const bool IsSame = Key.size() == Name.size() &&
                        strncasecmp(Key.data(), Name.data(), Key.size()) == 0;
    if (IsSame)
      return Value;
  }
  return {};
}

std::string queryValue(std::string_view Query, std::string_view Name) {
  while (!Query.empty()) {
    const std::size_t End = Query.find('&');
    const std::string_view Pair = Query.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name && Equals != std::string_view::npos)
      return std::string(Pair.substr(Equals + 1));
    if (End == std::string_view::npos)
      break;
    Query.remove_prefix(End + 1);
  }
  return {};
}

std::string encodeQueryValue(std::string_view Text) {
  static constexpr std::string_view Slash = "%2F";
  const std::unique_ptr<char, decltype(&std::free)> Bytes(
      evhttp_uriencode(Text.data(), static_cast<ev_ssize_t>(Text.size()), 0),
      &std::free);
  std::string Encoded = Bytes.get();
  for (std::size_t At = 0; (At = Encoded.find(Slash, At)) != std::string::npos;)
    Encoded.replace(At, Slash.size(), "/");
  return Encoded;
}

HttpReply jsonReply(uint16_t Status, std::string Body) {
  return {.Status_ = Status,
          .Headers_ = {{"Content-Type", "application/json"}},
          .Body_ = std::move(Body)};
}

} // namespace marjorambend
