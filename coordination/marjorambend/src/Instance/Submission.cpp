#include "marjorambend/src/Instance/Step.h"
#include "marjorambend/src/Support/Constants.h"

#include <algorithm>

namespace marjorambend::internal {

static bool isExpired(const Instance &State, const JobId &Id) {
  return State.WallClock_ - createdAt(Id) > State.Options_.IdentityWindow_;
}

static bool isFromFuture(const Instance &State, const JobId &Id) {
  return createdAt(Id) - State.WallClock_ > MaxIdentitySkew;
}

static JobRecord &makeRecord(StepContext &C, JobRequest Request, Waiter From) {
  const JobId Id = Request.Id_;
  JobRecord &Record = C.State_.Jobs_[Id];
  Record.Fingerprint_ = fingerprint(Request);
  Record.Trace_ = startSpan(Request.TraceParent_, C.State_.Generator_);
  Record.Request_ = std::move(Request);
  Record.Waiters_.push_back(From);
  Record.ClaimNonce_ = C.State_.NextAttempt_++;
  return Record;
}

// Each attempt to run a job has its own number and deadline.
static void beginAttempt(StepContext &C, JobRecord &Record) {
  Record.Attempt_ = C.State_.NextAttempt_++;
  Record.ReceivedAt_ = C.Now_;
  Record.Deadline_ = C.Now_ + Record.Request_.Timeout_;
  // A job whose deadline has already passed is claimed first, since the claim
  // proves that it was not run.
  if (Record.Request_.Timeout_ > Milliseconds{})
    C.State_.Deadlines_.emplace(Record.Deadline_, Record.Request_.Id_);
}

static void beginClaim(StepContext &C, JobRecord &Record) {
  Record.Phase_ = JobPhase::Claiming;
  const bool IsQueued = enqueueClaim(
      C.State_.Claims_, C.State_.Options_.Claims_,
      {.Id_ = Record.Request_.Id_, .Nonce_ = Record.ClaimNonce_}, C.Now_);
  if (!IsQueued)
    failByState(C, Record, Reason::QueueFull, computeRetryAfter(C));
}

static void beginRemote(StepContext &C, JobRecord &Record, Incarnation Holder) {
  Record.Phase_ = JobPhase::Remote;
  Record.Holder_ = Holder;
  increment(C.State_.Counters_, Counter::JobsForwarded);
  forwardToHolder(C, Record);
}

static void beginJob(StepContext &C, JobRecord &Record) {
  beginAttempt(C, Record);
  const auto Owner = reservedBy(Record.Request_.Id_);
  if (Owner && *Owner != C.State_.Self_) {
    beginRemote(C, Record, *Owner);
    return;
  }
  if (Owner)
    Record.Claim_ = ClaimState::Held;
  if (Record.Claim_ == ClaimState::Held) {
    activateJob(C, Record);
    return;
  }
  beginClaim(C, Record);
}

// Runs a job again of which no task was started. The payloads come from the new
// submission because those of the earlier one were dropped with its answer.
static void restartJob(StepContext &C, JobRecord &Record, JobRequest Request,
                       Waiter From) {
  Record.Request_ = std::move(Request);
  Record.Answer_.reset();
  Record.Waiters_.push_back(From);
  beginJob(C, Record);
}

// A refusal as not run must still be true when it reaches the caller, so
// nothing is started before its Retry-After time has passed. Without a
// Retry-After time it holds permanently.
static bool isRefusalInForce(const JobRecord &Record, Milliseconds Now) {
  const Answer &Reply = *Record.Answer_;
  if (Reply.Outcome_ != Outcome::NotRun)
    return false;
  return Reply.RetryAfter_ == Milliseconds{} ||
         Now < Record.FinishedAt_ + Reply.RetryAfter_;
}

static bool mayRestart(const JobRecord &Record, Milliseconds Now) {
  return Record.PossiblyRun_ == 0 &&
         Record.Answer_->Outcome_ != Outcome::Complete &&
         Record.Answer_->Reason_ != Reason::Cancelled &&
         !isRefusalInForce(Record, Now);
}

// The earlier answer with the remaining Retry-After time.
static AnswerPtr repeatAnswer(const JobRecord &Record, Milliseconds Now) {
  const AnswerPtr &Reply = Record.Answer_;
  if (Reply->Outcome_ != Outcome::NotRun ||
      Reply->RetryAfter_ == Milliseconds{})
    return Reply;
  Answer Repeated = *Reply;
  Repeated.RetryAfter_ = Record.FinishedAt_ + Reply->RetryAfter_ - Now;
  return std::make_shared<const Answer>(std::move(Repeated));
}

static void joinJob(StepContext &C, JobRecord &Record, Waiter From) {
  if (Record.Waiters_.size() >= C.State_.Options_.MaxWaiters_) {
    refuseUnrecorded(C, Record.Request_, From, Outcome::MayHaveRun,
                     Reason::QueueFull, computeRetryAfter(C));
    return;
  }
  increment(C.State_.Counters_, Counter::JobsJoined);
  Record.Waiters_.push_back(From);
}

static void resubmitJob(StepContext &C, JobRecord &Record, JobRequest Request,
                        Waiter From) {
  if (fingerprint(Request) != Record.Fingerprint_) {
    refuseUnrecorded(C, Request, From, Outcome::MayHaveRun,
                     Reason::IdentityReused, {});
    return;
  }
  if (Record.Phase_ != JobPhase::Finished) {
    joinJob(C, Record, From);
    return;
  }
  if (mayRestart(Record, C.Now_)) {
    restartJob(C, Record, std::move(Request), From);
    return;
  }
  increment(C.State_.Counters_, Counter::JobsJoined);
  answerWaiter(C, From, repeatAnswer(Record, C.Now_), Request.Kind_);
}

void submitJob(StepContext &C, JobRequest Request, Waiter From) {
  Instance &State = C.State_;
  if (JobRecord *Known = findJob(State, Request.Id_)) {
    resubmitJob(C, *Known, std::move(Request), From);
    return;
  }
  if (isExpired(State, Request.Id_) || isFromFuture(State, Request.Id_)) {
    refuseUnrecorded(C, Request, From, Outcome::MayHaveRun,
                     Reason::IdentityExpired, {});
    return;
  }
  const auto Owner = reservedBy(Request.Id_);
  // A job is forwarded here because this incarnation has claimed it, or has
  // reserved its identity. In the first case its record was lost; in the second
  // the owner must be this incarnation.
  if (From.Peer_ && (!Owner || *Owner != State.Self_)) {
    refuseUnrecorded(C, Request, From, Outcome::MayHaveRun, Reason::RecordLost,
                     {});
    return;
  }
  if (State.Jobs_.size() >= State.Options_.MaxRecords_) {
    refuseUnrecorded(C, Request, From, Outcome::MayHaveRun, Reason::QueueFull,
                     computeRetryAfter(C));
    return;
  }
  beginJob(C, makeRecord(C, std::move(Request), From));
}

void forwardToHolder(StepContext &C, JobRecord &Record) {
  const auto Found = C.State_.Peers_.Peers_.find(Record.Holder_);
  if (Found == C.State_.Peers_.Peers_.end()) {
    const auto &Lost = C.State_.LostPeers_;
    const auto IsAwaited = [&](const auto &Entry) {
      return Entry.second == Record.Holder_;
    };
    if (std::find_if(Lost.begin(), Lost.end(), IsAwaited) != Lost.end())
      return;
    failByState(C, Record, Reason::HolderUnreachable, computeRetryAfter(C));
    return;
  }
  JobRequest Copy = Record.Request_;
  Copy.Timeout_ = Record.Deadline_ - C.Now_ - RemoteMargin;
  Copy.TraceParent_ = formatTraceParent(Record.Trace_);
  sendPeer(
      C, Record.Holder_,
      ForwardedJob{.Token_ = Record.Attempt_, .Request_ = std::move(Copy)});
}

static void resolveClaim(StepContext &C, const ClaimRow &Row) {
  JobRecord *Record = findJob(C.State_, Row.Id_);
  if (Record == nullptr)
    return;
  const bool IsHere = Row.Holder_ == C.State_.Self_;
  const bool IsOwn = IsHere && Row.Nonce_ == Record->ClaimNonce_;
  if (IsOwn)
    Record->Claim_ = ClaimState::Held;
  if (Record->Phase_ != JobPhase::Claiming)
    return;
  if (IsHere && !IsOwn) {
    failByState(C, *Record, Reason::RecordLost, {});
    return;
  }
  recordSpan(C, childOf(Record->Trace_, C.State_.Generator_), "claim",
             IsOwn ? "held" : "held elsewhere", Record->ReceivedAt_);
  if (IsOwn) {
    activateJob(C, *Record);
    return;
  }
  increment(C.State_.Counters_, Counter::ClaimConflicts);
  beginRemote(C, *Record, Row.Holder_);
}

void resolveClaims(StepContext &C, const ClaimsAnswered &Answered) {
  for (const ClaimRow &Row : Answered.Rows_)
    resolveClaim(C, Row);
  finishBatch(C.State_.Claims_, Answered.Batch_);
}

void sendClaims(StepContext &C) {
  Instance &State = C.State_;
  auto Batch = nextBatch(State.Claims_, State.Options_.Claims_, C.Now_);
  if (!Batch)
    return;
  increment(State.Counters_, Counter::ClaimBatches);
  increment(State.Counters_, Counter::ClaimRows, Batch->Claims_.size());
  increment(State.Counters_, Counter::StoreRequests);
  C.Out_.emplace_back(InsertClaims{std::move(*Batch)});
}

void cancelJob(StepContext &C, const JobId &Id, bool IsForwarded) {
  Instance &State = C.State_;
  JobRecord *Record = findJob(State, Id);
  if (Record != nullptr && Record->Phase_ == JobPhase::Remote) {
    sendPeer(C, Record->Holder_, ForwardedCancel{Id});
    return;
  }
  if (Record != nullptr) {
    if (Record->Phase_ == JobPhase::Finished)
      return;
    increment(State.Counters_, Counter::JobsCancelled);
    failByState(C, *Record, Reason::Cancelled, {});
    return;
  }
  if (IsForwarded)
    return;
  // The holder is unknown, so the cancellation is sent to every instance.
  for (const auto &[Run, Known] : State.Peers_.Peers_)
    sendPeer(C, Run, ForwardedCancel{Id});
}

void removeCaller(StepContext &C, const CallerGone &Gone) {
  JobRecord *Record = findJob(C.State_, Gone.Id_);
  if (Record == nullptr)
    return;
  std::erase_if(Record->Waiters_, [&](const Waiter &One) {
    return !One.Peer_ && One.Token_ == Gone.Token_;
  });
}

} // namespace marjorambend::internal
