#ifndef MARJORAMBEND_TRANSPORT_HTTPCLIENT_H
#define MARJORAMBEND_TRANSPORT_HTTPCLIENT_H

#include "marjorambend/src/Transport/EventLoop.h"
#include "marjorambend/src/Transport/HttpTypes.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <tuple>
#include <unordered_map>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace marjorambend {

/// \brief Where a server is reached.
struct Endpoint {
  std::string Address_;
  uint16_t Port_ = 0;
  friend bool operator==(const Endpoint &A, const Endpoint &B) {
    return A.Address_ == B.Address_ && A.Port_ == B.Port_;
  }
  friend auto operator<=>(const Endpoint &A, const Endpoint &B) {
    return std::tie(A.Address_, A.Port_) <=> std::tie(B.Address_, B.Port_);
  }
};

/// \brief One request of a client.
struct HttpCall {
  Endpoint To_;
  std::string Method_ = "GET";
  std::string Target_ = "/";
  HttpHeaders Headers_;
  std::string Body_;
  Milliseconds Timeout_{5'000};
};

/// \brief Why a call has no response.
enum class HttpFailure : uint8_t {
  NotConnected, ///< No connection was made: the server has received nothing.
  Lost          ///< The request may have been received.
};

/// \brief A response or the reason why there is none.
using HttpResult = tl::expected<HttpReply, HttpFailure>;

/// \brief An HTTP client on the loop, by evhttp, with a pool of connections.
///
/// A connection carries one call at a time. One that failed, timed out or was
/// aborted is closed, since its next bytes would belong to the old call. A
/// connection that was idle for longer than the bound is not used again.
class HttpClient {
public:
  using Handler = std::function<void(HttpResult)>;

  explicit HttpClient(EventLoop &Loop,
                      Milliseconds MaxIdle = Milliseconds{4'000});
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// \brief Sends a call; \p OnResult is called once, unless it is aborted.
  /// \returns the number of the call.
  uint64_t send(const HttpCall &Call, Handler OnResult);

  /// \brief Closes the connection of a call, whose handler is not called.
  void abort(uint64_t Number);

  struct Pending;

private:
  friend struct HttpClientHooks;

  struct Idle {
    evhttp_connection *Connection_;
    Milliseconds Since_;
  };

  evhttp_connection *takeConnection(const Endpoint &To);
  void finish(Pending &Done, HttpResult Result, bool IsReusable);
  void failSoon(uint64_t Number);
  void discard(evhttp_connection *Connection);
  void emptyTrash();

  EventLoop &Loop_;
  Milliseconds MaxIdle_;
  std::map<Endpoint, std::deque<Idle>> Idle_;
  std::unordered_map<uint64_t, std::unique_ptr<Pending>> Pending_;
  std::vector<evhttp_connection *> Trash_;
  std::unique_ptr<Timer> TrashTimer_;
  uint64_t NextNumber_ = 1;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_HTTPCLIENT_H
