#include "marjorambend/src/Transport/SessionLinks.h"

#include "marjorambend/src/Transport/Sockets.h"

#include <algorithm>
#include <cerrno>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <vector>

namespace marjorambend {

static constexpr Milliseconds TickInterval{25};
static constexpr std::size_t LengthBytes = sizeof(uint32_t);
// TCP_USER_TIMEOUT of a connection.
static constexpr unsigned UserTimeoutMs = 1'000;
// After a tick delayed by more than this, silence is not evaluated: data may
// have arrived that was not read yet.
static constexpr Milliseconds MaxTickDelay{120};

// Largest first frame of a connection; a hello has some hundred bytes.
static constexpr std::size_t MaxHelloBytes = 4U << 10U;

/// \brief One TCP connection between two instances.
struct SessionLinks::Connection {
  SessionLinks *Owner_ = nullptr;
  bufferevent *Buffer_ = nullptr;
  std::optional<Endpoint> Dialled_; ///< Empty if the peer dialled.
  std::optional<Incarnation> Run_;  ///< Known once its hello arrives.
  bool IsConnected_ = false;
  Milliseconds OpenedAt_;
  Milliseconds HeardAt_;
};

/// \brief Callbacks for libevent.
struct SessionLinkHooks {
  static void onRead(bufferevent *, void *Argument) {
    auto &From = *static_cast<SessionLinks::Connection *>(Argument);
    From.Owner_->receive(From);
  }

  static void onEvent(bufferevent *Buffer, short What, void *Argument) {
    auto &From = *static_cast<SessionLinks::Connection *>(Argument);
    if ((What & BEV_EVENT_CONNECTED) != 0) {
      From.IsConnected_ = true;
      tuneSocket(bufferevent_getfd(Buffer), UserTimeoutMs);
      return;
    }
    const int Error = EVUTIL_SOCKET_ERROR();
    const bool WasRefused =
        !From.IsConnected_ && (Error == ECONNREFUSED || Error == ECONNRESET);
    From.Owner_->handleConnectionLoss(From, WasRefused);
  }

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Argument) {
    auto &Links = *static_cast<SessionLinks *>(Argument);
    const auto Strangers =
        std::count_if(Links.Connections_.begin(), Links.Connections_.end(),
                      [](const auto &Entry) {
                        return !Entry.second->Run_ && !Entry.second->Dialled_;
                      });
    if (static_cast<std::size_t>(Strangers) >= Links.Options_.MaxStrangers_) {
      evutil_closesocket(Socket);
      return;
    }
    tuneSocket(Socket, UserTimeoutMs);
    bufferevent *Buffer = bufferevent_socket_new(Links.Loop_.base(), Socket,
                                                 BEV_OPT_CLOSE_ON_FREE);
    Links.addConnection(Buffer, std::nullopt).IsConnected_ = true;
  }
};

static Endpoint endpointOf(const InstanceInfo &Info) {
  return {Info.Address_, Info.Port_};
}

SessionLinks::SessionLinks(EventLoop &Loop, SessionLinkOptions Options,
                           SessionLinkEvents Events)
    : Loop_(Loop), Options_(std::move(Options)), Events_(std::move(Events)) {}

SessionLinks::~SessionLinks() {
  for (auto &[Key, Open] : Connections_)
    bufferevent_free(Open->Buffer_);
  if (Listener_ != nullptr)
    evconnlistener_free(Listener_);
}

tl::expected<void, ListenError> SessionLinks::listen() {
  const Endpoint Own = endpointOf(Options_.Self_);
  const auto Address = toSocketAddress(Own);
  if (Address)
    Listener_ = evconnlistener_new_bind(
        Loop_.base(), SessionLinkHooks::onAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<const sockaddr *>(&*Address), sizeof(*Address));
  if (Listener_ == nullptr)
    return tl::unexpected(ListenError{"cannot listen on " + Own.Address_ + ':' +
                                      std::to_string(Own.Port_)});
  StartedAt_ = LastTick_ = monotonicNow();
  Tick_ = std::make_unique<Timer>(Loop_, TickInterval, Timer::Mode::Repeat,
                                  [this] { tick(); });
  return {};
}

void SessionLinks::setPeerEndpoints(const std::set<Endpoint> &Endpoints) {
  PeerEndpoints_ = Endpoints;
  PeerEndpoints_.erase(endpointOf(Options_.Self_));
  Seeds_.clear();
  dialAll();
}

void SessionLinks::setSeeds(const std::set<Endpoint> &Seeds) {
  if (!PeerEndpoints_.empty())
    return;
  Seeds_ = Seeds;
  Seeds_.erase(endpointOf(Options_.Self_));
}

std::set<Endpoint> SessionLinks::linkedEndpoints() const {
  std::set<Endpoint> Linked;
  for (const auto &[Key, Open] : Connections_) {
    if (Open->Dialled_)
      Linked.insert(*Open->Dialled_);
  }
  for (const auto &[Run, State] : Sessions_) {
    if (State.Active_ != nullptr)
      Linked.insert(endpointOf(State.Session_.Peer_));
  }
  return Linked;
}

void SessionLinks::dialAll() {
  const Milliseconds Now = monotonicNow();
  NextDial_ = Now + Options_.RedialDelay_;
  const std::set<Endpoint> Linked = linkedEndpoints();
  const bool IsSeeding =
      PeerEndpoints_.empty() && Now - StartedAt_ >= Options_.SeedDelay_;
  std::set<Endpoint> Targets = IsSeeding ? Seeds_ : PeerEndpoints_;
  // Sessions without a connection are dialled too: they resume, or end at once
  // if the connection is refused.
  for (const auto &[Run, Open] : Sessions_) {
    if (Open.Active_ == nullptr)
      Targets.insert(endpointOf(Open.Session_.Peer_));
  }
  for (const Endpoint &To : Targets) {
    DialState &State = Endpoints_[To];
    if (Now < State.NextAt_ || Linked.contains(To))
      continue;
    const bool HasSession = State.Run_ && Sessions_.contains(*State.Run_);
    State.Pause_ = HasSession
                       ? Options_.RedialDelay_
                       : std::clamp(State.Pause_ * 2, Options_.MinBackoff_,
                                    Options_.MaxBackoff_);
    State.NextAt_ = Now + State.Pause_;
    dial(To);
  }
}

void SessionLinks::dial(const Endpoint &To) {
  const auto Address = toSocketAddress(To);
  if (!Address)
    return;
  bufferevent *Buffer =
      bufferevent_socket_new(Loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  Connection &New = addConnection(Buffer, To);
  const int Failed = bufferevent_socket_connect(
      Buffer, reinterpret_cast<const sockaddr *>(&*Address), sizeof(*Address));
  if (Failed != 0) {
    close(New);
    return;
  }
  // Sent without a session number: the peer's incarnation is not known before
  // its hello.
  write(New, {.Body_ = SessionHello{.Info_ = Options_.Self_}});
}

SessionLinks::Connection &
SessionLinks::addConnection(bufferevent *Buffer,
                            std::optional<Endpoint> Dialled) {
  auto Owned = std::make_unique<Connection>();
  Connection &New = *Owned;
  New.Owner_ = this;
  New.Buffer_ = Buffer;
  New.Dialled_ = std::move(Dialled);
  New.OpenedAt_ = New.HeardAt_ = monotonicNow();
  Connections_[&New] = std::move(Owned);
  bufferevent_setcb(Buffer, SessionLinkHooks::onRead, nullptr,
                    SessionLinkHooks::onEvent, &New);
  bufferevent_enable(Buffer, EV_READ | EV_WRITE);
  return New;
}

void SessionLinks::receive(Connection &From) {
  evbuffer *Input = bufferevent_get_input(From.Buffer_);
  From.HeardAt_ = monotonicNow();
  // A large message takes longer to arrive on a slow link than a session may be
  // silent, and delays what was sent behind it.
  const auto Known = From.Run_ ? Sessions_.find(*From.Run_) : Sessions_.end();
  if (Known != Sessions_.end() && Known->second.Active_ == &From)
    Known->second.Session_.HeardAt_ = From.HeardAt_;
  while (evbuffer_get_length(Input) >= LengthBytes) {
    uint32_t Length = 0;
    evbuffer_copyout(Input, &Length, LengthBytes);
    const bool IsTooLarge =
        Length > (From.Run_ ? Options_.MaxFrameBytes_ : MaxHelloBytes);
    if (!IsTooLarge && evbuffer_get_length(Input) < LengthBytes + Length)
      return;
    std::optional<SessionFrame> Frame;
    if (!IsTooLarge) {
      evbuffer_drain(Input, LengthBytes);
      // Copied for alignment, which the connection's buffer does not guarantee.
      std::vector<uint8_t> Content(Length);
      evbuffer_remove(Input, Content.data(), Length);
      Frame = decodeFrame(Content);
    }
    if (!Frame) {
      Events_.OnRejected_(From.Run_ ? "instance" : "stranger");
      handleConnectionLoss(From, false);
      return;
    }
    if (!handleFrame(From, *Frame))
      return;
  }
}

// Returns whether the connection still exists.
bool SessionLinks::handleFrame(Connection &From, const SessionFrame &Frame) {
  if (const auto *Hello = std::get_if<SessionHello>(&Frame.Body_))
    return handleHello(From, *Hello);
  const auto Found = From.Run_ ? Sessions_.find(*From.Run_) : Sessions_.end();
  if (Found == Sessions_.end() || Found->second.Session_.PeerNonce_ == 0)
    return true;
  Session &State = Found->second.Session_;
  State.HeardAt_ = monotonicNow();
  confirmThrough(State, Frame.Received_, State.HeardAt_, ConfirmationTimes_);
  const bool IsGap =
      Frame.Sequence_ != 0 && Frame.Sequence_ > State.Received_ + 1;
  if (IsGap) {
    handleConnectionLoss(From, false);
    return false;
  }
  if (State.LastConfirmed_ == State.Received_)
    State.UnconfirmedSince_ = State.HeardAt_;
  const bool IsRepeated =
      Frame.Sequence_ != 0 && !acceptIfNext(State, Frame.Sequence_);
  const auto *Message = std::get_if<FleetMessage>(&Frame.Body_);
  if (!IsRepeated && Message != nullptr)
    Events_.OnMessage_(*From.Run_, *Message);
  return Connections_.contains(&From);
}

SessionLinks::Entry &SessionLinks::entryFor(const InstanceInfo &Info) {
  const auto [Found, IsNew] = Sessions_.try_emplace(Info.Run_);
  if (IsNew) {
    Found->second.Session_.Nonce_ = ++Nonces_[Info.Run_];
    Found->second.Session_.Peer_ = Info;
    Found->second.Session_.HeardAt_ = monotonicNow();
  }
  return Found->second;
}

bool SessionLinks::handleHello(Connection &From, const SessionHello &Hello) {
  const InstanceInfo &Info = Hello.Info_;
  if (Info.Run_ == Options_.Self_.Run_) {
    close(From);
    return false;
  }
  // A new incarnation at the same address replaces the old one.
  std::vector<Incarnation> Replaced;
  for (const auto &[Run, State] : Sessions_) {
    if (Run != Info.Run_ &&
        endpointOf(State.Session_.Peer_) == endpointOf(Info))
      Replaced.push_back(Run);
  }
  for (const Incarnation Run : Replaced)
    endSession(Run);
  From.Run_ = Info.Run_;
  Endpoints_[endpointOf(Info)].Run_ = Info.Run_;
  if (Hello.Nonce_ == 0) {
    write(From, {.Body_ = makeHello(entryFor(Info).Session_, Options_.Self_)});
    return true;
  }
  const Milliseconds Now = monotonicNow();
  HelloResult Result =
      processHello(entryFor(Info).Session_, Hello, Now, ConfirmationTimes_);
  if (Result == HelloResult::Ended) {
    From.Run_.reset(); // so that endSession() keeps this connection
    endSession(Info.Run_);
    From.Run_ = Info.Run_;
    Result =
        processHello(entryFor(Info).Session_, Hello, Now, ConfirmationTimes_);
  }
  Entry &State = entryFor(Info);
  State.Session_.HeardAt_ = Now;
  if (Hello.PeerNonce_ != State.Session_.Nonce_)
    write(From, {.Body_ = makeHello(State.Session_, Options_.Self_)});
  if (Result == HelloResult::Ignored)
    return true;
  Endpoints_[endpointOf(Info)].Pause_ = {};
  if (Result == HelloResult::Established)
    Events_.OnUp_(Info);
  activate(State, From);
  return Connections_.contains(&From);
}

void SessionLinks::activate(Entry &State, Connection &New) {
  Connection *Old = State.Active_;
  if (Old == &New)
    return;
  State.Active_ = &New;
  for (const SentMessage &Sent : State.Session_.Unconfirmed_)
    write(New, {.Sequence_ = Sent.Sequence_,
                .Received_ = State.Session_.Received_,
                .Body_ = Sent.Message_});
  // If both sides dialled, both keep the connection dialled by the smaller
  // incarnation; if the same side dialled twice, the later one is kept.
  if (Old == nullptr)
    return;
  const bool IsOldOurs = Old->Dialled_.has_value();
  const bool IsSelfSmaller = Options_.Self_.Run_ < State.Session_.Peer_.Run_;
  const bool IsDialledByBoth = IsOldOurs != New.Dialled_.has_value();
  const bool IsOldAlive =
      monotonicNow() - Old->HeardAt_ < Options_.ConnectionSilence_;
  if (IsDialledByBoth && IsOldAlive && IsOldOurs == IsSelfSmaller) {
    State.Active_ = Old;
    close(New);
    return;
  }
  close(*Old);
}

void SessionLinks::write(Connection &To, const SessionFrame &Frame) {
  const std::string Bytes = encodeFrame(Frame);
  bufferevent_write(To.Buffer_, Bytes.data(), Bytes.size());
}

void SessionLinks::send(Incarnation To, const FleetMessage &Message) {
  const auto Found = Sessions_.find(To);
  if (Found == Sessions_.end() || Found->second.Session_.PeerNonce_ == 0)
    return;
  Entry &State = Found->second;
  uint64_t Sequence = 0;
  // A status is superseded by the next one and is not resent.
  if (!std::holds_alternative<InstanceStatus>(Message)) {
    Sequence = ++State.Session_.Sent_;
    State.Session_.Unconfirmed_.push_back({.Sequence_ = Sequence,
                                           .SentAt_ = monotonicNow(),
                                           .Message_ = Message});
  }
  if (State.Active_ == nullptr)
    return;
  State.Session_.LastConfirmed_ = State.Session_.Received_;
  write(*State.Active_, {.Sequence_ = Sequence,
                         .Received_ = State.Session_.Received_,
                         .Body_ = Message});
}

void SessionLinks::close(Connection &Broken) {
  Connection *Key = &Broken;
  if (Broken.Run_) {
    const auto Found = Sessions_.find(*Broken.Run_);
    if (Found != Sessions_.end() && Found->second.Active_ == Key)
      Found->second.Active_ = nullptr;
  }
  bufferevent_free(Broken.Buffer_);
  Connections_.erase(Key);
}

void SessionLinks::handleConnectionLoss(Connection &Broken, bool WasRefused) {
  std::optional<Endpoint> At = Broken.Dialled_;
  std::optional<Incarnation> Run = Broken.Run_;
  if (Run && !At) {
    const auto Found = Sessions_.find(*Run);
    if (Found != Sessions_.end())
      At = endpointOf(Found->second.Session_.Peer_);
  }
  close(Broken);
  if (!At)
    return;
  const auto Known = Endpoints_.find(*At);
  if (Known == Endpoints_.end())
    return;
  // A refused connection means that the process has ended.
  if (WasRefused && Known->second.Run_) {
    endSession(*Known->second.Run_);
    Known->second.Run_.reset();
    return;
  }
  if (!WasRefused && Run && Sessions_.contains(*Run)) {
    Known->second.NextAt_ = {};
    dialAll();
  }
}

void SessionLinks::endSession(Incarnation Run) {
  const auto Found = Sessions_.find(Run);
  if (Found == Sessions_.end())
    return;
  const bool WasUp = Found->second.Session_.PeerNonce_ != 0;
  Sessions_.erase(Found);
  std::vector<Connection *> Open;
  for (const auto &[Key, One] : Connections_) {
    if (One->Run_ == Run)
      Open.push_back(Key);
  }
  for (Connection *One : Open)
    close(*One);
  if (WasUp)
    Events_.OnDown_(Run);
}

void SessionLinks::confirmReceipts(Milliseconds Now) {
  for (auto &[Run, State] : Sessions_) {
    Session &Open = State.Session_;
    const bool IsDue =
        State.Active_ != nullptr && Open.LastConfirmed_ != Open.Received_ &&
        Now - Open.UnconfirmedSince_ >= Options_.ConfirmationDelay_;
    if (!IsDue)
      continue;
    Open.LastConfirmed_ = Open.Received_;
    write(*State.Active_,
          {.Received_ = Open.Received_, .Body_ = SessionConfirmation{}});
  }
}

// Time by which the peer's silence exceeds its bound. \p Bound applies only
// while a message, or a confirmation of sent messages, is expected from the
// peer; IdleSilence_ applies always.
Milliseconds SessionLinks::excessSilence(const Session &State,
                                         Milliseconds HeardAt,
                                         Milliseconds Bound,
                                         Milliseconds Now) const {
  Milliseconds Excess = Now - HeardAt - Options_.IdleSilence_;
  if (!State.Unconfirmed_.empty()) {
    const Milliseconds Since =
        std::max(HeardAt, State.Unconfirmed_.front().SentAt_);
    Excess = std::max(Excess, Now - Since - Bound);
  }
  if (const auto Awaited = Events_.AwaitedSince_(State.Peer_.Run_))
    Excess = std::max(Excess, Now - std::max(HeardAt, *Awaited) - Bound);
  return Excess;
}

void SessionLinks::closeSilentConnections(Milliseconds Now) {
  std::vector<Connection *> Silent;
  for (const auto &[Key, Open] : Connections_) {
    const bool IsHandshakeOverdue =
        !Open->Run_ && Now - Open->OpenedAt_ > Options_.HandshakeTimeout_;
    const auto Known =
        Open->Run_ ? Sessions_.find(*Open->Run_) : Sessions_.end();
    const bool IsSilent =
        Known != Sessions_.end() &&
        excessSilence(Known->second.Session_, Open->HeardAt_,
                      Options_.ConnectionSilence_, Now) > Milliseconds{0};
    if (IsHandshakeOverdue || IsSilent)
      Silent.push_back(Key);
  }
  for (Connection *One : Silent) {
    if (Connections_.contains(One))
      handleConnectionLoss(*One, false);
  }
}

void SessionLinks::endSilentSessions(Milliseconds Now) {
  std::vector<Incarnation> Ended;
  for (const auto &[Run, State] : Sessions_) {
    const Session &Open = State.Session_;
    if (excessSilence(Open, Open.HeardAt_, Options_.SessionSilence_, Now) >
            Milliseconds{0} ||
        Open.Unconfirmed_.size() > Options_.MaxUnconfirmed_)
      Ended.push_back(Run);
  }
  for (const Incarnation Run : Ended)
    endSession(Run);
}

void SessionLinks::tick() {
  const Milliseconds Now = monotonicNow();
  const bool IsLate = Now - LastTick_ > MaxTickDelay;
  LastTick_ = Now;
  confirmReceipts(Now);
  if (!IsLate) {
    closeSilentConnections(Now);
    endSilentSessions(Now);
  }
  if (Now >= NextDial_)
    dialAll();
}

} // namespace marjorambend
