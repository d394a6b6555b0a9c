#ifndef MARJORAMBEND_SUPPORT_HISTOGRAM_H
#define MARJORAMBEND_SUPPORT_HISTOGRAM_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Upper bounds of the buckets, in milliseconds: two for each doubling
/// from 1 ms, which is fine enough for latency objectives of some ten
/// milliseconds.
inline constexpr std::array<int64_t, 24> HistogramBounds{
    1,  2,   3,   4,   6,   8,   12,  16,   24,   32,   48,   64,
    96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 4096, 8192};

/// \brief Durations counted in buckets of fixed bounds.
struct Histogram {
  std::array<uint64_t, HistogramBounds.size() + 1> Buckets_{};
  int64_t Sum_ = 0; ///< Milliseconds.
  uint64_t Count_ = 0;
};

/// \brief Counts one duration.
void observe(Histogram &Into, Milliseconds Time);

/// \brief Renders the TYPE line, which precedes all histograms of a name.
std::string renderHistogramType(std::string_view Name);

/// \brief Renders one label, such as `route="quotes"`, with its value escaped.
std::string renderLabel(std::string_view Name, std::string_view Value);

/// \brief Renders a histogram in the Prometheus text format.
///
/// \param Name without the prefix `marjorambend_`.
/// \param Labels such as `outcome="completed"`; may be empty.
std::string renderHistogram(const Histogram &From, std::string_view Name,
                            std::string_view Labels);

} // namespace marjorambend

#endif // MARJORAMBEND_SUPPORT_HISTOGRAM_H
