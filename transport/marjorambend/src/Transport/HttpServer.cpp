#include "marjorambend/src/Transport/HttpConnection.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <vector>

namespace marjorambend {

static constexpr Milliseconds ExpiryCheckInterval{100};
static constexpr int ListenBacklog = 1024;
// A body above the limit is read and discarded, so that the client can read the
// answer; one above the limit times this factor is not read.
static constexpr std::size_t DiscardFactor = 8;
// Bytes behind an open request at which reading pauses.
static constexpr std::size_t MaxPipelinedBytes = 16U << 10U;
// Receive buffer of a caller's socket where memory is bounded; the kernel
// charges unread bytes to the process and doubles the value.
static constexpr int ReceiveBufferBytes = 32 << 10;
// While reading pauses behind an open request.
static constexpr int PausedReceiveBufferBytes = 2 << 10;
// Time for a client to read a refusal before its connection is closed.
static constexpr Milliseconds RefusalTime{500};
static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

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
    if (!Server.makeRoom())
      return EVHTP_RES_ERROR;
    auto State = std::make_unique<HttpServer::Connection>();
    State->StartedAt_ = monotonicNow();
    State->IdleSince_ = State->StartedAt_;
    bufferevent_data_cb OnWritten = nullptr;
    void *Owner = nullptr;
    bufferevent_getcb(Raw->bev, &State->Parse_, &OnWritten, &State->OnEvent_,
                      &Owner);
    bufferevent_setcb(Raw->bev, onBytes, OnWritten, onEvent, Owner);
    Server.charge(Raw, *State);
    Server.Connections_[Raw] = std::move(State);
    int On = 1;
    setsockopt(Raw->sock, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
    setReceiveBuffer(Server, Raw, ReceiveBufferBytes);
    setHook(Raw, evhtp_hook_on_connection_fini, onConnectionFini, Argument);
    return EVHTP_RES_OK;
  }

  static void setReceiveBuffer(const HttpServer &Server,
                               const evhtp_connection_t *Raw, int Bytes) {
    if (Server.Options_.Budget_.MaxBytes_ > 0)
      setsockopt(Raw->sock, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  }

  // Handling the bytes may close the connection.
  static void onBytes(bufferevent *, void *Argument) {
    auto *Raw = static_cast<evhtp_connection_t *>(Argument);
    HttpServer &Server = *serverOf(Raw->htp->arg);
    HttpServer::Connection *State = find(Server, Raw);
    if (State == nullptr)
      return;
    if (const auto Cause = receive(Server, Raw, *State)) {
      refuse(Server, Raw, *State, *Cause);
      return;
    }
    State = find(Server, Raw);
    if (State == nullptr)
      return;
    updateReading(Server, Raw, *State);
    Server.charge(Raw, *State);
    Server.closeExcess();
  }

  // libevhtp's parser corrupts a path that arrives in several pieces and keeps
  // a body in pieces of its own, so a request is passed on only once it is
  // complete. Returns why the connection is to be closed.
  static std::optional<CloseCause> receive(HttpServer &Server,
                                           evhtp_connection_t *Raw,
                                           HttpServer::Connection &State) {
    evbuffer *Input = bufferevent_get_input(Raw->bev);
    if (State.IsRefused_) {
      State.DiscardedBytes_ += evbuffer_get_length(Input);
      evbuffer_drain(Input, evbuffer_get_length(Input));
      if (State.DiscardedBytes_ > Server.Options_.MaxBodyBytes_ * DiscardFactor)
        State.ExpiresAt_ = {};
      return std::nullopt;
    }
    if (State.IsAnswering_) {
      State.Receiver_.keep(Input);
      return std::nullopt;
    }
    beginReceiving(State);
    const HttpServerOptions &Options = Server.Options_;
    const auto IsComplete = State.Receiver_.receive(
        Input, {Options.MaxHeaderBytes_, Options.MaxBodyBytes_});
    if (!IsComplete)
      return IsComplete.error();
    // libevhtp closes a connection that writes without a request.
    if (State.Receiver_.takeContinue())
      send(Raw->sock, Continue.data(), Continue.size(),
           MSG_NOSIGNAL | MSG_DONTWAIT);
    State.IsAnswering_ = *IsComplete;
    if (*IsComplete)
      State.Parse_(Raw->bev, Raw);
    return std::nullopt;
  }

  // Reading pauses while enough bytes wait behind a request, whether it is open
  // or only its answer is unsent: requests are served one at a time.
  static void updateReading(const HttpServer &Server, evhtp_connection_t *Raw,
                            HttpServer::Connection &State) {
    const bool IsFull = State.Receiver_.pipelinedBytes() >= MaxPipelinedBytes;
    if (IsFull)
      bufferevent_disable(Raw->bev, EV_READ);
    else
      bufferevent_enable(Raw->bev, EV_READ);
    if (State.IsPaused_ != IsFull)
      setReceiveBuffer(Server, Raw,
                       IsFull ? PausedReceiveBufferBytes : ReceiveBufferBytes);
    State.IsPaused_ = IsFull;
  }

  // The connection stays open for a short time, so that the client can read the
  // answer, unless the client ignores the bounds of a header.
  static void refuse(HttpServer &Server, evhtp_connection_t *Raw,
                     HttpServer::Connection &State, CloseCause Cause) {
    Server.noteClosed(Cause);
    State.IsRefused_ = true;
    const bool IsHuge = State.Receiver_.announces(
        Server.Options_.MaxBodyBytes_ * DiscardFactor);
    if (Cause == CloseCause::BodyTooLarge)
      sendAndClose(Raw, "Payload Too Large", Server.Options_.TooLarge_);
    else if (Cause == CloseCause::Malformed)
      sendAndClose(Raw, "Bad Request", {.Status_ = 400});
    else
      sendAndClose(Raw, "Request Header Fields Too Large", {.Status_ = 431});
    if (Cause != CloseCause::BodyTooLarge || IsHuge) {
      evhtp_connection_free(Raw);
      return;
    }
    evbuffer *Input = bufferevent_get_input(Raw->bev);
    evbuffer_drain(Input, evbuffer_get_length(Input));
    State.Receiver_.reset();
    State.IsReceiving_ = false;
    State.ExpiresAt_ = monotonicNow() + RefusalTime;
    Server.charge(Raw, State);
  }

  // If the client leaves while its request is paused, libevhtp frees the
  // connection only once the request is resumed.
  static void onEvent(bufferevent *Buffer, short What, void *Argument) {
    auto *Raw = static_cast<evhtp_connection_t *>(Argument);
    HttpServer &Server = *serverOf(Raw->htp->arg);
    HttpServer::Connection *State = find(Server, Raw);
    if (State == nullptr)
      return;
    evhtp_request_t *Open = Raw->request;
    const uint64_t Token = Server.tokenOf(Open);
    const bool IsClosed = (What & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
    State->HasPeerClosed_ = State->HasPeerClosed_ || IsClosed;
    State->OnEvent_(Buffer, What, Argument);
    if (!IsClosed || Server.Requests_.erase(Token) == 0)
      return;
    if (Server.OnDisconnect_)
      Server.OnDisconnect_(Token);
    evhtp_request_resume(Open);
  }

  static void beginReceiving(HttpServer::Connection &State) {
    if (State.IsReceiving_)
      return;
    State.IsReceiving_ = true;
    State.StartedAt_ = monotonicNow();
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

  static evhtp_res onConnectionFini(evhtp_connection_t *Raw, void *Argument) {
    HttpServer &Server = *serverOf(Argument);
    if (HttpServer::Connection *State = find(Server, Raw)) {
      Server.HeldBytes_ -= State->Charged_;
      if (!State->HasPeerClosed_ && !State->IsRefused_ &&
          State->holdsNothing() && State->hasUnreadInput(Raw))
        Server.noteClosed(CloseCause::InputUnread);
    }
    Server.Connections_.erase(Raw);
    return EVHTP_RES_OK;
  }

  static evhtp_res onRequestFini(evhtp_request_t *Request, void *Argument) {
    HttpServer &Server = *serverOf(Argument);
    if (HttpServer::Connection *State = find(Server, Request->conn)) {
      State->IsReceiving_ = false;
      State->IsAnswering_ = false;
      State->IsExpiryDelayed_ = false;
      State->Receiver_.reset();
      State->IdleSince_ = monotonicNow();
      State->ExpiresAt_ = State->IdleSince_ + Server.Options_.IdleTimeout_;
      Server.charge(Request->conn, *State);
      if (State->Receiver_.pipelinedBytes() > 0)
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
};

HttpServer::HttpServer(EventLoop &Loop, HttpServerOptions Options,
                       Handler OnRequest, DisconnectHandler OnDisconnect,
                       CloseHandler OnClose)
    : Loop_(Loop), Options_(std::move(Options)),
      OnRequest_(std::move(OnRequest)), OnDisconnect_(std::move(OnDisconnect)),
      OnClose_(std::move(OnClose)) {}

HttpServer::~HttpServer() {
  OnDisconnect_ = nullptr;
  OnClose_ = nullptr;
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
    State->ExpiresAt_ = {INT64_MAX};
  }
  HttpRequest Parsed{.Token_ = Token,
                     .Method_ = methodOf(Request),
                     .Path_ = Request->uri->path->full};
  if (Request->uri->query_raw != nullptr)
    Parsed.Query_ = reinterpret_cast<const char *>(Request->uri->query_raw);
  Parsed.Headers_ = headersOf(Request);
  Parsed.Body_.resize(evbuffer_get_length(Request->buffer_in));
  evbuffer_remove(Request->buffer_in, Parsed.Body_.data(), Parsed.Body_.size());
  Requests_[Token] = Request;
  Tokens_[Request] = Token;
  evhtp_request_pause(Request);
  // A paused request is not read from, but only a read shows that the client
  // has left.
  if (State != nullptr)
    HttpServerHooks::updateReading(*this, Request->conn, *State);
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
  evhtp_connection_t *Raw = Request->conn;
  if (Connection *State = HttpServerHooks::find(*this, Raw)) {
    State->UnsentBytes_ = evbuffer_get_length(bufferevent_get_output(Raw->bev));
    State->ExpiresAt_ = monotonicNow() + Options_.IdleTimeout_;
    charge(Raw, *State);
  }
  evhtp_request_resume(Request);
  // Resuming enables reading, also while enough bytes wait.
  if (Connection *State = HttpServerHooks::find(*this, Raw))
    HttpServerHooks::updateReading(*this, Raw, *State);
}

void HttpServer::setLimits(std::size_t MaxHeaderBytes, std::size_t MaxBodyBytes,
                           Milliseconds RequestTimeout,
                           Milliseconds IdleTimeout) {
  Options_.MaxHeaderBytes_ = MaxHeaderBytes;
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

bool HttpServer::hasUnreadInput() const {
  if (IsAccepting_ && Server_ != nullptr && Server_->server != nullptr) {
    pollfd Listener{.fd = evconnlistener_get_fd(Server_->server),
                    .events = POLLIN,
                    .revents = 0};
    if (poll(&Listener, 1, 0) > 0)
      return true;
  }
  return std::any_of(Connections_.begin(), Connections_.end(),
                     [](const auto &Entry) {
                       const auto &[Raw, State] = Entry;
                       return !State->IsAnswering_ && !State->IsRefused_ &&
                              State->hasUnreadInput(Raw);
                     });
}

void HttpServer::stopAccepting() {
  IsClosing_ = true;
  IsAccepting_ = false;
  if (Server_ != nullptr && Server_->server != nullptr)
    evconnlistener_disable(Server_->server);
}

} // namespace marjorambend
