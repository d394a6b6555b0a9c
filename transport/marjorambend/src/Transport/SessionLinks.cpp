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
// A connection whose data is not acknowledged for this long is given up.
static constexpr unsigned UserTimeoutMs = 1'000;
// A tick that is later by more than this may not have seen what has arrived.
static constexpr Milliseconds LateTick{120};

/// \brief One TCP connection between two instances.
struct SessionLinks::Connection {
  SessionLinks *Owner_ = nullptr;
  bufferevent *Buffer_ = nullptr;
  std::optional<Endpoint> Dialled_; ///< Empty if the other side dialled.
  std::optional<Incarnation> Run_;  ///< Known after its hello.
  bool IsConnected_ = false;
  Milliseconds OpenedAt_;
  Milliseconds HeardAt_;
};

/// \brief The C functions that libevent calls.
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
    From.Owner_->connectionLost(From, WasRefused);
  }

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Argument) {
    auto &Links = *static_cast<SessionLinks *>(Argument);
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
  Wanted_ = Endpoints;
  Wanted_.erase(endpointOf(Options_.Self_));
  Seeds_.clear();
  dialAll();
}

void SessionLinks::setSeeds(const std::set<Endpoint> &Seeds) {
  if (!Wanted_.empty())
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
  NextDial_ = Now + Options_.Redial_;
  const std::set<Endpoint> Linked = linkedEndpoints();
  const bool IsSeeding =
      Wanted_.empty() && Now - StartedAt_ >= Options_.SeedsAfter_;
  std::set<Endpoint> Targets = IsSeeding ? Seeds_ : Wanted_;
  // A session without a connection is resumed, or a refusal ends it at once.
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
                       ? Options_.Redial_
                       : std::clamp(State.Pause_ * 2, Options_.SlowRedial_,
                                    Options_.SlowestRedial_);
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
  // Without a number of a session: the other side's hello tells who is there.
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
  while (evbuffer_get_length(Input) >= LengthBytes) {
    uint32_t Length = 0;
    evbuffer_copyout(Input, &Length, LengthBytes);
    const bool IsTooLarge = Length > Options_.MaxFrameBytes_;
    if (!IsTooLarge && evbuffer_get_length(Input) < LengthBytes + Length)
      return;
    std::optional<SessionFrame> Frame;
    if (!IsTooLarge) {
      evbuffer_drain(Input, LengthBytes);
      // A copy is aligned; the connection's buffer need not be.
      std::vector<uint8_t> Content(Length);
      evbuffer_remove(Input, Content.data(), Length);
      Frame = decodeFrame(Content);
    }
    if (!Frame) {
      Events_.OnRejected_(From.Run_ ? "instance" : "stranger");
      connectionLost(From, false);
      return;
    }
    if (!take(From, *Frame))
      return;
  }
}

// Returns whether the connection is still there.
bool SessionLinks::take(Connection &From, const SessionFrame &Frame) {
  if (const auto *Hello = std::get_if<SessionHello>(&Frame.Body_))
    return greet(From, *Hello);
  const auto Found = From.Run_ ? Sessions_.find(*From.Run_) : Sessions_.end();
  if (Found == Sessions_.end() || Found->second.Session_.PeerNonce_ == 0)
    return true;
  Session &State = Found->second.Session_;
  State.HeardAt_ = monotonicNow();
  confirmThrough(State, Frame.Received_, State.HeardAt_, ConfirmationTimes_);
  const bool IsGap =
      Frame.Sequence_ != 0 && Frame.Sequence_ > State.Received_ + 1;
  if (IsGap) {
    connectionLost(From, false);
    return false;
  }
  if (State.Confirmed_ == State.Received_)
    State.ReceivedAt_ = State.HeardAt_;
  const bool IsRepeated =
      Frame.Sequence_ != 0 && !isNext(State, Frame.Sequence_);
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

bool SessionLinks::greet(Connection &From, const SessionHello &Hello) {
  const InstanceInfo &Info = Hello.Info_;
  if (Info.Run_ == Options_.Self_.Run_) {
    close(From);
    return false;
  }
  // A new run at the same address has replaced the old one.
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
    write(From, {.Body_ = helloFor(entryFor(Info).Session_, Options_.Self_)});
    return true;
  }
  const Milliseconds Now = monotonicNow();
  HelloResult Result =
      takeHello(entryFor(Info).Session_, Hello, Now, ConfirmationTimes_);
  if (Result == HelloResult::Ended) {
    From.Run_.reset(); // keeps this connection open
    endSession(Info.Run_);
    From.Run_ = Info.Run_;
    Result = takeHello(entryFor(Info).Session_, Hello, Now, ConfirmationTimes_);
  }
  Entry &State = entryFor(Info);
  State.Session_.HeardAt_ = Now;
  if (Hello.PeerNonce_ != State.Session_.Nonce_)
    write(From, {.Body_ = helloFor(State.Session_, Options_.Self_)});
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
  // Of two connections that were dialled crosswise, both sides keep the one of
  // the smaller run; a later one replaces an earlier one of the same side.
  if (Old == nullptr)
    return;
  const bool IsOldOurs = Old->Dialled_.has_value();
  const bool IsSelfSmaller = Options_.Self_.Run_ < State.Session_.Peer_.Run_;
  const bool IsCrosswise = IsOldOurs != New.Dialled_.has_value();
  const bool IsOldAlive =
      monotonicNow() - Old->HeardAt_ < Options_.ConnectionSilence_;
  if (IsCrosswise && IsOldAlive && IsOldOurs == IsSelfSmaller) {
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
  // A state is outdated by the next one and need not be repeated.
  if (!std::holds_alternative<InstanceStatus>(Message)) {
    Sequence = ++State.Session_.Sent_;
    State.Session_.Unconfirmed_.push_back({.Sequence_ = Sequence,
                                           .SentAt_ = monotonicNow(),
                                           .Message_ = Message});
  }
  if (State.Active_ == nullptr)
    return;
  State.Session_.Confirmed_ = State.Session_.Received_;
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

void SessionLinks::connectionLost(Connection &Broken, bool WasRefused) {
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
  // Nobody listens there: the process is gone.
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
    const bool IsDue = State.Active_ != nullptr &&
                       Open.Confirmed_ != Open.Received_ &&
                       Now - Open.ReceivedAt_ >= Options_.ConfirmWithin_;
    if (!IsDue)
      continue;
    Open.Confirmed_ = Open.Received_;
    write(*State.Active_,
          {.Received_ = Open.Received_, .Body_ = SessionConfirmation{}});
  }
}

// How far the silence exceeds what is allowed; the other side has to speak up
// soon only if its words, or confirmations of ours, are awaited.
Milliseconds SessionLinks::silenceOf(const Session &State, Milliseconds HeardAt,
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

void SessionLinks::closeSilent(Milliseconds Now) {
  std::vector<Connection *> Silent;
  for (const auto &[Key, Open] : Connections_) {
    const bool IsUngreeted =
        !Open->Run_ && Now - Open->OpenedAt_ > Options_.GreetingTimeout_;
    const auto Known =
        Open->Run_ ? Sessions_.find(*Open->Run_) : Sessions_.end();
    const bool IsSilent =
        Known != Sessions_.end() &&
        silenceOf(Known->second.Session_, Open->HeardAt_,
                  Options_.ConnectionSilence_, Now) > Milliseconds{0};
    if (IsUngreeted || IsSilent)
      Silent.push_back(Key);
  }
  for (Connection *One : Silent) {
    if (Connections_.contains(One))
      connectionLost(*One, false);
  }
}

void SessionLinks::endSilent(Milliseconds Now) {
  std::vector<Incarnation> Ended;
  for (const auto &[Run, State] : Sessions_) {
    const Session &Open = State.Session_;
    if (silenceOf(Open, Open.HeardAt_, Options_.SessionSilence_, Now) >
            Milliseconds{0} ||
        Open.Unconfirmed_.size() > Options_.MaxUnconfirmed_)
      Ended.push_back(Run);
  }
  for (const Incarnation Run : Ended)
    endSession(Run);
}

void SessionLinks::tick() {
  const Milliseconds Now = monotonicNow();
  const bool IsLate = Now - LastTick_ > LateTick;
  LastTick_ = Now;
  confirmReceipts(Now);
  if (!IsLate) {
    closeSilent(Now);
    endSilent(Now);
  }
  if (Now >= NextDial_)
    dialAll();
}

} // namespace marjorambend
