#ifndef MARJORAMBEND_FLEET_FLEETTYPES_H
#define MARJORAMBEND_FLEET_FLEETTYPES_H

#include "marjorambend/src/Fleet/Room.h"
#include "marjorambend/src/Support/Identity.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace marjorambend {

/// \brief A worker as described in the platform's list.
struct WorkerReport {
  std::string Id_;
  std::string Service_; ///< It runs tasks of routes with this service.
  std::string Address_;
  uint16_t Port_ = 0;
  std::string DataCentre_;
  std::vector<std::string> Labels_; ///< Machine type and rack.
  Room Capacity_;
  bool IsDraining_ = false; ///< It will leave and gets no new work.
  int64_t Incarnation_ = 0; ///< Start time of the worker process, Unix
                            ///< milliseconds; identifies its incarnation.

  friend bool operator==(const WorkerReport &A, const WorkerReport &B) {
    return std::tie(A.Id_, A.Service_, A.Address_, A.Port_, A.DataCentre_,
                    A.Labels_, A.Capacity_, A.IsDraining_, A.Incarnation_) ==
           std::tie(B.Id_, B.Service_, B.Address_, B.Port_, B.DataCentre_,
                    B.Labels_, B.Capacity_, B.IsDraining_, B.Incarnation_);
  }
};

/// \brief Service, priority and latency objective for one kind of job.
struct Route {
  std::string Name_;
  std::string Host_;
  std::string Prefix_; ///< The longest matching prefix selects the route.
  std::string Service_;
  uint32_t Priority_ = 0;      ///< 0 is the most urgent.
  uint32_t MaxAttempts_ = 1;   ///< Failed runs of a task before its job fails.
  double StretchFactor_ = 1.0; ///< Objective: this times the estimate...
  Milliseconds TargetLatency_{0}; ///< ...plus this.
  bool NeedsApproval_ = false;    ///< Needs external approval; not supported.
};

/// \brief One version of the configuration.
struct FleetConfig {
  uint64_t Version_ = 0;
  std::vector<Route> Routes_;
};

/// \brief A job as submitted by a caller: identical tasks that run in parallel.
struct JobSubmission {
  uint64_t Token_ = 0; ///< Identifies the caller's open request.
  uint64_t Id_ = 0;    ///< The job identity chosen by the caller.
  std::string Host_;
  std::string Path_; ///< The path up to the identity.
  std::string Spec_;
  uint32_t Tasks_ = 0;
  Room Needs_;            ///< Of each task.
  Milliseconds Estimate_; ///< Rough run time of each task.
  std::string Label_;     ///< Label that the worker must have, if not empty.
  std::string DataRack_;  ///< Rack that holds the data, if not empty.
  uint32_t MaxPerWorker_ = 0;  ///< Tasks on one worker at most; 0: no limit.
  Milliseconds CallerTimeout_; ///< How long the caller waits; 0: unknown.
};

/// \brief Identifies one attempt to run a task.
struct RunId {
  uint64_t Job_ = 0; ///< The job identity chosen by the caller.
  uint32_t Task_ = 0;
  uint32_t Attempt_ = 0; ///< Increases with each start of the task, from 1.

  friend bool operator==(const RunId &A, const RunId &B) {
    return std::tie(A.Job_, A.Task_, A.Attempt_) ==
           std::tie(B.Job_, B.Task_, B.Attempt_);
  }
  friend auto operator<=>(const RunId &A, const RunId &B) {
    return std::tie(A.Job_, A.Task_, A.Attempt_) <=>
           std::tie(B.Job_, B.Task_, B.Attempt_);
  }
};

/// \brief How a run has ended. The run is known not to be running any more.
enum class RunEnd : uint8_t {
  Done,
  Failed,     ///< By an error of the task or the worker.
  Stopped,    ///< By a stop order.
  Lost,       ///< The lease has expired, or the worker has restarted.
  NotStarted, ///< The start was rejected, or cancelled before it arrived.
  Superseded, ///< Rejected: this or a later attempt has ended there.
};

/// \brief Returns the name used in logs.
const char *nameOf(RunEnd End);

/// \brief Description that an instance sends of itself.
struct InstanceInfo {
  Incarnation Run_;
  std::string Name_;
  std::string DataCentre_;
  uint32_t CpuShare_ = 0; ///< Thousandths of a core.
  std::string Address_;   ///< Where it listens for other instances.
  uint16_t Port_ = 0;
};

/// \brief A held worker, as its holder reports it to other instances.
struct HeldWorker {
  WorkerReport Report_;
  bool IsOpen_ = false;   ///< It accepts new runs.
  double Slowness_ = 1.0; ///< Learnt ratio of run times to their estimates.
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEETTYPES_H
