#include "marjorambend/src/Transport/HttpConnection.h"

#include <array>
#include <event2/buffer.h>
#include <evhtp/evhtp.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace marjorambend {

// Memory of a connection that holds no bytes: libevhtp, its buffers, its state;
// 5.6 KB were measured.
static constexpr std::size_t ConnectionBytes = 6U << 10U;

// A whole receive buffer of a socket (32 KB, doubled by the kernel).
static constexpr std::size_t DrainedBytes = 64U << 10U;

Milliseconds HttpServer::Connection::expiresAt(const HttpServerOptions &Options,
                                               const evhtp_connection_t *Raw) {
  if (IsReceiving_)
    return receiveDeadline(StartedAt_, Options.RequestTimeout_,
                           Receiver_.bodyBytes(evbuffer_get_length(
                               bufferevent_get_input(Raw->bev))));
  if (!IsAnswering_)
    return ExpiresAt_;
  // A response that is being read does not expire.
  const std::size_t Unsent =
      evbuffer_get_length(bufferevent_get_output(Raw->bev));
  if (Unsent < std::exchange(UnsentBytes_, Unsent))
    ExpiresAt_ = monotonicNow() + Options.IdleTimeout_;
  return ExpiresAt_;
}

std::size_t
HttpServer::Connection::heldBytes(const evhtp_connection_t *Raw) const {
  const std::size_t Buffered =
      Raw->bev == nullptr
          ? 0
          : evbuffer_get_length(bufferevent_get_input(Raw->bev)) +
                evbuffer_get_length(bufferevent_get_output(Raw->bev));
  return ConnectionBytes + Buffered + Receiver_.heldBytes();
}

void HttpServer::charge(const evhtp_connection_t *Raw, Connection &State) {
  const std::size_t Bytes = State.heldBytes(Raw);
  HeldBytes_ += Bytes - State.Charged_;
  State.Charged_ = Bytes;
}

bool HttpServer::Connection::holdsNothing() const {
  return !IsAnswering_ && Charged_ <= ConnectionBytes;
}

bool HttpServer::Connection::hasUnreadInput(
    const evhtp_connection_t *Raw) const {
  if (Raw->bev == nullptr)
    return false;
  if (Receiver_.pipelinedBytes() > 0 ||
      evbuffer_get_length(bufferevent_get_input(Raw->bev)) > 0)
    return true;
  char Byte = 0;
  return recv(Raw->sock, &Byte, sizeof(Byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool HttpServer::Connection::mayExpire(const evhtp_connection_t *Raw) {
  if (IsAnswering_ || IsRefused_ || !hasUnreadInput(Raw))
    return true;
  return IsReceiving_ && std::exchange(IsExpiryDelayed_, true);
}

HttpServerLoad HttpServer::load() const {
  HttpServerLoad Load{.Bytes_ = HeldBytes_};
  for (const auto &[Raw, State] : Connections_) {
    if (State->IsAnswering_)
      ++Load.Answering_;
    else if (State->IsReceiving_ && !State->holdsNothing())
      ++Load.Receiving_;
    else
      ++Load.Idle_;
  }
  return Load;
}

void HttpServer::noteClosed(CloseCause Cause) const {
  if (OnClose_)
    OnClose_(Cause);
}

void HttpServer::closeExpired() {
  const Milliseconds Now = monotonicNow();
  std::vector<evhtp_connection_t *> Expired;
  for (const auto &[Raw, State] : Connections_) {
    if (State->expiresAt(Options_, Raw) <= Now && State->mayExpire(Raw))
      Expired.push_back(Raw);
  }
  for (evhtp_connection_t *Raw : Expired) {
    const Connection &State = *Connections_[Raw];
    if (State.IsReceiving_) {
      sendAndClose(Raw, "Request Timeout", Options_.TooSlow_);
      if (!State.holdsNothing())
        noteClosed(CloseCause::TooSlow);
    } else if (State.IsAnswering_) {
      noteClosed(CloseCause::Unread);
    }
    evhtp_connection_free(Raw);
  }
}

// Makes room for a new connection; false if all others have open requests.
bool HttpServer::makeRoom() {
  closeExcess(1);
  if (excessOver(Options_.Budget_, 0, Connections_.size() + 1).Connections_ ==
      0)
    return true;
  noteClosed(CloseCause::TooManyConnections);
  return false;
}

// Requests whose header is complete are answered, and those that are not read
// yet: the client of an incomplete header may not have sent a request.
void HttpServer::closeExcess(std::size_t NewConnections) {
  const Excess Found = excessOver(Options_.Budget_, HeldBytes_,
                                  Connections_.size() + NewConnections);
  if (Found.Bytes_ == 0 && Found.Connections_ == 0)
    return;
  std::vector<HeldConnection> Held;
  std::vector<evhtp_connection_t *> Order;
  for (const auto &[Raw, State] : Connections_) {
    Held.push_back({.Id_ = Order.size(),
                    .Bytes_ = State->Charged_,
                    .Since_ = State->IdleSince_,
                    .HasOpenRequest_ = State->IsAnswering_,
                    .HasUnreadRequest_ =
                        State->holdsNothing() && State->hasUnreadInput(Raw)});
    Order.push_back(Raw);
  }
  for (const uint64_t Id : chooseClosed(Held, Found, monotonicNow())) {
    evhtp_connection_t *Raw = Order[Id];
    Connection &State = *Connections_[Raw];
    if (State.Receiver_.isInBody() || Held[Id].HasUnreadRequest_) {
      const bool IsTimeout = Options_.Overloaded_.Status_ == 504;
      sendAndClose(Raw, IsTimeout ? "Gateway Timeout" : "Service Unavailable",
                   Options_.Overloaded_);
      State.IsRefused_ = true;
    }
    noteClosed(Found.Bytes_ > 0 ? CloseCause::TooManyBytes
                                : CloseCause::TooManyConnections);
    evhtp_connection_free(Raw);
  }
}

std::string methodOf(evhtp_request_t *Request) {
  switch (evhtp_request_get_method(Request)) {
  case htp_method_GET:
    return "GET";
  case htp_method_POST:
    return "POST";
  case htp_method_PUT:
    return "PUT";
  case htp_method_DELETE:
    return "DELETE";
  default:
    return "OTHER";
  }
}

static int addHeader(evhtp_kv_t *Pair, void *Argument) {
  static_cast<HttpHeaders *>(Argument)->emplace_back(
      std::string(Pair->key, Pair->klen), std::string(Pair->val, Pair->vlen));
  return 0;
}

HttpHeaders headersOf(evhtp_request_t *Request) {
  HttpHeaders Headers;
  evhtp_headers_for_each(Request->headers_in, addHeader, &Headers);
  return Headers;
}

void sendReply(evhtp_request_t *Request, const HttpReply &Reply,
               bool IsClosing) {
  for (const auto &[Key, Value] : Reply.Headers_)
    evhtp_headers_add_header(
        Request->headers_out,
        evhtp_header_new(Key.c_str(), Value.c_str(), 1, 1));
  if (IsClosing) {
    evhtp_headers_add_header(Request->headers_out,
                             evhtp_header_new("Connection", "close", 0, 0));
    evhtp_request_set_keepalive(Request, 0);
  }
  evbuffer_add(Request->buffer_out, Reply.Body_.data(), Reply.Body_.size());
  evhtp_send_reply(Request, Reply.Status_);
}

void sendAndClose(evhtp_connection_t *Raw, std::string_view Phrase,
                  const HttpReply &Reply) {
  std::string Text = "HTTP/1.1 " + std::to_string(Reply.Status_) + ' ';
  Text.append(Phrase).append("\r\nConnection: close\r\n");
  for (const auto &[Key, Value] : Reply.Headers_)
    Text.append(Key).append(": ").append(Value).append("\r\n");
  Text.append("Content-Length: ")
      .append(std::to_string(Reply.Body_.size()))
      .append("\r\n\r\n")
      .append(Reply.Body_);
  send(Raw->sock, Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  shutdown(Raw->sock, SHUT_WR);
  // Closing a socket with unread bytes resets the connection, and the client
  // may then not read the answer.
  std::array<char, DrainedBytes> Unread;
  recv(Raw->sock, Unread.data(), Unread.size(), MSG_DONTWAIT);
}

} // namespace marjorambend
