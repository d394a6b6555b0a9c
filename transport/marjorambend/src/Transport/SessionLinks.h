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
  /// The same for both where nothing is awaited from the other side; two and a
  /// half of its rare heartbeats.
  Milliseconds IdleSilence_{2'500};
  /// Time after which a message's receipt is told if nothing else is said; well
  /// within ConnectionSilence_.
  Milliseconds ConfirmWithin_{100};
  /// Time for a connection to be made and greeted.
  Milliseconds GreetingTimeout_{400};
  /// Pause between two attempts to reach an instance.
  Milliseconds Redial_{100};
  /// Pause if it was never reached or is long gone; it doubles with each
  /// failure up to the longest one.
  Milliseconds SlowRedial_{300};
  Milliseconds SlowestRedial_{1'200};
  /// Time after the start in which instances are looked for in the store before
  /// the seeds are asked.
  Milliseconds SeedsAfter_{1'500};
};

/// \brief What links tell their owner.
struct SessionLinkEvents {
  std::function<void(const InstanceInfo &)> OnUp_;
  std::function<void(Incarnation)> OnDown_;
  std::function<void(Incarnation, FleetMessage)> OnMessage_;
  /// Since when words of that instance are awaited, if they are.
  std::function<std::optional<Milliseconds>(Incarnation)> AwaitedSince_;
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

  /// \brief Keeps sessions with the instances there, from now on; sessions
  /// with others stay until they end.
  void setPeerEndpoints(const std::set<Endpoint> &Endpoints);

  /// \brief Addresses that are dialled while no others are known.
  void setSeeds(const std::set<Endpoint> &Seeds);

  /// \brief Sends a message; it is dropped if there is no session.
  void send(Incarnation To, const FleetMessage &Message);

  /// \brief From the sending of messages to their confirmation, which comes
  /// with the next frame from the other side: at a heartbeat, if not before.
  const Histogram &confirmationTimes() const { return ConfirmationTimes_; }

  struct Connection;

private:
  friend struct SessionLinkHooks;

  struct Entry {
    Session Session_;
    Connection *Active_ = nullptr;
  };
  struct DialState {
    Milliseconds NextAt_;
    Milliseconds Pause_;             ///< Before the next attempt.
    std::optional<Incarnation> Run_; ///< Last seen there.
  };

  void tick();
  void confirmReceipts(Milliseconds Now);
  void closeSilent(Milliseconds Now);
  void endSilent(Milliseconds Now);
  Milliseconds silenceOf(const Session &State, Milliseconds HeardAt,
                         Milliseconds Bound, Milliseconds Now) const;
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
  std::set<Endpoint> Wanted_;
  std::set<Endpoint> Seeds_;
  Milliseconds StartedAt_;
  Milliseconds LastTick_;
  std::map<Connection *, std::unique_ptr<Connection>> Connections_;
  std::map<Incarnation, Entry> Sessions_;
  std::map<Incarnation, uint64_t> Nonces_; ///< Sessions begun with each run.
  Milliseconds NextDial_;
  Histogram ConfirmationTimes_;
  std::unique_ptr<Timer> Tick_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_SESSIONLINKS_H
