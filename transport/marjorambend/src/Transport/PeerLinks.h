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
  /// Unsent bytes above which a link is closed.
  std::size_t MaxBufferedBytes_ = 64U << 20U;
  std::size_t MaxStrangers_ = 256; ///< Accepted links without a hello.
  Milliseconds RedialEvery_{500};
  Milliseconds HelloTimeout_{2'000};
  PeerHello Self_; ///< The nonce is generated for each link.
};

/// \brief Callbacks of PeerLinks.
struct PeerLinkEvents {
  std::function<void(const PeerHello &)> OnConnected_;
  std::function<void(Incarnation)> OnDisconnected_;
  std::function<void(Incarnation, PeerMessage)> OnMessage_;
  std::function<void()> OnRejected_; ///< A frame failed verification.
};

/// \brief Links to other instances: authenticated frames over TCP.
///
/// Both sides may dial. If that results in two links between the same
/// incarnations, the one dialled by the larger incarnation carries the
/// messages.
class PeerLinks {
public:
  PeerLinks(EventLoop &Loop, PeerLinkOptions Options, PeerLinkEvents Events,
            uint64_t Seed);
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;
  ~PeerLinks();

  /// \brief Opens the listener and starts dialling.
  tl::expected<void, ListenError> listen();

  /// \brief Sets the endpoints to which links are maintained.
  void setEndpoints(std::set<Endpoint> Endpoints);

  /// \brief Sends a message; it is dropped if there is no link.
  /// \returns the size of its frame in bytes, 0 if there is no link.
  std::size_t send(Incarnation To, const PeerMessage &Message);

  /// \brief Closes the links to an instance; they are dialled again.
  void close(Incarnation To);

  struct Link;

private:
  friend struct PeerLinkHooks;

  void dial();
  Link &addLink(bufferevent *Buffer, std::optional<Endpoint> Dialled);
  void receive(Link &From);
  bool handleContent(Link &From, std::span<const uint8_t> Content);
  bool handleHello(Link &From, const PeerHello &Hello);
  void closeLink(Link &Broken);
  void rejectFrame(Link &From);
  void closeLinksWithoutHello();

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
