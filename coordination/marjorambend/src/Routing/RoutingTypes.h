#ifndef MARJORAMBEND_ROUTING_ROUTINGTYPES_H
#define MARJORAMBEND_ROUTING_ROUTINGTYPES_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <cstdint>
#include <string>

namespace marjorambend {

/// \brief How a worker is chosen for a task; all but the first are baselines.
enum class RoutingPolicy : uint8_t {
  EarliestCompletion, ///< Learned run time on a worker with a free slot.
  LeastOutstanding,   ///< Fewest tasks of this instance, no slot limit.
  RoundRobin,         ///< In turn, no slot limit.
  RandomChoice        ///< Uniformly, no slot limit.
};

/// \brief Parameters of routing.
struct RoutingOptions {
  RoutingPolicy Policy_ = RoutingPolicy::EarliestCompletion;
  double LearningRate_ = 0.1; ///< Weight of an observation after the first.
  double MaxObservationRatio_ = 4.0; ///< To the estimate; larger is clamped.
  uint32_t ConsecutiveFailures_ = 5; ///< Failures in a row that eject a worker.
  double MaxEjectedShare_ = 0.2;     ///< Largest share ejected at a time.
  double MinKindSuccessRate_ = 0.5;  ///< Failures of worse kinds do not count.
  Milliseconds EjectionBase_{2'000};
  Milliseconds EjectionMax_{60'000};
  Milliseconds RefusalPause_{100}; ///< After a refusal for lack of slots.
  Milliseconds DeniedPause_{500}; ///< Likewise, when the retry budget is empty.
  Milliseconds ConnectPause_{1'000};  ///< After a connection was refused.
  Milliseconds LeavingPause_{60'000}; ///< After it reports that it is leaving.
};

/// \brief A backend server as the platform's list describes it.
struct WorkerSpec {
  std::string Name_;
  std::string Address_; ///< IP number.
  uint16_t Port_ = 0;
  std::string DataCentre_;
  uint32_t Slots_ = 0;       ///< Tasks it runs at a time.
  uint32_t Connections_ = 0; ///< Connections it accepts from all instances.
  bool Leaving_ = false;
};

} // namespace marjorambend

#endif // MARJORAMBEND_ROUTING_ROUTINGTYPES_H
