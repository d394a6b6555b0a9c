#ifndef MARJORAMBEND_SCHEDULING_WORKERCHOICE_H
#define MARJORAMBEND_SCHEDULING_WORKERCHOICE_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace marjorambend {

/// \brief Policy by which the placer chooses among workers with free resources.
enum class WorkerPolicy : uint8_t {
  Fastest, ///< The shortest expected run time.
  BySlack  ///< While the fleet is busy, jobs with slack get slower workers.
};

/// \brief Options for the choice of workers of unequal speed.
struct WorkerChoiceOptions {
  WorkerPolicy Policy_ = WorkerPolicy::Fastest;
  /// The fleet is busy while less than this share of the fast workers' cores is
  /// free.
  double BusyShare_ = 0.25;
  /// A worker is fast if the reference worker is slower by this factor; above
  /// the 10% by which the measured slowness fluctuates.
  double FastRatio_ = 1.2;
  /// Share of the cores on workers at most as slow as the reference worker.
  double ReferenceShare_ = 0.8;
  /// Relative spread of the run times of a job's tasks.
  double TaskSpread_ = 0.15;
  /// Margin on the expected end of a job on slower workers.
  double Margin_ = 1.1;
};

/// \brief Capacity of the open workers of one slowness.
struct SlownessCapacity {
  double Slowness_ = 1.0;
  int64_t MilliCores_ = 0;
  int64_t FreeMilliCores_ = 0;
};

/// \brief Which workers are fast, and whether few of their cores are free.
struct FastWorkers {
  double MaxSlowness_ = 0; ///< 0 if the workers are of equal speed.
  bool IsBusy_ = false;
};

/// \brief Finds the workers that are faster than the reference worker.
///
/// Load pattern: a quarter of the workers is twice as fast as the rest, or a
/// third is 1.3 times slower.
/// \param Fleet by slowness, the fastest first.
FastWorkers findFastWorkers(std::span<const SlownessCapacity> Fleet,
                            const WorkerChoiceOptions &Options);

/// \brief Factor from the run time of one task to the end of the last of
/// \p Tasks tasks, with the margin.
/// \param ExpectedRatio of run time to estimate.
double endFactor(std::size_t Tasks, double ExpectedRatio,
                 const WorkerChoiceOptions &Options);

} // namespace marjorambend

#endif // MARJORAMBEND_SCHEDULING_WORKERCHOICE_H
