/// \file
/// \brief Which workers this instance holds, and how it watches them.

#include "marjorambend/src/Fleet/HoldStep.h"
#include "marjorambend/src/Fleet/StableHash.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace marjorambend::internal {

// A claim that is fenced off all the same steps up by 32 ms of the clock, two
// claims' spreads, then by twice as much each time, so that it does not run far
// ahead of the clock; 36 times, which passes any time since 1970.
static constexpr uint64_t FenceStep = 2 * FencingTokenSpread;
static constexpr uint32_t MaxFenceDoublings = 36;

// Weighted rendezvous hashing: the greatest of w / -log(u) wins with a chance
// in proportion to its w.
static double scoreOf(const InstanceInfo &Instance, std::string_view Worker) {
  const uint64_t Hash =
      hashNumber(hashText(Worker, hashText("/", hashText(Instance.Name_))), 0);
  const double Uniform = (static_cast<double>(Hash >> 11U) + 0.5) * 0x1.0p-53;
  return std::max(1.0, static_cast<double>(Instance.CpuShare_)) /
         -std::log(Uniform);
}

// A later claim has the higher token: above the store's clock, and above all
// tokens heard of. That matters even where nobody contests a claim, since the
// next life of a worker has seen no token, and would take an order to the old
// one that arrives late. Times of day differ, and jump.
static uint64_t freshFence(FleetInstance &State, uint64_t Above = 0) {
  const uint64_t Token = std::max(State.TokenBase_, Above) + 1 +
                         uniformBelow(State.Generator_, FencingTokenSpread);
  State.HighestToken_ = std::max(State.HighestToken_, Token);
  return Token;
}

// Rendezvous hashing among the coordinators of the worker's data centre, or
// among all if none is there.
static bool isRightfulHolder(const FleetInstance &State,
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
    if (scoreOf(Other.Info_, Worker.Id_) > scoreOf(*Best, Worker.Id_))
      Best = &Other.Info_;
  }
  return Best == &State.Self_;
}

// Instances that are cut off go on with their workers. A claim from the other
// side would pass as soon as the cut heals, before they are heard again, and
// take them all away.
static bool isLeftToOthers(const FleetInstance &State,
                           const WorkerReport &Worker, Milliseconds Now) {
  if (Worker.DataCentre_ == State.Self_.DataCentre_)
    return false;
  const auto Heard = State.DataCentreHeardAt_.find(Worker.DataCentre_);
  Milliseconds Since = State.StartedAt_;
  if (Heard != State.DataCentreHeardAt_.end())
    Since = std::max(Since, Heard->second);
  return Now - Since < State.Options_.Holder_.RemoteClaimDelay_;
}

static void look(FleetStepContext &Ctx, WorkerHold &Hold) {
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
    look(Ctx, Hold);
}

static void claim(FleetStepContext &Ctx, const WorkerReport &Report) {
  WorkerHold &Hold = Ctx.State_.Holds_[Report.Id_];
  Hold = WorkerHold{.Report_ = Report, .FencingToken_ = freshFence(Ctx.State_)};
  log(Ctx, "worker_claimed", 0,
      {{"worker", Report.Id_}, {"fence", std::to_string(Hold.FencingToken_)}});
  look(Ctx, Hold);
}

static void dropHold(FleetStepContext &Ctx, const std::string &Id,
                     std::string_view Why) {
  log(Ctx, "worker_dropped", 0, {{"worker", Id}, {"why", std::string(Why)}});
  const WorkersDropped Message{{Id}};
  sendToCoordinators(Ctx, Message);
  Ctx.State_.FencedUntil_[Id] =
      Ctx.Now_ + Ctx.State_.Options_.Holder_.ReclaimDelay_;
  Ctx.State_.Holds_.erase(Id);
}

// Another holder has fenced this one off; its runs end with their lease, which
// that order has renewed for as long as a worker grants at most.
static void loseToFence(FleetStepContext &Ctx, WorkerHold &Hold) {
  const HolderOptions &Options = Ctx.State_.Options_.Holder_;
  if (Hold.Phase_ == HoldPhase::Claiming && !Hold.IsClosing_) {
    const uint32_t Doublings =
        std::min(Hold.FencedClaims_++, MaxFenceDoublings);
    Hold.FencingToken_ =
        freshFence(Ctx.State_, Hold.FencingToken_ + (FenceStep << Doublings));
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

static void raiseFence(FleetStepContext &Ctx, WorkerHold &Hold) {
  Hold.FencingToken_ = freshFence(Ctx.State_, Hold.FencingToken_);
}

// What was learnt of the old life does not hold for the next one. It has seen
// no token, and its clock begins anew: an order to the old life that arrives
// late would pass but for a higher token.
static void forgetLife(FleetStepContext &Ctx, WorkerHold &Hold) {
  log(Ctx, "worker_life_over", 0,
      {{"worker", Hold.Report_.Id_},
       {"life", std::to_string(Hold.Report_.Incarnation_)},
       {"runs", std::to_string(Hold.Runs_.size())}});
  Hold.Phase_ = HoldPhase::Claiming;
  raiseFence(Ctx, Hold);
  awaitNextToken(Hold);
  Hold.ClockOffset_.reset();
  Hold.AckedThrough_ = 0;
  Hold.Slowness_ = 1.0;
  Hold.ConsecutiveFailures_ = 0;
  announceIfChanged(Ctx, Hold);
}

// The life that was held is over, and all that ran in it.
static void endLife(FleetStepContext &Ctx, WorkerHold &Hold) {
  loseAllRuns(Ctx, Hold);
  forgetLife(Ctx, Hold);
  Hold.NextPollAt_ = Ctx.Now_ + Ctx.State_.Options_.Holder_.RetryDelay_;
}

bool handleWorkerLoss(FleetStepContext &Ctx, WorkerHold &Hold,
                      OrderResult Result) {
  if (Result == OrderResult::Fenced)
    loseToFence(Ctx, Hold);
  else if (Result == OrderResult::OtherIncarnation)
    endLife(Ctx, Hold);
  else
    return false;
  return true;
}

static void noteFailedLook(FleetStepContext &Ctx, WorkerHold &Hold) {
  const HolderOptions &Options = Ctx.State_.Options_.Holder_;
  ++Hold.FailedPolls_;
  // It is claimed anew only if nobody there was heard until then.
  if (Hold.Phase_ == HoldPhase::Claiming &&
      Hold.Report_.DataCentre_ != Ctx.State_.Self_.DataCentre_)
    Hold.IsClosing_ = true;
  // The first failure may be the connection's fault alone.
  Hold.NextPollAt_ =
      Hold.FailedPolls_ == 1 ? Ctx.Now_ : Ctx.Now_ + Options.RetryDelay_;
  if (Hold.Phase_ != HoldPhase::Open ||
      Hold.FailedPolls_ < Options.SuspectAfter_)
    return;
  Hold.Phase_ = HoldPhase::Suspect;
  log(Ctx, "worker_silent", 0,
      {{"worker", Hold.Report_.Id_},
       {"looks", std::to_string(Hold.FailedPolls_)},
       {"runs", std::to_string(Hold.Runs_.size())}});
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
    noteFailedLook(Ctx, Hold);
    return;
  }
  if (Hold.Phase_ == HoldPhase::Fenced)
    return;
  Hold.FailedPolls_ = 0;
  if (Listed.Incarnation_ != 0 &&
      Listed.Incarnation_ != Hold.Report_.Incarnation_) {
    // Runs that were started before the new life was noticed may be in it;
    // the lists say which of them are.
    if (Hold.Report_.Incarnation_ != 0)
      forgetLife(Ctx, Hold);
    Hold.Report_.Incarnation_ = Listed.Incarnation_;
  }
  if (Hold.Phase_ == HoldPhase::Suspect)
    Hold.Phase_ = HoldPhase::Open;
  applyPollAnswer(Ctx, Hold, Listed);
  announceIfChanged(Ctx, Hold);
  // A list with strangers, or one of nothing new, must not make a busy loop.
  Hold.NextPollAt_ = Ctx.Now_;
  if (Hold.Phase_ == HoldPhase::Claiming)
    Hold.NextPollAt_ =
        Ctx.Now_ + Ctx.State_.Options_.Holder_.ClaimPollInterval_;
  else
    look(Ctx, Hold);
}

static void repeatStops(FleetStepContext &Ctx, WorkerHold &Hold) {
  for (auto &[Id, Run] : Hold.Runs_) {
    if (Run.Phase_ == RunPhase::Stopping && !Run.IsStopInFlight_ &&
        Run.NextStopAt_ <= Ctx.Now_)
      sendStop(Ctx, Hold, Id, Run);
  }
}

// Returns why the worker is to be dropped, if it is.
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
    raiseFence(Ctx, Hold);
    Hold.Phase_ = HoldPhase::Claiming;
  }
  if (Hold.Phase_ == HoldPhase::Claiming)
    loseExpiredStarts(Ctx, Hold);
  repeatStops(Ctx, Hold);
  announceIfChanged(Ctx, Hold);
  if (Hold.Runs_.empty() && Hold.IsClosing_)
    return "handed over";
  if (Hold.Runs_.empty() && !Hold.IsListed_)
    return "the platform lists it no longer";
  if (!Hold.IsPolling_ && Hold.NextPollAt_ <= Ctx.Now_)
    look(Ctx, Hold);
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
    dropHold(Ctx, Id, Why);
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
  // Entries that lapsed while the list could not be reached come back soon.
  if (Ctx.Now_ < State.KeepMissingUntil_)
    Now.merge(State.ListedWorkers_);
  State.ListedWorkers_ = std::move(Now);
  for (auto &[Id, Hold] : State.Holds_) {
    const auto Found = State.ListedWorkers_.find(Id);
    Hold.IsListed_ = Found != State.ListedWorkers_.end();
    WorkerReport Known = Hold.Report_;
    if (Hold.IsListed_)
      Known.Incarnation_ = Found->second.Incarnation_;
    if (!Hold.IsListed_ || Found->second == Known) {
      announceIfChanged(Ctx, Hold);
      continue;
    }
    const bool WasDraining = Hold.Report_.IsDraining_;
    // A new life is believed only when the worker itself lists its runs.
    const int64_t Life = Hold.Report_.Incarnation_;
    Hold.Report_ = Found->second;
    Hold.Report_.Incarnation_ = Life;
    if (Hold.Report_.IsDraining_ != WasDraining)
      log(Ctx, "worker_draining", 0,
          {{"worker", Id},
           {"is_draining", Hold.Report_.IsDraining_ ? "true" : "false"}});
    announceWorker(Ctx, Hold);
  }
  reviewHolds(Ctx);
}

// This instance's share of its data centre's workers, by processor time.
static double shareOfWorkers(const FleetInstance &State) {
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

// Closes workers until \p AtOnce are closed, of those that are not rightfully
// held here.
static void handOver(FleetStepContext &Ctx, std::size_t AtOnce) {
  FleetInstance &State = Ctx.State_;
  auto Closing = static_cast<std::size_t>(
      std::count_if(State.Holds_.begin(), State.Holds_.end(),
                    [](const auto &Entry) { return Entry.second.IsClosing_; }));
  for (auto &[Id, Hold] : State.Holds_) {
    if (Closing >= AtOnce)
      return;
    if (Hold.IsClosing_ || isRightfulHolder(State, Hold.Report_))
      continue;
    Hold.IsClosing_ = true;
    ++Closing;
    announceIfChanged(Ctx, Hold);
  }
}

// Load pattern: an instance that was slow or cut off took the workers of all
// that it did not hear, and is too weak for them ever after.
static void handOverExcess(FleetStepContext &Ctx) {
  const FleetInstance &State = Ctx.State_;
  const HolderOptions &Options = State.Options_.Holder_;
  const auto Most = static_cast<std::size_t>(shareOfWorkers(State) *
                                             Options.MaxShareFactor_) +
                    Options.MaxShareExcess_;
  if (State.Holds_.size() > Most)
    handOver(Ctx, std::min(Options.MaxHandovers_, State.Holds_.size() - Most));
}

// Whoever coordinates no more hands all over, a part at a time.
static void handOverAll(FleetStepContext &Ctx) {
  handOver(Ctx, std::max(Ctx.State_.Options_.Holder_.MaxHandovers_,
                         Ctx.State_.Holds_.size() / 4));
}

// Workers stay where they are unless their holder is stopping, far away, or has
// too many.
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
  const bool IsSettled =
      State.HasTicked_ && Ctx.Now_ - State.CoordinatingChangedAt_ >=
                              State.Options_.Holder_.ClaimDelay_;
  if (!IsSettled)
    return;
  for (auto &[Id, Hold] : State.Holds_) {
    const bool IsFar = Hold.Report_.DataCentre_ != State.Self_.DataCentre_;
    Hold.IsClosing_ =
        Hold.IsClosing_ || (IsFar && !isRightfulHolder(State, Hold.Report_));
  }
  handOverExcess(Ctx);
  for (const auto &[Id, Report] : State.ListedWorkers_) {
    if (State.Holds_.contains(Id) || State.HeldByOthers_.contains(Id))
      continue;
    const auto Fenced = State.FencedUntil_.find(Id);
    if (Fenced != State.FencedUntil_.end() && Fenced->second > Ctx.Now_)
      continue;
    if (isRightfulHolder(State, Report) &&
        !isLeftToOthers(State, Report, Ctx.Now_))
      claim(Ctx, Report);
  }
}

void sendHeldWorkers(FleetStepContext &Ctx, Incarnation To) {
  WorkersHeld Message{.HighestToken_ = Ctx.State_.HighestToken_};
  for (const auto &[Id, Hold] : Ctx.State_.Holds_)
    Message.Workers_.push_back({.Report_ = Hold.Report_,
                                .IsOpen_ = isOpen(Hold, Ctx.Now_),
                                .Slowness_ = Hold.Slowness_});
  if (!Message.Workers_.empty())
    sendMessage(Ctx, To, std::move(Message));
}

} // namespace marjorambend::internal
