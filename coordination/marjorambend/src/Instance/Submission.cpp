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

static JobRecord &makeRecord(StepContext &Ctx, JobRequest Request,
                             Waiter From) {
  const JobId Id = Request.Id_;
  JobRecord &Record = Ctx.State_.Jobs_[Id];
  Record.Fingerprint_ = fingerprint(Request);
  Record.Trace_ = startSpan(Request.TraceParent_, Ctx.State_.Generator_);
  Record.Request_ = std::move(Request);
  Record.Waiters_.push_back(From);
  Record.ClaimNonce_ = Ctx.State_.NextAttempt_++;
  return Record;
}

// Each attempt to run a job has its own number and deadline.
static void beginAttempt(StepContext &Ctx, JobRecord &Record) {
  Record.Attempt_ = Ctx.State_.NextAttempt_++;
  Record.ReceivedAt_ = Ctx.Now_;
  Record.Deadline_ = Ctx.Now_ + Record.Request_.Timeout_;
  // A job whose deadline has already passed is claimed first, since the claim
  // proves that it was not run.
  if (Record.Request_.Timeout_ > Milliseconds{})
    Ctx.State_.Deadlines_.emplace(Record.Deadline_, Record.Request_.Id_);
}

static void beginClaim(StepContext &Ctx, JobRecord &Record) {
  Record.Phase_ = JobPhase::Claiming;
  const bool IsQueued = enqueueClaim(
      Ctx.State_.Claims_, Ctx.State_.Options_.Claims_,
      {.Id_ = Record.Request_.Id_, .Nonce_ = Record.ClaimNonce_}, Ctx.Now_);
  if (!IsQueued)
    failByState(Ctx, Record, Reason::QueueFull, computeRetryAfter(Ctx));
}

static void beginRemote(StepContext &Ctx, JobRecord &Record,
                        Incarnation Holder) {
  Record.Phase_ = JobPhase::Remote;
  Record.Holder_ = Holder;
  increment(Ctx.State_.Counters_, Counter::JobsForwarded);
  forwardToHolder(Ctx, Record);
}

static void beginJob(StepContext &Ctx, JobRecord &Record) {
  beginAttempt(Ctx, Record);
  const auto Owner = reservedBy(Record.Request_.Id_);
  if (Owner && *Owner != Ctx.State_.Self_) {
    beginRemote(Ctx, Record, *Owner);
    return;
  }
  if (Owner)
    Record.Claim_ = ClaimState::Held;
  if (Record.Claim_ == ClaimState::Held) {
    activateJob(Ctx, Record);
    return;
  }
  beginClaim(Ctx, Record);
}

// Runs a job again of which no task was started. The payloads come from the new
// submission because those of the earlier one were dropped with its answer.
static void restartJob(StepContext &Ctx, JobRecord &Record, JobRequest Request,
                       Waiter From) {
  Record.Request_ = std::move(Request);
  Record.Answer_.reset();
  Record.Waiters_.push_back(From);
  beginJob(Ctx, Record);
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

static void joinJob(StepContext &Ctx, JobRecord &Record, Waiter From) {
  if (Record.Waiters_.size() >= Ctx.State_.Options_.MaxWaiters_) {
    refuseUnrecorded(Ctx, Record.Request_, From, Outcome::MayHaveRun,
                     Reason::QueueFull, computeRetryAfter(Ctx));
    return;
  }
  increment(Ctx.State_.Counters_, Counter::JobsJoined);
  Record.Waiters_.push_back(From);
}

static void resubmitJob(StepContext &Ctx, JobRecord &Record, JobRequest Request,
                        Waiter From) {
  if (fingerprint(Request) != Record.Fingerprint_) {
    refuseUnrecorded(Ctx, Request, From, Outcome::MayHaveRun,
                     Reason::IdentityReused, {});
    return;
  }
  if (Record.Phase_ != JobPhase::Finished) {
    joinJob(Ctx, Record, From);
    return;
  }
  if (mayRestart(Record, Ctx.Now_)) {
    restartJob(Ctx, Record, std::move(Request), From);
    return;
  }
  increment(Ctx.State_.Counters_, Counter::JobsJoined);
  answerWaiter(Ctx, From, repeatAnswer(Record, Ctx.Now_), Request.Kind_);
}

void submitJob(StepContext &Ctx, JobRequest Request, Waiter From) {
  Instance &State = Ctx.State_;
  if (JobRecord *Known = findJob(State, Request.Id_)) {
    resubmitJob(Ctx, *Known, std::move(Request), From);
    return;
  }
  if (isExpired(State, Request.Id_) || isFromFuture(State, Request.Id_)) {
    refuseUnrecorded(Ctx, Request, From, Outcome::MayHaveRun,
                     Reason::IdentityExpired, {});
    return;
  }
  const auto Owner = reservedBy(Request.Id_);
  // A job is forwarded here because this incarnation has claimed it, or has
  // reserved its identity. In the first case its record was lost; in the second
  // the owner must be this incarnation.
  if (From.Peer_ && (!Owner || *Owner != State.Self_)) {
    refuseUnrecorded(Ctx, Request, From, Outcome::MayHaveRun,
                     Reason::RecordLost, {});
    return;
  }
  if (State.Jobs_.size() >= State.Options_.MaxRecords_) {
    refuseUnrecorded(Ctx, Request, From, Outcome::MayHaveRun, Reason::QueueFull,
                     computeRetryAfter(Ctx));
    return;
  }
  beginJob(Ctx, makeRecord(Ctx, std::move(Request), From));
}

void forwardToHolder(StepContext &Ctx, JobRecord &Record) {
  const auto Found = Ctx.State_.Peers_.Peers_.find(Record.Holder_);
  if (Found == Ctx.State_.Peers_.Peers_.end()) {
    const auto &Lost = Ctx.State_.LostPeers_;
    const auto IsAwaited = [&](const auto &Entry) {
      return Entry.second == Record.Holder_;
    };
    if (std::find_if(Lost.begin(), Lost.end(), IsAwaited) != Lost.end())
      return;
    failByState(Ctx, Record, Reason::HolderUnreachable, computeRetryAfter(Ctx));
    return;
  }
  JobRequest Copy = Record.Request_;
  Copy.Timeout_ = Record.Deadline_ - Ctx.Now_ - RemoteMargin;
  Copy.TraceParent_ = formatTraceParent(Record.Trace_);
  sendPeer(
      Ctx, Record.Holder_,
      ForwardedJob{.Token_ = Record.Attempt_, .Request_ = std::move(Copy)});
}

static void resolveClaim(StepContext &Ctx, const ClaimRow &Row) {
  JobRecord *Record = findJob(Ctx.State_, Row.Id_);
  if (Record == nullptr)
    return;
  const bool IsHere = Row.Holder_ == Ctx.State_.Self_;
  const bool IsOwn = IsHere && Row.Nonce_ == Record->ClaimNonce_;
  if (IsOwn)
    Record->Claim_ = ClaimState::Held;
  if (Record->Phase_ != JobPhase::Claiming)
    return;
  if (IsHere && !IsOwn) {
    failByState(Ctx, *Record, Reason::RecordLost, {});
    return;
  }
  recordSpan(Ctx, childOf(Record->Trace_, Ctx.State_.Generator_), "claim",
             IsOwn ? "held" : "held elsewhere", Record->ReceivedAt_);
  if (IsOwn) {
    activateJob(Ctx, *Record);
    return;
  }
  increment(Ctx.State_.Counters_, Counter::ClaimConflicts);
  beginRemote(Ctx, *Record, Row.Holder_);
}

void resolveClaims(StepContext &Ctx, const ClaimsAnswered &Answered) {
  for (const ClaimRow &Row : Answered.Rows_)
    resolveClaim(Ctx, Row);
  finishBatch(Ctx.State_.Claims_, Answered.Batch_);
}

void sendClaims(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  auto Batch = nextBatch(State.Claims_, State.Options_.Claims_, Ctx.Now_);
  if (!Batch)
    return;
  increment(State.Counters_, Counter::ClaimBatches);
  increment(State.Counters_, Counter::ClaimRows, Batch->Claims_.size());
  increment(State.Counters_, Counter::StoreRequests);
  Ctx.Out_.emplace_back(InsertClaims{std::move(*Batch)});
}

void cancelJob(StepContext &Ctx, const JobId &Id, bool IsForwarded) {
  Instance &State = Ctx.State_;
  JobRecord *Record = findJob(State, Id);
  if (Record != nullptr && Record->Phase_ == JobPhase::Remote) {
    sendPeer(Ctx, Record->Holder_, ForwardedCancel{Id});
    return;
  }
  if (Record != nullptr) {
    if (Record->Phase_ == JobPhase::Finished)
      return;
    increment(State.Counters_, Counter::JobsCancelled);
    failByState(Ctx, *Record, Reason::Cancelled, {});
    return;
  }
  if (IsForwarded)
    return;
  // The holder is unknown, so the cancellation is sent to every instance.
  for (const auto &[Run, Known] : State.Peers_.Peers_)
    sendPeer(Ctx, Run, ForwardedCancel{Id});
}

void removeCaller(StepContext &Ctx, const CallerGone &Gone) {
  JobRecord *Record = findJob(Ctx.State_, Gone.Id_);
  if (Record == nullptr)
    return;
  std::erase_if(Record->Waiters_, [&](const Waiter &One) {
    return !One.Peer_ && One.Token_ == Gone.Token_;
  });
}

} // namespace marjorambend::internal
