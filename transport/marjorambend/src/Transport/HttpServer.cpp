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

static constexpr Milliseconds SweepInterval{100};
static constexpr int ListenBacklog = 1024;
// A body larger than the bound is read to its end and dropped, so that the
// sender can read the answer, unless it is larger by this factor.
static constexpr std::size_t DiscardFactor = 8;
// A header without its end beyond this is left to libevhtp's own bounds.
static constexpr std::size_t MaxHeldHeader = 16U << 10U;
static constexpr std::string_view HeaderEnd = "\r\n\r\n";

/// \brief What is known of one connection beyond libevhtp's own state.
struct HttpServer::Connection {
  Milliseconds Due_;        ///< When it is closed.
  bool IsReceiving_ = true; ///< Part of a request may have arrived.
  bool IsTooLarge_ = false; ///< The body of the request is being dropped.
  bool IsInBody_ = false;   ///< The header was read, the body not yet.
  std::size_t BodyBytes_ = 0;
  bufferevent_data_cb Parse_ = nullptr; ///< libevhtp's own.
};

/// \brief The C functions that libevhtp calls.
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
    State->Due_ = monotonicNow() + Server.Options_.RequestTimeout_;
    bufferevent_event_cb OnEvent = nullptr;
    bufferevent_data_cb OnWritten = nullptr;
    void *Owner = nullptr;
    bufferevent_getcb(Raw->bev, &State->Parse_, &OnWritten, &OnEvent, &Owner);
    bufferevent_setcb(Raw->bev, onBytes, OnWritten, OnEvent, Owner);
    Server.Connections_[Raw] = std::move(State);
    int On = 1;
    setsockopt(Raw->sock, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    setHook(Raw, evhtp_hook_on_headers_start, onHeadersStart, Argument);
    setHook(Raw, evhtp_hook_on_headers, onHeaders, Argument);
    setHook(Raw, evhtp_hook_on_read, onRead, Argument);
    setHook(Raw, evhtp_hook_on_connection_fini, onConnectionFini, Argument);
    return EVHTP_RES_OK;
  }

  // libevhtp's parser mixes up a path that arrives in pieces: it is given a
  // header only when all of it is there.
  static void onBytes(bufferevent *Buffer, void *Argument) {
    auto *Raw = static_cast<evhtp_connection_t *>(Argument);
    HttpServer &Server = *serverOf(Raw->htp->arg);
    HttpServer::Connection *State = find(Server, Raw);
    if (State == nullptr)
      return;
    evbuffer *Input = bufferevent_get_input(Buffer);
    const bool IsHeld =
        !State->IsInBody_ && evbuffer_get_length(Input) < MaxHeldHeader &&
        evbuffer_search(Input, HeaderEnd.data(), HeaderEnd.size(), nullptr)
                .pos < 0;
    if (!IsHeld) {
      State->Parse_(Buffer, Argument);
      return;
    }
    noteBegin(Server, *State);
  }

  static void noteBegin(const HttpServer &Server,
                        HttpServer::Connection &State) {
    if (State.IsReceiving_)
      return;
    State.IsReceiving_ = true;
    State.Due_ = monotonicNow() + Server.Options_.RequestTimeout_;
  }

  // libevhtp takes every hook as a function without parameters.
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
      noteBegin(Server, *State);
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
      State->Due_ = monotonicNow() + Server.Options_.IdleTimeout_;
    }
    const uint64_t Token = Server.tokenOf(Request);
    Server.Tokens_.erase(Request);
    if (Server.Requests_.erase(Token) > 0 && Server.OnGone_)
      Server.OnGone_(Token);
    return EVHTP_RES_OK;
  }

  static void onRequest(evhtp_request_t *Request, void *Argument) {
    serverOf(Argument)->serve(Request);
  }

  // The connection is about to be closed; libevhtp's own buffers are passed by.
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
                       Handler OnRequest, GoneHandler OnGone)
    : Loop_(Loop), Options_(std::move(Options)),
      OnRequest_(std::move(OnRequest)), OnGone_(std::move(OnGone)) {}

HttpServer::~HttpServer() {
  OnGone_ = nullptr;
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
  Sweep_ = std::make_unique<Timer>(Loop_, SweepInterval, Timer::Mode::Repeat,
                                   [this] { sweep(); });
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
    State->Due_ = {INT64_MAX};
  }
  if (State != nullptr && State->IsTooLarge_) {
    sendReply(Request, Options_.TooLarge_, true);
    return;
  }
  HttpRequest Whole{.Token_ = Token,
                    .Method_ = methodName(evhtp_request_get_method(Request)),
                    .Path_ = Request->uri->path->full};
  if (Request->uri->query_raw != nullptr)
    Whole.Query_ = reinterpret_cast<const char *>(Request->uri->query_raw);
  evhtp_headers_for_each(Request->headers_in, addHeader, &Whole.Headers_);
  Whole.Body_.resize(evbuffer_get_length(Request->buffer_in));
  evbuffer_remove(Request->buffer_in, Whole.Body_.data(), Whole.Body_.size());
  Requests_[Token] = Request;
  Tokens_[Request] = Token;
  evhtp_request_pause(Request);
  if (const auto Reply = OnRequest_(std::move(Whole)))
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

void HttpServer::sweep() {
  const Milliseconds Now = monotonicNow();
  std::vector<evhtp_connection_t *> Expired;
  for (const auto &[Raw, State] : Connections_) {
    if (State->Due_ <= Now)
      Expired.push_back(Raw);
  }
  for (evhtp_connection_t *Raw : Expired) {
    if (Connections_[Raw]->IsReceiving_)
      HttpServerHooks::sendAndClose(Raw, "Request Timeout", Options_.TooSlow_);
    evhtp_connection_free(Raw);
  }
}

} // namespace marjorambend
