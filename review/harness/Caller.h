#ifndef MARJORAMBEND_REVIEW_CALLER_H
#define MARJORAMBEND_REVIEW_CALLER_H

#include <functional>
#include <marjorambend/Transport>
#include <memory>
#include <set>

struct evhttp_connection;
struct evhttp_request;

namespace marjorambend::review {

/// \brief A client's HTTP calls, each on a channel of its own. Unlike
/// HttpClient it sends the `Host` that the call gives.
class Caller {
public:
  using Handler = std::function<void(HttpResult)>;

  explicit Caller(EventLoop &Loop) : Loop_(Loop) {}
  Caller(const Caller &) = delete;
  Caller &operator=(const Caller &) = delete;
  ~Caller();

  void send(const HttpCall &Call, Handler OnResult);

private:
  struct Open {
    Caller *Owner_ = nullptr;
    evhttp_connection *Connection_ = nullptr;
    Handler OnResult_;
    std::unique_ptr<Timer> Close_;
  };
  static void onDone(evhttp_request *Request, void *Argument);

  EventLoop &Loop_;
  std::set<Open *> Open_;
};

} // namespace marjorambend::review

#endif // MARJORAMBEND_REVIEW_CALLER_H
