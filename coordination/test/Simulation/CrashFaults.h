#ifndef MARJORAMBEND_TEST_SIMULATION_CRASHFAULTS_H
#define MARJORAMBEND_TEST_SIMULATION_CRASHFAULTS_H

#include <cstdint>
#include <map>
#include <marjorambend/Fleet>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace marjorambend::test {

/// \brief Tasks that crash their workers, and racks that crash as a whole.
struct CrashFaults {
  /// Share of the jobs with a task that crashes each worker that starts it.
  double CrashingJobs_ = 0;
  uint32_t MaxCrashingJobs_ = 4;
  uint32_t RacksPerDataCentre_ = 0; ///< 0 if workers have no rack labels.
  /// All workers of a rack crash at the same time. Each further crash follows
  /// the previous one within MaxRackCrashGap_, so that tasks may see several.
  uint32_t RackCrashes_ = 0;
  Milliseconds MinRackCrashGap_{1'500};
  Milliseconds MaxRackCrashGap_{5'000};
  Milliseconds RestartDelay_{3'000}; ///< Until a crashed worker is back.
  /// Shortest and longest timeout of callers; 0 leaves it unchanged.
  Milliseconds MinCallerTimeout_;
  Milliseconds MaxCallerTimeout_;
  /// After the crash of this number under a task, the holder of the worker is
  /// killed; 0 for none.
  uint32_t KillHolderAfter_ = 0;
  /// After the crash of this number under a task, all instances but one
  /// restart, once; 0 for none.
  uint32_t RestartAllButOneAfter_ = 0;
  /// Probability that the start of a crashing task gets no answer, its worker
  /// crashes for another cause, and the next incarnation carries it out.
  double DelayStart_ = 0;
  /// Whether callers of crashing jobs resubmit them after any answer.
  bool ResubmitsAlways_ = false;
  /// Whether there are no other faults, so that stricter checks apply.
  bool IsOnlyFault_ = false;
};

/// \brief A task that crashes each worker that starts it.
struct CrashingTask {
  uint32_t Task_ = 0;
  int64_t CrashDelay_ = 0; ///< From its start to the crash, in milliseconds.
  uint32_t Starts_ = 0;
  uint32_t Crashes_ = 0; ///< Of workers while they ran it, of any cause.
  std::set<RunId> StartsOnCrashed_; ///< Sent to a worker that had crashed.
  uint32_t StartsAfterThirdCrash_ = 0;
  std::set<std::string> CrashedWorkers_; ///< By itself.
  std::optional<Milliseconds> FailedAt_; ///< First answer as failed.
};

/// \brief Crashes of workers that ran a task.
struct CrashCounts {
  uint32_t OfRacks_ = 0;
  uint32_t Other_ = 0;
};

/// \brief A crash in the platform's store.
struct StoredCrash {
  WorkerCrash Crash_; ///< Its age is the one when it was stored.
  Milliseconds StoredAt_;
};

/// \brief What a simulation knows of crashes.
struct CrashRecord {
  Random Generator_;
  std::map<uint64_t, CrashingTask> CrashingTasks_; ///< By job.
  std::map<std::pair<uint64_t, uint32_t>, CrashCounts> Counts_;
  /// Other jobs with a run on a worker that a task has crashed, and enough time
  /// left to complete.
  std::set<uint64_t> InterruptedJobs_;
  bool HasRestartedInstances_ = false;
  std::map<WorkerIncarnation, StoredCrash> Stored_; ///< In the store.

  explicit CrashRecord(uint64_t Seed) : Generator_(Seed) {}
};

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SIMULATION_CRASHFAULTS_H
