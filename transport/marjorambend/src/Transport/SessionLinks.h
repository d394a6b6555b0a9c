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

/// \brief Parameters of the links between instances.
struct SessionLinkOptions {
  InstanceInfo Self_; ///< Including the address to listen on.
  std::size_t MaxFrameBytes_ = 4U << 20U;
  std::size_t MaxStrangers_ = 256; ///< Accepted connections without a hello.
  std::size_t MaxUnconfirmed_ = 20'000; ///< Messages; above, a session ends.
  /// Silence after which a connection is replaced; 2.5 heartbeat intervals.
  Milliseconds ConnectionSilence_{260};
  /// Silence after which a session ends. Callers resubmit a lost job after
  /// 1,300 ms; by then the peer must have detected the loss as well and have
  /// stopped its runs.
  Milliseconds SessionSilence_{450};
  /// Replaces both while nothing is expected from the peer; 2.5 idle heartbeat
  /// intervals.
  Milliseconds IdleSilence_{2'500};
  /// Delay after which received messages are confirmed if no message is sent;
  /// well below ConnectionSilence_.
  Milliseconds ConfirmationDelay_{100};
  /// Time to establish a connection and receive the peer's hello.
  Milliseconds HandshakeTimeout_{400};
  /// Delay between attempts to reconnect a session.
  Milliseconds RedialDelay_{100};
  /// Exponential backoff between attempts while there is no session.
  Milliseconds MinBackoff_{300};
  Milliseconds MaxBackoff_{1'200};
  /// Time after the start during which instances are expected from the store;
  /// if there are none, the seeds are dialled after it.
  Milliseconds SeedDelay_{1'500};
};

/// \brief Callbacks of SessionLinks.
struct SessionLinkEvents {
  std::function<void(const InstanceInfo &)> OnUp_;
  std::function<void(Incarnation)> OnDown_;
  std::function<void(Incarnation, FleetMessage)> OnMessage_;
  /// Time since which a message of that instance is expected; nullopt if none
  /// is.
  std::function<std::optional<Milliseconds>(Incarnation)> AwaitedSince_;
  /// A received frame could not be decoded.
  std::function<void(std::string_view Address)> OnRejected_;
};

/// \brief Sessions with other instances over TCP.
///
/// A connection that breaks or goes silent is replaced; its session continues.
/// \sa Session
class SessionLinks {
public:
  SessionLinks(EventLoop &Loop, SessionLinkOptions Options,
               SessionLinkEvents Events);
  SessionLinks(const SessionLinks &) = delete;
  SessionLinks &operator=(const SessionLinks &) = delete;
  ~SessionLinks();

  /// \brief Opens the listener and starts dialling.
  tl::expected<void, ListenError> listen();

  /// \brief Sets the endpoints to which sessions are maintained; existing
  /// sessions with other instances continue until they end.
  void setPeerEndpoints(const std::set<Endpoint> &Endpoints);

  /// \brief Sets endpoints that are dialled while no peers are known.
  void setSeeds(const std::set<Endpoint> &Seeds);

  /// \brief Sends a message; it is dropped if there is no session.
  void send(Incarnation To, const FleetMessage &Message);

  /// \brief Times from sending a message to its confirmation, which comes with
  /// the peer's next frame, at the latest its next heartbeat.
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
    Milliseconds Pause_;             ///< Delay before the next attempt.
    std::optional<Incarnation> Run_; ///< Last incarnation seen there.
  };

  void tick();
  void confirmReceipts(Milliseconds Now);
  void closeSilentConnections(Milliseconds Now);
  void endSilentSessions(Milliseconds Now);
  Milliseconds excessSilence(const Session &State, Milliseconds HeardAt,
                             Milliseconds Bound, Milliseconds Now) const;
  void dialAll();
  void dial(const Endpoint &To);
  Connection &addConnection(bufferevent *Buffer,
                            std::optional<Endpoint> Dialled);
  void receive(Connection &From);
  bool handleFrame(Connection &From, const SessionFrame &Frame);
  bool handleHello(Connection &From, const SessionHello &Hello);
  void activate(Entry &State, Connection &New);
  void write(Connection &To, const SessionFrame &Frame);
  void close(Connection &Broken);
  void handleConnectionLoss(Connection &Broken, bool WasRefused);
  Entry &entryFor(const InstanceInfo &Info);
  void endSession(Incarnation Run);
  std::set<Endpoint> linkedEndpoints() const;

  EventLoop &Loop_;
  SessionLinkOptions Options_;
  SessionLinkEvents Events_;
  evconnlistener *Listener_ = nullptr;
  std::map<Endpoint, DialState> Endpoints_;
  std::set<Endpoint> PeerEndpoints_;
  std::set<Endpoint> Seeds_;
  Milliseconds StartedAt_;
  Milliseconds LastTick_;
  std::map<Connection *, std::unique_ptr<Connection>> Connections_;
  std::map<Incarnation, Entry> Sessions_;
  std::map<Incarnation, uint64_t> Nonces_; ///< Last session number used.
  Milliseconds NextDial_;
  Histogram ConfirmationTimes_;
  std::unique_ptr<Timer> Tick_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_SESSIONLINKS_H
