#ifndef MARJORAMBEND_SUPPORT_CONSTANTS_H
#define MARJORAMBEND_SUPPORT_CONSTANTS_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <cstddef>

namespace marjorambend {

/// \brief Maximum number of tasks in one job.
inline constexpr std::size_t MaxTasksPerJob = 1000;

/// \brief Maximum bytes in the name of a team, a kind, a worker or a data
/// centre.
inline constexpr std::size_t MaxNameBytes = 64;

/// \brief How far ahead of an instance's clock the creation time of an identity
/// may lie.
inline constexpr Milliseconds MaxIdentitySkew{30'000};

/// \brief How much earlier the holder of a forwarded job gives up than the
/// instance that forwarded it, so that the answer is back in time.
inline constexpr Milliseconds RemoteMargin{20};

/// \brief Length of the time interval whose claim rows share one key prefix.
inline constexpr Milliseconds ClaimBucket{600'000};

} // namespace marjorambend

#endif // MARJORAMBEND_SUPPORT_CONSTANTS_H
