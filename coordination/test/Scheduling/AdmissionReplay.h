#ifndef MARJORAMBEND_TEST_SCHEDULING_ADMISSIONREPLAY_H
#define MARJORAMBEND_TEST_SCHEDULING_ADMISSIONREPLAY_H

#include <array>
#include <cstdint>
#include <marjorambend/Scheduling>
#include <vector>

namespace marjorambend::test {

/// \brief A kind of job in a replay; times in milliseconds.
struct ReplayKind {
  uint32_t Priority_ = 0;
  double WorkShare_ = 0; ///< Of the offered work.
  double MeanTasks_ = 1;
  uint32_t MaxTasks_ = 1;
  double MeanRunTime_ = 0;
  double Worth_ = 0; ///< Of a job of mean work.
};

/// \brief A load to replay.
struct ReplayOptions {
  uint64_t Seed_ = 1;
  double Load_ = 1.0; ///< Multiple of the workers' cores.
  std::vector<ReplayKind> Kinds_;
  bool IsLeastCost_ = false;
  double EstimateError_ = 0.4; ///< Standard deviation of its log.
  LeastCostOptions LeastCost_;
};

/// \brief Outcomes of the jobs of one priority, or of all.
struct ReplayTally {
  uint32_t Asked_ = 0;
  uint32_t InTime_ = 0;
  uint32_t Late_ = 0;
  double WorthAsked_ = 0;
  double WorthEarned_ = 0;
  double WorkServed_ = 0;
  double WorkAsked_ = 0;
  std::array<uint32_t, 3> AskedBySize_{}; ///< Rest, next fifth, largest tenth.
  std::array<uint32_t, 3> ServedBySize_{};

  ReplayTally &operator+=(const ReplayTally &More);
  double served() const { return (InTime_ + Late_) / (Asked_ + 1e-9); }
  double servedOfSize(std::size_t Band) const {
    return ServedBySize_[Band] / (AskedBySize_[Band] + 1e-9);
  }
};

/// \brief Result of a replay.
struct ReplayResult {
  std::array<ReplayTally, 3> ByPriority_;
  ReplayTally All_;
  std::vector<int64_t> RefusedAfter_; ///< Milliseconds, sorted.
  /// Worth that an oracle earns which knows all run times and arrivals, and is
  /// bound neither by deadlines nor by whole tasks.
  double OracleWorth_ = 0;

  double lateShare() const {
    return All_.Late_ / (All_.Late_ + All_.InTime_ + 1e-9);
  }
  int64_t refusedAfter(double Quantile) const {
    return RefusedAfter_.empty()
               ? 0
               : RefusedAfter_[static_cast<std::size_t>(
                     Quantile * static_cast<double>(RefusedAfter_.size() - 1))];
  }
};

/// \brief The mix of the new deployments.
std::vector<ReplayKind> deploymentKinds();

/// \brief Replays a load of 12 s on workers with 64 or 96 cores.
ReplayResult replay(const ReplayOptions &Options);

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SCHEDULING_ADMISSIONREPLAY_H
