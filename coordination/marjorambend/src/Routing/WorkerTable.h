#ifndef MARJORAMBEND_ROUTING_WORKERTABLE_H
#define MARJORAMBEND_ROUTING_WORKERTABLE_H

#include "marjorambend/src/Routing/Estimator.h"
#include "marjorambend/src/Routing/RoutingTypes.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorambend {

/// \brief What an instance knows of one worker's backend server.
struct Worker {
  WorkerSpec Spec_;
  bool IsListed_ = true;     ///< Present in the latest list.
  bool IsDrained_ = false;   ///< By an operator.
  uint32_t Outstanding_ = 0; ///< Tasks of this instance under way.
  uint32_t PeerUse_ = 0;     ///< Slots used by or kept for other instances.
  uint32_t Share_ = 0;       ///< Slots that this instance is entitled to.
  uint32_t ConcurrencyLimit_ = UINT32_MAX; ///< See lowerConcurrencyLimit.
  SpeedEstimate Speed_;
  uint32_t ConsecutiveFailures_ = 0; ///< Failures since the last success.
  uint32_t Ejections_ = 0; ///< Successive ejections; each doubles the time.
  bool IsProbing_ = false; ///< The next task decides whether the ejection ends.
  Milliseconds EjectedUntil_;
  Milliseconds PausedUntil_;  ///< After a refusal.
  Milliseconds LeavingUntil_; ///< Reported that it is leaving; then retried.
};

/// \brief The workers of one data centre. Indices remain valid.
struct WorkerTable {
  std::vector<Worker> Workers_;
  std::unordered_map<std::string, uint32_t> Index_;
  uint32_t NextRoundRobin_ = 0;
};

/// \brief Updates the table from the platform's list.
///
/// Workers that are no longer listed get no new task, and keep their index.
void updateWorkers(WorkerTable &Table, std::span<const WorkerSpec> Listed);

/// \brief Whether the worker takes tasks, regardless of pauses and free slots.
bool isAvailable(const Worker &Candidate, Milliseconds Now);

/// \brief Whether a task may be sent to the worker now, regardless of free
/// slots.
bool isEligible(const Worker &Candidate, Milliseconds Now);

/// \brief Slots that this instance may use at present.
uint32_t slotLimit(const Worker &Candidate);

/// \brief Lowers the concurrency limit to the tasks in flight, after a worker
/// had no free slot; successes raise it again one by one.
void lowerConcurrencyLimit(Worker &Full);

/// \brief Raises the concurrency limit by one after a success.
void raiseConcurrencyLimit(Worker &Free);

/// \brief Number of workers that may get tasks, and their slots for this
/// instance.
struct Capacity {
  uint32_t Workers_ = 0;
  uint32_t Slots_ = 0; ///< Usable at present, or entitled to if that is more.
  uint32_t FreeSlots_ = 0;
};

/// \brief Sums up the available workers.
Capacity capacityOf(const WorkerTable &Table, Milliseconds Now);

/// \brief The worker with that name, if it was ever listed.
std::optional<uint32_t> findWorker(const WorkerTable &Table,
                                   std::string_view Name);

} // namespace marjorambend

#endif // MARJORAMBEND_ROUTING_WORKERTABLE_H
