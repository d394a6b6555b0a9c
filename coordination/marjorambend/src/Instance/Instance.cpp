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

Milliseconds computeRetryAfter(StepContext &C) {
  const Capacity Free = capacityOf(C.State_.Workers_, C.Now_);
  const Milliseconds Wait =
      expectedWait(C.State_.Admission_, UrgencyClasses - 1, Free.Slots_);
  return spreadRetryAfter(C.State_.Options_.Admission_, Wait,
                          C.State_.Generator_);
}

void recordSpan(StepContext &C, const TraceContext &Context,
                std::string_view Name, std::string_view Note,
                Milliseconds Start) {
  if (!Context.IsSampled_)
    return;
  C.Out_.emplace_back(RecordSpan{Span{.Context_ = Context,
                                      .Name_ = std::string(Name),
                                      .Note_ = std::string(Note),
                                      .Start_ = Start,
                                      .End_ = C.Now_}});
}

// A gap between ticks means that this process was paused, so the apparent
// silence of peers is not counted. onTick() expires jobs before anything is
// started.
static void detectPause(StepContext &C) {
  Instance &State = C.State_;
  const Milliseconds Gap = C.Now_ - State.LastTick_;
  if (State.HasTicked_ && Gap > State.Options_.PauseThreshold_) {
    increment(State.Counters_, Counter::PausesDetected);
    for (auto &[Run, Known] : State.Peers_.Peers_)
      Known.HeardAt_ = C.Now_;
    C.Out_.emplace_back(
        LogChange{"paused for " + std::to_string(Gap.Count_) + " ms"});
  }
  if (!State.HasTicked_)
    State.StartedAt_ = C.Now_;
  State.HasTicked_ = true;
  State.LastTick_ = C.Now_;
}

// Deletes the claim rows of intervals older than the retention time. Deletion
// is idempotent, so every instance may do it.
static void sweepClaims(StepContext &C) {
  Instance &State = C.State_;
  if (C.Now_ < State.NextSweep_)
    return;
  const bool IsFirst = State.NextSweep_ == Milliseconds{};
  const auto Spread =
      static_cast<int64_t>(uniformBelow(State.Generator_, ClaimBucket.Count_));
  State.NextSweep_ = C.Now_ + ClaimBucket + Milliseconds{Spread};
  const Milliseconds Past = State.WallClock_ - State.Options_.ClaimRetention_;
  if (IsFirst || Past.Count_ <= 0)
    return;
  C.Out_.emplace_back(DeleteRows{claimPrefix(Past)});
  C.Out_.emplace_back(DeleteRows{claimPrefix(Past - ClaimBucket)});
}

static void onTick(StepContext &C, const Tick &Passed) {
  Instance &State = C.State_;
  State.WallClock_ = std::max(State.WallClock_, Passed.WallClock_);
  detectPause(C);
  expireJobs(C);
  expireSends(C);
  dropLostPeers(C);
  for (const JobId &Id :
       expireClaims(State.Claims_, State.Options_.Claims_, C.Now_)) {
    JobRecord *Record = findJob(State, Id);
    if (Record != nullptr && Record->Phase_ == JobPhase::Claiming)
      failByState(C, *Record, Reason::StoreUnavailable, computeRetryAfter(C));
  }
  evictRecords(C);
  updateKnowsDrains(C);
  sendHeartbeats(C);
  pollRows(C);
  retryWrite(C);
  sweepClaims(C);
}

static void onStopForced(StepContext &C) {
  std::vector<JobId> Open;
  for (const auto &[Id, Record] : C.State_.Jobs_) {
    if (Record.Phase_ != JobPhase::Finished)
      Open.push_back(Id);
  }
  for (const JobId &Id : Open) {
    if (JobRecord *Record = findJob(C.State_, Id))
      failByState(C, *Record, Reason::Stopping, computeRetryAfter(C));
  }
}

static void onStopOrdered(StepContext &C) {
  if (C.State_.IsStopping_)
    return;
  C.State_.IsStopping_ = true;
  C.Out_.emplace_back(LogChange{"stopping on plan"});
  for (auto &[Run, Known] : C.State_.Peers_.Peers_)
    Known.HeartbeatDue_ = C.Now_;
}

struct Dispatcher {
  StepContext &C_;

  void operator()(const Tick &E) { onTick(C_, E); }
  void operator()(JobSubmitted &E) {
    increment(C_.State_.Counters_, Counter::JobsSubmitted);
    submitJob(C_, std::move(E.Request_), {.Token_ = E.Token_, .Peer_ = {}});
  }
  void operator()(const JobCancelled &E) { cancelJob(C_, E.Id_, false); }
  void operator()(const CallerGone &E) { removeCaller(C_, E); }
  void operator()(const ClaimsAnswered &E) { resolveClaims(C_, E); }
  void operator()(const ClaimsFailed &E) {
    increment(C_.State_.Counters_, Counter::StoreFailures);
    increment(C_.State_.Counters_, Counter::ClaimRetries);
    failBatch(C_.State_.Claims_, E.Batch_);
  }
  void operator()(const TaskFinished &E) { finishTask(C_, E); }
  void operator()(const PeerConnected &E) { connectPeer(C_, E); }
  void operator()(const PeerDisconnected &E) { disconnectPeer(C_, E.Run_); }
  void operator()(PeerReceived &E) { receivePeer(C_, std::move(E)); }
  void operator()(const WorkersListed &E) { handleWorkersListed(C_, E); }
  void operator()(const RowRead &E) { handleRowRead(C_, E); }
  void operator()(const RowReadFailed &) {
    increment(C_.State_.Counters_, Counter::StoreFailures);
  }
  void operator()(const RowSwapped &E) { handleRowSwapped(C_, E); }
  void operator()(const RowSwapFailed &) {
    increment(C_.State_.Counters_, Counter::StoreFailures);
  }
  void operator()(CatalogueSubmitted &E) { submitCatalogue(C_, std::move(E)); }
  void operator()(const DrainOrdered &E) { orderDrain(C_, E); }
  void operator()(const StopOrdered &) { onStopOrdered(C_); }
  void operator()(const StopForced &) { onStopForced(C_); }
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
  internal::StepContext C{.State_ = State, .Now_ = Now, .Out_ = Out};
  std::visit(internal::Dispatcher{C}, Happened);
  internal::dispatchTasks(C);
  internal::announceBacklog(C);
  internal::sendClaims(C);
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
