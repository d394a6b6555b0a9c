#include "marjorambend/src/Instance/Step.h"

#include <algorithm>

namespace marjorambend::internal {

void sendPeer(Turn &T, Incarnation To, PeerMessage Message) {
  if (T.State_.Peers_.Peers_.count(To) == 0)
    return;
  increment(T.State_.Counters_, Counter::PeerMessagesSent);
  T.Out_.emplace_back(SendPeer{.To_ = To, .Message_ = std::move(Message)});
}

static std::vector<JobId> jobsHeldBy(const Instance &State, Incarnation Run) {
  std::vector<JobId> Ids;
  for (const auto &[Id, Record] : State.Jobs_) {
    if (Record.Phase_ == JobPhase::Remote && Record.Holder_ == Run)
      Ids.push_back(Id);
  }
  return Ids;
}

static void sharePeers(Turn &T) {
  Instance &State = T.State_;
  sharePeerUse(State.Peers_, State.Self_, State.Options_.DataCentre_,
               State.Options_.Peers_.SlotHeadroom_, State.Workers_);
}

void connectPeer(Turn &T, const PeerConnected &Connected) {
  Instance &State = T.State_;
  Peer &Known = State.Peers_.Peers_[Connected.Run_];
  const bool IsNew = Known.Run_ != Connected.Run_;
  Known.Run_ = Connected.Run_;
  Known.Name_ = Connected.Name_;
  Known.DataCentre_ = Connected.DataCentre_;
  Known.HeardAt_ = T.Now_;
  Known.HeartbeatDue_ = T.Now_;
  if (IsNew)
    T.Out_.emplace_back(LogChange{"instance " + Known.Name_ + " connected"});
  std::erase_if(State.LostPeers_, [&](const auto &Entry) {
    return Entry.second == Connected.Run_;
  });
  // Whatever the broken link may have lost is sent again; the holder joins it
  // to the run in progress.
  for (const JobId &Id : jobsHeldBy(State, Connected.Run_))
    sendToHolder(T, *findJob(State, Id));
  sharePeers(T);
}

void disconnectPeer(Turn &T, Incarnation Run) {
  Instance &State = T.State_;
  const auto Found = State.Peers_.Peers_.find(Run);
  if (Found == State.Peers_.Peers_.end())
    return;
  T.Out_.emplace_back(
      LogChange{"instance " + Found->second.Name_ + " disconnected"});
  State.Peers_.Peers_.erase(Found);
  State.LostPeers_.emplace_back(T.Now_ + State.Options_.Peers_.Reconnect_, Run);
  sharePeers(T);
}

void dropLostPeers(Turn &T) {
  Instance &State = T.State_;
  std::vector<Incarnation> Gone;
  std::erase_if(State.LostPeers_, [&](const auto &Entry) {
    if (Entry.first > T.Now_)
      return false;
    Gone.push_back(Entry.second);
    return true;
  });
  for (const Incarnation Run : Gone) {
    for (const JobId &Id : jobsHeldBy(State, Run))
      failByState(T, *findJob(State, Id), Reason::HolderUnreachable,
                  comeBackTime(T));
  }
}

static std::vector<WorkerUse> usesOf(const WorkerTable &Table) {
  std::vector<WorkerUse> Uses;
  for (const Worker &Known : Table.Workers_) {
    if (Known.Outstanding_ == 0)
      continue;
    Uses.push_back({.NameHash_ = hashName(Known.Spec_.Name_),
                    .Outstanding_ = static_cast<uint16_t>(Known.Outstanding_)});
  }
  return Uses;
}

static bool isNear(const Instance &State, const Peer &Known) {
  return Known.DataCentre_ == State.Options_.DataCentre_;
}

static bool isBusy(const Instance &State) {
  return !State.Sends_.empty() || State.Queue_.Jobs_ > 0;
}

// An instance that has become busy does not wait for the slow beat of an idle
// one.
static bool isBeatDue(const Instance &State, const Peer &Known,
                      Milliseconds Now) {
  const bool IsNear = isNear(State, Known);
  const Milliseconds Left = Known.HeartbeatDue_ - Now;
  return Left <= Milliseconds{} ||
         (IsNear && isBusy(State) &&
          Left > State.Options_.Peers_.HeartbeatNear_);
}

static void beatPeer(Turn &T, Peer &Known) {
  Instance &State = T.State_;
  const PeerOptions &Options = State.Options_.Peers_;
  const bool IsNear = isNear(State, Known);
  const bool IsFrequent = IsNear && isBusy(State);
  Known.HeartbeatDue_ =
      T.Now_ + (IsFrequent ? Options.HeartbeatNear_ : Options.HeartbeatFar_);
  Heartbeat Beat{.CatalogueVersion_ = State.Config_.Version_,
                 .DrainFingerprint_ = fingerprint(State.Drains_),
                 .HasBacklog_ = State.Queue_.Jobs_ > 0,
                 .IsStopping_ = State.IsStopping_,
                 .KnowsDrains_ = State.KnowsDrains_,
                 .Uses_ = {}};
  if (IsNear)
    Beat.Uses_ = usesOf(State.Workers_);
  sendPeer(T, Known.Run_, std::move(Beat));
}

void beatPeers(Turn &T) {
  Instance &State = T.State_;
  std::vector<Incarnation> Silent;
  for (auto &[Run, Known] : State.Peers_.Peers_) {
    if (T.Now_ - Known.HeardAt_ > State.Options_.Peers_.Silence_) {
      Silent.push_back(Run);
      continue;
    }
    if (isBeatDue(State, Known, T.Now_))
      beatPeer(T, Known);
  }
  for (const Incarnation Run : Silent) {
    T.Out_.emplace_back(ReplaceLink{Run});
    disconnectPeer(T, Run);
  }
}

// Slots are lent to the others while there is no backlog here; they are told as
// soon as there is one.
void announceBacklog(Turn &T) {
  Instance &State = T.State_;
  const bool HasBacklog = State.Queue_.Jobs_ > 0;
  if (HasBacklog && !State.HadBacklog_) {
    for (auto &[Run, Known] : State.Peers_.Peers_) {
      if (isNear(State, Known))
        beatPeer(T, Known);
    }
  }
  State.HadBacklog_ = HasBacklog;
}

static void onHeartbeat(Turn &T, Incarnation From, Heartbeat &Beat) {
  Instance &State = T.State_;
  Peer &Known = State.Peers_.Peers_[From];
  Known.CatalogueVersion_ = Beat.CatalogueVersion_;
  Known.HasBacklog_ = Beat.HasBacklog_;
  Known.IsStopping_ = Beat.IsStopping_;
  Known.Uses_ = std::move(Beat.Uses_);
  if (Beat.CatalogueVersion_ > State.Config_.Version_)
    sendPeer(T, From, CatalogueRequest{});
  const bool HasSameDrains =
      Beat.DrainFingerprint_ == fingerprint(State.Drains_);
  if (HasSameDrains && Beat.KnowsDrains_)
    State.KnowsDrains_ = true;
  if (!HasSameDrains)
    sendPeer(T, From, DrainUpdate{State.Drains_});
  if (isNear(State, Known))
    sharePeers(T);
}

static void onForwardedAnswer(Turn &T, const ForwardedAnswer &Received) {
  JobRecord *Record = findJob(T.State_, Received.Answer_->Id_);
  const bool IsAwaited = Record != nullptr &&
                         Record->Phase_ == JobPhase::Remote &&
                         Record->Attempt_ == Received.Token_;
  if (!IsAwaited) {
    increment(T.State_.Counters_, Counter::LateAnswers);
    return;
  }
  finishRemote(T, *Record, Received.Answer_);
}

struct PeerDispatcher {
  Turn &T_;
  Incarnation From_;

  void operator()(Heartbeat &M) { onHeartbeat(T_, From_, M); }
  void operator()(ForwardedJob &M) {
    submitJob(T_, std::move(M.Request_), {.Token_ = M.Token_, .Peer_ = From_});
  }
  void operator()(const ForwardedAnswer &M) { onForwardedAnswer(T_, M); }
  void operator()(const ForwardedCancel &M) { cancelJob(T_, M.Id_, true); }
  void operator()(const CatalogueRequest &) {
    const ConfigState &Config = T_.State_.Config_;
    if (Config.Version_ == 0)
      return;
    sendPeer(
        T_, From_,
        CatalogueUpdate{.Version_ = Config.Version_, .Text_ = Config.Text_});
  }
  void operator()(const CatalogueUpdate &M) {
    adoptFrom(T_, M.Version_, M.Text_, "an instance");
  }
  void operator()(const DrainUpdate &M) { takeDrains(T_, M.Map_); }
};

void receivePeer(Turn &T, PeerReceived Received) {
  const auto Found = T.State_.Peers_.Peers_.find(Received.From_);
  if (Found == T.State_.Peers_.Peers_.end())
    return;
  Found->second.HeardAt_ = T.Now_;
  increment(T.State_.Counters_, Counter::PeerMessagesReceived);
  std::visit(PeerDispatcher{.T_ = T, .From_ = Received.From_},
             Received.Message_);
}

} // namespace marjorambend::internal
