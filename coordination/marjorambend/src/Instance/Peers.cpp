#include "marjorambend/src/Instance/Step.h"

#include <algorithm>

namespace marjorambend::internal {

void sendPeer(StepContext &Ctx, Incarnation To, PeerMessage Message) {
  if (Ctx.State_.Peers_.Peers_.count(To) == 0)
    return;
  increment(Ctx.State_.Counters_, Counter::PeerMessagesSent);
  Ctx.Out_.emplace_back(SendPeer{.To_ = To, .Message_ = std::move(Message)});
}

static std::vector<JobId> jobsHeldBy(const Instance &State, Incarnation Run) {
  std::vector<JobId> Ids;
  for (const auto &[Id, Record] : State.Jobs_) {
    if (Record.Phase_ == JobPhase::Remote && Record.Holder_ == Run)
      Ids.push_back(Id);
  }
  return Ids;
}

static void sharePeers(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  sharePeerUse(State.Peers_, State.Self_, State.Options_.DataCentre_,
               State.Options_.Peers_.SlotHeadroom_, State.Workers_);
}

void connectPeer(StepContext &Ctx, const PeerConnected &Connected) {
  Instance &State = Ctx.State_;
  Peer &Known = State.Peers_.Peers_[Connected.Run_];
  const bool IsNew = Known.Run_ != Connected.Run_;
  Known.Run_ = Connected.Run_;
  Known.Name_ = Connected.Name_;
  Known.DataCentre_ = Connected.DataCentre_;
  Known.HeardAt_ = Ctx.Now_;
  Known.HeartbeatDue_ = Ctx.Now_;
  if (IsNew)
    Ctx.Out_.emplace_back(LogChange{"instance " + Known.Name_ + " connected"});
  std::erase_if(State.LostPeers_, [&](const auto &Entry) {
    return Entry.second == Connected.Run_;
  });
  // Messages may have been lost with the previous link, so open jobs are
  // forwarded again; the holder joins them to the jobs in progress.
  for (const JobId &Id : jobsHeldBy(State, Connected.Run_))
    forwardToHolder(Ctx, *findJob(State, Id));
  sharePeers(Ctx);
}

void disconnectPeer(StepContext &Ctx, Incarnation Run) {
  Instance &State = Ctx.State_;
  const auto Found = State.Peers_.Peers_.find(Run);
  if (Found == State.Peers_.Peers_.end())
    return;
  Ctx.Out_.emplace_back(
      LogChange{"instance " + Found->second.Name_ + " disconnected"});
  State.Peers_.Peers_.erase(Found);
  State.LostPeers_.emplace_back(
      Ctx.Now_ + State.Options_.Peers_.ReconnectTimeout_, Run);
  sharePeers(Ctx);
}

void dropLostPeers(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  std::vector<Incarnation> Gone;
  std::erase_if(State.LostPeers_, [&](const auto &Entry) {
    if (Entry.first > Ctx.Now_)
      return false;
    Gone.push_back(Entry.second);
    return true;
  });
  for (const Incarnation Run : Gone) {
    for (const JobId &Id : jobsHeldBy(State, Run))
      failByState(Ctx, *findJob(State, Id), Reason::HolderUnreachable,
                  computeRetryAfter(Ctx));
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

static bool isLocal(const Instance &State, const Peer &Known) {
  return Known.DataCentre_ == State.Options_.DataCentre_;
}

static bool isBusy(const Instance &State) {
  return !State.Sends_.empty() || State.Queue_.Jobs_ > 0;
}

// An instance that becomes busy switches to the fast interval at once.
static bool isHeartbeatDue(const Instance &State, const Peer &Known,
                           Milliseconds Now) {
  const bool IsLocal = isLocal(State, Known);
  const Milliseconds Left = Known.HeartbeatDue_ - Now;
  return Left <= Milliseconds{} ||
         (IsLocal && isBusy(State) &&
          Left > State.Options_.Peers_.FastHeartbeat_);
}

static void sendHeartbeat(StepContext &Ctx, Peer &Known) {
  Instance &State = Ctx.State_;
  const PeerOptions &Options = State.Options_.Peers_;
  const bool IsLocal = isLocal(State, Known);
  const bool IsFrequent = IsLocal && isBusy(State);
  Known.HeartbeatDue_ =
      Ctx.Now_ + (IsFrequent ? Options.FastHeartbeat_ : Options.SlowHeartbeat_);
  Heartbeat HeartbeatMessage{.CatalogueVersion_ = State.Config_.Version_,
                             .DrainFingerprint_ = fingerprint(State.Drains_),
                             .HasBacklog_ = State.Queue_.Jobs_ > 0,
                             .IsStopping_ = State.IsStopping_,
                             .KnowsDrains_ = State.KnowsDrains_,
                             .Uses_ = {}};
  if (IsLocal)
    HeartbeatMessage.Uses_ = usesOf(State.Workers_);
  sendPeer(Ctx, Known.Run_, std::move(HeartbeatMessage));
}

void sendHeartbeats(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  std::vector<Incarnation> Silent;
  for (auto &[Run, Known] : State.Peers_.Peers_) {
    if (Ctx.Now_ - Known.HeardAt_ > State.Options_.Peers_.Silence_) {
      Silent.push_back(Run);
      continue;
    }
    if (isHeartbeatDue(State, Known, Ctx.Now_))
      sendHeartbeat(Ctx, Known);
  }
  for (const Incarnation Run : Silent) {
    Ctx.Out_.emplace_back(ReplaceLink{Run});
    disconnectPeer(Ctx, Run);
  }
}

// Other instances borrow unused slots of this one while it has no backlog, so
// they are told as soon as a backlog forms.
void announceBacklog(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  const bool HasBacklog = State.Queue_.Jobs_ > 0;
  if (HasBacklog && !State.HadBacklog_) {
    for (auto &[Run, Known] : State.Peers_.Peers_) {
      if (isLocal(State, Known))
        sendHeartbeat(Ctx, Known);
    }
  }
  State.HadBacklog_ = HasBacklog;
}

static void onHeartbeat(StepContext &Ctx, Incarnation From,
                        Heartbeat &HeartbeatMessage) {
  Instance &State = Ctx.State_;
  Peer &Known = State.Peers_.Peers_[From];
  Known.CatalogueVersion_ = HeartbeatMessage.CatalogueVersion_;
  Known.HasBacklog_ = HeartbeatMessage.HasBacklog_;
  Known.IsStopping_ = HeartbeatMessage.IsStopping_;
  Known.Uses_ = std::move(HeartbeatMessage.Uses_);
  if (HeartbeatMessage.CatalogueVersion_ > State.Config_.Version_)
    sendPeer(Ctx, From, CatalogueRequest{});
  const bool HasSameDrains =
      HeartbeatMessage.DrainFingerprint_ == fingerprint(State.Drains_);
  if (HasSameDrains && HeartbeatMessage.KnowsDrains_)
    State.KnowsDrains_ = true;
  if (!HasSameDrains)
    sendPeer(Ctx, From, DrainUpdate{State.Drains_});
  if (isLocal(State, Known))
    sharePeers(Ctx);
}

static void onForwardedAnswer(StepContext &Ctx,
                              const ForwardedAnswer &Received) {
  JobRecord *Record = findJob(Ctx.State_, Received.Answer_->Id_);
  const bool IsAwaited = Record != nullptr &&
                         Record->Phase_ == JobPhase::Remote &&
                         Record->Attempt_ == Received.Token_;
  if (!IsAwaited) {
    increment(Ctx.State_.Counters_, Counter::LateAnswers);
    return;
  }
  finishRemote(Ctx, *Record, Received.Answer_);
}

struct PeerDispatcher {
  StepContext &Ctx_;
  Incarnation From_;

  void operator()(Heartbeat &M) { onHeartbeat(Ctx_, From_, M); }
  void operator()(ForwardedJob &M) {
    submitJob(Ctx_, std::move(M.Request_),
              {.Token_ = M.Token_, .Peer_ = From_});
  }
  void operator()(const ForwardedAnswer &M) { onForwardedAnswer(Ctx_, M); }
  void operator()(const ForwardedCancel &M) { cancelJob(Ctx_, M.Id_, true); }
  void operator()(const CatalogueRequest &) {
    const ConfigState &Config = Ctx_.State_.Config_;
    if (Config.Version_ == 0)
      return;
    sendPeer(
        Ctx_, From_,
        CatalogueUpdate{.Version_ = Config.Version_, .Text_ = Config.Text_});
  }
  void operator()(const CatalogueUpdate &M) {
    adoptCatalogueFrom(Ctx_, M.Version_, M.Text_, "an instance");
  }
  void operator()(const DrainUpdate &M) { mergeReceivedDrains(Ctx_, M.Map_); }
};

void receivePeer(StepContext &Ctx, PeerReceived Received) {
  const auto Found = Ctx.State_.Peers_.Peers_.find(Received.From_);
  if (Found == Ctx.State_.Peers_.Peers_.end())
    return;
  Found->second.HeardAt_ = Ctx.Now_;
  increment(Ctx.State_.Counters_, Counter::PeerMessagesReceived);
  std::visit(PeerDispatcher{.Ctx_ = Ctx, .From_ = Received.From_},
             Received.Message_);
}

} // namespace marjorambend::internal
