#include "marjorambend/src/Instance/Step.h"
#include "marjorambend/src/Routing/Router.h"

namespace marjorambend::internal {

// Number of jobs at the front of the queue that are considered for a free slot.
static constexpr std::size_t DispatchDepth = 4;

static Milliseconds maxRunOf(const Instance &State, std::string_view Kind) {
  const KindSpec *Spec = findKind(State.Config_.Catalogue_, Kind);
  return Spec == nullptr ? KindSpec{}.MaxRun_ : Spec->MaxRun_;
}

// Removes the task from the queue and charges it to its team.
static void dequeueTask(StepContext &Ctx, JobRecord &Record, uint32_t Index) {
  Instance &State = Ctx.State_;
  const JobRequest &Request = Record.Request_;
  Record.Ready_.pop_back();
  recordDequeued(State.Admission_, Record.Class_, 1,
                 Request.Tasks_[Index].size(), Record.TaskMs_);
  const Milliseconds Work{static_cast<int64_t>(Record.TaskMs_)};
  chargeTeam(State.Queue_, Request.Team_, Record.Class_, Work);
  if (Record.Ready_.empty())
    removeJob(State.Queue_, Request.Team_, queuedJob(Record));
}

// Counts the task as possibly run before its first byte is sent.
static SendRecord recordSent(StepContext &Ctx, JobRecord &Record,
                             uint32_t Index, uint32_t WorkerIndex,
                             uint64_t Send) {
  Instance &State = Ctx.State_;
  const Milliseconds MaxRun = maxRunOf(State, Record.Request_.Kind_);
  ++Record.PossiblyRun_;
  Record.Tasks_[Index].Phase_ = TaskPhase::Sent;
  Record.Tasks_[Index].Send_ = Send;
  ++State.Workers_.Workers_[WorkerIndex].Outstanding_;
  const SendRecord Sent{.Id_ = Record.Request_.Id_,
                        .Task_ = Index,
                        .Worker_ = WorkerIndex,
                        .SentAt_ = Ctx.Now_,
                        .ExpiresAt_ = Ctx.Now_ + MaxRun,
                        .Trace_ = childOf(Record.Trace_, State.Generator_)};
  State.Sends_.emplace(Send, Sent);
  State.SendExpiry_.emplace(Sent.ExpiresAt_, Send);
  increment(State.Counters_, Counter::TasksStarted);
  return Sent;
}

static void sendTask(StepContext &Ctx, JobRecord &Record,
                     uint32_t WorkerIndex) {
  Instance &State = Ctx.State_;
  const uint32_t Index = Record.Ready_.back();
  const uint64_t Send = State.NextSend_++;
  if (Record.PossiblyRun_ == 0)
    recordSpan(Ctx, childOf(Record.Trace_, State.Generator_), "queue",
               "until the first task", Record.ActiveAt_);
  const SendRecord Sent = recordSent(Ctx, Record, Index, WorkerIndex, Send);
  dequeueTask(Ctx, Record, Index);
  Ctx.Out_.emplace_back(
      SendTask{.Send_ = Send,
               .Worker_ = WorkerIndex,
               .Id_ = Sent.Id_,
               .Task_ = Index,
               .Kind_ = Record.Request_.Kind_,
               .Payload_ = Record.Request_.Tasks_[Index],
               .TraceParent_ = formatTraceParent(Sent.Trace_)});
}

// Sends one task of the first queued job for which chooseWorker() returns a
// worker. A small job may wait for a faster worker while a larger job behind it
// uses a slower one. Returns whether the state has changed.
static bool dispatchOne(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  for (const JobId &Id : frontJobs(State.Queue_, DispatchDepth)) {
    JobRecord &Record = *findJob(State, Id);
    if (Record.Deadline_ <= Ctx.Now_) {
      failByState(Ctx, Record, Reason::DeadlinePassed, computeRetryAfter(Ctx));
      return true;
    }
    const double RunMs =
        expectedRunMs(State.Estimator_, Record.Request_.Kind_, Milliseconds{1});
    const auto Chosen =
        chooseWorker(State.Workers_, State.Options_.Routing_, RunMs,
                     Record.Ready_.size(), State.Generator_, Ctx.Now_);
    if (!Chosen)
      continue;
    sendTask(Ctx, Record, *Chosen);
    return true;
  }
  return false;
}

void dispatchTasks(StepContext &Ctx) {
  while (dispatchOne(Ctx)) {
  }
}

static void handleSuccess(StepContext &Ctx, JobRecord &Record,
                          const SendRecord &Sent,
                          const TaskFinished &Finished) {
  Instance &State = Ctx.State_;
  Worker &Ran = State.Workers_.Workers_[Sent.Worker_];
  const std::string &Kind = Record.Request_.Kind_;
  increment(State.Counters_, Counter::TasksCompleted);
  observeRun(State.Estimator_, State.Options_.Routing_, Kind, Ran.Speed_,
             Ctx.Now_ - Sent.SentAt_);
  observeSuccess(State.Estimator_, State.Options_.Routing_, Kind, true);
  recordSuccess(State.Workers_, Sent.Worker_);
  earnRetry(State.RetryBudget_, State.Options_.Retry_);
  recordDone(State.Admission_, Record.Request_.Team_, 1);
  Record.Tasks_[Sent.Task_].Phase_ = TaskPhase::Done;
  Record.Results_[Sent.Task_] = Finished.Body_;
  ++Record.Done_;
  if (Record.Done_ == Record.Tasks_.size())
    completeJob(Ctx, Record);
}

static void recordTaskFailure(StepContext &Ctx, const JobRecord &Record,
                              uint32_t WorkerIndex) {
  Instance &State = Ctx.State_;
  const double Rate = successRate(State.Estimator_, Record.Request_.Kind_);
  const EjectionResult Result = recordFailure(
      State.Workers_, State.Options_.Routing_, WorkerIndex, Rate, Ctx.Now_);
  if (Result == EjectionResult::Kept)
    return;
  increment(State.Counters_, Counter::WorkersEjected);
  Ctx.Out_.emplace_back(
      LogChange{"worker " + State.Workers_.Workers_[WorkerIndex].Spec_.Name_ +
                " ejected for failing tasks"});
}

static void handleFailure(StepContext &Ctx, JobRecord &Record,
                          const SendRecord &Sent, TaskResult Result) {
  Instance &State = Ctx.State_;
  const bool IsLost = Result == TaskResult::Lost;
  increment(State.Counters_,
            IsLost ? Counter::TasksLost : Counter::TasksFailed);
  recordTaskFailure(Ctx, Record, Sent.Worker_);
  if (!IsLost)
    observeSuccess(State.Estimator_, State.Options_.Routing_,
                   Record.Request_.Kind_, false);
  failByState(Ctx, Record, IsLost ? Reason::TaskLost : Reason::TaskFailed, {});
}

static Milliseconds pauseAfter(StepContext &Ctx, TaskResult Result) {
  Instance &State = Ctx.State_;
  const RoutingOptions &Options = State.Options_.Routing_;
  if (Result == TaskResult::NotConnected)
    return Options.ConnectPause_;
  if (spendRetry(State.RetryBudget_, State.Options_.Retry_))
    return Options.RefusalPause_;
  increment(State.Counters_, Counter::RetriesDenied);
  return Options.DeniedPause_;
}

static void pauseWorker(StepContext &Ctx, uint32_t WorkerIndex,
                        TaskResult Result) {
  Worker &Refused = Ctx.State_.Workers_.Workers_[WorkerIndex];
  if (Result == TaskResult::RefusedLeaving) {
    if (Ctx.Now_ >= Refused.LeavingUntil_)
      Ctx.Out_.emplace_back(
          LogChange{"worker " + Refused.Spec_.Name_ + " says it is leaving"});
    Refused.LeavingUntil_ =
        Ctx.Now_ + Ctx.State_.Options_.Routing_.LeavingPause_;
    return;
  }
  if (Result == TaskResult::Refused)
    lowerConcurrencyLimit(Refused);
  Refused.PausedUntil_ = Ctx.Now_ + pauseAfter(Ctx, Result);
}

// The task was provably not run, so it is queued again.
static void handleRefusal(StepContext &Ctx, JobRecord &Record,
                          const SendRecord &Sent, TaskResult Result) {
  Instance &State = Ctx.State_;
  increment(State.Counters_, Counter::TasksRefused);
  pauseWorker(Ctx, Sent.Worker_, Result);
  --Record.PossiblyRun_;
  TaskRecord &Task = Record.Tasks_[Sent.Task_];
  Task.Phase_ = TaskPhase::Waiting;
  ++Task.Refusals_;
  recordRequeued(State.Admission_, Record.Class_,
                 Record.Request_.Tasks_[Sent.Task_].size(), Record.TaskMs_);
  Record.Ready_.push_back(Sent.Task_);
  const RetryOptions &Retry = State.Options_.Retry_;
  if (!Retry.IsUnlimited_ && Task.Refusals_ > Retry.MaxPerTask_) {
    failByState(Ctx, Record, Reason::RetriesExhausted, computeRetryAfter(Ctx));
    return;
  }
  increment(State.Counters_, Counter::RetriesSpent);
  enqueueJob(Ctx, Record);
}

void finishTask(StepContext &Ctx, const TaskFinished &Finished) {
  Instance &State = Ctx.State_;
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
  recordSpan(Ctx, Sent.Trace_, "task", Ran.Spec_.Name_, Sent.SentAt_);
  JobRecord &Record = *findJob(State, Sent.Id_);
  switch (Finished.Result_) {
  case TaskResult::Succeeded:
    handleSuccess(Ctx, Record, Sent, Finished);
    return;
  case TaskResult::Failed:
  case TaskResult::Lost:
    handleFailure(Ctx, Record, Sent, Finished.Result_);
    return;
  case TaskResult::Refused:
  case TaskResult::RefusedLeaving:
  case TaskResult::NotConnected:
    handleRefusal(Ctx, Record, Sent, Finished.Result_);
    return;
  }
}

void expireSends(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  while (!State.SendExpiry_.empty()) {
    const auto [ExpiresAt, Send] = *State.SendExpiry_.begin();
    if (ExpiresAt > Ctx.Now_)
      return;
    Ctx.Out_.emplace_back(AbortTask{Send});
    finishTask(Ctx, {.Send_ = Send, .Result_ = TaskResult::Lost, .Body_ = {}});
  }
}

void abandonTasks(StepContext &Ctx, JobRecord &Record) {
  Instance &State = Ctx.State_;
  removeJob(State.Queue_, Record.Request_.Team_, queuedJob(Record));
  std::size_t WaitingBytes = 0;
  for (const uint32_t Index : Record.Ready_)
    WaitingBytes += Record.Request_.Tasks_[Index].size();
  recordDequeued(State.Admission_, Record.Class_, Record.Ready_.size(),
                 WaitingBytes, Record.TaskMs_);
  increment(State.Counters_, Counter::TasksDropped, Record.Ready_.size());
  recordDone(State.Admission_, Record.Request_.Team_,
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
    Ctx.Out_.emplace_back(AbortTask{Task.Send_});
  }
  Record.Tasks_.clear();
  Record.Ready_.clear();
  Record.Results_.clear();
}

} // namespace marjorambend::internal
