#include "marjorambend/src/Instance/Step.h"

#include <algorithm>

namespace marjorambend::internal {

static Counter counterOf(Outcome What) {
  switch (What) {
  case Outcome::Complete:
    return Counter::AnswersComplete;
  case Outcome::NotRun:
    return Counter::AnswersNotRun;
  case Outcome::MayHaveRun:
    break;
  }
  return Counter::AnswersMayHaveRun;
}

void answerWaiter(Turn &T, const Waiter &To, const AnswerPtr &Given,
                  std::string_view Kind) {
  Instance &State = T.State_;
  if (To.Peer_) {
    sendPeer(T, *To.Peer_,
             ForwardedAnswer{.Token_ = To.Token_, .Answer_ = Given});
    return;
  }
  increment(State.Counters_, counterOf(Given->Outcome_));
  const KindSpec *Spec = findKind(State.Config_.Catalogue_, Kind);
  const bool IsIdempotent = Spec != nullptr && Spec->IsIdempotent_;
  T.Out_.emplace_back(AnswerCaller{
      .Token_ = To.Token_, .Answer_ = Given, .IsIdempotent_ = IsIdempotent});
}

void refuseUnrecorded(Turn &T, const JobRequest &Request, const Waiter &From,
                      Outcome What, Reason Why, Milliseconds RetryAfter) {
  const auto Given =
      std::make_shared<const Answer>(Answer{.Id_ = Request.Id_,
                                            .Outcome_ = What,
                                            .Reason_ = Why,
                                            .RetryAfter_ = RetryAfter,
                                            .Results_ = {}});
  answerWaiter(T, From, Given, Request.Kind_);
}

static std::size_t resultBytes(const Answer &Given) {
  std::size_t Bytes = 0;
  for (const std::string &Result : Given.Results_)
    Bytes += Result.size();
  return Bytes;
}

static void answerWaiters(Turn &T, JobRecord &Record, const AnswerPtr &Given) {
  recordSpan(T, Record.Trace_, "job", outcomeName(Given->Outcome_),
             Record.ReceivedAt_);
  for (const Waiter &To : Record.Waiters_)
    answerWaiter(T, To, Given, Record.Request_.Kind_);
  Record.Waiters_.clear();
}

// The record stays, without its payloads, so that a resubmission is recognised.
static void keepFinished(Turn &T, JobRecord &Record, const AnswerPtr &Given) {
  Instance &State = T.State_;
  Record.Phase_ = JobPhase::Finished;
  Record.FinishedAt_ = T.Now_;
  Record.Answer_ = Given;
  Record.Request_.Tasks_.clear();
  Record.Request_.Tasks_.shrink_to_fit();
  State.AnswerBytes_ += resultBytes(*Given);
  State.Finished_.emplace_back(T.Now_, Record.Request_.Id_);
}

static void finishJob(Turn &T, JobRecord &Record, const AnswerPtr &Given) {
  Instance &State = T.State_;
  const JobId Id = Record.Request_.Id_;
  State.Deadlines_.erase({Record.Deadline_, Id});
  if (Record.Phase_ == JobPhase::Active && !Record.Tasks_.empty())
    abandonTasks(T, Record);
  answerWaiters(T, Record, Given);
  // The holder remembers a remote job; a resubmission is to ask it again.
  if (Record.Phase_ == JobPhase::Remote) {
    State.Jobs_.erase(Id);
    return;
  }
  keepFinished(T, Record, Given);
}

void completeJob(Turn &T, JobRecord &Record) {
  const auto Given = std::make_shared<const Answer>(
      Answer{.Id_ = Record.Request_.Id_,
             .Outcome_ = Outcome::Complete,
             .Reason_ = Reason::None,
             .RetryAfter_ = {},
             .Results_ = std::move(Record.Results_)});
  finishJob(T, Record, Given);
}

// A refusal as not run holds until its come-back time. It was made after the
// job was forwarded; if that is longer ago, the holder may have run the job
// since.
static bool isStaleRefusal(const JobRecord &Record, const Answer &Given,
                           Milliseconds Now) {
  return Given.Outcome_ == Outcome::NotRun &&
         Given.RetryAfter_ > Milliseconds{} &&
         Now - Record.ReceivedAt_ >= Given.RetryAfter_;
}

void finishRemote(Turn &T, JobRecord &Record, const AnswerPtr &Given) {
  if (!isStaleRefusal(Record, *Given, T.Now_)) {
    finishJob(T, Record, Given);
    return;
  }
  failJob(T, Record, Outcome::MayHaveRun, Given->Reason_, Given->RetryAfter_);
}

void failJob(Turn &T, JobRecord &Record, Outcome What, Reason Why,
             Milliseconds RetryAfter) {
  const auto Given =
      std::make_shared<const Answer>(Answer{.Id_ = Record.Request_.Id_,
                                            .Outcome_ = What,
                                            .Reason_ = Why,
                                            .RetryAfter_ = RetryAfter,
                                            .Results_ = {}});
  finishJob(T, Record, Given);
}

void failByState(Turn &T, JobRecord &Record, Reason Why,
                 Milliseconds RetryAfter) {
  const Outcome What =
      isProvablyNotRun(Record) ? Outcome::NotRun : Outcome::MayHaveRun;
  failJob(T, Record, What, Why, RetryAfter);
}

void expireJobs(Turn &T) {
  Instance &State = T.State_;
  while (!State.Deadlines_.empty()) {
    const auto [Deadline, Id] = *State.Deadlines_.begin();
    if (Deadline > T.Now_)
      return;
    JobRecord *Record = findJob(State, Id);
    failByState(T, *Record, Reason::DeadlinePassed, comeBackTime(T));
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

// Whether a finished record may go: its identity has expired, or its claim row
// tells every instance that the job is not new.
static bool mayForget(const Instance &State, const JobRecord &Record) {
  const JobId &Id = Record.Request_.Id_;
  const Milliseconds Age = State.WallClock_ - createdAt(Id);
  if (Age > State.Options_.IdentityWindow_)
    return true;
  const bool IsCrowded = State.Jobs_.size() + State.Options_.MaxRecords_ / 10 >
                         State.Options_.MaxRecords_;
  return IsCrowded && !reservedBy(Id);
}

void forgetJobs(Turn &T) {
  Instance &State = T.State_;
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
    if (!mayForget(State, *Record))
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
