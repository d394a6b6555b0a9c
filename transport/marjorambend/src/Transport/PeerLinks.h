#ifndef MARJORAMBEND_TRANSPORT_PEERLINKS_H
#define MARJORAMBEND_TRANSPORT_PEERLINKS_H

#include "marjorambend/src/Transport/EventLoop.h"
#include "marjorambend/src/Transport/HttpClient.h"
#include "marjorambend/src/Transport/HttpServer.h"
#include "marjorambend/src/Transport/PeerCodec.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

struct bufferevent;
struct evconnlistener;

namespace marjorambend {

/// \brief Parameters of the links to other instances.
struct PeerLinkOptions {
  Endpoint Listen_;
  std::string Key_;
  std::size_t MaxFrameBytes_ = 16U << 20U;
  std::size_t MaxBufferedBytes_ = 64U << 20U; ///< A link that lags is closed.
  Milliseconds RedialEvery_{500};
  Milliseconds HelloTimeout_{2'000};
  PeerHello Self_; ///< Its nonce is drawn for each link.
};

/// \brief What the links tell.
struct PeerLinkEvents {
  std::function<void(const PeerHello &)> OnConnected_;
  std::function<void(Incarnation)> OnDisconnected_;
  std::function<void(Incarnation, PeerMessage)> OnMessage_;
  std::function<void()> OnRejected_; ///< A frame failed verification.
};

/// \brief Links to other instances: one connection each, frames over TCP.
///
/// Both sides may dial. If that makes two links between the same incarnations,
/// the one that the larger incarnation has dialled stays.
class PeerLinks {
public:
  PeerLinks(EventLoop &Loop, PeerLinkOptions Options, PeerLinkEvents Events,
            uint64_t Seed);
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;
  ~PeerLinks();

  /// \brief Opens the listener and begins to dial.
  tl::expected<void, ListenError> listen();

  /// \brief Sets the endpoints to which links are to be kept.
  void setEndpoints(std::set<Endpoint> Endpoints);

  /// \brief Sends a message; it is dropped if there is no link.
  /// \returns the bytes of its frame, 0 without a link.
  std::size_t send(Incarnation To, const PeerMessage &Message);

  /// \brief Closes a link; it is dialled again.
  void close(Incarnation To);

  struct Link;

private:
  friend struct PeerLinkHooks;

  void dial();
  Link &addLink(bufferevent *Buffer, std::optional<Endpoint> Dialled);
  void receive(Link &From);
  bool take(Link &From, std::span<const uint8_t> Content);
  bool greet(Link &From, const PeerHello &Hello);
  void drop(Link &Broken);
  void reject(Link &From);
  void closeSlowHellos();

  EventLoop &Loop_;
  PeerLinkOptions Options_;
  PeerLinkEvents Events_;
  Random Generator_;
  evconnlistener *Listener_ = nullptr;
  std::set<Endpoint> Endpoints_;
  std::map<Link *, std::unique_ptr<Link>> Links_;
  std::map<Incarnation, Link *> ByRun_;
  std::unique_ptr<Timer> Redial_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_PEERLINKS_H
