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

static JobRecord &makeRecord(Turn &T, JobRequest Request, Waiter From) {
  const JobId Id = Request.Id_;
  JobRecord &Record = T.State_.Jobs_[Id];
  Record.Fingerprint_ = fingerprint(Request);
  Record.Trace_ = startSpan(Request.TraceParent_, T.State_.Generator_);
  Record.Request_ = std::move(Request);
  Record.Waiters_.push_back(From);
  Record.ClaimNonce_ = T.State_.NextAttempt_++;
  return Record;
}

// Each run of a job through the phases has its own number and deadline.
static void beginAttempt(Turn &T, JobRecord &Record) {
  Record.Attempt_ = T.State_.NextAttempt_++;
  Record.ReceivedAt_ = T.Now_;
  Record.Deadline_ = T.Now_ + Record.Request_.Timeout_;
  // A deadline that has passed already is answered once the claim shows that
  // the job was not run.
  if (Record.Request_.Timeout_ > Milliseconds{})
    T.State_.Deadlines_.emplace(Record.Deadline_, Record.Request_.Id_);
}

static void beginClaim(Turn &T, JobRecord &Record) {
  Record.Phase_ = JobPhase::Claiming;
  const bool IsQueued = enqueueClaim(
      T.State_.Claims_, T.State_.Options_.Claims_,
      {.Id_ = Record.Request_.Id_, .Nonce_ = Record.ClaimNonce_}, T.Now_);
  if (!IsQueued)
    failByState(T, Record, Reason::QueueFull, comeBackTime(T));
}

static void beginRemote(Turn &T, JobRecord &Record, Incarnation Holder) {
  Record.Phase_ = JobPhase::Remote;
  Record.Holder_ = Holder;
  increment(T.State_.Counters_, Counter::JobsForwarded);
  sendToHolder(T, Record);
}

static void beginJob(Turn &T, JobRecord &Record) {
  beginAttempt(T, Record);
  const auto Home = reservedBy(Record.Request_.Id_);
  if (Home && *Home != T.State_.Self_) {
    beginRemote(T, Record, *Home);
    return;
  }
  if (Home)
    Record.Claim_ = ClaimState::Held;
  if (Record.Claim_ == ClaimState::Held) {
    activateJob(T, Record);
    return;
  }
  beginClaim(T, Record);
}

// Nothing of the job can have run, so that it may run now. The payloads of the
// earlier submission were dropped with its answer.
static void restartJob(Turn &T, JobRecord &Record, JobRequest Request,
                       Waiter From) {
  Record.Request_ = std::move(Request);
  Record.Answer_.reset();
  Record.Waiters_.push_back(From);
  beginJob(T, Record);
}

// A refusal as not run stays true until its come-back time: nothing is started
// before, so that it cannot become false on its way to the caller. Without a
// come-back time it stays true for ever.
static bool holdsRefusal(const JobRecord &Record, Milliseconds Now) {
  const Answer &Given = *Record.Answer_;
  if (Given.Outcome_ != Outcome::NotRun)
    return false;
  return Given.RetryAfter_ == Milliseconds{} ||
         Now < Record.FinishedAt_ + Given.RetryAfter_;
}

static bool mayRestart(const JobRecord &Record, Milliseconds Now) {
  return Record.PossiblyRun_ == 0 &&
         Record.Answer_->Outcome_ != Outcome::Complete &&
         Record.Answer_->Reason_ != Reason::Cancelled &&
         !holdsRefusal(Record, Now);
}

// The answer as it is to be given now: less time is left until the come-back.
static AnswerPtr repeatAnswer(const JobRecord &Record, Milliseconds Now) {
  const AnswerPtr &Given = Record.Answer_;
  if (Given->Outcome_ != Outcome::NotRun ||
      Given->RetryAfter_ == Milliseconds{})
    return Given;
  Answer Repeated = *Given;
  Repeated.RetryAfter_ = Record.FinishedAt_ + Given->RetryAfter_ - Now;
  return std::make_shared<const Answer>(std::move(Repeated));
}

static void joinJob(Turn &T, JobRecord &Record, Waiter From) {
  if (Record.Waiters_.size() >= T.State_.Options_.MaxWaiters_) {
    refuseUnrecorded(T, Record.Request_, From, Outcome::MayHaveRun,
                     Reason::QueueFull, comeBackTime(T));
    return;
  }
  increment(T.State_.Counters_, Counter::JobsJoined);
  Record.Waiters_.push_back(From);
}

static void resubmitJob(Turn &T, JobRecord &Record, JobRequest Request,
                        Waiter From) {
  if (fingerprint(Request) != Record.Fingerprint_) {
    refuseUnrecorded(T, Request, From, Outcome::MayHaveRun,
                     Reason::IdentityReused, {});
    return;
  }
  if (Record.Phase_ != JobPhase::Finished) {
    joinJob(T, Record, From);
    return;
  }
  if (mayRestart(Record, T.Now_)) {
    restartJob(T, Record, std::move(Request), From);
    return;
  }
  increment(T.State_.Counters_, Counter::JobsJoined);
  answerWaiter(T, From, repeatAnswer(Record, T.Now_), Request.Kind_);
}

void submitJob(Turn &T, JobRequest Request, Waiter From) {
  Instance &State = T.State_;
  if (JobRecord *Known = findJob(State, Request.Id_)) {
    resubmitJob(T, *Known, std::move(Request), From);
    return;
  }
  if (isExpired(State, Request.Id_) || isFromFuture(State, Request.Id_)) {
    refuseUnrecorded(T, Request, From, Outcome::MayHaveRun,
                     Reason::IdentityExpired, {});
    return;
  }
  const auto Home = reservedBy(Request.Id_);
  // A forwarded job with a caller's identity is claimed by this incarnation,
  // which has forgotten it; one with a reserved identity must be at home here.
  if (From.Peer_ && (!Home || *Home != State.Self_)) {
    refuseUnrecorded(T, Request, From, Outcome::MayHaveRun, Reason::RecordLost,
                     {});
    return;
  }
  if (State.Jobs_.size() >= State.Options_.MaxRecords_) {
    refuseUnrecorded(T, Request, From, Outcome::MayHaveRun, Reason::QueueFull,
                     comeBackTime(T));
    return;
  }
  beginJob(T, makeRecord(T, std::move(Request), From));
}

void sendToHolder(Turn &T, JobRecord &Record) {
  const auto Found = T.State_.Peers_.Peers_.find(Record.Holder_);
  if (Found == T.State_.Peers_.Peers_.end()) {
    const auto &Lost = T.State_.LostPeers_;
    const auto IsAwaited = [&](const auto &Entry) {
      return Entry.second == Record.Holder_;
    };
    if (std::find_if(Lost.begin(), Lost.end(), IsAwaited) != Lost.end())
      return;
    failByState(T, Record, Reason::HolderUnreachable, comeBackTime(T));
    return;
  }
  JobRequest Copy = Record.Request_;
  Copy.Timeout_ = Record.Deadline_ - T.Now_ - RemoteMargin;
  Copy.TraceParent_ = formatTraceParent(Record.Trace_);
  sendPeer(
      T, Record.Holder_,
      ForwardedJob{.Token_ = Record.Attempt_, .Request_ = std::move(Copy)});
}

static void settleClaim(Turn &T, const ClaimRow &Row) {
  JobRecord *Record = findJob(T.State_, Row.Id_);
  if (Record == nullptr)
    return;
  const bool IsHere = Row.Holder_ == T.State_.Self_;
  const bool IsOwn = IsHere && Row.Nonce_ == Record->ClaimNonce_;
  if (IsOwn)
    Record->Claim_ = ClaimState::Held;
  if (Record->Phase_ != JobPhase::Claiming)
    return;
  if (IsHere && !IsOwn) {
    failByState(T, *Record, Reason::RecordLost, {});
    return;
  }
  recordSpan(T, childOf(Record->Trace_, T.State_.Generator_), "claim",
             IsOwn ? "held" : "held elsewhere", Record->ReceivedAt_);
  if (IsOwn) {
    activateJob(T, *Record);
    return;
  }
  increment(T.State_.Counters_, Counter::ClaimConflicts);
  beginRemote(T, *Record, Row.Holder_);
}

void settleClaims(Turn &T, const ClaimsAnswered &Answered) {
  for (const ClaimRow &Row : Answered.Rows_)
    settleClaim(T, Row);
  finishBatch(T.State_.Claims_, Answered.Batch_);
}

void sendClaims(Turn &T) {
  Instance &State = T.State_;
  auto Batch = nextBatch(State.Claims_, State.Options_.Claims_, T.Now_);
  if (!Batch)
    return;
  increment(State.Counters_, Counter::ClaimBatches);
  increment(State.Counters_, Counter::ClaimRows, Batch->Claims_.size());
  increment(State.Counters_, Counter::StoreRequests);
  T.Out_.emplace_back(InsertClaims{std::move(*Batch)});
}

void cancelJob(Turn &T, const JobId &Id, bool IsForwarded) {
  Instance &State = T.State_;
  JobRecord *Record = findJob(State, Id);
  if (Record != nullptr && Record->Phase_ == JobPhase::Remote) {
    sendPeer(T, Record->Holder_, ForwardedCancel{Id});
    return;
  }
  if (Record != nullptr) {
    if (Record->Phase_ == JobPhase::Finished)
      return;
    increment(State.Counters_, Counter::JobsCancelled);
    failByState(T, *Record, Reason::Cancelled, {});
    return;
  }
  if (IsForwarded)
    return;
  // The holder is not known here, so every instance is told.
  for (const auto &[Run, Known] : State.Peers_.Peers_)
    sendPeer(T, Run, ForwardedCancel{Id});
}

void forgetCaller(Turn &T, const CallerGone &Gone) {
  JobRecord *Record = findJob(T.State_, Gone.Id_);
  if (Record == nullptr)
    return;
  std::erase_if(Record->Waiters_, [&](const Waiter &One) {
    return !One.Peer_ && One.Token_ == Gone.Token_;
  });
}

} // namespace marjorambend::internal
