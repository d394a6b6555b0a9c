#ifndef MARJORAMBEND_FLEET_SHAREDCLOCK_H
#define MARJORAMBEND_FLEET_SHAREDCLOCK_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <algorithm>
#include <optional>

namespace marjorambend {

/// \brief Estimate of a clock that all instances share, from answers that
/// contain its time when they were sent.
struct SharedClock {
  std::optional<Milliseconds> Offset_; ///< Shared minus local; none: unknown.
};

/// Amount by which each answer lowers the estimate, so that it follows a clock
/// that is slower than the local one: with one answer a second by 1 part in
/// 1,000, ten times the usual drift between machines.
inline constexpr Milliseconds SharedClockDecay{1};

/// \brief Updates the estimate from an answer that contains the shared clock's
/// time \p SharedTime and was received at the local time \p Now. Delays of
/// answers vary and make the shared clock seem behind, so the highest offset is
/// the best estimate.
inline void updateSharedClock(SharedClock &State, Milliseconds SharedTime,
                              Milliseconds Now) {
  const Milliseconds Ahead = SharedTime - Now;
  State.Offset_ = State.Offset_
                      ? std::max(Ahead, *State.Offset_ - SharedClockDecay)
                      : Ahead;
}

/// \brief Returns the shared clock at the local time \p Now; 0 while it is
/// unknown.
inline Milliseconds sharedClock(const SharedClock &State, Milliseconds Now) {
  return State.Offset_ ? Now + *State.Offset_ : Milliseconds{0};
}

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_SHAREDCLOCK_H
