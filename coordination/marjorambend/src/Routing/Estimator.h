#ifndef MARJORAMBEND_ROUTING_ESTIMATOR_H
#define MARJORAMBEND_ROUTING_ESTIMATOR_H

#include "marjorambend/src/Routing/RoutingTypes.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Estimates for one task kind.
struct KindEstimate {
  double RunMs_ = 0; ///< Run time on a worker of slowness 1, in milliseconds.
  double SuccessRate_ = 1; ///< Smoothed share of tasks that succeed.
  uint64_t Samples_ = 0;
};

/// \brief Estimated speed of one worker.
struct SpeedEstimate {
  double Slowness_ = 1; ///< Run time relative to the fleet's.
  uint64_t Samples_ = 0;
};

/// \brief Learned run times and success rates, by kind.
struct Estimator {
  std::map<std::string, KindEstimate, std::less<>> Kinds_;
};

/// \brief Expected run time on a worker of slowness 1, in milliseconds.
/// \param Hint used until the kind has been observed.
double expectedRunMs(const Estimator &Learned, std::string_view Kind,
                     Milliseconds Hint);

/// \brief Learns from a task that succeeded.
///
/// Splits the observation between the kind and the worker: the product of the
/// kind's run time and the worker's slowness approaches what is observed.
/// The first observations of a worker or a kind weigh more than later ones.
/// \param Speed the worker's, updated in place.
void observeRun(Estimator &Learned, const RoutingOptions &Options,
                std::string_view Kind, SpeedEstimate &Speed,
                Milliseconds Elapsed);

/// \brief Learns whether a task of a kind succeeded.
void observeSuccess(Estimator &Learned, const RoutingOptions &Options,
                    std::string_view Kind, bool IsSuccess);

/// \brief Smoothed share of tasks of a kind that succeed; 1 if unknown.
double successRate(const Estimator &Learned, std::string_view Kind);

} // namespace marjorambend

#endif // MARJORAMBEND_ROUTING_ESTIMATOR_H
