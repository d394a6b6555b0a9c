#ifndef MARJORAMBEND_SCHEDULING_WORKERCHOICE_H
#define MARJORAMBEND_SCHEDULING_WORKERCHOICE_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <cstdint>
#include <optional>

namespace marjorambend {

/// \brief Rate at which the ends of runs free cores, such as those of a rack.
struct ReleaseRate {
  double MilliCores_ = 0; ///< Freed; decays exponentially.
  Milliseconds DecayedAt_;
};

/// \brief Records that \p MilliCores became free.
void observeRelease(ReleaseRate &Rate, int64_t MilliCores, Milliseconds Now);

/// \brief Expected time until \p MilliCores become free; not set if nothing is
/// known.
///
/// Load pattern: the workers of the rack that holds the data are full, while
/// others are free, and a remote run takes 1.5 to 3 times as long. The task may
/// wait for a local worker and still end earlier.
std::optional<Milliseconds> timeToRelease(const ReleaseRate &Rate,
                                          int64_t MilliCores, Milliseconds Now);

} // namespace marjorambend

#endif // MARJORAMBEND_SCHEDULING_WORKERCHOICE_H
