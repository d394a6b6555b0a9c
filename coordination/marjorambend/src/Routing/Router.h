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

/// \brief Whether a worker came out of a failed task ejected.
enum class Verdict : uint8_t { Kept, Ejected };

/// \brief Takes note of a task that failed on a worker.
///
/// \param KindSuccessRate of the task's kind over all workers: a kind that
/// fails everywhere does not count against the worker.
Verdict blameWorker(WorkerTable &Table, const RoutingOptions &Options,
                    uint32_t Index, double KindSuccessRate, Milliseconds Now);

/// \brief Takes note of a task that succeeded on a worker.
void praiseWorker(WorkerTable &Table, uint32_t Index);

} // namespace marjorambend

#endif // MARJORAMBEND_ROUTING_ROUTER_H
