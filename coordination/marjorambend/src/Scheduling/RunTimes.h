#ifndef MARJORAMBEND_SCHEDULING_RUNTIMES_H
#define MARJORAMBEND_SCHEDULING_RUNTIMES_H

#include "marjorambend/src/Support/Histogram.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Options for the learned ratios of run time to estimate.
struct RunTimesOptions {
  /// Quantile used as the expected ratio.
  double Quantile_ = 0.9;
  /// Time in which the weight of a sample halves; several seconds, so that the
  /// rarest route with 33 jobs per second keeps hundreds of samples.
  Milliseconds HalfLife_{10'000};
  /// Weight of the samples below which the expected ratio is 1: the quantile of
  /// fewer is that of one or two jobs.
  double MinWeight_ = 20.0;
};

/// \brief Upper bounds of the buckets grow by a factor of 2^(1/8), which is
/// finer than the 15% by which the tasks of one job differ.
inline constexpr std::size_t RatioBucketsPerDoubling = 8;
inline constexpr double LeastRatio = 0.125;
/// Up to a ratio of 32, above the sevenfold run times of some tasks.
inline constexpr std::size_t RatioBuckets = 8 * RatioBucketsPerDoubling;

/// \brief Ratios of one route.
struct RouteRunTimes {
  std::array<double, RatioBuckets> Weights_{}; ///< Decaying.
  double TotalWeight_ = 0;
  double Largest_ = 0; ///< Of all samples.
  Milliseconds DecayedAt_;
  Histogram Percents_; ///< All samples, for the metrics; not decaying.
};

/// \brief Learned ratios of run time to estimate by route.
///
/// Load pattern: declared run times are off by 40%, differently by route, and
/// some tasks take seven times as long as declared.
using RunTimes = std::map<std::string, RouteRunTimes, std::less<>>;

/// \brief Learns from a task that has ended; ignores ratios that are not
/// positive and tasks without a route.
/// \param Ratio of run time to estimate on a worker of median slowness.
void observeRatio(RunTimes &Learned, std::string_view Route, double Ratio,
                  const RunTimesOptions &Options, Milliseconds Now);

/// \brief Expected ratio of run time to estimate for forecasts of a job's end;
/// at least 1, and at most the largest ratio seen if that is above 1.
double expectedRatio(const RunTimes &Learned, std::string_view Route,
                     const RunTimesOptions &Options);

} // namespace marjorambend

#endif // MARJORAMBEND_SCHEDULING_RUNTIMES_H
