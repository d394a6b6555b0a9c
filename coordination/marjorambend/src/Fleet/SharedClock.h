#ifndef MARJORAMBEND_FLEET_SHAREDCLOCK_H
#define MARJORAMBEND_FLEET_SHAREDCLOCK_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <algorithm>
#include <optional>

namespace marjorambend {

/// \brief A clock that all instances share, estimated from answers that told
/// what it was when they were sent.
struct SharedClock {
  std::optional<Milliseconds> Offset_; ///< Of our own; none: not known yet.
};

/// How much of an estimate is given up at each answer, so that it follows a
/// clock that is slower than ours: at one answer a second by one part in 1,000,
/// ten times what clocks of machines differ by.
inline constexpr Milliseconds SharedClockDecay{1};

/// \brief Takes an answer. Answers come late by different times, which makes
/// the clock seem behind; the best estimate counts.
inline void updateSharedClock(SharedClock &State, Milliseconds Told,
                              Milliseconds Now) {
  const Milliseconds Ahead = Told - Now;
  State.Offset_ = State.Offset_
                      ? std::max(Ahead, *State.Offset_ - SharedClockDecay)
                      : Ahead;
}

/// \brief The shared clock at our own time \p Now; 0 while it is not known.
inline Milliseconds sharedClock(const SharedClock &State, Milliseconds Now) {
  return State.Offset_ ? Now + *State.Offset_ : Milliseconds{0};
}

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_SHAREDCLOCK_H
