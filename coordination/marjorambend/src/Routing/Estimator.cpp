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

// The weight of an observation decreases with the number of samples, down to
// LearningRate_.
static double observationWeight(const RoutingOptions &Options,
                                uint64_t Samples) {
  return std::max(Options.LearningRate_,
                  0.5 / static_cast<double>(std::max<uint64_t>(1, Samples)));
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
                std::string_view Kind, SpeedEstimate &Speed,
                Milliseconds Elapsed) {
  KindEstimate &Entry = internal::entryOf(Learned, Kind);
  const double Observed = std::max(1.0, static_cast<double>(Elapsed.Count_));
  ++Entry.Samples_;
  if (Entry.Samples_ == 1) {
    Entry.RunMs_ = Observed / Speed.Slowness_;
    return;
  }
  ++Speed.Samples_;
  const double Expected = Entry.RunMs_ * Speed.Slowness_;
  const double Bound = Options.MaxObservationRatio_;
  const double Step = std::clamp(Observed / Expected, 1.0 / Bound, Bound) - 1.0;
  const double KindRate = internal::observationWeight(Options, Entry.Samples_);
  const double SpeedRate = internal::observationWeight(Options, Speed.Samples_);
  Speed.Slowness_ =
      std::clamp(Speed.Slowness_ * (1 + SpeedRate * Step), 0.05, 50.0);
  Entry.RunMs_ = std::max(1.0, Entry.RunMs_ * (1 + KindRate * Step));
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
