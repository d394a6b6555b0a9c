/// \file
/// \brief Jobs at their origin, the instance that accepted them from callers.

#include "marjorambend/src/Fleet/OriginStep.h"

#include <algorithm>
#include <map>
#include <utility>

namespace marjorambend::internal {

// Number of attempts to skip after RunEnd::Superseded. A worker rejects an
// attempt unless its number is above those it has ended; another origin may
// have used a few before the caller resubmitted the job here.
static constexpr uint32_t SkippedAttempts = 3;

// Used if the caller gives no timeout, and upper bound of the given ones.
static constexpr Milliseconds MaxCallerTimeout{60'000};

// Longer run times are reported as this, so that the percentage cannot
// overflow.
static constexpr int64_t MaxReportedRun = 86'400'000;

OriginJob *findJob(FleetInstance &State, uint64_t Number) {
  const auto Found = State.Jobs_.find(Number);
  return Found == State.Jobs_.end() ? nullptr : &Found->second;
}

void answerJob(FleetStepContext &Ctx, OriginJob &Job, JobOutcome Outcome,
               std::string_view Why, Milliseconds RetryAfter) {
  Job.IsAnswered_ = true;
  const bool IsServed = Outcome == JobOutcome::Completed;
  const auto Index = static_cast<std::size_t>(Outcome);
  const Milliseconds Latency = Ctx.Now_ - Job.ArrivedAt_;
  observe(Ctx.State_.Times_.Answers_[Index], Latency);
  observe(Ctx.State_.Times_.ByRoute_[Job.Route_.Name_][Index], Latency);
  log(Ctx, "answer", Job.Submission_.Id_,
      {{"outcome", nameOf(Outcome)},
       {"why", std::string(Why)},
       {"route", Job.Route_.Name_},
       {"config", std::to_string(Ctx.State_.Config_.Version_)},
       {"took_ms", toString(Latency)},
       {"objective_ms", toString(Job.ObjectiveAt_ - Job.ArrivedAt_)},
       {"done", std::to_string(Job.DoneTasks_)},
       {"tasks", std::to_string(Job.Tasks_.size())}},
      !IsServed);
  for (const uint64_t Token : Job.Tokens_) {
    Ctx.State_.JobByToken_.erase(Token);
    Ctx.Out_.push_back(AnswerJob{Token, Outcome, RetryAfter});
  }
  Job.Tokens_.clear();
}

void removeJob(FleetStepContext &Ctx, const OriginJob &Job) {
  FleetInstance &State = Ctx.State_;
  State.GiveUpTimes_.erase({Job.GiveUpAt_, Job.Number_});
  const auto Id = State.JobById_.find(Job.Submission_.Id_);
  if (Id != State.JobById_.end() && Id->second == Job.Number_)
    State.JobById_.erase(Id);
  State.Jobs_.erase(Job.Number_);
}

void stopJob(FleetStepContext &Ctx, OriginJob &Job) {
  bool HasWaiting = false;
  for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    OriginTask &Task = Job.Tasks_[Index];
    if (Task.Phase_ == OriginTaskPhase::Waiting) {
      HasWaiting = true;
      Task.Phase_ = OriginTaskPhase::Dropped;
    } else if (Task.Phase_ == OriginTaskPhase::Dispatched) {
      sendMessage(Ctx, Task.Holder_,
                  StopOrder{.Run_ = {Job.Submission_.Id_, Index, Task.Attempt_},
                            .Worker_ = Task.Worker_});
    }
  }
  if (HasWaiting)
    sendMessage(Ctx, Job.Placer_, PlaceWithdraw{Job.Number_});
  if (!hasDispatchedTasks(Job))
    removeJob(Ctx, Job);
}

void giveUpJob(FleetStepContext &Ctx, OriginJob &Job, std::string_view Why,
               Milliseconds RetryAfter) {
  // Its caller would only resubmit it.
  if (exceedsCrashBudget(Ctx.State_, Job)) {
    failCrashingJob(Ctx, Job);
    return;
  }
  const JobOutcome Outcome =
      mayHaveRun(Job) ? JobOutcome::MayHaveRun : JobOutcome::NotRun;
  answerJob(Ctx, Job, Outcome, Why, RetryAfter);
  stopJob(Ctx, Job);
}

void sendPlaceRequest(FleetStepContext &Ctx, OriginJob &Job,
                      std::vector<uint32_t> Tasks, bool IsSuspect) {
  const JobSubmission &Submission = Job.Submission_;
  sendMessage(Ctx, Job.Placer_,
              PlaceRequest{.Job_ = Job.Number_,
                           .Id_ = Submission.Id_,
                           .Route_ = Job.Route_.Name_,
                           .Service_ = Job.Route_.Service_,
                           .Tasks_ = std::move(Tasks),
                           .Needs_ = Submission.Needs_,
                           .Estimate_ = Submission.Estimate_,
                           .Priority_ = Job.Route_.Priority_,
                           .ObjectiveIn_ = Job.ObjectiveAt_ - Ctx.Now_,
                           .GiveUpIn_ = Job.GiveUpAt_ - Ctx.Now_,
                           .Label_ = Submission.Label_,
                           .DataRack_ = Submission.DataRack_,
                           .MaxPerWorker_ = Submission.MaxPerWorker_,
                           .Avoid_ = Job.UnreachableHolders_,
                           .IsStarted_ = mayHaveRun(Job),
                           .IsSuspect_ = IsSuspect});
}

void requestWorkers(FleetStepContext &Ctx, OriginJob &Job,
                    const std::vector<uint32_t> &Tasks) {
  Job.Placer_ = Ctx.State_.Placer_;
  std::vector<uint32_t> Suspects;
  std::vector<uint32_t> Others;
  for (const uint32_t Task : Tasks) {
    const bool IsSuspectTask = isSuspect(Ctx.State_, Job, Task);
    (IsSuspectTask ? Suspects : Others).push_back(Task);
    Job.Tasks_[Task].IsHeldBack_ = IsSuspectTask;
  }
  if (!Others.empty())
    sendPlaceRequest(Ctx, Job, std::move(Others), false);
  if (!Suspects.empty())
    requestHeldBackTasks(Ctx, Job);
}

std::vector<uint32_t> waitingTasks(const OriginJob &Job) {
  std::vector<uint32_t> Waiting;
  for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    const OriginTask &Task = Job.Tasks_[Index];
    if (Task.Phase_ == OriginTaskPhase::Waiting && !Task.IsHeldBack_)
      Waiting.push_back(Index);
  }
  return Waiting;
}

static void rejectSubmission(FleetStepContext &Ctx,
                             const JobSubmission &Submission,
                             JobOutcome Outcome, std::string_view Why,
                             Milliseconds RetryAfter = {}) {
  log(Ctx, "answer", Submission.Id_,
      {{"outcome", nameOf(Outcome)},
       {"why", std::string(Why)},
       {"config", std::to_string(Ctx.State_.Config_.Version_)}},
      true);
  Ctx.Out_.push_back(AnswerJob{Submission.Token_, Outcome, RetryAfter});
}

// A resubmission of an open job joins it; one of a job whose runs are still
// being stopped is rejected and may be retried.
static bool joinJob(FleetStepContext &Ctx, const JobSubmission &Submission) {
  const auto Known = Ctx.State_.JobById_.find(Submission.Id_);
  if (Known == Ctx.State_.JobById_.end())
    return false;
  OriginJob &Job = Ctx.State_.Jobs_.at(Known->second);
  if (Job.IsAnswered_) {
    rejectSubmission(Ctx, Submission, JobOutcome::NotRun,
                     "earlier runs are being stopped",
                     Ctx.State_.Options_.Placer_.Retry_.MinRetryAfter_);
    return true;
  }
  log(Ctx, "joined", Submission.Id_,
      {{"age_ms", toString(Ctx.Now_ - Job.ArrivedAt_)}});
  Job.Tokens_.push_back(Submission.Token_);
  Ctx.State_.JobByToken_[Submission.Token_] = Job.Number_;
  return true;
}

static Milliseconds giveUpTime(const JobSubmission &Submission,
                               Milliseconds Now) {
  Milliseconds CallerTimeout = MaxCallerTimeout;
  if (Submission.CallerTimeout_.Count_ > 0)
    CallerTimeout = std::min(CallerTimeout, Submission.CallerTimeout_);
  return Now + CallerTimeout;
}

// Whether jobs wait for the first configuration.
static bool awaitsConfig(const FleetStepContext &Ctx) {
  const FleetInstance &State = Ctx.State_;
  return State.Config_.Version_ == 0 &&
         Ctx.Now_ - State.StartedAt_ < State.Options_.ConfigWait_;
}

void submitJob(FleetStepContext &Ctx, JobSubmission Submission) {
  FleetInstance &State = Ctx.State_;
  if (awaitsConfig(Ctx)) {
    State.EarlyJobs_.emplace_back(Ctx.Now_, std::move(Submission));
    return;
  }
  increment(State.Counters_, Counter::JobsSubmitted);
  if (State.Config_.Version_ == 0) {
    rejectSubmission(Ctx, Submission, JobOutcome::NotRun,
                     "no configuration yet",
                     State.Options_.Placer_.Retry_.MinRetryAfter_);
    return;
  }
  if (Ctx.Now_ < State.PauseSettledAt_) {
    rejectSubmission(Ctx, Submission, JobOutcome::NotRun, "just after a pause",
                     State.Options_.Placer_.Retry_.MinRetryAfter_);
    return;
  }
  const bool IsRejecting =
      State.IsStopping_ &&
      Ctx.Now_ - State.StoppingSince_ >= State.Options_.StopGracePeriod_;
  if (IsRejecting) {
    rejectSubmission(Ctx, Submission, JobOutcome::NotRun, "the instance stops",
                     State.Options_.Placer_.Retry_.MinRetryAfter_);
    return;
  }
  const Route *MatchedRoute =
      findRoute(State.Config_, Submission.Host_, Submission.Path_);
  if (MatchedRoute == nullptr) {
    rejectSubmission(Ctx, Submission, JobOutcome::NoSuchRoute, "no such route");
    return;
  }
  if (MatchedRoute->NeedsApproval_) {
    rejectSubmission(Ctx, Submission, JobOutcome::NotSupported,
                     "the route needs advice",
                     State.Options_.Placer_.Retry_.MaxRetryAfter_);
    return;
  }
  if (joinJob(Ctx, Submission))
    return;
  if (!tasksOverCrashBudget(State, Submission.Id_).empty()) {
    increment(State.Counters_, Counter::JobsCrashing);
    rejectSubmission(Ctx, Submission, JobOutcome::Failed,
                     "a task crashes its workers");
    return;
  }
  const uint64_t Number = State.NextJobNumber_++;
  OriginJob &Job = State.Jobs_[Number];
  Job.Number_ = Number;
  Job.Route_ = *MatchedRoute;
  Job.ArrivedAt_ = Ctx.Now_;
  Job.GiveUpAt_ = giveUpTime(Submission, Ctx.Now_);
  const auto Ideal =
      static_cast<int64_t>(static_cast<double>(Submission.Estimate_.Count_) *
                           MatchedRoute->StretchFactor_);
  Job.ObjectiveAt_ =
      Ctx.Now_ + Milliseconds{Ideal} + MatchedRoute->TargetLatency_;
  Job.Tasks_.resize(Submission.Tasks_);
  Job.Tokens_ = {Submission.Token_};
  Job.Submission_ = std::move(Submission);
  State.JobByToken_[Job.Submission_.Token_] = Number;
  State.JobById_[Job.Submission_.Id_] = Number;
  State.GiveUpTimes_.insert({Job.GiveUpAt_, Number});
  log(Ctx, "taken", Job.Submission_.Id_,
      {{"route", Job.Route_.Name_},
       {"config", std::to_string(State.Config_.Version_)},
       {"tasks", std::to_string(Job.Tasks_.size())},
       {"cores_m", std::to_string(Job.Submission_.Needs_.MilliCores_)},
       {"estimate_ms", toString(Job.Submission_.Estimate_)},
       {"patience_ms", toString(Job.GiveUpAt_ - Ctx.Now_)},
       {"objective_ms", toString(Job.ObjectiveAt_ - Ctx.Now_)}});
  requestWorkers(Ctx, Job, waitingTasks(Job));
}

void reviewEarlyJobs(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  if (awaitsConfig(Ctx))
    return;
  for (auto &[ArrivedAt, Submission] : std::exchange(State.EarlyJobs_, {})) {
    // Of the caller's time, only the rest is left.
    if (Submission.CallerTimeout_.Count_ > 0)
      Submission.CallerTimeout_ = std::max(
          Submission.CallerTimeout_ - (Ctx.Now_ - ArrivedAt), Milliseconds{1});
    submitJob(Ctx, std::move(Submission));
  }
}

void abandonJob(FleetStepContext &Ctx, uint64_t Token) {
  FleetInstance &State = Ctx.State_;
  std::erase_if(State.EarlyJobs_, [Token](const auto &Entry) {
    return Entry.second.Token_ == Token;
  });
  const auto Found = State.JobByToken_.find(Token);
  if (Found == State.JobByToken_.end())
    return;
  OriginJob &Job = State.Jobs_.at(Found->second);
  State.JobByToken_.erase(Found);
  std::erase(Job.Tokens_, Token);
  if (!Job.Tokens_.empty())
    return;
  increment(State.Counters_, Counter::JobsCancelled);
  answerJob(Ctx, Job, JobOutcome::Cancelled, "the caller has left");
  stopJob(Ctx, Job);
}

static bool cancelEarlyJobs(FleetStepContext &Ctx, uint64_t Id) {
  const std::size_t Cancelled =
      std::erase_if(Ctx.State_.EarlyJobs_, [&Ctx, Id](const auto &Entry) {
        const JobSubmission &Submission = Entry.second;
        if (Submission.Id_ != Id)
          return false;
        rejectSubmission(Ctx, Submission, JobOutcome::Cancelled, "cancelled");
        return true;
      });
  return Cancelled > 0;
}

bool cancelJob(FleetStepContext &Ctx, uint64_t Id) {
  const bool WasEarly = cancelEarlyJobs(Ctx, Id);
  const auto Found = Ctx.State_.JobById_.find(Id);
  if (Found == Ctx.State_.JobById_.end())
    return WasEarly;
  OriginJob &Job = Ctx.State_.Jobs_.at(Found->second);
  if (Job.IsAnswered_)
    return WasEarly;
  increment(Ctx.State_.Counters_, Counter::JobsCancelled);
  answerJob(Ctx, Job, JobOutcome::Cancelled, "cancelled");
  stopJob(Ctx, Job);
  return true;
}

// Start orders of one job; each holder gets one order, so that the task
// specification is sent only once.
using StartOrdersByHolder = std::map<Incarnation, StartOrder>;

static void addStartOrder(FleetStepContext &Ctx, OriginJob &Job,
                          const Placement &Place, Incarnation Placer,
                          StartOrdersByHolder &Orders) {
  OriginTask &Task = Job.Tasks_[Place.Task_];
  Task.Phase_ = OriginTaskPhase::Dispatched;
  Task.Worker_ = Place.Worker_;
  Task.Holder_ = Place.Holder_;
  Task.Placer_ = Placer;
  ++Task.Attempt_;
  observe(Ctx.State_.Times_.Placing_, Ctx.Now_ - Job.ArrivedAt_);
  log(Ctx, "placed", Job.Submission_.Id_,
      {{"task", std::to_string(Place.Task_)},
       {"attempt", std::to_string(Task.Attempt_)},
       {"worker", Place.Worker_},
       {"free_m", std::to_string(Place.FreeMilliCores_)},
       {"view_age_ms", toString(Place.ViewAge_)},
       {"waited_ms", toString(Ctx.Now_ - Job.ArrivedAt_)}});
  Orders[Place.Holder_].Runs_.push_back(
      {.Run_ = {Job.Submission_.Id_, Place.Task_, Task.Attempt_},
       .Worker_ = Place.Worker_});
}

static void sendStartOrders(FleetStepContext &Ctx, const OriginJob &Job,
                            StartOrdersByHolder &&Orders) {
  for (auto &[Holder, Order] : Orders) {
    Order.Job_ = Job.Number_;
    Order.Needs_ = Job.Submission_.Needs_;
    Order.Estimate_ = Job.Submission_.Estimate_;
    Order.Spec_ = Job.Submission_.Spec_;
    Order.MaxPerWorker_ = Job.Submission_.MaxPerWorker_;
    sendMessage(Ctx, Holder, std::move(Order));
  }
}

bool isReachable(const FleetInstance &State, Incarnation Run) {
  return Run == State.Self_.Run_ || State.Members_.contains(Run);
}

// Excludes the holder from further requests; otherwise the placer might choose
// its workers again and again.
static void addUnreachableHolder(OriginJob &Job, Incarnation Holder) {
  if (std::find(Job.UnreachableHolders_.begin(), Job.UnreachableHolders_.end(),
                Holder) == Job.UnreachableHolders_.end())
    Job.UnreachableHolders_.push_back(Holder);
}

void handlePlaced(FleetStepContext &Ctx, Incarnation From,
                  const Placed &Message) {
  OriginJob *Job = findJob(Ctx.State_, Message.Job_);
  // Crashes may have become known while the tasks waited.
  if (Job != nullptr && !Job->IsAnswered_ &&
      exceedsCrashBudget(Ctx.State_, *Job)) {
    failCrashingJob(Ctx, *Job);
    Job = findJob(Ctx.State_, Message.Job_);
  }
  std::vector<uint32_t> Retried;
  StartOrdersByHolder Orders;
  for (const Placement &Place : Message.Tasks_) {
    const bool IsWanted =
        Job != nullptr && !Job->IsAnswered_ &&
        Place.Task_ < Job->Tasks_.size() && Job->Placer_ == From &&
        Job->Tasks_[Place.Task_].Phase_ == OriginTaskPhase::Waiting;
    if (IsWanted && isReachable(Ctx.State_, Place.Holder_)) {
      addStartOrder(Ctx, *Job, Place, From, Orders);
      continue;
    }
    if (IsWanted) {
      Retried.push_back(Place.Task_);
      addUnreachableHolder(*Job, Place.Holder_);
    }
    sendMessage(Ctx, From,
                PlaceRelease{Message.Job_, Place.Task_, RunEnd::NotStarted,
                             Place.Worker_});
  }
  if (!Orders.empty())
    sendStartOrders(Ctx, *Job, std::move(Orders));
  if (!Retried.empty())
    requestWorkers(Ctx, *Job, Retried);
}

void handlePlaceRefused(FleetStepContext &Ctx, const PlaceRefused &Refused) {
  OriginJob *Job = findJob(Ctx.State_, Refused.Job_);
  if (Job == nullptr || Job->IsAnswered_)
    return;
  increment(Ctx.State_.Counters_, Counter::AnswersNotRun);
  giveUpJob(Ctx, *Job, "cannot be served in time", Refused.RetryAfter_);
}

static bool answerIfDecided(FleetStepContext &Ctx, OriginJob &Job,
                            uint32_t Index, RunEnd End) {
  OriginTask &Task = Job.Tasks_[Index];
  if (End == RunEnd::Done) {
    Task.Phase_ = OriginTaskPhase::Done;
    ++Job.DoneTasks_;
    if (Job.DoneTasks_ < Job.Tasks_.size())
      return false;
    increment(Ctx.State_.Counters_, Counter::AnswersComplete);
    answerJob(Ctx, Job, JobOutcome::Completed, "all tasks are done");
    removeJob(Ctx, Job);
    return true;
  }
  if (End == RunEnd::Failed && ++Task.Failures_ >= Job.Route_.MaxAttempts_) {
    Task.Phase_ = OriginTaskPhase::Dropped;
    answerJob(Ctx, Job, JobOutcome::Failed, "a task has failed too often");
    stopJob(Ctx, Job);
    return true;
  }
  if (exceedsCrashBudget(Ctx.State_.Crashes_, {Job.Submission_.Id_, Index},
                         Ctx.State_.Options_.Crashes_)) {
    failCrashingJob(Ctx, Job);
    return true;
  }
  return false;
}

// 0 unless the placer learns from it.
static uint16_t ranPercent(const FleetInstance &State, const OriginJob &Job,
                           const RunEnded &Ended) {
  const int64_t Estimate = Job.Submission_.Estimate_.Count_;
  if (!State.Options_.Placer_.LearnsRunTimes_ || Ended.End_ != RunEnd::Done ||
      Estimate <= 0 || Ended.Ran_.Count_ <= 0)
    return 0;
  constexpr int64_t PerCent = 100;
  return static_cast<uint16_t>(std::clamp<int64_t>(
      std::min<int64_t>(Ended.Ran_.Count_, MaxReportedRun) * PerCent / Estimate,
      1, UINT16_MAX));
}

void handleRunEnded(FleetStepContext &Ctx, const RunEnded &Ended) {
  OriginJob *Job = findJob(Ctx.State_, Ended.Job_);
  if (Job == nullptr || Ended.Run_.Task_ >= Job->Tasks_.size())
    return;
  const uint32_t Index = Ended.Run_.Task_;
  OriginTask &Task = Job->Tasks_[Index];
  if (Task.Phase_ != OriginTaskPhase::Dispatched ||
      Task.Attempt_ != Ended.Run_.Attempt_)
    return;
  if (Ended.End_ != RunEnd::Done)
    log(Ctx, "run_ended", Job->Submission_.Id_,
        {{"task", std::to_string(Index)},
         {"attempt", std::to_string(Task.Attempt_)},
         {"worker", Ended.Worker_},
         {"end", nameOf(Ended.End_)},
         {"ran_ms", toString(Ended.Ran_)}});
  if (isReachable(Ctx.State_, Task.Placer_))
    sendMessage(
        Ctx, Task.Placer_,
        PlaceRelease{.Job_ = Job->Number_,
                     .Task_ = Index,
                     .End_ = Ended.End_,
                     .RanPercent_ = ranPercent(Ctx.State_, *Job, Ended)});
  Task.Phase_ = OriginTaskPhase::Dropped;
  // A start that was definitely rejected has not run.
  Job->HasEndedRuns_ = Job->HasEndedRuns_ || Ended.End_ != RunEnd::NotStarted;
  if (Job->IsAnswered_) {
    if (!hasDispatchedTasks(*Job))
      removeJob(Ctx, *Job);
    return;
  }
  if (answerIfDecided(Ctx, *Job, Index, Ended.End_))
    return;
  if (Task.Phase_ == OriginTaskPhase::Done) {
    requestHeldBackTasks(Ctx, *Job);
    return;
  }
  if (Ended.End_ == RunEnd::Superseded)
    Task.Attempt_ += SkippedAttempts;
  Task.Phase_ = OriginTaskPhase::Waiting;
  requestWorkers(Ctx, *Job, {Index});
  requestHeldBackTasks(Ctx, *Job);
}

void expireJobs(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  while (!State.GiveUpTimes_.empty() &&
         State.GiveUpTimes_.begin()->first <= Ctx.Now_) {
    const uint64_t Number = State.GiveUpTimes_.begin()->second;
    State.GiveUpTimes_.erase(State.GiveUpTimes_.begin());
    OriginJob *Job = findJob(State, Number);
    if (Job != nullptr && !Job->IsAnswered_)
      giveUpJob(Ctx, *Job, "the time is over",
                State.Options_.Placer_.Retry_.MinRetryAfter_);
  }
}

// The holder notices the lost session as well and stops the runs of this
// origin. Until then they may still be running, so the job is not started again
// here.
void handleHolderLoss(FleetStepContext &Ctx, Incarnation Run,
                      std::string_view Name) {
  std::vector<uint64_t> Affected;
  for (auto &[Number, Job] : Ctx.State_.Jobs_) {
    uint32_t LostTasks = 0;
    for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      OriginTask &Task = Job.Tasks_[Index];
      if (Task.Phase_ != OriginTaskPhase::Dispatched || Task.Holder_ != Run)
        continue;
      Task.Phase_ = OriginTaskPhase::Dropped;
      Job.HasEndedRuns_ = true;
      ++LostTasks;
      addOrphanedRun(Ctx, {Job.Submission_.Id_, Index}, Task.Worker_);
      if (isReachable(Ctx.State_, Task.Placer_))
        sendMessage(Ctx, Task.Placer_,
                    PlaceRelease{Number, Index, RunEnd::Lost});
    }
    if (LostTasks == 0)
      continue;
    log(Ctx, "holder_lost", Job.Submission_.Id_,
        {{"other", std::string(Name)}, {"tasks", std::to_string(LostTasks)}});
    Affected.push_back(Number);
  }
  for (const uint64_t Number : Affected) {
    OriginJob &Job = Ctx.State_.Jobs_.at(Number);
    if (!Job.IsAnswered_)
      giveUpJob(Ctx, Job, "the holder of its worker is lost", {});
    else if (!hasDispatchedTasks(Job))
      removeJob(Ctx, Job);
  }
}

void giveUpAllJobs(FleetStepContext &Ctx, std::string_view Why) {
  for (const auto &[ArrivedAt, Submission] :
       std::exchange(Ctx.State_.EarlyJobs_, {}))
    rejectSubmission(Ctx, Submission, JobOutcome::NotRun, Why,
                     Ctx.State_.Options_.Placer_.Retry_.MinRetryAfter_);
  std::vector<uint64_t> Numbers;
  for (const auto &[Number, Job] : Ctx.State_.Jobs_) {
    if (!Job.IsAnswered_)
      Numbers.push_back(Number);
  }
  for (const uint64_t Number : Numbers)
    giveUpJob(Ctx, Ctx.State_.Jobs_.at(Number), Why,
              Ctx.State_.Options_.Placer_.Retry_.MinRetryAfter_);
}

} // namespace marjorambend::internal
