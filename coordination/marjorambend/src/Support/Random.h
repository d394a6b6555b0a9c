#ifndef MARJORAMBEND_SUPPORT_RANDOM_H
#define MARJORAMBEND_SUPPORT_RANDOM_H

#include <cstdint>
#include <pcg_random.hpp>

namespace marjorambend {

/// \brief Seeded generator for all random choices of decision code.
using Random = pcg64;

/// \brief A whole number from 0 up to, but not including, \p Bound; \p Bound is
/// at least 1.
inline uint64_t uniformBelow(Random &Generator, uint64_t Bound) {
  return Generator() % Bound;
}

/// \brief A number from 0 up to, but not including, 1.
inline double uniformUnit(Random &Generator) {
  constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
  return static_cast<double>(Generator() >> 11U) * Scale;
}

} // namespace marjorambend

#endif // MARJORAMBEND_SUPPORT_RANDOM_H
