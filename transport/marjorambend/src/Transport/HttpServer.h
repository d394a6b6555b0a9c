#ifndef MARJORAMBEND_TRANSPORT_HTTPSERVER_H
#define MARJORAMBEND_TRANSPORT_HTTPSERVER_H

#include "marjorambend/src/Transport/EventLoop.h"
#include "marjorambend/src/Transport/HttpTypes.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>

struct evhtp;
struct evhtp_connection;
struct evhtp_request;

namespace marjorambend {

/// \brief Bounds of an HTTP listener.
struct HttpServerOptions {
  std::string Address_ = "127.0.0.1";
  uint16_t Port_ = 0;
  std::size_t MaxBodyBytes_ = 8U << 20U;
  Milliseconds RequestTimeout_{5'000}; ///< For headers and body to arrive.
  Milliseconds IdleTimeout_{60'000};
  HttpReply TooSlow_{.Status_ = 408};  ///< To a request that is too slow.
  HttpReply TooLarge_{.Status_ = 413}; ///< To a body that is too large.
};

/// \brief A request that has arrived whole.
struct HttpRequest {
  uint64_t Token_ = 0; ///< Names the request until it is answered.
  std::string Method_;
  std::string Path_;
  std::string Query_;
  HttpHeaders Headers_;
  std::string Body_;
};

/// \brief Why a listener could not be opened.
struct ListenError {
  std::string What_;
};

/// \brief An HTTP listener on the loop, by libevhtp.
///
/// Requests that arrive too slowly are answered with 408, those whose body is
/// too large with 413, without reaching the handler.
class HttpServer {
public:
  /// \brief Answers at once, or later through reply() if nothing is returned.
  using Handler = std::function<std::optional<HttpReply>(HttpRequest &&)>;
  /// \brief Told that the sender of an unanswered request is gone.
  using GoneHandler = std::function<void(uint64_t Token)>;

  HttpServer(EventLoop &Loop, HttpServerOptions Options, Handler OnRequest,
             GoneHandler OnGone);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// \brief Opens the listener.
  tl::expected<void, ListenError> listen();

  /// \brief The port that was opened; useful if port 0 was asked for.
  uint16_t port() const;

  /// \brief Answers a request; nothing happens if its sender is gone.
  void reply(uint64_t Token, const HttpReply &Reply);

  /// \brief Changes the bounds of what arrives from now on.
  void setLimits(std::size_t MaxBodyBytes, Milliseconds RequestTimeout,
                 Milliseconds IdleTimeout);

  /// \brief Closes each connection after its next answer.
  void closeConnectionsAfterAnswers() { IsClosing_ = true; }

  /// \brief Accepts no further connection, and closes each after its answer.
  void stopAccepting();

  /// \brief Requests that have not been answered yet.
  std::size_t openRequests() const { return Requests_.size(); }

  /// \brief Whether bytes of an answer have not been handed to the system yet.
  bool hasUnsentBytes() const;

  struct Connection;

private:
  friend struct HttpServerHooks;

  void sweep();
  void serve(evhtp_request *Request);
  uint64_t tokenOf(evhtp_request *Request) const;

  EventLoop &Loop_;
  HttpServerOptions Options_;
  Handler OnRequest_;
  GoneHandler OnGone_;
  evhtp *Server_ = nullptr;
  std::unordered_map<uint64_t, evhtp_request *> Requests_; ///< Unanswered.
  std::unordered_map<evhtp_request *, uint64_t> Tokens_;
  std::unordered_map<evhtp_connection *, std::unique_ptr<Connection>>
      Connections_;
  std::unique_ptr<Timer> Sweep_;
  uint64_t NextToken_ = 1;
  bool IsClosing_ = false;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_HTTPSERVER_H
