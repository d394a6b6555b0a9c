#include "marjorambend/src/Instance/Step.h"
#include "marjorambend/src/Routing/Router.h"

#include <algorithm>
#include <cmath>

namespace marjorambend::internal {

// A job may wait this multiple of its ideal time before jobs that came later
// and are shorter stop overtaking it.
static constexpr double OrderStretch = 5.0;

// Number of jobs that are offered a free slot in turn.
static constexpr std::size_t DispatchDepth = 4;

static std::size_t payloadBytes(const JobRequest &Request) {
  std::size_t Bytes = 0;
  for (const std::string &Task : Request.Tasks_)
    Bytes += Task.size();
  return Bytes;
}

static Reason checkKind(const KindSpec *Kind, const JobRequest &Request) {
  if (Kind == nullptr)
    return Reason::UnknownKind;
  if (Kind->Owner_ != Request.Team_)
    return Reason::WrongTeam;
  if (Request.Tasks_.size() > Kind->MaxTasks_)
    return Reason::NeverRunnable;
  const auto IsTooLarge = [&](const std::string &Task) {
    return Task.size() > Kind->MaxTaskBytes_;
  };
  const bool HasTooLarge =
      std::any_of(Request.Tasks_.begin(), Request.Tasks_.end(), IsTooLarge);
  return HasTooLarge ? Reason::NeverRunnable : Reason::None;
}

static const TeamSpec *findTeam(const Instance &State, std::string_view Name) {
  const auto Found = State.Config_.Catalogue_.Teams_.find(Name);
  return Found == State.Config_.Catalogue_.Teams_.end() ? nullptr
                                                        : &Found->second;
}

// A team's quota holds over all instances; each applies an equal part of it.
static uint32_t quotaHere(const Instance &State, std::string_view Team) {
  const TeamSpec *Spec = findTeam(State, Team);
  if (Spec == nullptr || Spec->MaxTasks_ == 0)
    return 0;
  const auto Instances = static_cast<uint32_t>(State.Peers_.Peers_.size() + 1);
  return (Spec->MaxTasks_ + Instances - 1) / Instances;
}

static QueuedJob queuedJob(const JobRecord &Record) {
  return {.Id_ = Record.Request_.Id_,
          .Class_ = Record.Class_,
          .OrderKey_ = Record.OrderKey_};
}

static void enqueue(Turn &T, const JobRecord &Record) {
  const TeamSpec *Team = findTeam(T.State_, Record.Request_.Team_);
  pushJob(T.State_.Queue_, Record.Request_.Team_,
          Team == nullptr ? 1.0 : Team->Weight_, queuedJob(Record));
}

// Jobs with little work overtake those with much, up to a bound.
static Milliseconds orderKey(const JobRecord &Record, uint32_t Slots) {
  const double Rounds = std::ceil(
      static_cast<double>(Record.Request_.Tasks_.size()) / std::max(1U, Slots));
  const double IdealMs = Rounds * Record.TaskMs_;
  return Record.ReceivedAt_ +
         Milliseconds{static_cast<int64_t>(OrderStretch * IdealMs)};
}

// Work of the jobs that are served before a job with that class and key.
static double workAhead(const Instance &State, uint8_t Class,
                        Milliseconds Key) {
  double SumMs = 0;
  for (uint8_t Ahead = 0; Ahead <= Class; ++Ahead) {
    for (const auto &[Name, Team] : State.Queue_.Classes_[Ahead].Teams_) {
      for (const auto &[JobKey, Id] : Team.Jobs_) {
        if (Ahead == Class && JobKey > Key)
          break;
        const JobRecord &Record = State.Jobs_.at(Id);
        SumMs += Record.TaskMs_ * static_cast<double>(Record.Ready_.size());
      }
    }
  }
  return SumMs;
}

static void queueTasks(Turn &T, JobRecord &Record) {
  const auto Count = static_cast<uint32_t>(Record.Request_.Tasks_.size());
  Record.Tasks_.assign(Count, TaskRecord{});
  Record.Results_.assign(Count, std::string{});
  Record.Done_ = 0;
  Record.Ready_.resize(Count);
  for (uint32_t Index = 0; Index < Count; ++Index)
    Record.Ready_[Index] = Count - 1 - Index;
  enqueue(T, Record);
}

void activateJob(Turn &T, JobRecord &Record) {
  Instance &State = T.State_;
  Record.Phase_ = JobPhase::Active;
  Record.ActiveAt_ = T.Now_;
  const JobRequest &Request = Record.Request_;
  if (State.Config_.Version_ == 0 || !State.KnowsDrains_) {
    failByState(T, Record, Reason::NotReady, comeBackTime(T));
    return;
  }
  const KindSpec *Kind = findKind(State.Config_.Catalogue_, Request.Kind_);
  if (const Reason Why = checkKind(Kind, Request); Why != Reason::None) {
    failByState(T, Record, Why, {});
    return;
  }
  if (Record.Deadline_ <= T.Now_) {
    failByState(T, Record, Reason::DeadlinePassed, comeBackTime(T));
    return;
  }
  Record.Class_ = Kind->Urgency_;
  Record.TaskMs_ =
      expectedRunMs(State.Estimator_, Kind->Name_, Kind->DeclaredRun_);
  const uint32_t Slots = capacityOf(State.Workers_, T.Now_).Slots_;
  Record.OrderKey_ = orderKey(Record, Slots);
  const JobDemand Demand{.Team_ = Request.Team_,
                         .Class_ = Record.Class_,
                         .Tasks_ = Request.Tasks_.size(),
                         .Bytes_ = payloadBytes(Request),
                         .TaskMs_ = Record.TaskMs_,
                         .AheadMs_ =
                             workAhead(State, Record.Class_, Record.OrderKey_),
                         .Remaining_ = Record.Deadline_ - T.Now_,
                         .TeamQuota_ = quotaHere(State, Request.Team_)};
  const auto Verdict = admit(State.Admission_, State.Options_.Admission_,
                             Demand, Slots, State.Generator_);
  if (!Verdict) {
    failByState(T, Record, Verdict.error().Reason_,
                Verdict.error().RetryAfter_);
    return;
  }
  noteAdmitted(State.Admission_, Demand);
  queueTasks(T, Record);
}

// The task counts as possibly run before its first byte can leave.
static void sendTask(Turn &T, JobRecord &Record, uint32_t WorkerIndex) {
  Instance &State = T.State_;
  const JobRequest &Request = Record.Request_;
  const uint32_t Index = Record.Ready_.back();
  Record.Ready_.pop_back();
  const uint64_t Send = State.NextSend_++;
  if (Record.PossiblyRun_ == 0)
    recordSpan(T, childOf(Record.Trace_, State.Generator_), "queue",
               "until the first task", Record.ActiveAt_);
  ++Record.PossiblyRun_;
  Record.Tasks_[Index].Phase_ = TaskPhase::Sent;
  Record.Tasks_[Index].Send_ = Send;
  ++State.Workers_.Workers_[WorkerIndex].Outstanding_;

  const KindSpec *Kind = findKind(State.Config_.Catalogue_, Request.Kind_);
  const Milliseconds MaxRun =
      Kind == nullptr ? KindSpec{}.MaxRun_ : Kind->MaxRun_;
  const SendRecord Sent{.Id_ = Request.Id_,
                        .Task_ = Index,
                        .Worker_ = WorkerIndex,
                        .SentAt_ = T.Now_,
                        .ExpiresAt_ = T.Now_ + MaxRun,
                        .Trace_ = childOf(Record.Trace_, State.Generator_)};
  State.Sends_.emplace(Send, Sent);
  State.SendExpiry_.emplace(Sent.ExpiresAt_, Send);

  const std::string &Payload = Request.Tasks_[Index];
  noteUnqueued(State.Admission_, Record.Class_, 1, Payload.size(),
               Record.TaskMs_);
  const Milliseconds Work{static_cast<int64_t>(Record.TaskMs_)};
  chargeTeam(State.Queue_, Request.Team_, Record.Class_, Work);
  if (Record.Ready_.empty())
    removeJob(State.Queue_, Request.Team_, queuedJob(Record));
  increment(State.Counters_, Counter::TasksStarted);
  T.Out_.emplace_back(SendTask{.Send_ = Send,
                               .Worker_ = WorkerIndex,
                               .Id_ = Request.Id_,
                               .Task_ = Index,
                               .Kind_ = Request.Kind_,
                               .Payload_ = Payload,
                               .TraceParent_ = formatTraceParent(Sent.Trace_)});
}

// Sends one task, of the first job that takes one of the free slots. A small
// job may prefer to wait for a faster worker while a larger one behind it does
// not. Returns whether anything has changed.
static bool dispatchOne(Turn &T) {
  Instance &State = T.State_;
  for (const JobId &Id : frontJobs(State.Queue_, DispatchDepth)) {
    JobRecord &Record = *findJob(State, Id);
    if (Record.Deadline_ <= T.Now_) {
      failByState(T, Record, Reason::DeadlinePassed, comeBackTime(T));
      return true;
    }
    const double RunMs =
        expectedRunMs(State.Estimator_, Record.Request_.Kind_, Milliseconds{1});
    const auto Chosen =
        chooseWorker(State.Workers_, State.Options_.Routing_, RunMs,
                     Record.Ready_.size(), State.Generator_, T.Now_);
    if (!Chosen)
      continue;
    sendTask(T, Record, *Chosen);
    return true;
  }
  return false;
}

void dispatchTasks(Turn &T) {
  while (dispatchOne(T)) {
  }
}

static void takeResult(Turn &T, JobRecord &Record, const SendRecord &Sent,
                       const TaskFinished &Finished) {
  Instance &State = T.State_;
  Worker &Ran = State.Workers_.Workers_[Sent.Worker_];
  const std::string &Kind = Record.Request_.Kind_;
  increment(State.Counters_, Counter::TasksCompleted);
  observeRun(State.Estimator_, State.Options_.Routing_, Kind, Ran.Speed_,
             T.Now_ - Sent.SentAt_);
  observeSuccess(State.Estimator_, State.Options_.Routing_, Kind, true);
  praiseWorker(State.Workers_, Sent.Worker_);
  earnRetry(State.RetryBudget_, State.Options_.Retry_);
  noteDone(State.Admission_, Record.Request_.Team_, 1);
  Record.Tasks_[Sent.Task_].Phase_ = TaskPhase::Done;
  Record.Results_[Sent.Task_] = Finished.Body_;
  ++Record.Done_;
  if (Record.Done_ == Record.Tasks_.size())
    completeJob(T, Record);
}

static void blame(Turn &T, const JobRecord &Record, uint32_t WorkerIndex) {
  Instance &State = T.State_;
  const double Rate = successRate(State.Estimator_, Record.Request_.Kind_);
  const Verdict Result = blameWorker(State.Workers_, State.Options_.Routing_,
                                     WorkerIndex, Rate, T.Now_);
  if (Result == Verdict::Kept)
    return;
  increment(State.Counters_, Counter::WorkersEjected);
  T.Out_.emplace_back(
      LogChange{"worker " + State.Workers_.Workers_[WorkerIndex].Spec_.Name_ +
                " ejected for failing tasks"});
}

static void takeFailure(Turn &T, JobRecord &Record, const SendRecord &Sent,
                        TaskResult Result) {
  Instance &State = T.State_;
  const bool IsLost = Result == TaskResult::Lost;
  increment(State.Counters_,
            IsLost ? Counter::TasksLost : Counter::TasksFailed);
  blame(T, Record, Sent.Worker_);
  if (!IsLost)
    observeSuccess(State.Estimator_, State.Options_.Routing_,
                   Record.Request_.Kind_, false);
  failByState(T, Record, IsLost ? Reason::TaskLost : Reason::TaskFailed, {});
}

static Milliseconds pauseAfter(Turn &T, TaskResult Result) {
  Instance &State = T.State_;
  const RoutingOptions &Options = State.Options_.Routing_;
  if (Result == TaskResult::NotConnected)
    return Options.ConnectPause_;
  if (spendRetry(State.RetryBudget_, State.Options_.Retry_))
    return Options.RefusalPause_;
  increment(State.Counters_, Counter::RetriesDenied);
  return Options.DeniedPause_;
}

static void pauseWorker(Turn &T, uint32_t WorkerIndex, TaskResult Result) {
  Worker &Refused = T.State_.Workers_.Workers_[WorkerIndex];
  if (Result == TaskResult::RefusedLeaving) {
    if (T.Now_ >= Refused.LeavingUntil_)
      T.Out_.emplace_back(
          LogChange{"worker " + Refused.Spec_.Name_ + " says it is leaving"});
    Refused.LeavingUntil_ = T.Now_ + T.State_.Options_.Routing_.LeavingPause_;
    return;
  }
  if (Result == TaskResult::Refused)
    lowerCeiling(Refused);
  Refused.PausedUntil_ = T.Now_ + pauseAfter(T, Result);
}

// Provably not run: the task may be offered to a worker again.
static void takeRefusal(Turn &T, JobRecord &Record, const SendRecord &Sent,
                        TaskResult Result) {
  Instance &State = T.State_;
  increment(State.Counters_, Counter::TasksRefused);
  pauseWorker(T, Sent.Worker_, Result);
  --Record.PossiblyRun_;
  TaskRecord &Task = Record.Tasks_[Sent.Task_];
  Task.Phase_ = TaskPhase::Waiting;
  ++Task.Refusals_;
  noteRequeued(State.Admission_, Record.Class_,
               Record.Request_.Tasks_[Sent.Task_].size(), Record.TaskMs_);
  Record.Ready_.push_back(Sent.Task_);
  const RetryOptions &Retry = State.Options_.Retry_;
  if (!Retry.IsUnlimited_ && Task.Refusals_ > Retry.MaxPerTask_) {
    failByState(T, Record, Reason::RetriesExhausted, comeBackTime(T));
    return;
  }
  increment(State.Counters_, Counter::RetriesSpent);
  enqueue(T, Record);
}

void finishTask(Turn &T, const TaskFinished &Finished) {
  Instance &State = T.State_;
  const auto Found = State.Sends_.find(Finished.Send_);
  if (Found == State.Sends_.end()) {
    increment(State.Counters_, Counter::LateAnswers);
    return;
  }
  const SendRecord Sent = Found->second;
  State.SendExpiry_.erase({Sent.ExpiresAt_, Finished.Send_});
  State.Sends_.erase(Found);
  Worker &Ran = State.Workers_.Workers_[Sent.Worker_];
  --Ran.Outstanding_;
  recordSpan(T, Sent.Trace_, "task", Ran.Spec_.Name_, Sent.SentAt_);
  JobRecord &Record = *findJob(State, Sent.Id_);
  switch (Finished.Result_) {
  case TaskResult::Succeeded:
    takeResult(T, Record, Sent, Finished);
    return;
  case TaskResult::Failed:
  case TaskResult::Lost:
    takeFailure(T, Record, Sent, Finished.Result_);
    return;
  case TaskResult::Refused:
  case TaskResult::RefusedLeaving:
  case TaskResult::NotConnected:
    takeRefusal(T, Record, Sent, Finished.Result_);
    return;
  }
}

void expireSends(Turn &T) {
  Instance &State = T.State_;
  while (!State.SendExpiry_.empty()) {
    const auto [ExpiresAt, Send] = *State.SendExpiry_.begin();
    if (ExpiresAt > T.Now_)
      return;
    T.Out_.emplace_back(AbortTask{Send});
    finishTask(T, {.Send_ = Send, .Result_ = TaskResult::Lost, .Body_ = {}});
  }
}

void abandonTasks(Turn &T, JobRecord &Record) {
  Instance &State = T.State_;
  removeJob(State.Queue_, Record.Request_.Team_, queuedJob(Record));
  std::size_t WaitingBytes = 0;
  for (const uint32_t Index : Record.Ready_)
    WaitingBytes += Record.Request_.Tasks_[Index].size();
  noteUnqueued(State.Admission_, Record.Class_, Record.Ready_.size(),
               WaitingBytes, Record.TaskMs_);
  increment(State.Counters_, Counter::TasksDropped, Record.Ready_.size());
  noteDone(State.Admission_, Record.Request_.Team_,
           Record.Tasks_.size() - Record.Done_);
  for (const TaskRecord &Task : Record.Tasks_) {
    if (Task.Phase_ != TaskPhase::Sent)
      continue;
    const auto Found = State.Sends_.find(Task.Send_);
    if (Found == State.Sends_.end())
      continue;
    --State.Workers_.Workers_[Found->second.Worker_].Outstanding_;
    State.SendExpiry_.erase({Found->second.ExpiresAt_, Task.Send_});
    State.Sends_.erase(Found);
    T.Out_.emplace_back(AbortTask{Task.Send_});
  }
  Record.Tasks_.clear();
  Record.Ready_.clear();
  Record.Results_.clear();
}

} // namespace marjorambend::internal
