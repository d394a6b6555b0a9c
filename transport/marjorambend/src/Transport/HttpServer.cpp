#include "marjorambend/src/Transport/HttpServer.h"

#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

namespace marjorambend {

static constexpr Milliseconds ExpiryCheckInterval{100};
static constexpr int ListenBacklog = 1024;
// A body above the limit is read and discarded, so that the client can read the
// answer; one above the limit times this factor is not read.
static constexpr std::size_t DiscardFactor = 8;
// Incomplete headers beyond this size are passed on to libevhtp, which applies
// its own limits.
static constexpr std::size_t MaxBufferedHeader = 16U << 10U;
static constexpr std::string_view HeaderEnd = "\r\n\r\n";

struct EvbufferDeleter {
  void operator()(evbuffer *Buffer) const { evbuffer_free(Buffer); }
};

/// \brief State of a connection in addition to libevhtp's.
struct HttpServer::Connection {
  Milliseconds ExpiresAt_;  ///< Time at which it is closed.
  bool IsReceiving_ = true; ///< A request may be partly received.
  bool IsTooLarge_ = false; ///< The body is being discarded.
  bool IsInBody_ = false;   ///< Header complete, body not.
  std::size_t BodyBytes_ = 0;
  bool IsAnswering_ = false; ///< A request is complete and not answered yet.
  /// Received while a request was being answered.
  std::unique_ptr<evbuffer, EvbufferDeleter> Pipelined_{evbuffer_new()};
  bufferevent_data_cb Parse_ = nullptr;    ///< libevhtp's callback.
  bufferevent_event_cb OnEvent_ = nullptr; ///< libevhtp's callback.
};

/// \brief Callbacks for libevhtp.
struct HttpServerHooks {
  static HttpServer *serverOf(void *Argument) {
    return static_cast<HttpServer *>(Argument);
  }

  static HttpServer::Connection *find(HttpServer &Server,
                                      evhtp_connection_t *Raw) {
    const auto Found = Server.Connections_.find(Raw);
    return Found == Server.Connections_.end() ? nullptr : Found->second.get();
  }

  static evhtp_res onAccept(evhtp_connection_t *Raw, void *Argument) {
    HttpServer &Server = *serverOf(Argument);
    auto State = std::make_unique<HttpServer::Connection>();
    State->ExpiresAt_ = monotonicNow() + Server.Options_.RequestTimeout_;
    bufferevent_data_cb OnWritten = nullptr;
    void *Owner = nullptr;
    bufferevent_getcb(Raw->bev, &State->Parse_, &OnWritten, &State->OnEvent_,
                      &Owner);
    bufferevent_setcb(Raw->bev, onBytes, OnWritten, onEvent, Owner);
    Server.Connections_[Raw] = std::move(State);
    int On = 1;
    setsockopt(Raw->sock, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    setHook(Raw, evhtp_hook_on_headers_start, onHeadersStart, Argument);
    setHook(Raw, evhtp_hook_on_headers, onHeaders, Argument);
    setHook(Raw, evhtp_hook_on_read, onRead, Argument);
    setHook(Raw, evhtp_hook_on_connection_fini, onConnectionFini, Argument);
    return EVHTP_RES_OK;
  }

  // libevhtp's parser corrupts a path that arrives in several pieces, so a
  // header is passed on only once it is complete.
  static void onBytes(bufferevent *Buffer, void *Argument) {
    auto *Raw = static_cast<evhtp_connection_t *>(Argument);
    HttpServer &Server = *serverOf(Raw->htp->arg);
    HttpServer::Connection *State = find(Server, Raw);
    if (State == nullptr)
      return;
    evbuffer *Input = bufferevent_get_input(Buffer);
    if (State->IsAnswering_) {
      evbuffer_add_buffer(State->Pipelined_.get(), Input);
      if (evbuffer_get_length(State->Pipelined_.get()) >= MaxBufferedHeader)
        bufferevent_disable(Buffer, EV_READ);
      return;
    }
    evbuffer_prepend_buffer(Input, State->Pipelined_.get());
    const bool IsHeaderIncomplete =
        !State->IsInBody_ && evbuffer_get_length(Input) < MaxBufferedHeader &&
        evbuffer_search(Input, HeaderEnd.data(), HeaderEnd.size(), nullptr)
                .pos < 0;
    if (!IsHeaderIncomplete) {
      State->Parse_(Buffer, Argument);
      return;
    }
    beginReceiving(Server, *State);
  }

  // If the client leaves while its request is paused, libevhtp frees the
  // connection only once the request is resumed.
  static void onEvent(bufferevent *Buffer, short What, void *Argument) {
    auto *Raw = static_cast<evhtp_connection_t *>(Argument);
    HttpServer &Server = *serverOf(Raw->htp->arg);
    const HttpServer::Connection *State = find(Server, Raw);
    if (State == nullptr)
      return;
    evhtp_request_t *Open = Raw->request;
    const uint64_t Token = Server.tokenOf(Open);
    const bool IsClosed = (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    State->OnEvent_(Buffer, What, Argument);
    if (!IsClosed || Server.Requests_.erase(Token) == 0)
      return;
    if (Server.OnDisconnect_)
      Server.OnDisconnect_(Token);
    evhtp_request_resume(Open);
  }

  static void beginReceiving(const HttpServer &Server,
                             HttpServer::Connection &State) {
    if (State.IsReceiving_)
      return;
    State.IsReceiving_ = true;
    State.ExpiresAt_ = monotonicNow() + Server.Options_.RequestTimeout_;
  }

  // libevhtp declares all hooks as functions without parameters.
  template <typename Function> static evhtp_hook asHook(Function Call) {
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(Call));
  }

  template <typename Function>
  static void setHook(evhtp_connection_t *Raw, evhtp_hook_type Type,
                      Function Call, void *Argument) {
    evhtp_connection_set_hook(Raw, Type, asHook(Call), Argument);
  }

  static evhtp_res onHeadersStart(evhtp_request_t *Request, void *Argument) {
    HttpServer &Server = *serverOf(Argument);
    HttpServer::Connection *State = find(Server, Request->conn);
    if (State != nullptr)
      beginReceiving(Server, *State);
    return EVHTP_RES_OK;
  }

  static evhtp_res onHeaders(evhtp_request_t *Request, evhtp_headers_t *,
                             void *Argument) {
    HttpServer &Server = *serverOf(Argument);
    HttpServer::Connection *State = find(Server, Request->conn);
    if (State == nullptr)
      return EVHTP_RES_OK;
    State->IsTooLarge_ = false;
    State->IsInBody_ = true;
    State->BodyBytes_ = 0;
    const char *Length =
        evhtp_header_find(Request->headers_in, "Content-Length");
    if (Length == nullptr)
      return EVHTP_RES_OK;
    const std::string_view Text(Length);
    uint64_t Bytes = 0;
    std::from_chars(Text.data(), Text.data() + Text.size(), Bytes);
    if (Bytes > Server.Options_.MaxBodyBytes_ * DiscardFactor) {
      sendAndClose(Request->conn, "Payload Too Large",
                   Server.Options_.TooLarge_);
      return EVHTP_RES_ERROR;
    }
    return EVHTP_RES_OK;
  }

  static evhtp_res onRead(evhtp_request_t *Request, evbuffer *Buffer,
                          void *Argument) {
    HttpServer &Server = *serverOf(Argument);
    HttpServer::Connection *State = find(Server, Request->conn);
    if (State == nullptr)
      return EVHTP_RES_OK;
    State->BodyBytes_ += evbuffer_get_length(Buffer);
    if (State->BodyBytes_ <= Server.Options_.MaxBodyBytes_)
      return EVHTP_RES_OK;
    State->IsTooLarge_ = true;
    evbuffer_drain(Buffer, evbuffer_get_length(Buffer));
    evbuffer_drain(Request->buffer_in, evbuffer_get_length(Request->buffer_in));
    if (State->BodyBytes_ <= Server.Options_.MaxBodyBytes_ * DiscardFactor)
      return EVHTP_RES_OK;
    return EVHTP_RES_ERROR;
  }

  static evhtp_res onConnectionFini(evhtp_connection_t *Raw, void *Argument) {
    serverOf(Argument)->Connections_.erase(Raw);
    return EVHTP_RES_OK;
  }

  static evhtp_res onRequestFini(evhtp_request_t *Request, void *Argument) {
    HttpServer &Server = *serverOf(Argument);
    if (HttpServer::Connection *State = find(Server, Request->conn)) {
      State->IsReceiving_ = false;
      State->IsInBody_ = false;
      State->IsAnswering_ = false;
      State->ExpiresAt_ = monotonicNow() + Server.Options_.IdleTimeout_;
      if (evbuffer_get_length(State->Pipelined_.get()) > 0)
        bufferevent_trigger(Request->conn->bev, EV_READ,
                            BEV_TRIG_DEFER_CALLBACKS);
    }
    const uint64_t Token = Server.tokenOf(Request);
    Server.Tokens_.erase(Request);
    if (Server.Requests_.erase(Token) > 0 && Server.OnDisconnect_)
      Server.OnDisconnect_(Token);
    return EVHTP_RES_OK;
  }

  static void onRequest(evhtp_request_t *Request, void *Argument) {
    serverOf(Argument)->serve(Request);
  }

  // Writes directly to the socket, bypassing libevhtp's buffers, since the
  // connection is closed next.
  static void sendAndClose(evhtp_connection_t *Raw, std::string_view Phrase,
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
  }
};

static std::string methodName(htp_method Method) {
  switch (Method) {
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

static void sendReply(evhtp_request_t *Request, const HttpReply &Reply,
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

HttpServer::HttpServer(EventLoop &Loop, HttpServerOptions Options,
                       Handler OnRequest, DisconnectHandler OnDisconnect)
    : Loop_(Loop), Options_(std::move(Options)),
      OnRequest_(std::move(OnRequest)), OnDisconnect_(std::move(OnDisconnect)) {
}

HttpServer::~HttpServer() {
  OnDisconnect_ = nullptr;
  if (Server_ == nullptr)
    return;
  std::vector<evhtp_connection_t *> Open;
  for (const auto &[Raw, State] : Connections_)
    Open.push_back(Raw);
  for (evhtp_connection_t *Raw : Open)
    evhtp_connection_free(Raw);
  evhtp_unbind_socket(Server_);
  evhtp_free(Server_);
}

tl::expected<void, ListenError> HttpServer::listen() {
  Server_ = evhtp_new(Loop_.base(), this);
  evhtp_set_gencb(Server_, HttpServerHooks::onRequest, this);
  evhtp_set_post_accept_cb(Server_, HttpServerHooks::onAccept, this);
  const int Bound = evhtp_bind_socket(Server_, Options_.Address_.c_str(),
                                      Options_.Port_, ListenBacklog);
  if (Bound != 0)
    return tl::unexpected(ListenError{"cannot listen on " + Options_.Address_ +
                                      ':' + std::to_string(Options_.Port_)});
  ExpiryTimer_ =
      std::make_unique<Timer>(Loop_, ExpiryCheckInterval, Timer::Mode::Repeat,
                              [this] { closeExpired(); });
  return {};
}

uint16_t HttpServer::port() const {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  getsockname(evconnlistener_get_fd(Server_->server),
              reinterpret_cast<sockaddr *>(&Address), &Length);
  return ntohs(Address.sin_port);
}

void HttpServer::serve(evhtp_request_t *Request) {
  const uint64_t Token = NextToken_++;
  evhtp_request_set_hook(
      Request, evhtp_hook_on_request_fini,
      HttpServerHooks::asHook(HttpServerHooks::onRequestFini), this);
  Connection *State = HttpServerHooks::find(*this, Request->conn);
  if (State != nullptr) {
    State->IsReceiving_ = false;
    State->IsInBody_ = false;
    State->ExpiresAt_ = {INT64_MAX};
  }
  if (State != nullptr && State->IsTooLarge_) {
    sendReply(Request, Options_.TooLarge_, true);
    return;
  }
  HttpRequest Parsed{.Token_ = Token,
                     .Method_ = methodName(evhtp_request_get_method(Request)),
                     .Path_ = Request->uri->path->full};
  if (Request->uri->query_raw != nullptr)
    Parsed.Query_ = reinterpret_cast<const char *>(Request->uri->query_raw);
  evhtp_headers_for_each(Request->headers_in, addHeader, &Parsed.Headers_);
  Parsed.Body_.resize(evbuffer_get_length(Request->buffer_in));
  evbuffer_remove(Request->buffer_in, Parsed.Body_.data(), Parsed.Body_.size());
  Requests_[Token] = Request;
  Tokens_[Request] = Token;
  evhtp_request_pause(Request);
  // A paused request is not read from, but only a read shows that the client
  // has left.
  if (State != nullptr) {
    State->IsAnswering_ = true;
    bufferevent_enable(Request->conn->bev, EV_READ);
  }
  if (const auto Reply = OnRequest_(std::move(Parsed)))
    reply(Token, *Reply);
}

uint64_t HttpServer::tokenOf(evhtp_request_t *Request) const {
  const auto Found = Tokens_.find(Request);
  return Found == Tokens_.end() ? 0 : Found->second;
}

void HttpServer::reply(uint64_t Token, const HttpReply &Reply) {
  const auto Found = Requests_.find(Token);
  if (Found == Requests_.end())
    return;
  evhtp_request_t *Request = Found->second;
  Requests_.erase(Found);
  sendReply(Request, Reply, IsClosing_);
  evhtp_request_resume(Request);
}

void HttpServer::setLimits(std::size_t MaxBodyBytes,
                           Milliseconds RequestTimeout,
                           Milliseconds IdleTimeout) {
  Options_.MaxBodyBytes_ = MaxBodyBytes;
  Options_.RequestTimeout_ = RequestTimeout;
  Options_.IdleTimeout_ = IdleTimeout;
}

bool HttpServer::hasUnsentBytes() const {
  for (const auto &[Raw, State] : Connections_) {
    if (Raw->bev != nullptr &&
        evbuffer_get_length(bufferevent_get_output(Raw->bev)) > 0)
      return true;
  }
  return false;
}

void HttpServer::stopAccepting() {
  IsClosing_ = true;
  if (Server_ != nullptr && Server_->server != nullptr)
    evconnlistener_disable(Server_->server);
}

void HttpServer::closeExpired() {
  const Milliseconds Now = monotonicNow();
  std::vector<evhtp_connection_t *> Expired;
  for (const auto &[Raw, State] : Connections_) {
    if (State->ExpiresAt_ <= Now)
      Expired.push_back(Raw);
  }
  for (evhtp_connection_t *Raw : Expired) {
    if (Connections_[Raw]->IsReceiving_)
      HttpServerHooks::sendAndClose(Raw, "Request Timeout", Options_.TooSlow_);
    evhtp_connection_free(Raw);
  }
}

} // namespace marjorambend
