#include "marjorambend/src/Instance/Instance.h"

#include "marjorambend/src/Instance/Step.h"
#include "marjorambend/src/Support/Constants.h"

#include <algorithm>

namespace marjorambend {
namespace internal {

JobRecord *findJob(Instance &State, const JobId &Id) {
  const auto Found = State.Jobs_.find(Id);
  return Found == State.Jobs_.end() ? nullptr : &Found->second;
}

Milliseconds computeRetryAfter(StepContext &Ctx) {
  const Capacity Free = capacityOf(Ctx.State_.Workers_, Ctx.Now_);
  const Milliseconds Wait =
      expectedWait(Ctx.State_.Admission_, UrgencyClasses - 1, Free.Slots_);
  return spreadRetryAfter(Ctx.State_.Options_.Admission_, Wait,
                          Ctx.State_.Generator_);
}

void recordSpan(StepContext &Ctx, const TraceContext &Context,
                std::string_view Name, std::string_view Note,
                Milliseconds Start) {
  if (!Context.IsSampled_)
    return;
  Ctx.Out_.emplace_back(RecordSpan{Span{.Context_ = Context,
                                        .Name_ = std::string(Name),
                                        .Note_ = std::string(Note),
                                        .Start_ = Start,
                                        .End_ = Ctx.Now_}});
}

// A gap between ticks means that this process was paused, so the apparent
// silence of peers is not counted. onTick() expires jobs before anything is
// started.
static void detectPause(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  const Milliseconds Gap = Ctx.Now_ - State.LastTick_;
  if (State.HasTicked_ && Gap > State.Options_.PauseThreshold_) {
    increment(State.Counters_, Counter::PausesDetected);
    for (auto &[Run, Known] : State.Peers_.Peers_)
      Known.HeardAt_ = Ctx.Now_;
    Ctx.Out_.emplace_back(
        LogChange{"paused for " + std::to_string(Gap.Count_) + " ms"});
  }
  if (!State.HasTicked_)
    State.StartedAt_ = Ctx.Now_;
  State.HasTicked_ = true;
  State.LastTick_ = Ctx.Now_;
}

// Deletes the claim rows of intervals older than the retention time. Deletion
// is idempotent, so every instance may do it.
static void sweepClaims(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  if (Ctx.Now_ < State.NextSweep_)
    return;
  const bool IsFirst = State.NextSweep_ == Milliseconds{};
  const auto Spread =
      static_cast<int64_t>(uniformBelow(State.Generator_, ClaimBucket.Count_));
  State.NextSweep_ = Ctx.Now_ + ClaimBucket + Milliseconds{Spread};
  const Milliseconds Past = State.WallClock_ - State.Options_.ClaimRetention_;
  if (IsFirst || Past.Count_ <= 0)
    return;
  Ctx.Out_.emplace_back(DeleteRows{claimPrefix(Past)});
  Ctx.Out_.emplace_back(DeleteRows{claimPrefix(Past - ClaimBucket)});
}

static void onTick(StepContext &Ctx, const Tick &Passed) {
  Instance &State = Ctx.State_;
  State.WallClock_ = std::max(State.WallClock_, Passed.WallClock_);
  detectPause(Ctx);
  expireJobs(Ctx);
  expireSends(Ctx);
  dropLostPeers(Ctx);
  for (const JobId &Id :
       expireClaims(State.Claims_, State.Options_.Claims_, Ctx.Now_)) {
    JobRecord *Record = findJob(State, Id);
    if (Record != nullptr && Record->Phase_ == JobPhase::Claiming)
      failByState(Ctx, *Record, Reason::StoreUnavailable,
                  computeRetryAfter(Ctx));
  }
  evictRecords(Ctx);
  updateKnowsDrains(Ctx);
  sendHeartbeats(Ctx);
  pollRows(Ctx);
  retryWrite(Ctx);
  sweepClaims(Ctx);
}

static void onStopForced(StepContext &Ctx) {
  std::vector<JobId> Open;
  for (const auto &[Id, Record] : Ctx.State_.Jobs_) {
    if (Record.Phase_ != JobPhase::Finished)
      Open.push_back(Id);
  }
  for (const JobId &Id : Open) {
    if (JobRecord *Record = findJob(Ctx.State_, Id))
      failByState(Ctx, *Record, Reason::Stopping, computeRetryAfter(Ctx));
  }
}

static void onStopOrdered(StepContext &Ctx) {
  if (Ctx.State_.IsStopping_)
    return;
  Ctx.State_.IsStopping_ = true;
  Ctx.Out_.emplace_back(LogChange{"stopping on plan"});
  for (auto &[Run, Known] : Ctx.State_.Peers_.Peers_)
    Known.HeartbeatDue_ = Ctx.Now_;
}

struct Dispatcher {
  StepContext &Ctx_;

  void operator()(const Tick &E) { onTick(Ctx_, E); }
  void operator()(JobSubmitted &E) {
    increment(Ctx_.State_.Counters_, Counter::JobsSubmitted);
    submitJob(Ctx_, std::move(E.Request_), {.Token_ = E.Token_, .Peer_ = {}});
  }
  void operator()(const JobCancelled &E) { cancelJob(Ctx_, E.Id_, false); }
  void operator()(const CallerGone &E) { removeCaller(Ctx_, E); }
  void operator()(const ClaimsAnswered &E) { resolveClaims(Ctx_, E); }
  void operator()(const ClaimsFailed &E) {
    increment(Ctx_.State_.Counters_, Counter::StoreFailures);
    increment(Ctx_.State_.Counters_, Counter::ClaimRetries);
    failBatch(Ctx_.State_.Claims_, E.Batch_);
  }
  void operator()(const TaskFinished &E) { finishTask(Ctx_, E); }
  void operator()(const PeerConnected &E) { connectPeer(Ctx_, E); }
  void operator()(const PeerDisconnected &E) { disconnectPeer(Ctx_, E.Run_); }
  void operator()(PeerReceived &E) { receivePeer(Ctx_, std::move(E)); }
  void operator()(const WorkersListed &E) { handleWorkersListed(Ctx_, E); }
  void operator()(const RowRead &E) { handleRowRead(Ctx_, E); }
  void operator()(const RowReadFailed &) {
    increment(Ctx_.State_.Counters_, Counter::StoreFailures);
  }
  void operator()(const RowSwapped &E) { handleRowSwapped(Ctx_, E); }
  void operator()(const RowSwapFailed &) {
    increment(Ctx_.State_.Counters_, Counter::StoreFailures);
  }
  void operator()(CatalogueSubmitted &E) {
    submitCatalogue(Ctx_, std::move(E));
  }
  void operator()(const DrainOrdered &E) { orderDrain(Ctx_, E); }
  void operator()(const StopOrdered &) { onStopOrdered(Ctx_); }
  void operator()(const StopForced &) { onStopForced(Ctx_); }
};

} // namespace internal

Instance makeInstance(InstanceOptions Options, uint64_t Seed) {
  Instance State;
  State.Options_ = std::move(Options);
  State.Generator_ = Random(Seed);
  State.Self_ = makeIncarnation(State.Generator_);
  return State;
}

Actions step(Instance &State, Event Happened, Milliseconds Now) {
  Actions Out;
  internal::StepContext Ctx{.State_ = State, .Now_ = Now, .Out_ = Out};
  std::visit(internal::Dispatcher{Ctx}, Happened);
  internal::dispatchTasks(Ctx);
  internal::announceBacklog(Ctx);
  internal::sendClaims(Ctx);
  return Out;
}

std::vector<JobId> reserveJobIds(Instance &State, std::size_t Count) {
  std::vector<JobId> Ids;
  if (State.IsStopping_)
    return Ids;
  for (std::size_t Made = 0; Made < Count; ++Made)
    Ids.push_back(
        reserveJobId(State.WallClock_, State.Self_, State.NextReserved_++));
  return Ids;
}

bool isReady(const Instance &State) {
  return State.Config_.Version_ > 0 && State.KnowsDrains_ && !State.IsStopping_;
}

bool isIdle(const Instance &State) {
  return std::all_of(State.Jobs_.begin(), State.Jobs_.end(),
                     [](const auto &Entry) {
                       return Entry.second.Phase_ == JobPhase::Finished;
                     });
}

std::optional<JobStatus> jobStatus(const Instance &State, const JobId &Id) {
  const auto Found = State.Jobs_.find(Id);
  if (Found == State.Jobs_.end())
    return std::nullopt;
  const JobRecord &Record = Found->second;
  return JobStatus{.Phase_ = Record.Phase_,
                   .Tasks_ = static_cast<uint32_t>(Record.Tasks_.size()),
                   .Done_ = Record.Done_,
                   .PossiblyRun_ = Record.PossiblyRun_,
                   .Answer_ = Record.Answer_};
}

} // namespace marjorambend
