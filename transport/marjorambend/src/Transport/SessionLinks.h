#ifndef MARJORAMBEND_TRANSPORT_SESSIONLINKS_H
#define MARJORAMBEND_TRANSPORT_SESSIONLINKS_H

#include "marjorambend/src/Transport/EventLoop.h"
#include "marjorambend/src/Transport/HttpClient.h"
#include "marjorambend/src/Transport/HttpServer.h"
#include "marjorambend/src/Transport/Session.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>

struct bufferevent;
struct evconnlistener;

namespace marjorambend {

/// \brief Bounds of the links between instances.
struct SessionLinkOptions {
  InstanceInfo Self_; ///< With the address on which to listen.
  std::size_t MaxFrameBytes_ = 4U << 20U;
  std::size_t MaxUnconfirmed_ = 20'000; ///< Messages; more end the session.
  /// Silence after which a connection is replaced; two heartbeats and a half.
  Milliseconds ConnectionSilence_{260};
  /// Silence after which a session ends. Callers send a lost job again after
  /// 1,300 ms; by then the other side has noticed, too, and stopped its runs.
  Milliseconds SessionSilence_{450};
  /// Time for a connection to be made and greeted.
  Milliseconds GreetingTimeout_{400};
  /// Pause between two attempts to reach an instance.
  Milliseconds Redial_{100};
  /// Pause if it was never reached or is long gone.
  Milliseconds SlowRedial_{300};
};

/// \brief What links tell their owner.
struct SessionLinkEvents {
  std::function<void(const InstanceInfo &)> OnUp_;
  std::function<void(Incarnation)> OnDown_;
  std::function<void(Incarnation, FleetMessage)> OnMessage_;
  /// A frame of another instance could not be read.
  std::function<void(std::string_view Address)> OnRejected_;
};

/// \brief Sessions with other instances over TCP.
///
/// A connection that breaks or goes silent is replaced and its session goes
/// on. \sa Session
class SessionLinks {
public:
  SessionLinks(EventLoop &Loop, SessionLinkOptions Options,
               SessionLinkEvents Events);
  SessionLinks(const SessionLinks &) = delete;
  SessionLinks &operator=(const SessionLinks &) = delete;
  ~SessionLinks();

  /// \brief Opens the listener and begins to dial.
  tl::expected<void, ListenError> listen();

  /// \brief Adds instances to be dialled; they stay until the process ends.
  void addEndpoints(const std::set<Endpoint> &Endpoints);

  /// \brief Sends a message; it is dropped if there is no session.
  void send(Incarnation To, const FleetMessage &Message);

  /// \brief From the sending of messages to their confirmation, which comes
  /// with the next frame from the other side: at a heartbeat, if not before.
  const Histogram &confirmTimes() const { return ConfirmTimes_; }

  struct Connection;

private:
  friend struct SessionLinkHooks;

  struct Entry {
    Session Session_;
    Connection *Active_ = nullptr;
  };
  struct DialState {
    Milliseconds NextAt_;
    std::optional<Incarnation> Run_; ///< Last seen there.
  };

  void tick();
  void dialAll();
  void dial(const Endpoint &To);
  Connection &addConnection(bufferevent *Buffer,
                            std::optional<Endpoint> Dialled);
  void receive(Connection &From);
  bool take(Connection &From, const SessionFrame &Frame);
  bool greet(Connection &From, const SessionHello &Hello);
  void activate(Entry &State, Connection &New);
  void write(Connection &To, const SessionFrame &Frame);
  void close(Connection &Broken);
  void connectionLost(Connection &Broken, bool WasRefused);
  Entry &entryFor(const InstanceInfo &Info);
  void endSession(Incarnation Run);
  std::set<Endpoint> linkedEndpoints() const;

  EventLoop &Loop_;
  SessionLinkOptions Options_;
  SessionLinkEvents Events_;
  evconnlistener *Listener_ = nullptr;
  std::map<Endpoint, DialState> Endpoints_;
  std::map<Connection *, std::unique_ptr<Connection>> Connections_;
  std::map<Incarnation, Entry> Sessions_;
  std::map<Incarnation, uint64_t> Nonces_; ///< Sessions begun with each run.
  Milliseconds NextDial_;
  Histogram ConfirmTimes_;
  std::unique_ptr<Timer> Tick_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_SESSIONLINKS_H
