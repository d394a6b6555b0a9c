/// \file
/// \brief Jobs at the instance that took them from their callers.

#include "marjorambend/src/Fleet/OriginStep.h"

#include <algorithm>
#include <map>
#include <utility>

namespace marjorambend::internal {

// A worker refuses an attempt that is not above those it has ended. Another
// origin may have made a few before the caller came here.
static constexpr uint32_t AttemptsSkipped = 3;

static constexpr Milliseconds NoPatienceKnown{60'000};

OriginJob *findJob(FleetInstance &State, uint64_t Number) {
  const auto Found = State.Jobs_.find(Number);
  return Found == State.Jobs_.end() ? nullptr : &Found->second;
}

static void answerJob(FleetStepContext &Ctx, OriginJob &Job, JobOutcome Outcome,
                      std::string_view Why, Milliseconds RetryAfter = {}) {
  Job.IsAnswered_ = true;
  const bool IsServed = Outcome == JobOutcome::Completed;
  const auto Index = static_cast<std::size_t>(Outcome);
  const Milliseconds Took = Ctx.Now_ - Job.ArrivedAt_;
  observe(Ctx.State_.Times_.Answers_[Index], Took);
  observe(Ctx.State_.Times_.ByRoute_[Job.Route_.Name_][Index], Took);
  log(Ctx, "answer", Job.Submission_.Id_,
      {{"outcome", nameOf(Outcome)},
       {"why", std::string(Why)},
       {"route", Job.Route_.Name_},
       {"config", std::to_string(Ctx.State_.Config_.Version_)},
       {"took_ms", toString(Took)},
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

// Drops what waits and stops what runs; the job stays until all has ended.
static void closeJob(FleetStepContext &Ctx, OriginJob &Job) {
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
  const JobOutcome Outcome =
      mayHaveRun(Job) ? JobOutcome::MayHaveRun : JobOutcome::NotRun;
  answerJob(Ctx, Job, Outcome, Why, RetryAfter);
  closeJob(Ctx, Job);
}

void requestWorkers(FleetStepContext &Ctx, OriginJob &Job,
                    std::vector<uint32_t> Tasks) {
  const JobSubmission &Given = Job.Submission_;
  Job.Placer_ = Ctx.State_.Placer_;
  sendMessage(Ctx, Job.Placer_,
              PlaceRequest{.Job_ = Job.Number_,
                           .Id_ = Given.Id_,
                           .Route_ = Job.Route_.Name_,
                           .Service_ = Job.Route_.Service_,
                           .Tasks_ = std::move(Tasks),
                           .Needs_ = Given.Needs_,
                           .Estimate_ = Given.Estimate_,
                           .Priority_ = Job.Route_.Priority_,
                           .ObjectiveIn_ = Job.ObjectiveAt_ - Ctx.Now_,
                           .GiveUpIn_ = Job.GiveUpAt_ - Ctx.Now_,
                           .Label_ = Given.Label_,
                           .DataRack_ = Given.DataRack_,
                           .MaxPerWorker_ = Given.MaxPerWorker_,
                           .Avoid_ = Job.UnreachableHolders_});
}

std::vector<uint32_t> waitingTasks(const OriginJob &Job) {
  std::vector<uint32_t> Waiting;
  for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
    if (Job.Tasks_[Index].Phase_ == OriginTaskPhase::Waiting)
      Waiting.push_back(Index);
  }
  return Waiting;
}

static void refuseAtOnce(FleetStepContext &Ctx, const JobSubmission &Given,
                         JobOutcome Outcome, std::string_view Why,
                         Milliseconds RetryAfter = {}) {
  log(Ctx, "answer", Given.Id_,
      {{"outcome", nameOf(Outcome)},
       {"why", std::string(Why)},
       {"config", std::to_string(Ctx.State_.Config_.Version_)}},
      true);
  Ctx.Out_.push_back(AnswerJob{Given.Token_, Outcome, RetryAfter});
}

// A resubmission of a job that is under way joins it; one of a job whose runs
// are still being stopped has to come back.
static bool joinJob(FleetStepContext &Ctx, const JobSubmission &Given) {
  const auto Known = Ctx.State_.JobById_.find(Given.Id_);
  if (Known == Ctx.State_.JobById_.end())
    return false;
  OriginJob &Job = Ctx.State_.Jobs_.at(Known->second);
  if (Job.IsAnswered_) {
    refuseAtOnce(Ctx, Given, JobOutcome::NotRun,
                 "earlier runs are being stopped",
                 Ctx.State_.Options_.Placer_.MinRetryAfter_);
    return true;
  }
  log(Ctx, "joined", Given.Id_,
      {{"age_ms", toString(Ctx.Now_ - Job.ArrivedAt_)}});
  Job.Tokens_.push_back(Given.Token_);
  Ctx.State_.JobByToken_[Given.Token_] = Job.Number_;
  return true;
}

static Milliseconds giveUpTime(const JobSubmission &Given, Milliseconds Now) {
  Milliseconds Patience = NoPatienceKnown;
  if (Given.CallerTimeout_.Count_ > 0)
    Patience = std::min(Patience, Given.CallerTimeout_);
  return Now + Patience;
}

void submitJob(FleetStepContext &Ctx, JobSubmission Given) {
  FleetInstance &State = Ctx.State_;
  increment(State.Counters_, Counter::JobsSubmitted);
  if (State.Config_.Version_ == 0) {
    refuseAtOnce(Ctx, Given, JobOutcome::NotRun, "no configuration yet",
                 State.Options_.Placer_.MinRetryAfter_);
    return;
  }
  if (Ctx.Now_ < State.PauseSettledAt_) {
    refuseAtOnce(Ctx, Given, JobOutcome::NotRun, "just after a pause",
                 State.Options_.Placer_.MinRetryAfter_);
    return;
  }
  const bool IsClosed =
      State.IsStopping_ &&
      Ctx.Now_ - State.StoppingSince_ >= State.Options_.StopGracePeriod_;
  if (IsClosed) {
    refuseAtOnce(Ctx, Given, JobOutcome::NotRun, "the instance stops",
                 State.Options_.Placer_.MinRetryAfter_);
    return;
  }
  const Route *Way = findRoute(State.Config_, Given.Host_, Given.Path_);
  if (Way == nullptr) {
    refuseAtOnce(Ctx, Given, JobOutcome::NoSuchRoute, "no such route");
    return;
  }
  if (Way->NeedsApproval_) {
    refuseAtOnce(Ctx, Given, JobOutcome::NotSupported, "the route needs advice",
                 State.Options_.Placer_.MaxRetryAfter_);
    return;
  }
  if (joinJob(Ctx, Given))
    return;
  const uint64_t Number = State.NextJobNumber_++;
  OriginJob &Job = State.Jobs_[Number];
  Job.Number_ = Number;
  Job.Route_ = *Way;
  Job.ArrivedAt_ = Ctx.Now_;
  Job.GiveUpAt_ = giveUpTime(Given, Ctx.Now_);
  const auto Ideal = static_cast<int64_t>(
      static_cast<double>(Given.Estimate_.Count_) * Way->StretchFactor_);
  Job.ObjectiveAt_ = Ctx.Now_ + Milliseconds{Ideal} + Way->TargetLatency_;
  Job.Tasks_.resize(Given.Tasks_);
  Job.Tokens_ = {Given.Token_};
  Job.Submission_ = std::move(Given);
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

void abandonJob(FleetStepContext &Ctx, uint64_t Token) {
  FleetInstance &State = Ctx.State_;
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
  closeJob(Ctx, Job);
}

void cancelJob(FleetStepContext &Ctx, uint64_t Id) {
  const auto Found = Ctx.State_.JobById_.find(Id);
  if (Found == Ctx.State_.JobById_.end())
    return;
  OriginJob &Job = Ctx.State_.Jobs_.at(Found->second);
  if (Job.IsAnswered_)
    return;
  increment(Ctx.State_.Counters_, Counter::JobsCancelled);
  answerJob(Ctx, Job, JobOutcome::Cancelled, "cancelled");
  closeJob(Ctx, Job);
}

// Orders of one job to one holder; its specification is sent once.
using OrdersByHolder = std::map<Incarnation, StartOrder>;

static void orderTask(FleetStepContext &Ctx, OriginJob &Job,
                      const Placement &Place, Incarnation Placer,
                      OrdersByHolder &Orders) {
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

static void sendOrders(FleetStepContext &Ctx, const OriginJob &Job,
                       OrdersByHolder &&Orders) {
  for (auto &[Holder, Order] : Orders) {
    Order.Job_ = Job.Number_;
    Order.Needs_ = Job.Submission_.Needs_;
    Order.Estimate_ = Job.Submission_.Estimate_;
    Order.Spec_ = Job.Submission_.Spec_;
    sendMessage(Ctx, Holder, std::move(Order));
  }
}

bool isReachable(const FleetInstance &State, Incarnation Run) {
  return Run == State.Self_.Run_ || State.Members_.contains(Run);
}

// Without this the placer would choose workers of that holder again and again.
static void avoid(OriginJob &Job, Incarnation Holder) {
  if (std::find(Job.UnreachableHolders_.begin(), Job.UnreachableHolders_.end(),
                Holder) == Job.UnreachableHolders_.end())
    Job.UnreachableHolders_.push_back(Holder);
}

void handlePlaced(FleetStepContext &Ctx, Incarnation From,
                  const Placed &Given) {
  OriginJob *Job = findJob(Ctx.State_, Given.Job_);
  std::vector<uint32_t> Again;
  OrdersByHolder Orders;
  for (const Placement &Place : Given.Tasks_) {
    const bool IsWanted =
        Job != nullptr && !Job->IsAnswered_ &&
        Place.Task_ < Job->Tasks_.size() && Job->Placer_ == From &&
        Job->Tasks_[Place.Task_].Phase_ == OriginTaskPhase::Waiting;
    if (IsWanted && isReachable(Ctx.State_, Place.Holder_)) {
      orderTask(Ctx, *Job, Place, From, Orders);
      continue;
    }
    if (IsWanted) {
      Again.push_back(Place.Task_);
      avoid(*Job, Place.Holder_);
    }
    sendMessage(Ctx, From,
                PlaceRelease{Given.Job_, Place.Task_, RunEnd::NotStarted});
  }
  if (!Orders.empty())
    sendOrders(Ctx, *Job, std::move(Orders));
  if (!Again.empty())
    requestWorkers(Ctx, *Job, std::move(Again));
}

void handlePlaceRefused(FleetStepContext &Ctx, const PlaceRefused &Refused) {
  OriginJob *Job = findJob(Ctx.State_, Refused.Job_);
  if (Job == nullptr || Job->IsAnswered_)
    return;
  increment(Ctx.State_.Counters_, Counter::AnswersNotRun);
  giveUpJob(Ctx, *Job, "cannot be served in time", Refused.RetryAfter_);
}

static bool isDecided(FleetStepContext &Ctx, OriginJob &Job, uint32_t Index,
                      RunEnd End) {
  OriginTask &Task = Job.Tasks_[Index];
  if (End == RunEnd::Done) {
    Task.Phase_ = OriginTaskPhase::Done;
    ++Job.DoneTasks_;
    if (Job.DoneTasks_ < Job.Tasks_.size())
      return true;
    increment(Ctx.State_.Counters_, Counter::AnswersComplete);
    answerJob(Ctx, Job, JobOutcome::Completed, "all tasks are done");
    removeJob(Ctx, Job);
    return true;
  }
  if (End == RunEnd::Failed && ++Task.Failures_ >= Job.Route_.MaxAttempts_) {
    Task.Phase_ = OriginTaskPhase::Dropped;
    answerJob(Ctx, Job, JobOutcome::Failed, "a task has failed too often");
    closeJob(Ctx, Job);
    return true;
  }
  return false;
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
    sendMessage(Ctx, Task.Placer_,
                PlaceRelease{Job->Number_, Index, Ended.End_});
  Task.Phase_ = OriginTaskPhase::Dropped;
  // A start that was rejected for certain has not run.
  Job->HasEndedRuns_ = Job->HasEndedRuns_ || Ended.End_ != RunEnd::NotStarted;
  if (Job->IsAnswered_) {
    if (!hasDispatchedTasks(*Job))
      removeJob(Ctx, *Job);
    return;
  }
  if (isDecided(Ctx, *Job, Index, Ended.End_))
    return;
  if (Ended.End_ == RunEnd::Superseded)
    Task.Attempt_ += AttemptsSkipped;
  Task.Phase_ = OriginTaskPhase::Waiting;
  requestWorkers(Ctx, *Job, {Index});
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
                State.Options_.Placer_.MinRetryAfter_);
  }
}

// The holder stops what it runs for us as it loses us too; until then a task
// may still run, so that the job is not started again here.
void handleHolderLoss(FleetStepContext &Ctx, Incarnation Run,
                      std::string_view Name) {
  std::vector<uint64_t> Hit;
  for (auto &[Number, Job] : Ctx.State_.Jobs_) {
    uint32_t LostTasks = 0;
    for (uint32_t Index = 0; Index < Job.Tasks_.size(); ++Index) {
      OriginTask &Task = Job.Tasks_[Index];
      if (Task.Phase_ != OriginTaskPhase::Dispatched || Task.Holder_ != Run)
        continue;
      Task.Phase_ = OriginTaskPhase::Dropped;
      Job.HasEndedRuns_ = true;
      ++LostTasks;
      if (isReachable(Ctx.State_, Task.Placer_))
        sendMessage(Ctx, Task.Placer_,
                    PlaceRelease{Number, Index, RunEnd::Lost});
    }
    if (LostTasks == 0)
      continue;
    log(Ctx, "holder_lost", Job.Submission_.Id_,
        {{"other", std::string(Name)}, {"tasks", std::to_string(LostTasks)}});
    Hit.push_back(Number);
  }
  for (const uint64_t Number : Hit) {
    OriginJob &Job = Ctx.State_.Jobs_.at(Number);
    if (!Job.IsAnswered_)
      giveUpJob(Ctx, Job, "the holder of its worker is lost", {});
    else if (!hasDispatchedTasks(Job))
      removeJob(Ctx, Job);
  }
}

void giveUpAllJobs(FleetStepContext &Ctx, std::string_view Why) {
  std::vector<uint64_t> Numbers;
  for (const auto &[Number, Job] : Ctx.State_.Jobs_) {
    if (!Job.IsAnswered_)
      Numbers.push_back(Number);
  }
  for (const uint64_t Number : Numbers)
    giveUpJob(Ctx, Ctx.State_.Jobs_.at(Number), Why,
              Ctx.State_.Options_.Placer_.MinRetryAfter_);
}

} // namespace marjorambend::internal
