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
/// from 1 ms, as fine as an objective of some ten milliseconds needs.
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

/// \brief The line that comes before all histograms of a name.
std::string renderHistogramType(std::string_view Name);

/// \brief One label, such as `route="quotes"`, with what would end the value
/// escaped.
std::string renderLabel(std::string_view Name, std::string_view Value);

/// \brief The usual text form for scraping.
///
/// \param Name without the product's prefix.
/// \param Labels such as `outcome="completed"`; may be empty.
std::string renderHistogram(const Histogram &From, std::string_view Name,
                            std::string_view Labels);

} // namespace marjorambend

#endif // MARJORAMBEND_SUPPORT_HISTOGRAM_H
