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

Milliseconds comeBackTime(Turn &T) {
  const Capacity Free = capacityOf(T.State_.Workers_, T.Now_);
  const Milliseconds Wait =
      expectedWait(T.State_.Admission_, UrgencyClasses - 1, Free.Slots_);
  return spreadRetryAfter(T.State_.Options_.Admission_, Wait,
                          T.State_.Generator_);
}

void recordSpan(Turn &T, const TraceContext &Context, std::string_view Name,
                std::string_view Note, Milliseconds Start) {
  if (!Context.IsSampled_)
    return;
  T.Out_.emplace_back(RecordSpan{Span{.Context_ = Context,
                                      .Name_ = std::string(Name),
                                      .Note_ = std::string(Note),
                                      .Start_ = Start,
                                      .End_ = T.Now_}});
}

// A gap between ticks means that the process was paused. Deadlines are
// examined, below, before anything is started, and the silence of the others
// was ours.
static void noticePause(Turn &T) {
  Instance &State = T.State_;
  const Milliseconds Gap = T.Now_ - State.LastTick_;
  if (State.HasTicked_ && Gap > State.Options_.PauseThreshold_) {
    increment(State.Counters_, Counter::PausesDetected);
    for (auto &[Run, Known] : State.Peers_.Peers_)
      Known.HeardAt_ = T.Now_;
    T.Out_.emplace_back(
        LogChange{"paused for " + std::to_string(Gap.Count_) + " ms"});
  }
  if (!State.HasTicked_)
    State.StartedAt_ = T.Now_;
  State.HasTicked_ = true;
  State.LastTick_ = T.Now_;
}

// Removes the claim rows of one past time interval. Any instance may do it,
// any number of times.
static void sweepClaims(Turn &T) {
  Instance &State = T.State_;
  if (T.Now_ < State.NextSweep_)
    return;
  const bool IsFirst = State.NextSweep_ == Milliseconds{};
  const auto Spread =
      static_cast<int64_t>(uniformBelow(State.Generator_, ClaimBucket.Count_));
  State.NextSweep_ = T.Now_ + ClaimBucket + Milliseconds{Spread};
  const Milliseconds Past = State.WallClock_ - State.Options_.ClaimRetention_;
  if (IsFirst || Past.Count_ <= 0)
    return;
  T.Out_.emplace_back(DeleteRows{claimPrefix(Past)});
  T.Out_.emplace_back(DeleteRows{claimPrefix(Past - ClaimBucket)});
}

static void onTick(Turn &T, const Tick &Passed) {
  Instance &State = T.State_;
  State.WallClock_ = std::max(State.WallClock_, Passed.WallClock_);
  noticePause(T);
  expireJobs(T);
  expireSends(T);
  dropLostPeers(T);
  for (const JobId &Id :
       giveUpClaims(State.Claims_, State.Options_.Claims_, T.Now_)) {
    JobRecord *Record = findJob(State, Id);
    if (Record != nullptr && Record->Phase_ == JobPhase::Claiming)
      failByState(T, *Record, Reason::StoreUnavailable, comeBackTime(T));
  }
  forgetJobs(T);
  learnDrains(T);
  beatPeers(T);
  pollRows(T);
  repeatWrite(T);
  sweepClaims(T);
}

static void onStopForced(Turn &T) {
  std::vector<JobId> Open;
  for (const auto &[Id, Record] : T.State_.Jobs_) {
    if (Record.Phase_ != JobPhase::Finished)
      Open.push_back(Id);
  }
  for (const JobId &Id : Open) {
    if (JobRecord *Record = findJob(T.State_, Id))
      failByState(T, *Record, Reason::Stopping, comeBackTime(T));
  }
}

static void onStopOrdered(Turn &T) {
  if (T.State_.IsStopping_)
    return;
  T.State_.IsStopping_ = true;
  T.Out_.emplace_back(LogChange{"stopping on plan"});
  for (auto &[Run, Known] : T.State_.Peers_.Peers_)
    Known.HeartbeatDue_ = T.Now_;
}

struct Dispatcher {
  Turn &T_;

  void operator()(const Tick &E) { onTick(T_, E); }
  void operator()(JobSubmitted &E) {
    increment(T_.State_.Counters_, Counter::JobsSubmitted);
    submitJob(T_, std::move(E.Request_), {.Token_ = E.Token_, .Peer_ = {}});
  }
  void operator()(const JobCancelled &E) { cancelJob(T_, E.Id_, false); }
  void operator()(const CallerGone &E) { forgetCaller(T_, E); }
  void operator()(const ClaimsAnswered &E) { settleClaims(T_, E); }
  void operator()(const ClaimsFailed &E) {
    increment(T_.State_.Counters_, Counter::StoreFailures);
    increment(T_.State_.Counters_, Counter::ClaimRetries);
    failBatch(T_.State_.Claims_, E.Batch_);
  }
  void operator()(const TaskFinished &E) { finishTask(T_, E); }
  void operator()(const PeerConnected &E) { connectPeer(T_, E); }
  void operator()(const PeerDisconnected &E) { disconnectPeer(T_, E.Run_); }
  void operator()(PeerReceived &E) { receivePeer(T_, std::move(E)); }
  void operator()(const WorkersListed &E) { listWorkers(T_, E); }
  void operator()(const RowRead &E) { readRow(T_, E); }
  void operator()(const RowReadFailed &) {
    increment(T_.State_.Counters_, Counter::StoreFailures);
  }
  void operator()(const RowSwapped &E) { swapRow(T_, E); }
  void operator()(const RowSwapFailed &) {
    increment(T_.State_.Counters_, Counter::StoreFailures);
  }
  void operator()(CatalogueSubmitted &E) { submitCatalogue(T_, std::move(E)); }
  void operator()(const DrainOrdered &E) { orderDrain(T_, E); }
  void operator()(const StopOrdered &) { onStopOrdered(T_); }
  void operator()(const StopForced &) { onStopForced(T_); }
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
  internal::Turn T{.State_ = State, .Now_ = Now, .Out_ = Out};
  std::visit(internal::Dispatcher{T}, Happened);
  internal::dispatchTasks(T);
  internal::announceBacklog(T);
  internal::sendClaims(T);
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
