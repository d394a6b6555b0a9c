#include "marjorambend/src/Fleet/CrashLedger.h"

#include <algorithm>
#include <string_view>

namespace marjorambend {
namespace internal {

using CrashIterator = std::map<WorkerIncarnation, CrashLedger::Entry>::iterator;

static void eraseCrash(CrashLedger &Ledger, CrashIterator Crash) {
  const auto Unlink = [&](const std::set<TaskId> &Tasks) {
    for (const TaskId &Task : Tasks) {
      const auto Known = Ledger.ByTask_.find(Task);
      if (Known == Ledger.ByTask_.end())
        continue;
      Known->second.erase(Crash->first);
      if (Known->second.empty())
        Ledger.ByTask_.erase(Known);
    }
  };
  Unlink(Crash->second.Tasks_);
  Unlink(Crash->second.PossibleTasks_);
  Ledger.ByAge_.erase({Crash->second.NoticedAt_, Crash->first});
  Ledger.Crashes_.erase(Crash);
}

static void eraseOldest(CrashLedger &Ledger) {
  eraseCrash(Ledger, Ledger.Crashes_.find(Ledger.ByAge_.begin()->second));
}

using CrashEntry = CrashLedger::Entry;

// Calls \p Visit for each crash in the rack and at the time of \p Crash.
template <typename Visitor>
static void visitRackCrashes(const CrashLedger &Ledger, const CrashEntry &Crash,
                             const CrashOptions &Options, Visitor Visit) {
  const auto First = Ledger.ByAge_.lower_bound(
      {Crash.NoticedAt_ - Options.RackWindow_, WorkerIncarnation{}});
  for (auto It = First; It != Ledger.ByAge_.end(); ++It) {
    const auto &[NoticedAt, Worker] = *It;
    if (NoticedAt > Crash.NoticedAt_ + Options.RackWindow_)
      return;
    const CrashEntry &Other = Ledger.Crashes_.at(Worker);
    if (Other.Rack_ == Crash.Rack_)
      Visit(Worker, Other);
  }
}

// Whether most workers of the rack have crashed, for whatever reason.
static bool hasMostOfRackCrashed(const CrashLedger &Ledger,
                                 const CrashEntry &Crash,
                                 const CrashOptions &Options) {
  if (Crash.Rack_.empty())
    return false;
  std::set<std::string_view> Workers;
  visitRackCrashes(
      Ledger, Crash, Options,
      [&Workers](const WorkerIncarnation &Worker, const CrashEntry &) {
        Workers.insert(Worker.Worker_);
      });
  return Workers.size() >= Options.MinRackCrashes_ &&
         static_cast<double>(Workers.size()) >=
             Options.RackShare_ * Crash.RackSize_;
}

// Whether a task under the crash has also crashed a worker of another rack,
// most of which lives on.
static bool isExplainedByTask(const CrashLedger &Ledger,
                              const CrashEntry &Crash,
                              const CrashOptions &Options) {
  const auto IsEvidence = [&](const WorkerIncarnation &Worker) {
    const CrashEntry &Other = Ledger.Crashes_.at(Worker);
    return Other.Rack_ != Crash.Rack_ &&
           !hasMostOfRackCrashed(Ledger, Other, Options);
  };
  return std::any_of(
      Crash.Tasks_.begin(), Crash.Tasks_.end(), [&](const TaskId &Task) {
        const auto &Workers = Ledger.ByTask_.at(Task);
        return std::any_of(Workers.begin(), Workers.end(), IsEvidence);
      });
}

static bool hasRackFailed(const CrashLedger &Ledger, const CrashEntry &Crash,
                          const CrashOptions &Options) {
  if (!hasMostOfRackCrashed(Ledger, Crash, Options))
    return false;
  std::set<std::string_view> Unexplained;
  visitRackCrashes(
      Ledger, Crash, Options,
      [&](const WorkerIncarnation &Worker, const CrashEntry &Other) {
        if (!isExplainedByTask(Ledger, Other, Options))
          Unexplained.insert(Worker.Worker_);
      });
  return Unexplained.size() >= Options.MinRackCrashes_;
}

/// \brief Crashes under a task.
struct TaskCrashes {
  uint32_t Confirmed_ = 0;       ///< Of any cause, under the running task.
  uint32_t ConfirmedByTask_ = 0; ///< Without those of a rack that has failed.
  uint32_t Possible_ = 0;        ///< The same, with all others.
  uint32_t Recent_ = 0; ///< Of the possible ones: confirmed or still in doubt.
};

static TaskCrashes countCrashes(const CrashLedger &Ledger, const TaskId &Task,
                                const CrashOptions &Options, Milliseconds Now) {
  TaskCrashes Count;
  const auto Found = Ledger.ByTask_.find(Task);
  if (Found == Ledger.ByTask_.end())
    return Count;
  for (const WorkerIncarnation &Worker : Found->second) {
    const CrashEntry &Crash = Ledger.Crashes_.at(Worker);
    const bool IsCertain = Crash.IsConfirmed_ && Crash.Tasks_.contains(Task);
    Count.Confirmed_ += IsCertain ? 1 : 0;
    if (hasRackFailed(Ledger, Crash, Options))
      continue;
    ++Count.Possible_;
    Count.ConfirmedByTask_ += IsCertain ? 1 : 0;
    const bool IsRecent =
        IsCertain || Now - Crash.NoticedAt_ <= Options.DoubtTime_;
    Count.Recent_ += IsRecent ? 1 : 0;
  }
  return Count;
}

} // namespace internal

bool recordCrash(CrashLedger &Ledger, const WorkerCrash &Crash,
                 const CrashOptions &Options, Milliseconds Now) {
  if (Crash.Age_ > Options.Retention_)
    return false;
  const auto [Found, IsNew] = Ledger.Crashes_.try_emplace(Crash.Worker_);
  CrashLedger::Entry &Entry = Found->second;
  if (IsNew) {
    Entry.Rack_ = Crash.Rack_;
    Entry.RackSize_ = Crash.RackSize_;
    Entry.NoticedAt_ = Now - Crash.Age_;
    Ledger.ByAge_.insert({Entry.NoticedAt_, Crash.Worker_});
  }
  bool HasChanged = IsNew || (Crash.IsConfirmed_ && !Entry.IsConfirmed_);
  Entry.IsConfirmed_ = Entry.IsConfirmed_ || Crash.IsConfirmed_;
  const auto Add = [&](const std::vector<TaskId> &From, std::set<TaskId> &To) {
    for (const TaskId &Task : From) {
      HasChanged = To.insert(Task).second || HasChanged;
      Ledger.ByTask_[Task].insert(Crash.Worker_);
    }
  };
  Add(Crash.Tasks_, Entry.Tasks_);
  Add(Crash.PossibleTasks_, Entry.PossibleTasks_);
  while (Ledger.Crashes_.size() > Options.MaxKept_)
    internal::eraseOldest(Ledger);
  return HasChanged;
}

bool withdrawCrash(CrashLedger &Ledger, const WorkerIncarnation &Worker) {
  const auto Found = Ledger.Crashes_.find(Worker);
  if (Found == Ledger.Crashes_.end())
    return false;
  internal::eraseCrash(Ledger, Found);
  return true;
}

void expireCrashes(CrashLedger &Ledger, const CrashOptions &Options,
                   Milliseconds Now) {
  while (!Ledger.ByAge_.empty() &&
         Now - Ledger.ByAge_.begin()->first > Options.Retention_)
    internal::eraseOldest(Ledger);
}

std::vector<WorkerIncarnation>
unconfirmedCrashesBefore(const CrashLedger &Ledger,
                         const WorkerIncarnation &Worker) {
  std::vector<WorkerIncarnation> Found;
  for (auto It = Ledger.Crashes_.lower_bound({Worker.Worker_, INT64_MIN});
       It != Ledger.Crashes_.end() && It->first < Worker; ++It) {
    if (!It->second.IsConfirmed_)
      Found.push_back(It->first);
  }
  return Found;
}

void confirmCrash(CrashLedger &Ledger, const WorkerIncarnation &Worker) {
  Ledger.Crashes_.at(Worker).IsConfirmed_ = true;
}

WorkerCrash describeCrash(const CrashLedger &Ledger,
                          const WorkerIncarnation &Worker, Milliseconds Now) {
  const CrashLedger::Entry &Entry = Ledger.Crashes_.at(Worker);
  return {.Worker_ = Worker,
          .Tasks_ = {Entry.Tasks_.begin(), Entry.Tasks_.end()},
          .PossibleTasks_ = {Entry.PossibleTasks_.begin(),
                             Entry.PossibleTasks_.end()},
          .IsConfirmed_ = Entry.IsConfirmed_,
          .Rack_ = Entry.Rack_,
          .RackSize_ = Entry.RackSize_,
          .Age_ = Now - Entry.NoticedAt_};
}

std::vector<WorkerCrash> listOwnCrashes(const CrashLedger &Ledger,
                                        Milliseconds Now) {
  std::vector<WorkerCrash> Crashes;
  for (const auto &[Worker, Entry] : Ledger.Crashes_) {
    if (Entry.IsNoticedHere_)
      Crashes.push_back(describeCrash(Ledger, Worker, Now));
  }
  return Crashes;
}

bool isSuspect(const CrashLedger &Ledger, const TaskId &Task,
               const CrashOptions &Options) {
  return internal::countCrashes(Ledger, Task, Options, {}).Possible_ > 0;
}

bool isInDoubt(const CrashLedger &Ledger, const TaskId &Task,
               const CrashOptions &Options, Milliseconds Now) {
  return internal::countCrashes(Ledger, Task, Options, Now).Recent_ >=
         Options.MaxCrashes_;
}

std::set<std::string> recentlyCrashedRacks(const CrashLedger &Ledger,
                                           const CrashOptions &Options,
                                           Milliseconds Now) {
  std::set<std::string> Racks;
  for (auto It = Ledger.ByAge_.lower_bound(
           {Now - Options.RackWindow_, WorkerIncarnation{}});
       It != Ledger.ByAge_.end(); ++It)
    Racks.insert(Ledger.Crashes_.at(It->second).Rack_);
  return Racks;
}

bool exceedsCrashBudget(const CrashLedger &Ledger, const TaskId &Task,
                        const CrashOptions &Options) {
  const internal::TaskCrashes Count =
      internal::countCrashes(Ledger, Task, Options, {});
  return Count.ConfirmedByTask_ >= Options.MaxCrashes_ ||
         Count.Confirmed_ >= Options.MaxCrashesOfAnyCause_;
}

} // namespace marjorambend
