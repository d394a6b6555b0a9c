#ifndef MARJORAMBEND_ROUTING_ROUTER_H
#define MARJORAMBEND_ROUTING_ROUTER_H

#include "marjorambend/src/Routing/WorkerTable.h"
#include "marjorambend/src/Support/Random.h"

#include <optional>

namespace marjorambend {

/// \brief Chooses the worker for the next task.
///
/// A task waits if a faster worker is expected to finish it sooner than the
/// best one with a free slot, the tasks that wait before it included.
///
/// \param RunMs  expected run time of the task on a worker of slowness 1.
/// \param Waiting  tasks that wait at this instance, this one included.
/// \returns the index of the worker; nothing if the task has to wait.
/// \sa RoutingPolicy
std::optional<uint32_t> chooseWorker(WorkerTable &Table,
                                     const RoutingOptions &Options,
                                     double RunMs, std::size_t Waiting,
                                     Random &Generator, Milliseconds Now);

/// \brief Whether recordFailure() has ejected the worker.
enum class EjectionResult : uint8_t { Kept, Ejected };

/// \brief Records a failed task; ejects the worker after too many in a row.
///
/// \param KindSuccessRate of the task's kind over all workers: a kind that
/// fails everywhere does not count against the worker.
EjectionResult recordFailure(WorkerTable &Table, const RoutingOptions &Options,
                             uint32_t Index, double KindSuccessRate,
                             Milliseconds Now);

/// \brief Records a successful task; resets the failures and ends probing.
void recordSuccess(WorkerTable &Table, uint32_t Index);

} // namespace marjorambend

#endif // MARJORAMBEND_ROUTING_ROUTER_H
