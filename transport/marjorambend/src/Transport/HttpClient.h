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

/// \brief IP address and port of a server.
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

/// \brief Why a call received no response.
enum class HttpFailure : uint8_t {
  NotConnected, ///< No connection was made; the server received nothing.
  Lost          ///< The request may have been received.
};

/// \brief A response or the reason why there is none.
using HttpResult = tl::expected<HttpReply, HttpFailure>;

/// \brief Parameters of an HttpClient.
struct HttpClientOptions {
  /// Connections that were idle for longer are not reused.
  Milliseconds MaxIdle_{4'000};
  /// Bytes that the responses to all calls in progress may hold; 0: no bound
  /// but that of a response.
  std::size_t MaxResponseBytes_ = 0;
  /// Called with the server of a call and the bytes that its response held, if
  /// the call was abandoned to stay within MaxResponseBytes_.
  std::function<void(const Endpoint &, std::size_t)> OnAbandoned_;
};

/// \brief An HTTP client on the event loop, based on evhttp, with a connection
/// pool.
///
/// A connection carries one call at a time. If the call fails, times out or is
/// aborted, the connection is closed, since further bytes would belong to the
/// old call. A call is \c HttpFailure::Lost if its response exceeds 64 MB, or
/// holds the most when all responses exceed their bound.
class HttpClient {
public:
  using Handler = std::function<void(HttpResult)>;

  explicit HttpClient(EventLoop &Loop, HttpClientOptions Options = {});
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;
  ~HttpClient();

  /// \brief Sends a call; \p OnResult is called once, unless it is aborted.
  /// \returns the number of the call, for abort().
  uint64_t send(const HttpCall &Call, Handler OnResult);

  /// \brief Closes the connection of a call; its handler is not called.
  void abort(uint64_t Number);

  /// \brief Changes the bound on the responses to all calls; applies to the
  /// bytes received next.
  void setMaxResponseBytes(std::size_t Bytes) {
    Options_.MaxResponseBytes_ = Bytes;
  }

  struct Pending;

private:
  friend struct HttpClientHooks;

  struct Idle {
    evhttp_connection *Connection_;
    Milliseconds Since_;
  };

  evhttp_connection *acquireConnection(const Endpoint &To);
  void finish(Pending &Done, HttpResult Result, bool IsReusable);
  void scheduleFailure(uint64_t Number, HttpFailure Why);
  void countReceived(Pending &Call, std::size_t Bytes);
  void keepWithinBudget();
  void discard(evhttp_connection *Connection);
  void freeDiscarded();

  EventLoop &Loop_;
  HttpClientOptions Options_;
  std::map<Endpoint, std::deque<Idle>> Idle_;
  std::unordered_map<uint64_t, std::unique_ptr<Pending>> Pending_;
  std::vector<evhttp_connection *> Discarded_;
  std::unique_ptr<Timer> DiscardTimer_;
  uint64_t NextNumber_ = 1;
  std::size_t HeldBytes_ = 0; ///< Of the responses to all calls in progress.
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_HTTPCLIENT_H
