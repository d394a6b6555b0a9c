#include "marjorambend/src/Transport/HttpClient.h"

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

HttpClient::HttpClient(EventLoop &Loop, Milliseconds MaxIdle)
    : Loop_(Loop), MaxIdle_(MaxIdle) {}

HttpClient::~HttpClient() {
  for (auto &[Number, Call] : Pending_)
    evhttp_connection_free(Call->Connection_);
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
  while (!Queue.empty() && Now - Queue.front().Since_ > MaxIdle_) {
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
  if (Failed != 0)
    scheduleFailure(Number);
  return Number;
}

// Reports a call that could not be started; the handler is called from the
// loop, not from send().
void HttpClient::scheduleFailure(uint64_t Number) {
  const auto Found = Pending_.find(Number);
  if (Found == Pending_.end())
    return;
  Found->second->Request_ = nullptr;
  Found->second->Failure_ = std::make_unique<Timer>(
      Loop_, Milliseconds{0}, Timer::Mode::Once, [this, Number] {
        const auto Call = Pending_.find(Number);
        if (Call != Pending_.end())
          finish(*Call->second, tl::unexpected(HttpFailure::NotConnected),
                 false);
      });
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
    setTimeouts(Done.Connection_, MaxIdle_);
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
