#include "marjorambend/src/Transport/AdaptiveTimeout.h"

#include <algorithm>
#include <cmath>

namespace marjorambend {

// Gains of RFC 6298.
static constexpr double MeanGain = 1.0 / 8;
static constexpr double DeviationGain = 1.0 / 4;
static constexpr double Deviations = 4;
static constexpr double UnansweredGain = 1.0 / 16;
// A single worker that loses some of its answers (users expect up to a tenth)
// must not lengthen the timeout of all calls.
static constexpr double ManyUnanswered = 0.35;
// At twice that share the link is practically unusable; the timeout doubles
// again.
static constexpr double MostUnanswered = 2 * ManyUnanswered;

void recordAnswer(AnswerStats &Known, Milliseconds Took) {
  const auto Sample = static_cast<double>(Took.Count_);
  if (Known.Mean_ == 0) {
    Known.Mean_ = Sample;
    Known.Deviation_ = Sample / 2;
  } else {
    Known.Deviation_ +=
        DeviationGain * (std::abs(Sample - Known.Mean_) - Known.Deviation_);
    Known.Mean_ += MeanGain * (Sample - Known.Mean_);
  }
  Known.UnansweredShare_ -= UnansweredGain * Known.UnansweredShare_;
}

void recordMissingAnswer(AnswerStats &Known) {
  Known.UnansweredShare_ += UnansweredGain * (1 - Known.UnansweredShare_);
}

Milliseconds computeTimeout(const AnswerStats &Known,
                            const TimeoutBounds &Bounds) {
  double Wait = Known.Mean_ + Deviations * Known.Deviation_;
  Wait = std::max(Wait, static_cast<double>(Bounds.Least_.Count_));
  if (Known.UnansweredShare_ > ManyUnanswered)
    Wait *= Known.UnansweredShare_ > MostUnanswered ? 4 : 2;
  return {std::min(static_cast<int64_t>(std::ceil(Wait)), Bounds.Most_.Count_)};
}

} // namespace marjorambend
