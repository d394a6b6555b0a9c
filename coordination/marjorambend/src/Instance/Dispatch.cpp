#include "marjorambend/src/Instance/Step.h"
#include "marjorambend/src/Routing/Router.h"

namespace marjorambend::internal {

// Number of jobs that are offered a free slot in turn.
static constexpr std::size_t DispatchDepth = 4;

static Milliseconds maxRunOf(const Instance &State, std::string_view Kind) {
  const KindSpec *Spec = findKind(State.Config_.Catalogue_, Kind);
  return Spec == nullptr ? KindSpec{}.MaxRun_ : Spec->MaxRun_;
}

// Takes the task out of the queue and charges it to its team.
static void unqueueTask(Turn &T, JobRecord &Record, uint32_t Index) {
  Instance &State = T.State_;
  const JobRequest &Request = Record.Request_;
  Record.Ready_.pop_back();
  noteUnqueued(State.Admission_, Record.Class_, 1, Request.Tasks_[Index].size(),
               Record.TaskMs_);
  const Milliseconds Work{static_cast<int64_t>(Record.TaskMs_)};
  chargeTeam(State.Queue_, Request.Team_, Record.Class_, Work);
  if (Record.Ready_.empty())
    removeJob(State.Queue_, Request.Team_, queuedJob(Record));
}

// The task counts as possibly run before its first byte can leave.
static SendRecord noteSent(Turn &T, JobRecord &Record, uint32_t Index,
                           uint32_t WorkerIndex, uint64_t Send) {
  Instance &State = T.State_;
  const Milliseconds MaxRun = maxRunOf(State, Record.Request_.Kind_);
  ++Record.PossiblyRun_;
  Record.Tasks_[Index].Phase_ = TaskPhase::Sent;
  Record.Tasks_[Index].Send_ = Send;
  ++State.Workers_.Workers_[WorkerIndex].Outstanding_;
  const SendRecord Sent{.Id_ = Record.Request_.Id_,
                        .Task_ = Index,
                        .Worker_ = WorkerIndex,
                        .SentAt_ = T.Now_,
                        .ExpiresAt_ = T.Now_ + MaxRun,
                        .Trace_ = childOf(Record.Trace_, State.Generator_)};
  State.Sends_.emplace(Send, Sent);
  State.SendExpiry_.emplace(Sent.ExpiresAt_, Send);
  increment(State.Counters_, Counter::TasksStarted);
  return Sent;
}

static void sendTask(Turn &T, JobRecord &Record, uint32_t WorkerIndex) {
  Instance &State = T.State_;
  const uint32_t Index = Record.Ready_.back();
  const uint64_t Send = State.NextSend_++;
  if (Record.PossiblyRun_ == 0)
    recordSpan(T, childOf(Record.Trace_, State.Generator_), "queue",
               "until the first task", Record.ActiveAt_);
  const SendRecord Sent = noteSent(T, Record, Index, WorkerIndex, Send);
  unqueueTask(T, Record, Index);
  T.Out_.emplace_back(SendTask{.Send_ = Send,
                               .Worker_ = WorkerIndex,
                               .Id_ = Sent.Id_,
                               .Task_ = Index,
                               .Kind_ = Record.Request_.Kind_,
                               .Payload_ = Record.Request_.Tasks_[Index],
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
  enqueueJob(T, Record);
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
