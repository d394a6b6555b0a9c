#include "marjorambend/src/Routing/Estimator.h"

#include <algorithm>

namespace marjorambend {
namespace internal {

static KindEstimate &entryOf(Estimator &Learned, std::string_view Kind) {
  const auto Found = Learned.Kinds_.find(Kind);
  if (Found != Learned.Kinds_.end())
    return Found->second;
  return Learned.Kinds_.emplace(std::string(Kind), KindEstimate{})
      .first->second;
}

} // namespace internal

double expectedRunMs(const Estimator &Learned, std::string_view Kind,
                     Milliseconds Hint) {
  const auto Found = Learned.Kinds_.find(Kind);
  if (Found == Learned.Kinds_.end() || Found->second.Samples_ == 0)
    return std::max(1.0, static_cast<double>(Hint.Count_));
  return Found->second.RunMs_;
}

void observeRun(Estimator &Learned, const RoutingOptions &Options,
                std::string_view Kind, double &Slowness, Milliseconds Elapsed) {
  KindEstimate &Entry = internal::entryOf(Learned, Kind);
  const double Observed = std::max(1.0, static_cast<double>(Elapsed.Count_));
  ++Entry.Samples_;
  if (Entry.Samples_ == 1) {
    Entry.RunMs_ = Observed / Slowness;
    return;
  }
  const double Expected = Entry.RunMs_ * Slowness;
  const double Bound = Options.ObservationBound_;
  const double Ratio = std::clamp(Observed / Expected, 1.0 / Bound, Bound);
  const double Rate = Options.LearningRate_;
  Slowness = std::clamp(Slowness * (1 + Rate * (Ratio - 1)), 0.05, 50.0);
  Entry.RunMs_ = std::max(1.0, Entry.RunMs_ * (1 + Rate * (Ratio - 1)));
}

void observeSuccess(Estimator &Learned, const RoutingOptions &Options,
                    std::string_view Kind, bool IsSuccess) {
  KindEstimate &Entry = internal::entryOf(Learned, Kind);
  const double Target = IsSuccess ? 1.0 : 0.0;
  Entry.SuccessRate_ += Options.LearningRate_ * (Target - Entry.SuccessRate_);
}

double successRate(const Estimator &Learned, std::string_view Kind) {
  const auto Found = Learned.Kinds_.find(Kind);
  return Found == Learned.Kinds_.end() ? 1.0 : Found->second.SuccessRate_;
}

} // namespace marjorambend
