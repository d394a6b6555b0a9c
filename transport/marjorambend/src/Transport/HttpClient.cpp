#include "marjorambend/src/Transport/HttpClient.h"

#include "marjorambend/src/Transport/ResponseBudget.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace marjorambend {

// TCP_USER_TIMEOUT: the kernel closes a connection whose data stays
// unacknowledged for this long, for example after a firewall lost its state.
static constexpr unsigned UserTimeoutMs = 5'000;
// Above the size of any answer of the store or a worker; a longer response
// fails its call.
static constexpr ev_ssize_t MaxResponseHeaderBytes = 64 << 10;
static constexpr ev_ssize_t MaxResponseBodyBytes = 64 << 20;

/// \brief A call in progress.
struct HttpClient::Pending {
  HttpClient *Client_ = nullptr;
  uint64_t Number_ = 0;
  Endpoint To_;
  evhttp_connection *Connection_ = nullptr;
  evhttp_request *Request_ = nullptr;
  Handler OnResult_;
  bool HasFailed_ = false;
  std::unique_ptr<Timer> Failure_;
  std::size_t ReceivedBytes_ = 0; ///< Of the response, with its framing.
  evbuffer_cb_entry *OnInput_ = nullptr;

  Pending() = default;
  Pending(const Pending &) = delete;
  Pending &operator=(const Pending &) = delete;
  ~Pending();
};

/// \brief Callbacks for evhttp.
struct HttpClientHooks {
  static void onError(evhttp_request_error, void *Argument) {
    static_cast<HttpClient::Pending *>(Argument)->HasFailed_ = true;
  }

  // If there is neither a response nor a preceding error, the connection was
  // never established.
  static void onDone(evhttp_request *Request, void *Argument) {
    auto &Done = *static_cast<HttpClient::Pending *>(Argument);
    const bool HasResponse =
        Request != nullptr && evhttp_request_get_response_code(Request) != 0;
    if (HasResponse) {
      Done.Client_->finish(Done, readReply(Request), isKeptAlive(Request));
      return;
    }
    const bool WasConnected = Done.HasFailed_ || Request == nullptr;
    Done.Client_->finish(Done,
                         tl::unexpected(WasConnected
                                            ? HttpFailure::Lost
                                            : HttpFailure::NotConnected),
                         false);
  }

  static void onInput(evbuffer *, const evbuffer_cb_info *Change,
                      void *Argument) {
    auto &Call = *static_cast<HttpClient::Pending *>(Argument);
    if (Change->n_added > 0)
      Call.Client_->countReceived(Call, Change->n_added);
  }

  static bool isKeptAlive(evhttp_request *Request) {
    const char *Value = evhttp_find_header(
        evhttp_request_get_input_headers(Request), "Connection");
    return Value == nullptr || evutil_ascii_strcasecmp(Value, "close") != 0;
  }

  static HttpReply readReply(evhttp_request *Request) {
    HttpReply Reply{.Status_ = static_cast<uint16_t>(
                        evhttp_request_get_response_code(Request))};
    const evkeyvalq *Headers = evhttp_request_get_input_headers(Request);
    for (const evkeyval *Pair = Headers->tqh_first; Pair != nullptr;
         Pair = Pair->next.tqe_next)
      Reply.Headers_.emplace_back(Pair->key, Pair->value);
    evbuffer *Body = evhttp_request_get_input_buffer(Request);
    Reply.Body_.resize(evbuffer_get_length(Body));
    evbuffer_remove(Body, Reply.Body_.data(), Reply.Body_.size());
    return Reply;
  }
};

static evbuffer *inputOf(evhttp_connection *Connection) {
  return bufferevent_get_input(evhttp_connection_get_bufferevent(Connection));
}

// The connection outlives its call and may be used by another one.
HttpClient::Pending::~Pending() {
  if (OnInput_ != nullptr)
    evbuffer_remove_cb_entry(inputOf(Connection_), OnInput_);
  Client_->HeldBytes_ -= ReceivedBytes_;
}

static evhttp_cmd_type commandOf(std::string_view Method) {
  if (Method == "POST")
    return EVHTTP_REQ_POST;
  if (Method == "PUT")
    return EVHTTP_REQ_PUT;
  if (Method == "DELETE")
    return EVHTTP_REQ_DELETE;
  return EVHTTP_REQ_GET;
}

static void setSocketOptions(evhttp_connection *Connection) {
  const int Socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(Connection));
  if (Socket < 0)
    return;
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  setsockopt(Socket, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs,
             sizeof(UserTimeoutMs));
}

HttpClient::HttpClient(EventLoop &Loop, HttpClientOptions Options)
    : Loop_(Loop), Options_(std::move(Options)) {}

HttpClient::~HttpClient() {
  for (auto &[Number, Call] : Pending_)
    Discarded_.push_back(Call->Connection_);
  Pending_.clear();
  for (auto &[To, Queue] : Idle_) {
    for (const Idle &One : Queue)
      evhttp_connection_free(One.Connection_);
  }
  freeDiscarded();
}

// evhttp sets the timeouts of a connection only when it connects; a reused
// connection would otherwise keep the timeout of its previous call.
static void setTimeouts(evhttp_connection *Connection, Milliseconds Time) {
  const timeval Bound = toTimeval(Time);
  evhttp_connection_set_timeout_tv(Connection, &Bound);
  bufferevent *Buffer = evhttp_connection_get_bufferevent(Connection);
  if (bufferevent_getfd(Buffer) >= 0)
    bufferevent_set_timeouts(Buffer, &Bound, &Bound);
}

evhttp_connection *HttpClient::acquireConnection(const Endpoint &To) {
  std::deque<Idle> &Queue = Idle_[To];
  const Milliseconds Now = monotonicNow();
  while (!Queue.empty() && Now - Queue.front().Since_ > Options_.MaxIdle_) {
    discard(Queue.front().Connection_);
    Queue.pop_front();
  }
  if (!Queue.empty()) {
    evhttp_connection *Connection = Queue.back().Connection_;
    Queue.pop_back();
    setSocketOptions(Connection);
    return Connection;
  }
  evhttp_connection *Connection = evhttp_connection_base_new(
      Loop_.base(), nullptr, To.Address_.c_str(), To.Port_);
  evhttp_connection_set_retries(Connection, 0);
  evhttp_connection_set_max_headers_size(Connection, MaxResponseHeaderBytes);
  evhttp_connection_set_max_body_size(Connection, MaxResponseBodyBytes);
  return Connection;
}

uint64_t HttpClient::send(const HttpCall &Call, Handler OnResult) {
  const uint64_t Number = NextNumber_++;
  auto &Entry = Pending_[Number];
  Entry = std::make_unique<Pending>();
  Pending &New = *Entry;
  New.Client_ = this;
  New.Number_ = Number;
  New.To_ = Call.To_;
  New.OnResult_ = std::move(OnResult);
  New.Connection_ = acquireConnection(Call.To_);
  setTimeouts(New.Connection_, Call.Timeout_);
  New.OnInput_ =
      evbuffer_add_cb(inputOf(New.Connection_), HttpClientHooks::onInput, &New);

  New.Request_ = evhttp_request_new(HttpClientHooks::onDone, &New);
  evhttp_request_set_error_cb(New.Request_, HttpClientHooks::onError);
  evkeyvalq *Headers = evhttp_request_get_output_headers(New.Request_);
  evhttp_add_header(Headers, "Host", Call.To_.Address_.c_str());
  for (const auto &[Key, Value] : Call.Headers_)
    evhttp_add_header(Headers, Key.c_str(), Value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(New.Request_),
               Call.Body_.data(), Call.Body_.size());
  const int Failed =
      evhttp_make_request(New.Connection_, New.Request_,
                          commandOf(Call.Method_), Call.Target_.c_str());
  if (Failed != 0 && Pending_.contains(Number)) {
    Entry->Request_ = nullptr;
    scheduleFailure(Number, HttpFailure::NotConnected);
  }
  return Number;
}

// Reports a failed call from the loop: not from send(), and not while its
// connection is being read.
void HttpClient::scheduleFailure(uint64_t Number, HttpFailure Why) {
  Pending_.at(Number)->Failure_ = std::make_unique<Timer>(
      Loop_, Milliseconds{0}, Timer::Mode::Once, [this, Number, Why] {
        Pending &Call = *Pending_.at(Number);
        if (Call.Request_ != nullptr)
          evhttp_cancel_request(Call.Request_);
        finish(Call, tl::unexpected(Why), false);
      });
}

void HttpClient::countReceived(Pending &Call, std::size_t Bytes) {
  Call.ReceivedBytes_ += Bytes;
  HeldBytes_ += Bytes;
  if (Options_.MaxResponseBytes_ > 0 && HeldBytes_ > Options_.MaxResponseBytes_)
    keepWithinBudget();
}

void HttpClient::keepWithinBudget() {
  std::vector<HeldResponse> Held;
  for (const auto &[Number, Call] : Pending_) {
    if (!Call->Failure_)
      Held.push_back({.Call_ = Number, .Bytes_ = Call->ReceivedBytes_});
  }
  for (const uint64_t Number :
       chooseAbandoned(std::move(Held), Options_.MaxResponseBytes_)) {
    const Pending &Call = *Pending_.at(Number);
    if (Options_.OnAbandoned_)
      Options_.OnAbandoned_(Call.To_, Call.ReceivedBytes_);
    scheduleFailure(Number, HttpFailure::Lost);
  }
}

void HttpClient::abort(uint64_t Number) {
  const auto Found = Pending_.find(Number);
  if (Found == Pending_.end())
    return;
  if (Found->second->Request_ != nullptr)
    evhttp_cancel_request(Found->second->Request_);
  discard(Found->second->Connection_);
  Pending_.erase(Found);
}

void HttpClient::finish(Pending &Done, HttpResult Result, bool IsReusable) {
  const Handler OnResult = std::move(Done.OnResult_);
  if (IsReusable) {
    setTimeouts(Done.Connection_, Options_.MaxIdle_);
    Idle_[Done.To_].push_back({Done.Connection_, monotonicNow()});
  } else {
    discard(Done.Connection_);
  }
  Pending_.erase(Done.Number_);
  OnResult(std::move(Result));
}

// Defers freeing, since a connection must not be freed in its own callback.
void HttpClient::discard(evhttp_connection *Connection) {
  Discarded_.push_back(Connection);
  if (!DiscardTimer_)
    DiscardTimer_ = std::make_unique<Timer>(
        Loop_, Milliseconds{0}, Timer::Mode::Once, [this] { freeDiscarded(); });
}

void HttpClient::freeDiscarded() {
  for (evhttp_connection *Connection : Discarded_)
    evhttp_connection_free(Connection);
  Discarded_.clear();
  DiscardTimer_.reset();
}

} // namespace marjorambend
