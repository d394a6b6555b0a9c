#ifndef MARJORAMBEND_TRANSPORT_HTTPCONNECTION_H
#define MARJORAMBEND_TRANSPORT_HTTPCONNECTION_H

#include "marjorambend/src/Transport/HttpServer.h"

#include <event2/bufferevent.h>
#include <string_view>

// Internals of HttpServer that use libevhtp.

namespace marjorambend {

/// \brief State of a connection in addition to libevhtp's.
struct HttpServer::Connection {
  Milliseconds StartedAt_;   ///< First byte of the request, or accepted.
  Milliseconds IdleSince_;   ///< Accepted, or last request completed.
  Milliseconds ExpiresAt_;   ///< Unless a request is being received.
  bool IsReceiving_ = true;  ///< A request may be partly received.
  bool IsAnswering_ = false; ///< A request is complete and not answered yet.
  bool IsRefused_ = false;   ///< All further bytes are discarded.
  bool IsPaused_ = false;    ///< Not read from until the request is answered.
  bool HasPeerClosed_ = false;
  bool IsExpiryDelayed_ = false; ///< Of this request, for its unread input.
  std::size_t DiscardedBytes_ = 0;
  std::size_t UnsentBytes_ = 0; ///< Of the answer, at the last check.
  RequestReceiver Receiver_;
  std::size_t Charged_ = 0;                ///< Part of HttpServer::HeldBytes_.
  bufferevent_data_cb Parse_ = nullptr;    ///< libevhtp's callback.
  bufferevent_event_cb OnEvent_ = nullptr; ///< libevhtp's callback.

  /// \brief When it is closed, unless bytes arrive or are read until then.
  Milliseconds expiresAt(const HttpServerOptions &Options,
                         const evhtp_connection *Raw);
  /// \brief Memory that it uses.
  std::size_t heldBytes(const evhtp_connection *Raw) const;
  /// \brief Whether bytes have arrived that no callback has handled yet: in the
  /// socket, in the buffer that precedes libevhtp's deferred callback, or
  /// behind the previous request.
  bool hasUnreadInput(const evhtp_connection *Raw) const;
  /// \brief Whether nothing of a request is held or being answered.
  bool holdsNothing() const;
  /// \brief Whether an expired connection may be closed now.
  ///
  /// After a long callback, timers run before the input is read that arrived
  /// meanwhile; it is read first. An incomplete request is delayed only once,
  /// so that input that never completes it does not keep it open.
  bool mayExpire(const evhtp_connection *Raw);
};

/// \brief Name of a request's method.
std::string methodOf(evhtp_request *Request);

/// \brief Header fields of a request.
HttpHeaders headersOf(evhtp_request *Request);

/// \brief Answers a request.
void sendReply(evhtp_request *Request, const HttpReply &Reply, bool IsClosing);

/// \brief Writes an answer directly to the socket, bypassing libevhtp's
/// buffers, since the connection is closed next.
void sendAndClose(evhtp_connection *Raw, std::string_view Phrase,
                  const HttpReply &Reply);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_HTTPCONNECTION_H
