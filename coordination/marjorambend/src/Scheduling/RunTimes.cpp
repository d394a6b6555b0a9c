#include "marjorambend/src/Scheduling/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace marjorambend {
namespace internal {

// Routes are those of the configuration; the bound only limits the memory if
// their names change often.
static constexpr std::size_t MaxRoutes = 64;
// Weights are reduced in steps, since each step touches all buckets.
static constexpr Milliseconds DecayInterval{500};
static constexpr double PerCent = 100.0;

static std::size_t bucketOf(double Ratio) {
  const double Position =
      std::ceil(std::log2(Ratio / LeastRatio) * RatioBucketsPerDoubling);
  return static_cast<std::size_t>(
      std::clamp(Position, 0.0, static_cast<double>(RatioBuckets - 1)));
}

static double upperBound(std::size_t Bucket) {
  return LeastRatio * std::exp2(static_cast<double>(Bucket) /
                                static_cast<double>(RatioBucketsPerDoubling));
}

static void decay(RouteRunTimes &Route, const RunTimesOptions &Options,
                  Milliseconds Now) {
  const Milliseconds Age = Now - Route.DecayedAt_;
  if (Age < DecayInterval)
    return;
  const double Factor =
      std::exp2(-static_cast<double>(Age.Count_) /
                static_cast<double>(Options.HalfLife_.Count_));
  for (double &Weight : Route.Weights_)
    Weight *= Factor;
  Route.TotalWeight_ *= Factor;
  Route.DecayedAt_ = Now;
}

static void removeOldestRoute(RunTimes &Learned) {
  Learned.erase(std::min_element(
      Learned.begin(), Learned.end(), [](const auto &A, const auto &B) {
        return A.second.DecayedAt_ < B.second.DecayedAt_;
      }));
}

} // namespace internal

void observeRatio(RunTimes &Learned, std::string_view Route, double Ratio,
                  const RunTimesOptions &Options, Milliseconds Now) {
  if (Route.empty() || !(Ratio > 0) || !std::isfinite(Ratio))
    return;
  auto Known = Learned.find(Route);
  if (Known == Learned.end()) {
    if (Learned.size() >= internal::MaxRoutes)
      internal::removeOldestRoute(Learned);
    Known = Learned.try_emplace(std::string(Route)).first;
    Known->second.DecayedAt_ = Now;
  }
  RouteRunTimes &Into = Known->second;
  internal::decay(Into, Options, Now);
  Into.Weights_[internal::bucketOf(Ratio)] += 1.0;
  Into.TotalWeight_ += 1.0;
  Into.Largest_ = std::max(Into.Largest_, Ratio);
  observe(Into.Percents_,
          Milliseconds{
              std::llround(std::min(Ratio, internal::upperBound(RatioBuckets)) *
                           internal::PerCent)});
}

double expectedRatio(const RunTimes &Learned, std::string_view Route,
                     const RunTimesOptions &Options) {
  const auto Known = Learned.find(Route);
  if (Known == Learned.end() || Known->second.TotalWeight_ < Options.MinWeight_)
    return 1.0;
  const RouteRunTimes &From = Known->second;
  const double Wanted = Options.Quantile_ * From.TotalWeight_;
  double Sum = 0;
  std::size_t Bucket = 0;
  for (; Bucket + 1 < RatioBuckets; ++Bucket) {
    Sum += From.Weights_[Bucket];
    if (Sum >= Wanted)
      break;
  }
  return std::max(1.0, std::min(internal::upperBound(Bucket), From.Largest_));
}

} // namespace marjorambend
