#include "marjorambend/src/Transport/HttpServer.h"

#include "marjorambend/src/Transport/HttpFraming.h"

#include <algorithm>
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
// Bytes behind an open request at which reading pauses.
static constexpr std::size_t MaxPipelinedBytes = 16U << 10U;
// Memory of a connection that holds no bytes: libevhtp, its buffers, its state.
static constexpr std::size_t ConnectionBytes = 4U << 10U;
// Receive buffer of a caller's socket where memory is bounded; the kernel
// charges unread bytes to the process and doubles the value.
static constexpr int ReceiveBufferBytes = 32 << 10;
// While reading pauses behind an open request.
static constexpr int PausedReceiveBufferBytes = 2 << 10;
// Time for a client to read a refusal before its connection is closed.
static constexpr Milliseconds RefusalTime{500};
static constexpr std::string_view HeaderEnd = "\r\n\r\n";
static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

struct EvbufferDeleter {
  void operator()(evbuffer *Buffer) const { evbuffer_free(Buffer); }
};
using EvbufferPtr = std::unique_ptr<evbuffer, EvbufferDeleter>;

/// \brief State of a connection in addition to libevhtp's.
struct HttpServer::Connection {
  Milliseconds StartedAt_;   ///< First byte of the request, or accepted.
  Milliseconds IdleSince_;   ///< Accepted, or last request completed.
  Milliseconds ExpiresAt_;   ///< Unless a request is being received.
  bool IsReceiving_ = true;  ///< A request may be partly received.
  bool IsInBody_ = false;    ///< Header complete, body not.
  bool IsAnswering_ = false; ///< A request is complete and not answered yet.
  bool IsRefused_ = false;   ///< All further bytes are discarded.
  bool IsPaused_ = false;    ///< Not read from until the request is answered.
  std::size_t HeaderBytes_ = 0;    ///< Searched for its end, or of the header.
  std::size_t EmptyLineBytes_ = 0; ///< Received before the header.
  std::size_t DiscardedBytes_ = 0;
  std::size_t UnsentBytes_ = 0; ///< Of the answer, at the last check.
  RequestFraming Framing_;
  std::string Header_; ///< If it is to be rewritten; else part of the input.
  ChunkDecoder Chunks_;
  EvbufferPtr Body_; ///< Decoded chunks.
  /// Received while a request was being answered.
  EvbufferPtr Pipelined_{evbuffer_new()};
  std::size_t Charged_ = 0;                ///< Part of HttpServer::HeldBytes_.
  bufferevent_data_cb Parse_ = nullptr;    ///< libevhtp's callback.
  bufferevent_event_cb OnEvent_ = nullptr; ///< libevhtp's callback.

  std::size_t bodyBytes(std::size_t InputBytes) const {
    if (Body_)
      return evbuffer_get_length(Body_.get());
    return IsInBody_ ? InputBytes - std::min(InputBytes, HeaderBytes_) : 0;
  }
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
    charge(Server, *State, ConnectionBytes);
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

  static void charge(HttpServer &Server, HttpServer::Connection &State,
                     std::size_t Bytes) {
    Server.HeldBytes_ += Bytes - State.Charged_;
    State.Charged_ = Bytes;
  }

  static std::size_t heldBytes(evhtp_connection_t *Raw,
                               const HttpServer::Connection &State) {
    const std::size_t Buffered =
        Raw->bev == nullptr
            ? 0
            : evbuffer_get_length(bufferevent_get_input(Raw->bev)) +
                  evbuffer_get_length(bufferevent_get_output(Raw->bev));
    return ConnectionBytes + Buffered +
           evbuffer_get_length(State.Pipelined_.get()) + State.Header_.size() +
           (State.Body_ ? evbuffer_get_length(State.Body_.get()) : 0);
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
    charge(Server, *State, heldBytes(Raw, *State));
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
      keepPipelined(State, Input);
      return std::nullopt;
    }
    evbuffer_prepend_buffer(Input, State.Pipelined_.get());
    if (!State.IsInBody_) {
      if (const auto Cause = receiveHeader(Server, Raw, State, Input))
        return Cause;
    }
    if (!State.IsInBody_)
      return std::nullopt;
    const auto IsComplete = receiveBody(Server, State, Input);
    if (!IsComplete)
      return IsComplete.error();
    if (*IsComplete)
      State.Parse_(Raw->bev, Raw);
    return std::nullopt;
  }

  // Copies: moving each received piece would keep a buffer per piece.
  static void keepPipelined(HttpServer::Connection &State, evbuffer *Input) {
    const std::size_t Bytes = evbuffer_get_length(Input);
    evbuffer_add(State.Pipelined_.get(), evbuffer_pullup(Input, -1), Bytes);
    evbuffer_drain(Input, Bytes);
  }

  // Reading pauses while enough bytes wait behind a request, whether it is open
  // or only its answer is unsent: requests are served one at a time.
  static void updateReading(const HttpServer &Server, evhtp_connection_t *Raw,
                            HttpServer::Connection &State) {
    const bool IsFull =
        evbuffer_get_length(State.Pipelined_.get()) >= MaxPipelinedBytes;
    if (IsFull)
      bufferevent_disable(Raw->bev, EV_READ);
    else
      bufferevent_enable(Raw->bev, EV_READ);
    if (State.IsPaused_ != IsFull)
      setReceiveBuffer(Server, Raw,
                       IsFull ? PausedReceiveBufferBytes : ReceiveBufferBytes);
    State.IsPaused_ = IsFull;
  }

  // The first bytes of a buffer that is not empty, without copying.
  static std::string_view firstBytes(evbuffer *Input) {
    std::size_t Size = evbuffer_get_contiguous_space(Input);
    if (Size == 0)
      Size = evbuffer_get_length(Input);
    return {reinterpret_cast<const char *>(
                evbuffer_pullup(Input, static_cast<ev_ssize_t>(Size))),
            Size};
  }

  static void skipEmptyLines(HttpServer::Connection &State, evbuffer *Input) {
    while (evbuffer_get_length(Input) > 0) {
      const std::string_view Text = firstBytes(Input);
      const std::size_t Size = Text.size();
      const std::size_t Count = std::min(Text.find_first_not_of("\r\n"), Size);
      evbuffer_drain(Input, Count);
      State.EmptyLineBytes_ += Count;
      if (Count < Size)
        return;
    }
  }

  static std::optional<CloseCause> receiveHeader(HttpServer &Server,
                                                 evhtp_connection_t *Raw,
                                                 HttpServer::Connection &State,
                                                 evbuffer *Input) {
    if (State.HeaderBytes_ == 0)
      skipEmptyLines(State, Input);
    beginReceiving(State);
    evbuffer_ptr From;
    const std::size_t Known =
        State.HeaderBytes_ - std::min(State.HeaderBytes_, HeaderEnd.size() - 1);
    evbuffer_ptr_set(Input, &From, Known, EVBUFFER_PTR_SET);
    const evbuffer_ptr End =
        evbuffer_search(Input, HeaderEnd.data(), HeaderEnd.size(), &From);
    State.HeaderBytes_ =
        End.pos < 0 ? evbuffer_get_length(Input)
                    : static_cast<std::size_t>(End.pos) + HeaderEnd.size();
    if (State.EmptyLineBytes_ + State.HeaderBytes_ >
        Server.Options_.MaxHeaderBytes_)
      return CloseCause::HeaderTooLarge;
    return End.pos < 0 ? std::nullopt : beginBody(Server, Raw, State, Input);
  }

  static std::optional<CloseCause> beginBody(HttpServer &Server,
                                             evhtp_connection_t *Raw,
                                             HttpServer::Connection &State,
                                             evbuffer *Input) {
    const std::string_view Header(
        reinterpret_cast<const char *>(evbuffer_pullup(
            Input, static_cast<ev_ssize_t>(State.HeaderBytes_))),
        State.HeaderBytes_);
    const auto Framing = readFraming(Header);
    if (!Framing)
      return CloseCause::Malformed;
    State.Framing_ = *Framing;
    State.IsInBody_ = true;
    if (Framing->ContentLength_ > Server.Options_.MaxBodyBytes_)
      return CloseCause::BodyTooLarge;
    if (!Framing->IsChunked_ && !Framing->ExpectsContinue_)
      return std::nullopt;
    State.Header_ = Header;
    evbuffer_drain(Input, State.HeaderBytes_);
    State.HeaderBytes_ = 0;
    if (Framing->IsChunked_)
      State.Body_.reset(evbuffer_new());
    if (Framing->ExpectsContinue_ && evbuffer_get_length(Input) == 0)
      bufferevent_write(Raw->bev, Continue.data(), Continue.size());
    return std::nullopt;
  }

  // Returns whether the input now contains exactly one request.
  static tl::expected<bool, CloseCause>
  receiveBody(const HttpServer &Server, HttpServer::Connection &State,
              evbuffer *Input) {
    if (State.Body_) {
      if (const auto Cause = decodeChunks(Server, State, Input))
        return tl::unexpected(*Cause);
      if (!State.Chunks_.isComplete())
        return false;
    }
    const std::size_t Bytes =
        State.Body_ ? 0 : State.HeaderBytes_ + State.Framing_.ContentLength_;
    if (evbuffer_get_length(Input) < Bytes)
      return false;
    isolateRequest(State, Input, Bytes);
    State.IsAnswering_ = true;
    return true;
  }

  static std::optional<CloseCause> decodeChunks(const HttpServer &Server,
                                                HttpServer::Connection &State,
                                                evbuffer *Input) {
    while (evbuffer_get_length(Input) > 0 && !State.Chunks_.isComplete()) {
      const std::string_view Text = firstBytes(Input);
      std::size_t Used = 0;
      while (Used < Text.size() && !State.Chunks_.isComplete()) {
        const auto Piece = State.Chunks_.next(Text.substr(Used));
        if (!Piece)
          return CloseCause::Malformed;
        // Copied, since a buffer per chunk costs many times a small chunk.
        if (Piece->IsPayload_)
          evbuffer_add(State.Body_.get(), Text.data() + Used, Piece->Bytes_);
        Used += Piece->Bytes_;
      }
      evbuffer_drain(Input, Used);
      if (State.Chunks_.framingBytes() > Server.Options_.MaxHeaderBytes_)
        return CloseCause::HeaderTooLarge;
      if (evbuffer_get_length(State.Body_.get()) >
          Server.Options_.MaxBodyBytes_)
        return CloseCause::BodyTooLarge;
    }
    return std::nullopt;
  }

  // The input accepts bytes only at its beginning.
  static void isolateRequest(HttpServer::Connection &State, evbuffer *Input,
                             std::size_t Bytes) {
    const EvbufferPtr Whole(evbuffer_new());
    if (evbuffer_get_length(Input) > Bytes) {
      evbuffer_remove_buffer(Input, Whole.get(), Bytes);
      evbuffer_add_buffer(State.Pipelined_.get(), Input);
    }
    if (State.Body_)
      evbuffer_add_buffer(Whole.get(), State.Body_.get());
    evbuffer_prepend_buffer(Input, Whole.get());
    if (State.Header_.empty())
      return;
    const std::string Header =
        withContentLength(State.Header_, evbuffer_get_length(Input));
    evbuffer_prepend(Input, Header.data(), Header.size());
    State.Header_ = {};
    State.Body_.reset();
  }

  // The connection stays open for a short time, so that the client can read the
  // answer, unless the client ignores the bounds of a header.
  static void refuse(HttpServer &Server, evhtp_connection_t *Raw,
                     HttpServer::Connection &State, CloseCause Cause) {
    Server.noteClosed(Cause);
    const bool IsHuge = State.Framing_.ContentLength_ >
                        Server.Options_.MaxBodyBytes_ * DiscardFactor;
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
    State.Body_.reset();
    State.IsRefused_ = true;
    State.IsInBody_ = false;
    State.IsReceiving_ = false;
    State.ExpiresAt_ = monotonicNow() + RefusalTime;
    charge(Server, State, heldBytes(Raw, State));
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

  static Milliseconds expiresAt(const HttpServer &Server,
                                evhtp_connection_t *Raw,
                                HttpServer::Connection &State) {
    if (State.IsReceiving_)
      return receiveDeadline(State.StartedAt_, Server.Options_.RequestTimeout_,
                             State.bodyBytes(evbuffer_get_length(
                                 bufferevent_get_input(Raw->bev))));
    if (!State.IsAnswering_)
      return State.ExpiresAt_;
    // A response that is being read does not expire.
    const std::size_t Unsent =
        evbuffer_get_length(bufferevent_get_output(Raw->bev));
    if (Unsent < std::exchange(State.UnsentBytes_, Unsent))
      State.ExpiresAt_ = monotonicNow() + Server.Options_.IdleTimeout_;
    return State.ExpiresAt_;
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
    if (HttpServer::Connection *State = find(Server, Raw))
      charge(Server, *State, 0);
    Server.Connections_.erase(Raw);
    return EVHTP_RES_OK;
  }

  static evhtp_res onRequestFini(evhtp_request_t *Request, void *Argument) {
    HttpServer &Server = *serverOf(Argument);
    if (HttpServer::Connection *State = find(Server, Request->conn)) {
      State->IsReceiving_ = false;
      State->IsInBody_ = false;
      State->IsAnswering_ = false;
      State->HeaderBytes_ = 0;
      State->EmptyLineBytes_ = 0;
      State->Chunks_ = {};
      State->IdleSince_ = monotonicNow();
      State->ExpiresAt_ = State->IdleSince_ + Server.Options_.IdleTimeout_;
      charge(Server, *State, heldBytes(Request->conn, *State));
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
    State->IsInBody_ = false;
    State->ExpiresAt_ = {INT64_MAX};
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
    HttpServerHooks::charge(*this, *State,
                            HttpServerHooks::heldBytes(Raw, *State));
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

HttpServerLoad HttpServer::load() const {
  HttpServerLoad Load{.Bytes_ = HeldBytes_};
  for (const auto &[Raw, State] : Connections_) {
    if (State->IsAnswering_)
      ++Load.Answering_;
    else if (State->IsReceiving_ && State->Charged_ > ConnectionBytes)
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
    if (HttpServerHooks::expiresAt(*this, Raw, *State) <= Now)
      Expired.push_back(Raw);
  }
  for (evhtp_connection_t *Raw : Expired) {
    const Connection &State = *Connections_[Raw];
    if (State.IsReceiving_) {
      HttpServerHooks::sendAndClose(Raw, "Request Timeout", Options_.TooSlow_);
      if (State.Charged_ > ConnectionBytes)
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

// Only requests whose header is complete are answered: the client of an
// incomplete header may not have sent a request.
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
                    .HasOpenRequest_ = State->IsAnswering_});
    Order.push_back(Raw);
  }
  for (const uint64_t Id : chooseClosed(Held, Found, monotonicNow())) {
    evhtp_connection_t *Raw = Order[Id];
    if (Connections_[Raw]->IsInBody_)
      HttpServerHooks::sendAndClose(Raw, "Service Unavailable",
                                    Options_.Overloaded_);
    noteClosed(Found.Bytes_ > 0 ? CloseCause::TooManyBytes
                                : CloseCause::TooManyConnections);
    evhtp_connection_free(Raw);
  }
}

} // namespace marjorambend
