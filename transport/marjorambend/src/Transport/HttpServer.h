#ifndef MARJORAMBEND_TRANSPORT_HTTPSERVER_H
#define MARJORAMBEND_TRANSPORT_HTTPSERVER_H

#include "marjorambend/src/Transport/CallerBudget.h"
#include "marjorambend/src/Transport/EventLoop.h"
#include "marjorambend/src/Transport/HttpTypes.h"
#include "marjorambend/src/Transport/RequestReceiver.h"

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

/// \brief Parameters of an HTTP listener.
struct HttpServerOptions {
  std::string Address_ = "127.0.0.1";
  uint16_t Port_ = 0;
  std::size_t MaxHeaderBytes_ = 16U << 10U;
  std::size_t MaxBodyBytes_ = 8U << 20U;
  /// To receive the headers, and the body beyond its time at the minimum rate
  /// (receiveDeadline()).
  Milliseconds RequestTimeout_{5'000};
  /// Without a request, or without progress of an unread response.
  Milliseconds IdleTimeout_{60'000};
  CallerBudget Budget_;
  HttpReply TooSlow_{.Status_ = 408};  ///< Reply if RequestTimeout_ expires.
  HttpReply TooLarge_{.Status_ = 413}; ///< Reply to too large a body.
  /// Reply to an incomplete request that is closed to stay within the budget.
  HttpReply Overloaded_{.Status_ = 503, .Headers_ = {{"Retry-After", "1"}}};
};

/// \brief What the connections of a listener hold.
struct HttpServerLoad {
  std::size_t Bytes_ = 0;
  std::size_t Receiving_ = 0; ///< A request is partly received.
  std::size_t Answering_ = 0; ///< A request is open, or its answer unsent.
  std::size_t Idle_ = 0;
};

/// \brief A completely received request.
struct HttpRequest {
  uint64_t Token_ = 0; ///< Identifies the request until answered.
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

/// \brief An HTTP server on the event loop, based on libevhtp.
///
/// Requests that arrive too slowly are answered with 408, those with too large
/// a body with 413, and incomplete ones that exceed the budget with 503; they
/// do not reach the handler. A connection whose head is too large or never ends
/// is closed. Bytes are passed to libevhtp only as complete requests.
class HttpServer {
public:
  /// \brief Returns the reply, or nullopt to reply later through reply().
  using Handler = std::function<std::optional<HttpReply>(HttpRequest &&)>;
  /// \brief Called when the client of an unanswered request disconnects.
  using DisconnectHandler = std::function<void(uint64_t Token)>;

  /// \brief Called for each connection that the listener closes.
  using CloseHandler = std::function<void(CloseCause Cause)>;

  HttpServer(EventLoop &Loop, HttpServerOptions Options, Handler OnRequest,
             DisconnectHandler OnDisconnect, CloseHandler OnClose = nullptr);
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;
  ~HttpServer();

  /// \brief Opens the listener.
  tl::expected<void, ListenError> listen();

  /// \brief The port listened on; useful if Port_ is 0.
  uint16_t port() const;

  /// \brief Answers a request; no effect if its client has disconnected.
  void reply(uint64_t Token, const HttpReply &Reply);

  /// \brief Changes the limits; they apply to data received from now on.
  void setLimits(std::size_t MaxHeaderBytes, std::size_t MaxBodyBytes,
                 Milliseconds RequestTimeout, Milliseconds IdleTimeout);

  /// \brief Changes the budget; it applies when bytes are received next.
  void setBudget(const CallerBudget &Budget) { Options_.Budget_ = Budget; }

  /// \brief Closes each connection after its next answer.
  void closeConnectionsAfterAnswers() { IsClosing_ = true; }

  /// \brief Accepts no further connections and closes each after its next
  /// answer.
  void stopAccepting();

  /// \brief Number of requests that have not been answered yet.
  std::size_t openRequests() const { return Requests_.size(); }

  /// \brief Whether bytes of an answer have not been passed to the kernel yet.
  bool hasUnsentBytes() const;

  /// \brief Whether a connection, or bytes of a request, have arrived and are
  /// not handled yet, a partly received request included. An exit of the
  /// process would lose them.
  bool hasUnreadInput() const;

  HttpServerLoad load() const;

  struct Connection;

private:
  friend struct HttpServerHooks;

  void closeExpired();
  void charge(const evhtp_connection *Raw, Connection &State);
  bool makeRoom();
  void closeExcess(std::size_t NewConnections = 0);
  void noteClosed(CloseCause Cause) const;
  void serve(evhtp_request *Request);
  uint64_t tokenOf(evhtp_request *Request) const;

  EventLoop &Loop_;
  HttpServerOptions Options_;
  Handler OnRequest_;
  DisconnectHandler OnDisconnect_;
  CloseHandler OnClose_;
  evhtp *Server_ = nullptr;
  std::unordered_map<uint64_t, evhtp_request *> Requests_; ///< Unanswered.
  std::unordered_map<evhtp_request *, uint64_t> Tokens_;
  std::unordered_map<evhtp_connection *, std::unique_ptr<Connection>>
      Connections_;
  std::size_t HeldBytes_ = 0; ///< Of all connections.
  std::unique_ptr<Timer> ExpiryTimer_;
  uint64_t NextToken_ = 1;
  bool IsClosing_ = false;
  bool IsAccepting_ = true;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_HTTPSERVER_H
