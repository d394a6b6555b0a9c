#include "marjorambend/src/Scheduling/WorkerChoice.h"

#include <cmath>

namespace marjorambend {
namespace internal {

// Long enough for several runs of the longest kind, 900 ms.
static constexpr double DecayTime = 2'000.0;

static double decayed(const ReleaseRate &Rate, Milliseconds Now) {
  return Rate.MilliCores_ *
         std::exp(-static_cast<double>((Now - Rate.DecayedAt_).Count_) /
                  DecayTime);
}

} // namespace internal

void observeRelease(ReleaseRate &Rate, int64_t MilliCores, Milliseconds Now) {
  Rate.MilliCores_ =
      internal::decayed(Rate, Now) + static_cast<double>(MilliCores);
  Rate.DecayedAt_ = Now;
}

std::optional<Milliseconds>
timeToRelease(const ReleaseRate &Rate, int64_t MilliCores, Milliseconds Now) {
  const double PerMillisecond =
      internal::decayed(Rate, Now) / internal::DecayTime;
  const double Time = static_cast<double>(MilliCores) / PerMillisecond;
  // Also excludes a rate of 0.
  if (!(Time < internal::DecayTime))
    return std::nullopt;
  return Milliseconds{static_cast<int64_t>(Time)};
}

} // namespace marjorambend
