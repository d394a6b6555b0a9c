#ifndef MARJORAMBEND_SUPPORT_COUNTERS_H
#define MARJORAMBEND_SUPPORT_COUNTERS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief All exported counters; see Counters.def for names and meanings.
enum class Counter : uint8_t {
#define MARJORAMBEND_COUNTER(Id, Name, Help) Id,
#include "marjorambend/src/Support/Counters.def"
#undef MARJORAMBEND_COUNTER
  Last
};

inline constexpr std::size_t CounterCount =
    static_cast<std::size_t>(Counter::Last);

/// \brief Monotonically growing counts, one for each Counter.
struct Counters {
  std::array<uint64_t, CounterCount> Values_{};
};

/// \brief Adds \p Amount to one counter.
inline void increment(Counters &All, Counter Which, uint64_t Amount = 1) {
  All.Values_[static_cast<std::size_t>(Which)] += Amount;
}

/// \brief The count so far.
inline uint64_t valueOf(const Counters &All, Counter Which) {
  return All.Values_[static_cast<std::size_t>(Which)];
}

/// \brief Exported name without the prefix `marjorambend_`.
std::string_view counterName(Counter Which);

/// \brief Renders a gauge in the Prometheus text format.
///
/// \param Name without the prefix `marjorambend_`.
std::string renderGauge(std::string_view Name, uint64_t Value);

/// \brief Renders a gauge of value 1 whose label is the version of the build.
std::string renderBuildInfo(std::string_view Version);

/// \brief Renders all counters in the Prometheus text format.
std::string renderCounters(const Counters &All);

} // namespace marjorambend

#endif // MARJORAMBEND_SUPPORT_COUNTERS_H
