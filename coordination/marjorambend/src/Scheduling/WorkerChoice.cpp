#include "marjorambend/src/Scheduling/WorkerChoice.h"

#include <algorithm>
#include <cmath>

namespace marjorambend {

FastWorkers findFastWorkers(std::span<const SlownessCapacity> Fleet,
                            const WorkerChoiceOptions &Options) {
  int64_t All = 0;
  for (const SlownessCapacity &One : Fleet)
    All += One.MilliCores_;
  int64_t Sum = 0;
  double Reference = 0;
  for (const SlownessCapacity &One : Fleet) {
    Sum += One.MilliCores_;
    Reference = One.Slowness_;
    if (static_cast<double>(Sum) >=
        Options.ReferenceShare_ * static_cast<double>(All))
      break;
  }
  FastWorkers Found;
  int64_t Fast = 0;
  int64_t Free = 0;
  for (const SlownessCapacity &One : Fleet) {
    if (One.Slowness_ * Options.FastRatio_ > Reference)
      break;
    Found.MaxSlowness_ = One.Slowness_;
    Fast += One.MilliCores_;
    Free += One.FreeMilliCores_;
  }
  Found.IsBusy_ =
      Fast > 0 && static_cast<double>(Free) <
                      Options.BusyShare_ * static_cast<double>(Fast);
  return Found;
}

double endFactor(std::size_t Tasks, double ExpectedRatio,
                 const WorkerChoiceOptions &Options) {
  // Expected maximum of normally distributed run times, in deviations.
  const double Deviations = std::sqrt(
      2.0 * std::log(static_cast<double>(std::max<std::size_t>(Tasks, 1))));
  return ExpectedRatio * Options.Margin_ *
         (1.0 + Options.TaskSpread_ * Deviations);
}

} // namespace marjorambend
