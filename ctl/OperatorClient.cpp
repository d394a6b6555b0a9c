#include "OperatorClient.h"

#include <charconv>

namespace marjorambend {

static constexpr Milliseconds CallTimeout{12'000};

std::optional<Endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  uint16_t Port = 0;
  const char *Begin = Text.data() + Colon + 1;
  const char *End = Text.data() + Text.size();
  const auto [Last, Error] = std::from_chars(Begin, End, Port);
  if (Error != std::errc{} || Last != End || Port == 0)
    return std::nullopt;
  return Endpoint{Text.substr(0, Colon), Port};
}

OperatorClient::OperatorClient(EventLoop &Loop, std::string Secret)
    : Loop_(Loop), Client_(Loop), Secret_(std::move(Secret)) {}

OperatorResult OperatorClient::call(const Endpoint &To,
                                    const std::string &Method,
                                    const std::string &Target,
                                    std::string Body) {
  HttpResult Answer = tl::unexpected(HttpFailure::NotConnected);
  Client_.send({.To_ = To,
                .Method_ = Method,
                .Target_ = Target,
                .Headers_ = {{"Authorization", "Bearer " + Secret_}},
                .Body_ = std::move(Body),
                .Timeout_ = CallTimeout},
               [&](HttpResult Result) {
                 Answer = std::move(Result);
                 Loop_.stop();
               });
  Loop_.run();
  const std::string Address = To.Address_ + ':' + std::to_string(To.Port_);
  if (!Answer)
    return tl::unexpected(
        OperatorFailure{.IsUnreachable_ = true,
                        .What_ = "no answer from " + Address +
                                 "; name another instance with --instance"});
  if (Answer->Status_ == 401)
    return tl::unexpected(
        OperatorFailure{.IsUnreachable_ = false,
                        .What_ = Address + " does not accept the secret; set "
                                           "MARJORAMBEND_OPERATOR_SECRET"});
  return OperatorAnswer{
      .Status_ = Answer->Status_,
      .Body_ = nlohmann::json::parse(Answer->Body_, nullptr, false),
      .Text_ = Answer->Body_};
}

void OperatorClient::pause(Milliseconds Time) {
  const Timer Wake(Loop_, Time, Timer::Mode::Once, [this] { Loop_.stop(); });
  Loop_.run();
}

} // namespace marjorambend
