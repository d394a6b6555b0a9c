/// \file
/// \brief Claims, polls, hands over and releases workers.

#include "marjorambend/src/Fleet/HoldStep.h"
#include "marjorambend/src/Fleet/StableHash.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace marjorambend::internal {

// A claim that is fenced off in spite of its fresh token raises the token by 32
// ms of the clock, twice the spread of tokens, and by twice as much at each
// further attempt. So tokens do not run far ahead of the clock; after 36
// doublings the step exceeds any time since 1970.
static constexpr uint64_t ClaimTokenStep = 2 * FencingTokenSpread;
static constexpr uint32_t MaxTokenDoublings = 36;

// Weighted rendezvous hashing: the instance with the greatest w / -log(u) is
// chosen, with a probability in proportion to its weight w.
static double rendezvousScore(const InstanceInfo &Instance,
                              std::string_view Worker) {
  const uint64_t Hash =
      hashNumber(hashText(Worker, hashText("/", hashText(Instance.Name_))), 0);
  const double Uniform = (static_cast<double>(Hash >> 11U) + 0.5) * 0x1.0p-53;
  return std::max(1.0, static_cast<double>(Instance.CpuShare_)) /
         -std::log(Uniform);
}

// A later claim must have a higher token, so a new token is above the store's
// clock and all known tokens. This matters even for an uncontested claim: a
// restarted worker has seen no token, and would accept a delayed order that was
// meant for its previous incarnation. Wall clocks are not used, as they differ
// between machines and jump.
static uint64_t newFencingToken(FleetInstance &State, uint64_t Above = 0) {
  const uint64_t Token = std::max(State.TokenBase_, Above) + 1 +
                         uniformBelow(State.Generator_, FencingTokenSpread);
  State.HighestToken_ = std::max(State.HighestToken_, Token);
  return Token;
}

// Applies rendezvous hashing to the coordinators of the worker's data centre,
// or to all coordinators if that data centre has none.
static bool isAssignedHolder(const FleetInstance &State,
                             const WorkerReport &Worker) {
  if (!State.IsCoordinating_)
    return false;
  const InstanceInfo *Best = &State.Self_;
  const auto IsNear = [&Worker](const InstanceInfo &Info) {
    return Info.DataCentre_ == Worker.DataCentre_;
  };
  for (const auto &[Run, Other] : State.Members_) {
    if (!isActiveCoordinator(Other.Status_))
      continue;
    if (IsNear(Other.Info_) != IsNear(*Best)) {
      if (IsNear(Other.Info_))
        Best = &Other.Info_;
      continue;
    }
    if (rendezvousScore(Other.Info_, Worker.Id_) >
        rendezvousScore(*Best, Worker.Id_))
      Best = &Other.Info_;
  }
  return Best == &State.Self_;
}

// Instances behind a network partition keep serving their workers. A claim from
// the other side would succeed as soon as the partition heals, before their
// heartbeats are received, and would take all of their workers.
static bool mustWaitToClaim(const FleetInstance &State,
                            const WorkerReport &Worker, Milliseconds Now) {
  if (Worker.DataCentre_ == State.Self_.DataCentre_)
    return false;
  const auto LastMessage = State.DataCentreHeardAt_.find(Worker.DataCentre_);
  Milliseconds Since = State.StartedAt_;
  if (LastMessage != State.DataCentreHeardAt_.end())
    Since = std::max(Since, LastMessage->second);
  return Now - Since < State.Options_.Holder_.RemoteClaimDelay_;
}

static void pollWorker(FleetStepContext &Ctx, WorkerHold &Hold) {
  const HolderOptions &Options = Ctx.State_.Options_.Holder_;
  const bool IsRenewing = Hold.Phase_ == HoldPhase::Open && Hold.ClockOffset_ &&
                          !Hold.Runs_.empty() && canRenewLease(Ctx, Hold);
  Milliseconds Wait{0};
  if (Hold.Phase_ == HoldPhase::Open)
    Wait = Hold.Runs_.empty() ? Options.IdlePollWait_ : Options.BusyPollWait_;
  if (IsRenewing)
    Hold.LeaseSentAt_ = Ctx.Now_;
  Hold.IsPolling_ = true;
  increment(Ctx.State_.Counters_, Counter::WorkerPolls);
  Ctx.Out_.push_back(PollWorker{.Worker_ = targetOf(Hold),
                                .Poll_ = Hold.NextPoll_++,
                                .AckedThrough_ = Hold.AckedThrough_,
                                .LeaseEnd_ = IsRenewing ? leaseEnd(Ctx, Hold)
                                                        : Milliseconds{0},
                                .Wait_ = Wait});
}

void pollSoon(FleetStepContext &Ctx, WorkerHold &Hold) {
  if (!Hold.IsPolling_)
    pollWorker(Ctx, Hold);
}

static void claimWorker(FleetStepContext &Ctx, const WorkerReport &Report) {
  WorkerHold &Hold = Ctx.State_.Holds_[Report.Id_];
  Hold = WorkerHold{.Report_ = Report,
                    .ListedIncarnation_ = Report.Incarnation_,
                    .FencingToken_ = newFencingToken(Ctx.State_)};
  log(Ctx, "worker_claimed", 0,
      {{"worker", Report.Id_}, {"fence", std::to_string(Hold.FencingToken_)}});
  pollWorker(Ctx, Hold);
}

static void releaseWorker(FleetStepContext &Ctx, const std::string &Id,
                          std::string_view Why) {
  log(Ctx, "worker_dropped", 0, {{"worker", Id}, {"why", std::string(Why)}});
  const WorkersDropped Message{{Id}};
  sendToCoordinators(Ctx, Message);
  Ctx.State_.FencedUntil_[Id] =
      Ctx.Now_ + Ctx.State_.Options_.Holder_.ReclaimDelay_;
  Ctx.State_.Holds_.erase(Id);
}

// Another holder has fenced this one off. The remaining runs end with the
// worker's lease, which the other holder's order may have renewed for at most
// HolderOptions::MaxLease_.
static void handleFenced(FleetStepContext &Ctx, WorkerHold &Hold) {
  const HolderOptions &Options = Ctx.State_.Options_.Holder_;
  if (Hold.Phase_ == HoldPhase::Claiming && !Hold.IsClosing_) {
    const uint32_t Doublings =
        std::min(Hold.FencedClaims_++, MaxTokenDoublings);
    Hold.FencingToken_ = newFencingToken(
        Ctx.State_, Hold.FencingToken_ + (ClaimTokenStep << Doublings));
    Hold.NextPollAt_ = Ctx.Now_;
    return;
  }
  if (Hold.Phase_ == HoldPhase::Fenced)
    return;
  Hold.Phase_ = HoldPhase::Fenced;
  Hold.FencedAt_ = Ctx.Now_;
  Ctx.State_.FencedUntil_[Hold.Report_.Id_] = Ctx.Now_ + Options.ReclaimDelay_;
  increment(Ctx.State_.Counters_, Counter::HoldsLost);
  log(Ctx, "worker_fenced", 0,
      {{"worker", Hold.Report_.Id_},
       {"runs", std::to_string(Hold.Runs_.size())}});
  announceIfChanged(Ctx, Hold);
}

static void raiseFencingToken(FleetStepContext &Ctx, WorkerHold &Hold) {
  Hold.FencingToken_ = newFencingToken(Ctx.State_, Hold.FencingToken_);
}

// The new incarnation has not received the stops that the previous one has
// confirmed.
static void forgetConfirmedStops(WorkerHold &Hold) {
  for (auto &[Id, Run] : Hold.Runs_) {
    Run.IsStopConfirmed_ = false;
    if (Run.Phase_ == RunPhase::Stopping)
      Run.NextStopAt_ = {};
  }
}

// Discards what was learnt about the previous incarnation. The new one has seen
// no token, and its clock starts again, so only a higher token makes it reject
// delayed orders to the previous one.
static void resetForNewIncarnation(FleetStepContext &Ctx, WorkerHold &Hold) {
  log(Ctx, "worker_life_over", 0,
      {{"worker", Hold.Report_.Id_},
       {"life", std::to_string(Hold.Report_.Incarnation_)},
       {"runs", std::to_string(Hold.Runs_.size())}});
  Hold.Phase_ = HoldPhase::Claiming;
  raiseFencingToken(Ctx, Hold);
  awaitNextToken(Hold);
  forgetConfirmedStops(Hold);
  Hold.ClockOffset_.reset();
  Hold.CapacityLimit_.reset();
  Hold.AckedThrough_ = 0;
  Hold.Slowness_ = 1.0;
  Hold.ConsecutiveFailures_ = 0;
  Hold.UnknownRuns_.clear();
  announceIfChanged(Ctx, Hold);
}

// The worker has restarted: all runs of the held incarnation are lost.
static void endIncarnation(FleetStepContext &Ctx, WorkerHold &Hold) {
  noteRestart(Ctx, Hold);
  loseAllRuns(Ctx, Hold);
  resetForNewIncarnation(Ctx, Hold);
  Hold.NextPollAt_ = Ctx.Now_ + Ctx.State_.Options_.Holder_.RetryDelay_;
}

bool handleWorkerLoss(FleetStepContext &Ctx, WorkerHold &Hold,
                      OrderResult Result) {
  if (Result == OrderResult::Fenced)
    handleFenced(Ctx, Hold);
  else if (Result == OrderResult::OtherIncarnation)
    endIncarnation(Ctx, Hold);
  else
    return false;
  return true;
}

static void handleFailedPoll(FleetStepContext &Ctx, WorkerHold &Hold) {
  const HolderOptions &Options = Ctx.State_.Options_.Holder_;
  ++Hold.FailedPolls_;
  // A worker of another data centre is released; it is claimed again only if no
  // message from any instance of its data centre has arrived by then.
  if (Hold.Phase_ == HoldPhase::Claiming &&
      Hold.Report_.DataCentre_ != Ctx.State_.Self_.DataCentre_)
    Hold.IsClosing_ = true;
  // Retries the first failure at once: it may be due to the connection alone.
  Hold.NextPollAt_ =
      Hold.FailedPolls_ == 1 ? Ctx.Now_ : Ctx.Now_ + Options.RetryDelay_;
  if (Hold.Phase_ == HoldPhase::Open && hasSuspectRun(Ctx, Hold))
    noteCrash(Ctx, Hold);
  if (Hold.Phase_ != HoldPhase::Open ||
      Hold.FailedPolls_ < Options.SuspectAfter_)
    return;
  Hold.Phase_ = HoldPhase::Suspect;
  log(Ctx, "worker_silent", 0,
      {{"worker", Hold.Report_.Id_},
       {"looks", std::to_string(Hold.FailedPolls_)},
       {"runs", std::to_string(Hold.Runs_.size())}});
  noteCrash(Ctx, Hold);
  announceIfChanged(Ctx, Hold);
}

void handlePollAnswer(FleetStepContext &Ctx, const PollAnswered &Listed) {
  WorkerHold *Found = findHold(Ctx.State_, Listed.Worker_);
  if (Found == nullptr || Listed.Poll_ + 1 != Found->NextPoll_)
    return;
  WorkerHold &Hold = *Found;
  Hold.IsPolling_ = false;
  Hold.NextPollAt_ = Ctx.Now_;
  if (handleWorkerLoss(Ctx, Hold, Listed.Result_))
    return;
  if (Listed.Result_ != OrderResult::Accepted) {
    handleFailedPoll(Ctx, Hold);
    return;
  }
  if (Hold.Phase_ == HoldPhase::Fenced)
    return;
  Hold.FailedPolls_ = 0;
  if (Listed.Incarnation_ != 0 &&
      Listed.Incarnation_ != Hold.Report_.Incarnation_) {
    // Runs that were started before the restart was noticed may be part of the
    // new incarnation; the lists show which ones.
    if (Hold.Report_.Incarnation_ != 0) {
      noteCrash(Ctx, Hold, Listed.Running_);
      resetForNewIncarnation(Ctx, Hold);
    }
    Hold.Report_.Incarnation_ = Listed.Incarnation_;
  }
  if (Listed.Incarnation_ != 0)
    settleCrashes(Ctx, Hold);
  if (Hold.Phase_ == HoldPhase::Suspect)
    Hold.Phase_ = HoldPhase::Open;
  applyPollAnswer(Ctx, Hold, Listed);
  announceIfChanged(Ctx, Hold);
  // Delays the next poll while claiming, so that a list with unknown runs, or
  // one without changes, does not lead to a busy loop.
  Hold.NextPollAt_ = Ctx.Now_;
  if (Hold.Phase_ == HoldPhase::Claiming)
    Hold.NextPollAt_ =
        Ctx.Now_ + Ctx.State_.Options_.Holder_.ClaimPollInterval_;
  else
    pollWorker(Ctx, Hold);
}

static void resendStops(FleetStepContext &Ctx, WorkerHold &Hold) {
  for (auto &[Id, Run] : Hold.Runs_) {
    if (Run.Phase_ == RunPhase::Stopping && !Run.IsStopInFlight_ &&
        Run.NextStopAt_ <= Ctx.Now_)
      sendStop(Ctx, Hold, Id, Run);
  }
}

// Returns the reason for which the worker is to be released, or an empty text.
static std::string_view tickHold(FleetStepContext &Ctx, WorkerHold &Hold) {
  const bool IsLeaseOver = Ctx.Now_ >= latestLeaseEnd(Ctx, Hold);
  if (Hold.Phase_ == HoldPhase::Fenced) {
    if (!IsLeaseOver)
      return {};
    loseAllRuns(Ctx, Hold);
    return "another instance holds it";
  }
  if (Hold.Phase_ == HoldPhase::Suspect && IsLeaseOver) {
    loseStartedRuns(Ctx, Hold);
    raiseFencingToken(Ctx, Hold);
    Hold.Phase_ = HoldPhase::Claiming;
  }
  if (Hold.Phase_ == HoldPhase::Claiming)
    loseExpiredStarts(Ctx, Hold);
  resendStops(Ctx, Hold);
  expireCapacityLimit(Ctx, Hold);
  announceIfChanged(Ctx, Hold);
  if (Hold.Runs_.empty() && Hold.IsClosing_)
    return "handed over";
  if (Hold.Runs_.empty() && !Hold.IsListed_)
    return "the platform lists it no longer";
  if (!Hold.IsPolling_ && Hold.NextPollAt_ <= Ctx.Now_)
    pollWorker(Ctx, Hold);
  return {};
}

void tickHolds(FleetStepContext &Ctx) {
  std::vector<std::pair<std::string, std::string_view>> Dropped;
  for (auto &[Id, Hold] : Ctx.State_.Holds_) {
    const std::string_view Why = tickHold(Ctx, Hold);
    if (!Why.empty())
      Dropped.emplace_back(Id, Why);
  }
  for (const auto &[Id, Why] : Dropped)
    releaseWorker(Ctx, Id, Why);
  sendPaces(Ctx, PaceUpdate::Changed);
  if (Ctx.Now_ >= Ctx.State_.NextHoldReview_ || !Dropped.empty())
    reviewHolds(Ctx);
}

void applyWorkerList(FleetStepContext &Ctx, const WorkersRead &Read) {
  FleetInstance &State = Ctx.State_;
  std::map<std::string, WorkerReport> Now;
  for (const WorkerReport &Report : Read.Workers_)
    Now[Report.Id_] = Report;
  if (State.HasWorkerList_ && !State.IsListFresh_)
    State.KeepMissingUntil_ = Ctx.Now_ + State.Options_.ListGracePeriod_;
  State.HasWorkerList_ = true;
  State.IsListFresh_ = true;
  // Entries that expired while the list was unavailable are restored soon.
  if (Ctx.Now_ < State.KeepMissingUntil_)
    Now.merge(State.ListedWorkers_);
  State.ListedWorkers_ = std::move(Now);
  for (auto &[Id, Hold] : State.Holds_) {
    const auto Found = State.ListedWorkers_.find(Id);
    Hold.IsListed_ = Found != State.ListedWorkers_.end();
    WorkerReport Known = Hold.Report_;
    if (Hold.IsListed_) {
      Known.Incarnation_ = Found->second.Incarnation_;
      Hold.ListedIncarnation_ = Found->second.Incarnation_;
    }
    if (!Hold.IsListed_ || Found->second == Known) {
      announceIfChanged(Ctx, Hold);
      continue;
    }
    const bool WasDraining = Hold.Report_.IsDraining_;
    const Room UsableBefore = usableCapacity(Hold);
    if (!(Found->second.Capacity_ == Hold.Report_.Capacity_))
      Hold.CapacityLimit_.reset();
    // Takes over a new incarnation only from the worker's own lists.
    const int64_t KnownIncarnation = Hold.Report_.Incarnation_;
    Hold.Report_ = Found->second;
    Hold.Report_.Incarnation_ = KnownIncarnation;
    if (Hold.Report_.IsDraining_ != WasDraining)
      log(Ctx, "worker_draining", 0,
          {{"worker", Id},
           {"is_draining", Hold.Report_.IsDraining_ ? "true" : "false"}});
    logCapacityChange(Ctx, Hold, UsableBefore, "its report has changed");
    announceWorker(Ctx, Hold);
  }
  reviewHolds(Ctx);
}

// Number of its data centre's workers that this instance should hold, in
// proportion to its processor time.
static double fairShareOfWorkers(const FleetInstance &State) {
  double Own = std::max<uint32_t>(1, State.Self_.CpuShare_);
  double All = Own;
  for (const auto &[Run, Other] : State.Members_) {
    if (Other.Info_.DataCentre_ == State.Self_.DataCentre_ &&
        isActiveCoordinator(Other.Status_))
      All += std::max<uint32_t>(1, Other.Info_.CpuShare_);
  }
  const auto Workers = std::count_if(
      State.ListedWorkers_.begin(), State.ListedWorkers_.end(),
      [&State](const auto &Entry) {
        return Entry.second.DataCentre_ == State.Self_.DataCentre_;
      });
  return static_cast<double>(Workers) * Own / All;
}

// Closes workers that are assigned to other instances until \p AtOnce workers
// are closing.
static void handOver(FleetStepContext &Ctx, std::size_t AtOnce) {
  FleetInstance &State = Ctx.State_;
  auto Closing = static_cast<std::size_t>(
      std::count_if(State.Holds_.begin(), State.Holds_.end(),
                    [](const auto &Entry) { return Entry.second.IsClosing_; }));
  for (auto &[Id, Hold] : State.Holds_) {
    if (Closing >= AtOnce)
      return;
    if (Hold.IsClosing_ || isAssignedHolder(State, Hold.Report_))
      continue;
    Hold.IsClosing_ = true;
    ++Closing;
    announceIfChanged(Ctx, Hold);
  }
}

// Load pattern: an instance that was slow or partitioned claims the workers of
// all instances whose messages it does not receive, and stays overloaded
// afterwards.
static void handOverExcess(FleetStepContext &Ctx) {
  const FleetInstance &State = Ctx.State_;
  const HolderOptions &Options = State.Options_.Holder_;
  const auto Most = static_cast<std::size_t>(fairShareOfWorkers(State) *
                                             Options.MaxShareFactor_) +
                    Options.MaxShareExcess_;
  if (State.Holds_.size() > Most)
    handOver(Ctx, std::min(Options.MaxHandovers_, State.Holds_.size() - Most));
}

// An instance that no longer coordinates hands over all workers, in parts.
static void handOverAll(FleetStepContext &Ctx) {
  handOver(Ctx, std::max(Ctx.State_.Options_.Holder_.MaxHandovers_,
                         Ctx.State_.Holds_.size() / 4));
}

// Whether the coordinators agree on who claims which worker: all are present,
// or those that are missing were waited for.
static bool canClaim(const FleetInstance &State, Milliseconds Now) {
  if (!State.HasTicked_)
    return false;
  if (Now - State.CoordinatingChangedAt_ >= State.Options_.Holder_.ClaimDelay_)
    return true;
  return areCoordinatorsPresent(
      State.Roster_, State.Options_.Roster_, State.Self_,
      [&State](const InstanceInfo &Info) {
        return std::any_of(State.Members_.begin(), State.Members_.end(),
                           [&Info](const auto &Entry) {
                             const FleetMember &Other = Entry.second;
                             return Other.Info_.Name_ == Info.Name_ &&
                                    isActiveCoordinator(Other.Status_);
                           });
      });
}

// Workers keep their holder unless it is stopping, does not coordinate, is in
// another data centre or holds too many workers.
void reviewHolds(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  State.NextHoldReview_ = Ctx.Now_ + State.Options_.HoldReviewInterval_;
  if (State.IsStopping_) {
    for (auto &[Id, Hold] : State.Holds_) {
      Hold.IsClosing_ = true;
      announceIfChanged(Ctx, Hold);
    }
    return;
  }
  if (!State.IsCoordinating_) {
    handOverAll(Ctx);
    return;
  }
  if (!canClaim(State, Ctx.Now_))
    return;
  for (auto &[Id, Hold] : State.Holds_) {
    const bool IsFar = Hold.Report_.DataCentre_ != State.Self_.DataCentre_;
    Hold.IsClosing_ =
        Hold.IsClosing_ || (IsFar && !isAssignedHolder(State, Hold.Report_));
  }
  handOverExcess(Ctx);
  for (const auto &[Id, Report] : State.ListedWorkers_) {
    if (State.Holds_.contains(Id) || State.HeldByOthers_.contains(Id))
      continue;
    const auto Fenced = State.FencedUntil_.find(Id);
    if (Fenced != State.FencedUntil_.end() && Fenced->second > Ctx.Now_)
      continue;
    if (isAssignedHolder(State, Report) &&
        !mustWaitToClaim(State, Report, Ctx.Now_))
      claimWorker(Ctx, Report);
  }
}

void sendHeldWorkers(FleetStepContext &Ctx, Incarnation To) {
  WorkersHeld Message{.HighestToken_ = Ctx.State_.HighestToken_};
  for (const auto &[Id, Hold] : Ctx.State_.Holds_)
    Message.Workers_.push_back(describeWorker(Hold, Ctx.Now_));
  if (!Message.Workers_.empty())
    sendMessage(Ctx, To, std::move(Message));
}

} // namespace marjorambend::internal
