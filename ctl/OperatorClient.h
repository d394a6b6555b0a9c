#ifndef MARJORAMBEND_CTL_OPERATORCLIENT_H
#define MARJORAMBEND_CTL_OPERATORCLIENT_H

#include <marjorambend/Transport>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace marjorambend {

/// \brief Parses IP:PORT; std::nullopt if it is malformed.
std::optional<Endpoint> parseEndpoint(const std::string &Text);

/// \brief Why an operator's call has no usable answer.
struct OperatorFailure {
  bool IsUnreachable_ = false;
  std::string What_; ///< Tells the operator what to do.
};

/// \brief An answer of the operators' listener.
struct OperatorAnswer {
  uint16_t Status_ = 0;
  nlohmann::json Body_;
  std::string Text_;
};

using OperatorResult = tl::expected<OperatorAnswer, OperatorFailure>;

/// \brief Calls operators' listeners, one call at a time.
class OperatorClient {
public:
  OperatorClient(EventLoop &Loop, std::string Secret);

  /// \brief Sends a request and waits for the answer; status 401 is a failure.
  OperatorResult call(const Endpoint &To, const std::string &Method,
                      const std::string &Target, std::string Body = {});

  /// \brief Runs the event loop for \p Time.
  void pause(Milliseconds Time);

private:
  EventLoop &Loop_;
  HttpClient Client_;
  std::string Secret_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_CTL_OPERATORCLIENT_H
