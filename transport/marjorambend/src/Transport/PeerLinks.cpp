#include "marjorambend/src/Transport/PeerLinks.h"

#include "marjorambend/src/Transport/Sockets.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace marjorambend {

static constexpr unsigned LinkUserTimeoutMs = 3'000;
// Largest first frame of a link; a hello has some hundred bytes.
static constexpr std::size_t MaxHelloBytes = 4U << 10U;

/// \brief One connection between two instances.
struct PeerLinks::Link {
  PeerLinks *Owner_ = nullptr;
  bufferevent *Buffer_ = nullptr;
  std::optional<Endpoint> Dialled_; ///< Empty if the peer dialled.
  Milliseconds OpenedAt_;
  uint64_t Nonce_ = 0; ///< Own nonce, for frames from the peer.
  FrameAuthState Sending_;
  FrameAuthState Receiving_;
  std::optional<PeerHello> Peer_; ///< Known once its hello arrives.
};

/// \brief Callbacks for libevent.
struct PeerLinkHooks {
  static void onRead(bufferevent *, void *Argument) {
    auto &From = *static_cast<PeerLinks::Link *>(Argument);
    From.Owner_->receive(From);
  }

  static void onEvent(bufferevent *, short What, void *Argument) {
    auto &From = *static_cast<PeerLinks::Link *>(Argument);
    if ((What & BEV_EVENT_CONNECTED) == 0)
      From.Owner_->closeLink(From);
  }

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Argument) {
    auto &Links = *static_cast<PeerLinks *>(Argument);
    const auto Strangers = std::count_if(
        Links.Links_.begin(), Links.Links_.end(), [](const auto &Entry) {
          return !Entry.second->Peer_ && !Entry.second->Dialled_;
        });
    if (static_cast<std::size_t>(Strangers) >= Links.Options_.MaxStrangers_) {
      evutil_closesocket(Socket);
      return;
    }
    bufferevent *Buffer = bufferevent_socket_new(Links.Loop_.base(), Socket,
                                                 BEV_OPT_CLOSE_ON_FREE);
    Links.addLink(Buffer, std::nullopt);
  }
};

static std::span<const uint8_t> asBytes(const std::vector<uint8_t> &Content) {
  return {Content.data(), Content.size()};
}

PeerLinks::PeerLinks(EventLoop &Loop, PeerLinkOptions Options,
                     PeerLinkEvents Events, uint64_t Seed)
    : Loop_(Loop), Options_(std::move(Options)), Events_(std::move(Events)),
      Generator_(Seed) {}

PeerLinks::~PeerLinks() {
  for (auto &[Key, Open] : Links_)
    bufferevent_free(Open->Buffer_);
  if (Listener_ != nullptr)
    evconnlistener_free(Listener_);
}

tl::expected<void, ListenError> PeerLinks::listen() {
  const auto Address = toSocketAddress(Options_.Listen_);
  if (Address)
    Listener_ = evconnlistener_new_bind(
        Loop_.base(), PeerLinkHooks::onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<const sockaddr *>(&*Address), sizeof(*Address));
  if (Listener_ == nullptr)
    return tl::unexpected(ListenError{"cannot listen on " +
                                      Options_.Listen_.Address_ + ':' +
                                      std::to_string(Options_.Listen_.Port_)});
  Redial_ = std::make_unique<Timer>(Loop_, Options_.RedialEvery_,
                                    Timer::Mode::Repeat, [this] { dial(); });
  return {};
}

void PeerLinks::setEndpoints(std::set<Endpoint> Endpoints) {
  Endpoints.erase(Options_.Listen_);
  const bool IsSame = Endpoints == Endpoints_;
  Endpoints_ = std::move(Endpoints);
  if (!IsSame)
    dial();
}

// Dials each endpoint to which this side has not dialled a link. Whether the
// peer has dialled one is known only from its hello.
void PeerLinks::dial() {
  closeLinksWithoutHello();
  for (const Endpoint &To : Endpoints_) {
    bool IsLinked = false;
    for (const auto &[Key, Open] : Links_)
      IsLinked = IsLinked || Open->Dialled_ == To;
    const auto Address = toSocketAddress(To);
    if (IsLinked || !Address)
      continue;
    bufferevent *Buffer =
        bufferevent_socket_new(Loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    Link &New = addLink(Buffer, To);
    const int Failed = bufferevent_socket_connect(
        Buffer, reinterpret_cast<const sockaddr *>(&*Address),
        sizeof(*Address));
    if (Failed != 0)
      closeLink(New);
  }
}

void PeerLinks::closeLinksWithoutHello() {
  std::vector<Link *> Slow;
  for (const auto &[Key, Open] : Links_) {
    const bool IsHelloOverdue =
        monotonicNow() - Open->OpenedAt_ > Options_.HelloTimeout_;
    if (!Open->Peer_ && IsHelloOverdue)
      Slow.push_back(Key);
  }
  for (Link *Open : Slow)
    closeLink(*Open);
}

PeerLinks::Link &PeerLinks::addLink(bufferevent *Buffer,
                                    std::optional<Endpoint> Dialled) {
  auto Owned = std::make_unique<Link>();
  Link &New = *Owned;
  New.Owner_ = this;
  New.Buffer_ = Buffer;
  New.Dialled_ = std::move(Dialled);
  New.OpenedAt_ = monotonicNow();
  New.Nonce_ = Generator_() | 1U;
  New.Sending_.Key_ = Options_.Key_;
  New.Receiving_.Key_ = Options_.Key_;
  Links_.emplace(&New, std::move(Owned));
  bufferevent_setcb(Buffer, PeerLinkHooks::onRead, nullptr,
                    PeerLinkHooks::onEvent, &New);
  bufferevent_enable(Buffer, EV_READ | EV_WRITE);
  PeerHello Hello = Options_.Self_;
  Hello.Nonce_ = New.Nonce_;
  const std::vector<uint8_t> Content = encodeHello(Hello);
  const std::string Frame = signFrame(New.Sending_, asBytes(Content));
  bufferevent_write(Buffer, Frame.data(), Frame.size());
  return New;
}

void PeerLinks::receive(Link &From) {
  evbuffer *Input = bufferevent_get_input(From.Buffer_);
  while (true) {
    const std::size_t Bytes = evbuffer_get_length(Input);
    const uint8_t *Data = evbuffer_pullup(Input, -1);
    const auto Extracted =
        extractFrame(From.Receiving_, {Data, Data == nullptr ? 0 : Bytes},
                     From.Peer_ ? Options_.MaxFrameBytes_ : MaxHelloBytes);
    if (!Extracted) {
      rejectFrame(From);
      return;
    }
    if (!*Extracted)
      return;
    // Copied, since a handler may close the link.
    const std::vector<uint8_t> Content((*Extracted)->Content_.begin(),
                                       (*Extracted)->Content_.end());
    evbuffer_drain(Input, (*Extracted)->Bytes_);
    if (!handleContent(From, asBytes(Content)))
      return;
  }
}

// Returns whether the link still exists.
bool PeerLinks::handleContent(Link &From, std::span<const uint8_t> Content) {
  auto Decoded = decodeContent(Content);
  const bool IsHello = Decoded && std::holds_alternative<PeerHello>(*Decoded);
  if (!Decoded || IsHello != !From.Peer_) {
    rejectFrame(From);
    return false;
  }
  if (IsHello)
    return handleHello(From, std::get<PeerHello>(*Decoded));
  Link *Key = &From;
  Events_.OnMessage_(From.Peer_->Run_,
                     std::move(std::get<PeerMessage>(*Decoded)));
  return Links_.count(Key) > 0;
}

bool PeerLinks::handleHello(Link &From, const PeerHello &Hello) {
  if (Hello.Run_ == Options_.Self_.Run_) {
    closeLink(From);
    return false;
  }
  From.Peer_ = Hello;
  From.Sending_.Nonce_ = Hello.Nonce_;
  From.Receiving_.Nonce_ = From.Nonce_;
  tuneSocket(bufferevent_getfd(From.Buffer_), LinkUserTimeoutMs);
  const auto Found = ByRun_.find(Hello.Run_);
  if (Found == ByRun_.end()) {
    ByRun_[Hello.Run_] = &From;
    Events_.OnConnected_(Hello);
    return true;
  }
  // Of two links, the one dialled by the larger incarnation carries the
  // messages; the other stays open, so that its endpoint is not dialled again.
  const bool IsOursLarger = Options_.Self_.Run_ > Hello.Run_;
  if (From.Dialled_.has_value() == IsOursLarger)
    Found->second = &From;
  return true;
}

void PeerLinks::rejectFrame(Link &From) {
  if (Events_.OnRejected_)
    Events_.OnRejected_();
  closeLink(From);
}

void PeerLinks::closeLink(Link &Broken) {
  const std::optional<PeerHello> Peer = Broken.Peer_;
  Link *Key = &Broken;
  bufferevent_free(Broken.Buffer_);
  Links_.erase(Key);
  if (!Peer)
    return;
  const auto Found = ByRun_.find(Peer->Run_);
  if (Found == ByRun_.end() || Found->second != Key)
    return;
  ByRun_.erase(Found);
  Events_.OnDisconnected_(Peer->Run_);
  // Another link to the same instance, if any, takes over.
  for (const auto &[Other, Open] : Links_) {
    if (!Open->Peer_ || Open->Peer_->Run_ != Peer->Run_)
      continue;
    ByRun_[Peer->Run_] = Other;
    Events_.OnConnected_(*Open->Peer_);
    return;
  }
}

std::size_t PeerLinks::send(Incarnation To, const PeerMessage &Message) {
  const auto Found = ByRun_.find(To);
  if (Found == ByRun_.end())
    return 0;
  Link &Open = *Found->second;
  const std::vector<uint8_t> Content = encodeMessage(Message);
  const std::string Frame = signFrame(Open.Sending_, asBytes(Content));
  bufferevent_write(Open.Buffer_, Frame.data(), Frame.size());
  const std::size_t UnsentBytes =
      evbuffer_get_length(bufferevent_get_output(Open.Buffer_));
  if (UnsentBytes > Options_.MaxBufferedBytes_)
    closeLink(Open);
  return Frame.size();
}

void PeerLinks::close(Incarnation To) {
  std::vector<Link *> Same;
  for (const auto &[Key, Open] : Links_) {
    if (Open->Peer_ && Open->Peer_->Run_ == To)
      Same.push_back(Key);
  }
  ByRun_.erase(To);
  for (Link *Open : Same)
    closeLink(*Open);
}

} // namespace marjorambend
