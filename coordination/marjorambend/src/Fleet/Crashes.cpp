/// \file
/// \brief Records crashes of workers, and tells the other instances.

#include "marjorambend/src/Fleet/HoldStep.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace marjorambend::internal {

/// \brief Workers that fail together, such as those of one rack.
struct FailureDomain {
  std::string Label_;
  uint32_t Workers_ = 0;
};

// The most specific label of a worker names its rack: the one that the fewest
// workers have, but at least one other.
static FailureDomain failureDomainOf(const FleetInstance &State,
                                     const WorkerReport &Report) {
  FailureDomain Smallest;
  for (const std::string &Label : Report.Labels_) {
    const auto Count = static_cast<uint32_t>(std::count_if(
        State.ListedWorkers_.begin(), State.ListedWorkers_.end(),
        [&Label](const auto &Entry) {
          const auto &Labels = Entry.second.Labels_;
          return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
        }));
    const bool IsSmaller = Smallest.Workers_ == 0 || Count < Smallest.Workers_;
    if (Count > 1 && IsSmaller)
      Smallest = {Label, Count};
  }
  return Smallest;
}

static void sendToMembers(FleetStepContext &Ctx, const FleetMessage &Message) {
  for (const auto &[Run, Other] : Ctx.State_.Members_)
    sendMessage(Ctx, Run, Message);
}

static std::vector<TaskId> orphanedTasks(const FleetInstance &State,
                                         const std::string &Worker) {
  std::vector<TaskId> Tasks;
  for (const OrphanedRun &Run : State.OrphanedRuns_) {
    if (Run.Worker_ == Worker)
      Tasks.push_back(Run.Task_);
  }
  return Tasks;
}

// The new holder of a worker does not know which runs its predecessor had
// started there; their origins do.
static void addOrphanedTasks(FleetStepContext &Ctx, const WorkerCrash &Crash) {
  WorkerCrash Orphans = Crash;
  Orphans.Tasks_.clear();
  Orphans.PossibleTasks_ = orphanedTasks(Ctx.State_, Crash.Worker_.Worker_);
  if (Orphans.PossibleTasks_.empty() ||
      !recordCrash(Ctx.State_.Crashes_, Orphans, Ctx.State_.Options_.Crashes_,
                   Ctx.Now_))
    return;
  sendToMembers(Ctx, CrashNews{.Crashes_ = {Orphans}});
  Ctx.Out_.push_back(StoreCrash{Orphans});
}

bool hasSuspectRun(const FleetStepContext &Ctx, const WorkerHold &Hold) {
  return std::any_of(Hold.Runs_.begin(), Hold.Runs_.end(),
                     [&Ctx](const auto &Entry) {
                       return isSuspect(Ctx.State_.Crashes_,
                                        {Entry.first.Job_, Entry.first.Task_},
                                        Ctx.State_.Options_.Crashes_);
                     });
}

// Adds the tasks that ran, or may have run, when the worker crashed.
static void addTasks(WorkerHold &Hold, const std::vector<ListedRun> &Survivors,
                     WorkerCrash &Crash) {
  for (auto &[Id, Run] : Hold.Runs_) {
    const bool HasSurvived = std::any_of(
        Survivors.begin(), Survivors.end(),
        [&Id = Id](const ListedRun &One) { return One.Run_ == Id; });
    if (HasSurvived)
      continue;
    if (!Run.CrashedIncarnation_)
      Run.CrashedIncarnation_ = Hold.Report_.Incarnation_;
    if (Run.CrashedIncarnation_ != Hold.Report_.Incarnation_)
      continue;
    const bool WasRunning = Run.StartedAt_.Count_ != 0 && !Run.IsStopConfirmed_;
    (WasRunning ? Crash.Tasks_ : Crash.PossibleTasks_)
        .push_back({Id.Job_, Id.Task_});
  }
  for (const RunId &Id : Hold.UnknownRuns_)
    Crash.PossibleTasks_.push_back({Id.Job_, Id.Task_});
}

// Tells all instances and the store of a crash in the ledger.
static void spreadCrash(FleetStepContext &Ctx,
                        const WorkerIncarnation &Worker) {
  const WorkerCrash Crash =
      describeCrash(Ctx.State_.Crashes_, Worker, Ctx.Now_);
  sendToMembers(Ctx, CrashNews{.Crashes_ = {Crash}});
  if (!Crash.Tasks_.empty() || !Crash.PossibleTasks_.empty())
    Ctx.Out_.push_back(StoreCrash{Crash});
}

void noteCrash(FleetStepContext &Ctx, WorkerHold &Hold,
               const std::vector<ListedRun> &Survivors) {
  // A worker that drains ends all runs when it leaves.
  if (Hold.Report_.IsDraining_)
    return;
  const FailureDomain Domain = failureDomainOf(Ctx.State_, Hold.Report_);
  WorkerCrash Crash{.Worker_ = {Hold.Report_.Id_, Hold.Report_.Incarnation_},
                    .Rack_ = Domain.Label_,
                    .RackSize_ = Domain.Workers_};
  addTasks(Hold, Survivors, Crash);
  CrashLedger &Ledger = Ctx.State_.Crashes_;
  if (!recordCrash(Ledger, Crash, Ctx.State_.Options_.Crashes_, Ctx.Now_))
    return;
  Ledger.Crashes_.at(Crash.Worker_).IsNoticedHere_ = true;
  increment(Ctx.State_.Counters_, Counter::WorkerCrashes);
  log(Ctx, "worker_crashed", 0,
      {{"worker", Crash.Worker_.Worker_},
       {"life", std::to_string(Crash.Worker_.Incarnation_)},
       {"rack", Crash.Rack_},
       {"runs", std::to_string(Crash.Tasks_.size())},
       {"possible", std::to_string(Crash.PossibleTasks_.size())}});
  spreadCrash(Ctx, Crash.Worker_);
  addOrphanedTasks(Ctx, Crash);
}

static void confirmAndSpread(FleetStepContext &Ctx,
                             const WorkerIncarnation &Worker) {
  confirmCrash(Ctx.State_.Crashes_, Worker);
  spreadCrash(Ctx, Worker);
}

void noteRestart(FleetStepContext &Ctx, WorkerHold &Hold) {
  noteCrash(Ctx, Hold);
  const WorkerIncarnation Worker{Hold.Report_.Id_, Hold.Report_.Incarnation_};
  const auto Crash = Ctx.State_.Crashes_.Crashes_.find(Worker);
  const bool IsUnconfirmed = Crash != Ctx.State_.Crashes_.Crashes_.end() &&
                             !Crash->second.IsConfirmed_;
  if (IsUnconfirmed)
    confirmAndSpread(Ctx, Worker);
}

static void withdrawOwnCrash(FleetStepContext &Ctx, WorkerHold &Hold,
                             const WorkerIncarnation &Worker) {
  log(Ctx, "crash_withdrawn", 0,
      {{"worker", Worker.Worker_},
       {"life", std::to_string(Worker.Incarnation_)}});
  for (auto &[Id, Run] : Hold.Runs_)
    Run.CrashedIncarnation_.reset();
  sendToMembers(Ctx, CrashNews{.Withdrawn_ = {Worker}});
  Ctx.Out_.push_back(ForgetCrash{Worker});
}

void settleCrashes(FleetStepContext &Ctx, WorkerHold &Hold) {
  CrashLedger &Ledger = Ctx.State_.Crashes_;
  const WorkerIncarnation Alive{Hold.Report_.Id_, Hold.Report_.Incarnation_};
  if (withdrawCrash(Ledger, Alive))
    withdrawOwnCrash(Ctx, Hold, Alive);
  for (const WorkerIncarnation &Past : unconfirmedCrashesBefore(Ledger, Alive))
    confirmAndSpread(Ctx, Past);
}

void handleCrashNews(FleetStepContext &Ctx, const CrashNews &News) {
  FleetInstance &State = Ctx.State_;
  for (const WorkerCrash &Crash : News.Crashes_) {
    if (recordCrash(State.Crashes_, Crash, State.Options_.Crashes_, Ctx.Now_))
      addOrphanedTasks(Ctx, Crash);
  }
  for (const WorkerIncarnation &Worker : News.Withdrawn_)
    withdrawCrash(State.Crashes_, Worker);
}

void addOrphanedRun(FleetStepContext &Ctx, const TaskId &Task,
                    const std::string &Worker) {
  Ctx.State_.OrphanedRuns_.push_back({Task, Worker, Ctx.Now_});
}

void expireCrashRecords(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  const CrashOptions &Options = State.Options_.Crashes_;
  expireCrashes(State.Crashes_, Options, Ctx.Now_);
  std::deque<OrphanedRun> &Runs = State.OrphanedRuns_;
  while (!Runs.empty() &&
         Ctx.Now_ - Runs.front().LostAt_ > Options.OrphanWindow_)
    Runs.pop_front();
}

void applyStoredCrashes(FleetStepContext &Ctx, const CrashesRead &Read) {
  for (const WorkerCrash &Crash : Read.Crashes_)
    recordCrash(Ctx.State_.Crashes_, Crash, Ctx.State_.Options_.Crashes_,
                Ctx.Now_);
  for (const WorkerIncarnation &Worker : Read.Withdrawn_)
    withdrawCrash(Ctx.State_.Crashes_, Worker);
}

void sendOwnCrashes(FleetStepContext &Ctx, Incarnation To) {
  CrashNews News{.Crashes_ = listOwnCrashes(Ctx.State_.Crashes_, Ctx.Now_)};
  if (!News.Crashes_.empty())
    sendMessage(Ctx, To, std::move(News));
}

} // namespace marjorambend::internal
