#include "marjorambend/src/Instance/Step.h"

#include <algorithm>

namespace marjorambend::internal {

static Counter counterOf(Outcome FinalOutcome) {
  switch (FinalOutcome) {
  case Outcome::Complete:
    return Counter::AnswersComplete;
  case Outcome::NotRun:
    return Counter::AnswersNotRun;
  case Outcome::MayHaveRun:
    break;
  }
  return Counter::AnswersMayHaveRun;
}

void answerWaiter(StepContext &Ctx, const Waiter &To, const AnswerPtr &Reply,
                  std::string_view Kind) {
  Instance &State = Ctx.State_;
  if (To.Peer_) {
    sendPeer(Ctx, *To.Peer_,
             ForwardedAnswer{.Token_ = To.Token_, .Answer_ = Reply});
    return;
  }
  increment(State.Counters_, counterOf(Reply->Outcome_));
  const KindSpec *Spec = findKind(State.Config_.Catalogue_, Kind);
  const bool IsIdempotent = Spec != nullptr && Spec->IsIdempotent_;
  Ctx.Out_.emplace_back(AnswerCaller{
      .Token_ = To.Token_, .Answer_ = Reply, .IsIdempotent_ = IsIdempotent});
}

void refuseUnrecorded(StepContext &Ctx, const JobRequest &Request,
                      const Waiter &From, Outcome FinalOutcome, Reason Cause,
                      Milliseconds RetryAfter) {
  const auto Reply =
      std::make_shared<const Answer>(Answer{.Id_ = Request.Id_,
                                            .Outcome_ = FinalOutcome,
                                            .Reason_ = Cause,
                                            .RetryAfter_ = RetryAfter,
                                            .Results_ = {}});
  answerWaiter(Ctx, From, Reply, Request.Kind_);
}

static std::size_t resultBytes(const Answer &Reply) {
  std::size_t Bytes = 0;
  for (const std::string &Result : Reply.Results_)
    Bytes += Result.size();
  return Bytes;
}

static void answerWaiters(StepContext &Ctx, JobRecord &Record,
                          const AnswerPtr &Reply) {
  recordSpan(Ctx, Record.Trace_, "job", outcomeName(Reply->Outcome_),
             Record.ReceivedAt_);
  for (const Waiter &To : Record.Waiters_)
    answerWaiter(Ctx, To, Reply, Record.Request_.Kind_);
  Record.Waiters_.clear();
}

// The record stays, without its payloads, so that a resubmission is recognised.
static void keepFinished(StepContext &Ctx, JobRecord &Record,
                         const AnswerPtr &Reply) {
  Instance &State = Ctx.State_;
  Record.Phase_ = JobPhase::Finished;
  Record.FinishedAt_ = Ctx.Now_;
  Record.Answer_ = Reply;
  Record.Request_.Tasks_.clear();
  Record.Request_.Tasks_.shrink_to_fit();
  State.AnswerBytes_ += resultBytes(*Reply);
  State.Finished_.emplace_back(Ctx.Now_, Record.Request_.Id_);
}

static void finishJob(StepContext &Ctx, JobRecord &Record,
                      const AnswerPtr &Reply) {
  Instance &State = Ctx.State_;
  const JobId Id = Record.Request_.Id_;
  State.Deadlines_.erase({Record.Deadline_, Id});
  if (Record.Phase_ == JobPhase::Active && !Record.Tasks_.empty())
    abandonTasks(Ctx, Record);
  answerWaiters(Ctx, Record, Reply);
  // The holder keeps the record of a remote job; a resubmission asks it again.
  if (Record.Phase_ == JobPhase::Remote) {
    State.Jobs_.erase(Id);
    return;
  }
  keepFinished(Ctx, Record, Reply);
}

void completeJob(StepContext &Ctx, JobRecord &Record) {
  const auto Reply = std::make_shared<const Answer>(
      Answer{.Id_ = Record.Request_.Id_,
             .Outcome_ = Outcome::Complete,
             .Reason_ = Reason::None,
             .RetryAfter_ = {},
             .Results_ = std::move(Record.Results_)});
  finishJob(Ctx, Record, Reply);
}

// A refusal as not run is valid only until its Retry-After time has passed. The
// holder made it after the job was forwarded; if that is longer ago than
// Retry-After, the holder may have run the job in the meantime.
static bool isStaleRefusal(const JobRecord &Record, const Answer &Reply,
                           Milliseconds Now) {
  return Reply.Outcome_ == Outcome::NotRun &&
         Reply.RetryAfter_ > Milliseconds{} &&
         Now - Record.ReceivedAt_ >= Reply.RetryAfter_;
}

void finishRemote(StepContext &Ctx, JobRecord &Record, const AnswerPtr &Reply) {
  if (!isStaleRefusal(Record, *Reply, Ctx.Now_)) {
    finishJob(Ctx, Record, Reply);
    return;
  }
  failJob(Ctx, Record, Outcome::MayHaveRun, Reply->Reason_, Reply->RetryAfter_);
}

void failJob(StepContext &Ctx, JobRecord &Record, Outcome FinalOutcome,
             Reason Cause, Milliseconds RetryAfter) {
  const auto Reply =
      std::make_shared<const Answer>(Answer{.Id_ = Record.Request_.Id_,
                                            .Outcome_ = FinalOutcome,
                                            .Reason_ = Cause,
                                            .RetryAfter_ = RetryAfter,
                                            .Results_ = {}});
  finishJob(Ctx, Record, Reply);
}

void failByState(StepContext &Ctx, JobRecord &Record, Reason Cause,
                 Milliseconds RetryAfter) {
  const Outcome FinalOutcome =
      isProvablyNotRun(Record) ? Outcome::NotRun : Outcome::MayHaveRun;
  failJob(Ctx, Record, FinalOutcome, Cause, RetryAfter);
}

void expireJobs(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  while (!State.Deadlines_.empty()) {
    const auto [Deadline, Id] = *State.Deadlines_.begin();
    if (Deadline > Ctx.Now_)
      return;
    JobRecord *Record = findJob(State, Id);
    failByState(Ctx, *Record, Reason::DeadlinePassed, computeRetryAfter(Ctx));
  }
}

static void expireAnswer(Instance &State, JobRecord &Record) {
  State.AnswerBytes_ -= resultBytes(*Record.Answer_);
  if (Record.Answer_->Outcome_ != Outcome::Complete)
    return;
  Record.Answer_ =
      std::make_shared<const Answer>(Answer{.Id_ = Record.Request_.Id_,
                                            .Outcome_ = Outcome::MayHaveRun,
                                            .Reason_ = Reason::AnswerExpired,
                                            .RetryAfter_ = {},
                                            .Results_ = {}});
}

// Whether a finished record may be evicted: its identity has expired, or
// records are near their limit and the claim row tells every instance that the
// job is not new.
static bool isEvictable(const Instance &State, const JobRecord &Record) {
  const JobId &Id = Record.Request_.Id_;
  const Milliseconds Age = State.WallClock_ - createdAt(Id);
  if (Age > State.Options_.IdentityWindow_)
    return true;
  const bool IsNearLimit =
      State.Jobs_.size() + State.Options_.MaxRecords_ / 10 >
      State.Options_.MaxRecords_;
  return IsNearLimit && !reservedBy(Id);
}

void evictRecords(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  std::size_t Steps = State.Finished_.size();
  while (Steps-- > 0) {
    const auto [At, Id] = State.Finished_.front();
    JobRecord *Record = findJob(State, Id);
    const bool IsCurrent = Record != nullptr &&
                           Record->Phase_ == JobPhase::Finished &&
                           Record->FinishedAt_ == At;
    if (!IsCurrent) {
      State.Finished_.pop_front();
      continue;
    }
    if (!isEvictable(State, *Record))
      break;
    State.AnswerBytes_ -= resultBytes(*Record->Answer_);
    State.Jobs_.erase(Id);
    State.Finished_.pop_front();
  }
  for (const auto &[At, Id] : State.Finished_) {
    if (State.AnswerBytes_ <= State.Options_.MaxAnswerBytes_)
      return;
    JobRecord *Record = findJob(State, Id);
    if (Record != nullptr && Record->Phase_ == JobPhase::Finished)
      expireAnswer(State, *Record);
  }
}

} // namespace marjorambend::internal
