#ifndef MARJORAMBEND_TEST_SLOWRELAY_H
#define MARJORAMBEND_TEST_SLOWRELAY_H

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <marjorambend/Transport>

namespace marjorambend::test {

/// \brief Forwards one connection to a port, at a limited rate in the direction
/// of that port, as a slow link does.
class SlowRelay {
public:
  SlowRelay(EventLoop &Loop, uint16_t ToPort, std::size_t BytesPerSecond)
      : Loop_(Loop), ToPort_(ToPort) {
    const timeval Tick = toTimeval(Milliseconds{20});
    Rate_ =
        ev_token_bucket_cfg_new(BytesPerSecond / 50, BytesPerSecond / 50,
                                EV_RATE_LIMIT_MAX, EV_RATE_LIMIT_MAX, &Tick);
    sockaddr_in Any = loopback(0);
    Listener_ = evconnlistener_new_bind(
        Loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<sockaddr *>(&Any), sizeof(Any));
  }
  SlowRelay(const SlowRelay &) = delete;
  SlowRelay &operator=(const SlowRelay &) = delete;
  ~SlowRelay() {
    evconnlistener_free(Listener_);
    for (bufferevent *Side : {From_, To_}) {
      if (Side != nullptr)
        bufferevent_free(Side);
    }
    ev_token_bucket_cfg_free(Rate_);
  }

  uint16_t port() const {
    sockaddr_in Own{};
    socklen_t Length = sizeof(Own);
    getsockname(evconnlistener_get_fd(Listener_),
                reinterpret_cast<sockaddr *>(&Own), &Length);
    return ntohs(Own.sin_port);
  }

private:
  static sockaddr_in loopback(uint16_t Port) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return Address;
  }

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Argument) {
    auto &Relay = *static_cast<SlowRelay *>(Argument);
    if (Relay.From_ != nullptr) {
      evutil_closesocket(Socket);
      return;
    }
    event_base *Base = Relay.Loop_.base();
    Relay.From_ = bufferevent_socket_new(Base, Socket, BEV_OPT_CLOSE_ON_FREE);
    Relay.To_ = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
    sockaddr_in Target = loopback(Relay.ToPort_);
    bufferevent_socket_connect(Relay.To_, reinterpret_cast<sockaddr *>(&Target),
                               sizeof(Target));
    bufferevent_setcb(Relay.From_, onRead, nullptr, nullptr, Relay.To_);
    bufferevent_setcb(Relay.To_, onRead, nullptr, nullptr, Relay.From_);
    bufferevent_set_rate_limit(Relay.From_, Relay.Rate_);
    bufferevent_enable(Relay.From_, EV_READ | EV_WRITE);
    bufferevent_enable(Relay.To_, EV_READ | EV_WRITE);
  }

  static void onRead(bufferevent *From, void *To) {
    bufferevent_write_buffer(static_cast<bufferevent *>(To),
                             bufferevent_get_input(From));
  }

  EventLoop &Loop_;
  uint16_t ToPort_;
  ev_token_bucket_cfg *Rate_ = nullptr;
  evconnlistener *Listener_ = nullptr;
  bufferevent *From_ = nullptr;
  bufferevent *To_ = nullptr;
};

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SLOWRELAY_H
