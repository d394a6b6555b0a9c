#ifndef MARJORAMBEND_FLEET_CRASHLEDGER_H
#define MARJORAMBEND_FLEET_CRASHLEDGER_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace marjorambend {

/// \brief Identifies a task across its attempts and the resubmissions of its
/// job.
struct TaskId {
  uint64_t Job_ = 0; ///< The job identity chosen by the caller.
  uint32_t Task_ = 0;

  friend bool operator==(const TaskId &A, const TaskId &B) {
    return std::tie(A.Job_, A.Task_) == std::tie(B.Job_, B.Task_);
  }
  friend auto operator<=>(const TaskId &A, const TaskId &B) {
    return std::tie(A.Job_, A.Task_) <=> std::tie(B.Job_, B.Task_);
  }
};

/// \brief Identifies one incarnation of a worker.
struct WorkerIncarnation {
  std::string Worker_;
  int64_t Incarnation_ = 0; ///< \sa WorkerReport::Incarnation_

  friend bool operator==(const WorkerIncarnation &A,
                         const WorkerIncarnation &B) {
    return std::tie(A.Worker_, A.Incarnation_) ==
           std::tie(B.Worker_, B.Incarnation_);
  }
  friend auto operator<=>(const WorkerIncarnation &A,
                          const WorkerIncarnation &B) {
    return std::tie(A.Worker_, A.Incarnation_) <=>
           std::tie(B.Worker_, B.Incarnation_);
  }
};

/// \brief A worker that has crashed, or is silent as if it had.
struct WorkerCrash {
  WorkerIncarnation Worker_;
  std::vector<TaskId> Tasks_;         ///< Were running when it last answered.
  std::vector<TaskId> PossibleTasks_; ///< May have been started there.
  bool IsConfirmed_ = false;          ///< It is known to have restarted.
  std::string Rack_;                  ///< Empty if unknown.
  uint32_t RackSize_ = 0;             ///< Listed workers of the rack.
  Milliseconds Age_;                  ///< Time since it was noticed.
};

/// \brief A task whose run was lost with the holder of its worker, which may
/// have crashed as well.
struct OrphanedRun {
  TaskId Task_;
  std::string Worker_;
  Milliseconds LostAt_;
};

/// \brief Options for tasks under which workers crash.
struct CrashOptions {
  /// Confirmed crashes under a task after which it is given up, without those
  /// of a rack that has failed. While unconfirmed ones complete this number,
  /// the task is not started.
  uint32_t MaxCrashes_ = 2;
  /// The same, with those.
  uint32_t MaxCrashesOfAnyCause_ = 3;
  /// Crashes in one rack within this time may have a common cause.
  Milliseconds RackWindow_{2'000};
  /// A rack has failed if this share of its workers crashes, and at least
  /// MinRackCrashes_ of them without a task that has crashed workers of another
  /// rack.
  double RackShare_ = 0.75;
  uint32_t MinRackCrashes_ = 3;
  /// Time for which an unconfirmed crash prevents starts; a crashed worker is
  /// back within seconds.
  Milliseconds DoubtTime_{6'000};
  /// Time after the loss of a holder in which a crash of one of its workers is
  /// attributed to the tasks that ran there; workers are back within seconds.
  Milliseconds OrphanWindow_{6'000};
  /// Time for which crashes are kept; longer than any caller resubmits a job.
  Milliseconds Retention_{120'000};
  /// Most crashes that are kept; the oldest are dropped first.
  std::size_t MaxKept_ = 4'096;
};

/// \brief Crashed workers and the tasks that ran on them.
///
/// Every instance keeps one. Entries are identified by the incarnation of the
/// worker, so that ledgers can be merged in any order without counting a crash
/// twice.
struct CrashLedger {
  struct Entry {
    std::set<TaskId> Tasks_;
    std::set<TaskId> PossibleTasks_;
    bool IsConfirmed_ = false;
    std::string Rack_;
    uint32_t RackSize_ = 0;
    Milliseconds NoticedAt_;
    bool IsNoticedHere_ = false; ///< This instance held the worker.
  };
  std::map<WorkerIncarnation, Entry> Crashes_;
  std::map<TaskId, std::set<WorkerIncarnation>> ByTask_;
  std::set<std::pair<Milliseconds, WorkerIncarnation>> ByAge_;
};

/// \brief Adds a crash, or what is not recorded of it yet.
///
/// \returns whether the ledger has changed.
bool recordCrash(CrashLedger &Ledger, const WorkerCrash &Crash,
                 const CrashOptions &Options, Milliseconds Now);

/// \brief Removes a crash: the worker was only silent.
///
/// \returns whether the ledger had it.
bool withdrawCrash(CrashLedger &Ledger, const WorkerIncarnation &Worker);

/// \brief The unconfirmed crashes of \p Worker in incarnations before this one.
std::vector<WorkerIncarnation>
unconfirmedCrashesBefore(const CrashLedger &Ledger,
                         const WorkerIncarnation &Worker);

/// \brief Confirms a recorded crash: the worker is back in a new incarnation.
void confirmCrash(CrashLedger &Ledger, const WorkerIncarnation &Worker);

/// \brief The recorded crash of \p Worker, to be sent to other instances.
WorkerCrash describeCrash(const CrashLedger &Ledger,
                          const WorkerIncarnation &Worker, Milliseconds Now);

/// \brief Removes crashes that are older than CrashOptions::Retention_.
void expireCrashes(CrashLedger &Ledger, const CrashOptions &Options,
                   Milliseconds Now);

/// \brief The crashes that were noticed here, to be sent to another instance.
std::vector<WorkerCrash> listOwnCrashes(const CrashLedger &Ledger,
                                        Milliseconds Now);

/// \brief Whether a worker may have crashed under the task, other than with its
/// whole rack. Until the task is done it should not share a worker with others.
bool isSuspect(const CrashLedger &Ledger, const TaskId &Task,
               const CrashOptions &Options);

/// \brief Whether the task is not to be started until it is known which of the
/// silent workers that ran it have crashed.
bool isInDoubt(const CrashLedger &Ledger, const TaskId &Task,
               const CrashOptions &Options, Milliseconds Now);

/// \brief Racks in which a worker has crashed within
/// CrashOptions::RackWindow_; others may have, unnoticed yet.
std::set<std::string> recentlyCrashedRacks(const CrashLedger &Ledger,
                                           const CrashOptions &Options,
                                           Milliseconds Now);

/// \brief Whether the task has crashed so many workers that it is given up.
///
/// Counts confirmed crashes under which the task was running. Those of a rack
/// that has failed are left out, up to CrashOptions::MaxCrashesOfAnyCause_.
bool exceedsCrashBudget(const CrashLedger &Ledger, const TaskId &Task,
                        const CrashOptions &Options);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_CRASHLEDGER_H
