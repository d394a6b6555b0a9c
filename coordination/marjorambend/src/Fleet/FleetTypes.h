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

/// \brief What a worker says of itself in the platform's list.
struct WorkerReport {
  std::string Id_;
  std::string Service_; ///< The routes of this service may run here.
  std::string Address_;
  uint16_t Port_ = 0;
  std::string DataCentre_;
  std::vector<std::string> Labels_; ///< Kind of machine and rack.
  Room Capacity_;
  bool IsDraining_ = false; ///< It will leave; it gets no new work.
  int64_t Incarnation_ = 0; ///< Start of this life, Unix milliseconds.

  friend bool operator==(const WorkerReport &A, const WorkerReport &B) {
    return std::tie(A.Id_, A.Service_, A.Address_, A.Port_, A.DataCentre_,
                    A.Labels_, A.Capacity_, A.IsDraining_, A.Incarnation_) ==
           std::tie(B.Id_, B.Service_, B.Address_, B.Port_, B.DataCentre_,
                    B.Labels_, B.Capacity_, B.IsDraining_, B.Incarnation_);
  }
};

/// \brief Where callers' jobs of one kind go, and what is aimed at for them.
struct Route {
  std::string Name_;
  std::string Host_;
  std::string Prefix_; ///< The longest matching prefix selects the route.
  std::string Service_;
  uint32_t Priority_ = 0;         ///< 0 is the most urgent.
  uint32_t MaxAttempts_ = 1;      ///< Failed runs of one task before it fails.
  double StretchFactor_ = 1.0;    ///< Latency objective in ideal run times...
  Milliseconds TargetLatency_{0}; ///< ...plus this.
  bool NeedsApproval_ = false;    ///< Workers need an external approval.
};

/// \brief One version of the configuration.
struct FleetConfig {
  uint64_t Version_ = 0;
  std::vector<Route> Routes_;
};

/// \brief A job as a caller submitted it: equal tasks that run in parallel.
struct JobSubmission {
  uint64_t Token_ = 0; ///< The caller's open request.
  uint64_t Id_ = 0;    ///< The caller's identity of the job.
  std::string Host_;
  std::string Path_; ///< The path up to the identity.
  std::string Spec_;
  uint32_t Tasks_ = 0;
  Room Needs_;            ///< Of each task.
  Milliseconds Estimate_; ///< Of each task's run time, rough.
  std::string Label_;     ///< A label that the worker must have, if not empty.
  std::string DataRack_;  ///< The rack with the data, if not empty.
  uint32_t MaxPerWorker_ = 0;  ///< Most tasks on one worker; 0: any number.
  Milliseconds CallerTimeout_; ///< How long the caller waits; 0: unknown.
};

/// \brief One start of one task.
struct RunId {
  uint64_t Job_ = 0; ///< The caller's identity of the job.
  uint32_t Task_ = 0;
  uint32_t Attempt_ = 0; ///< Counts the task's starts, from 1.

  friend bool operator==(const RunId &A, const RunId &B) {
    return std::tie(A.Job_, A.Task_, A.Attempt_) ==
           std::tie(B.Job_, B.Task_, B.Attempt_);
  }
  friend auto operator<=>(const RunId &A, const RunId &B) {
    return std::tie(A.Job_, A.Task_, A.Attempt_) <=>
           std::tie(B.Job_, B.Task_, B.Attempt_);
  }
};

/// \brief How a run has ended. Nothing of it runs any more.
enum class RunEnd : uint8_t {
  Done,
  Failed,     ///< By its own fault or the worker's.
  Stopped,    ///< On order.
  Lost,       ///< Its lease has lapsed, or the worker's life is over.
  NotStarted, ///< It was refused, or cancelled before it was there.
  Superseded, ///< Refused: this attempt or a later one has ended there.
};

/// \brief Name of an end in logs.
const char *nameOf(RunEnd End);

/// \brief Another instance, as it introduces itself.
struct InstanceInfo {
  Incarnation Run_;
  std::string Name_;
  std::string DataCentre_;
  uint32_t CpuShare_ = 0; ///< Thousandths of a core.
  std::string Address_;   ///< Where it listens for other instances.
  uint16_t Port_ = 0;
};

/// \brief A worker that an instance holds, as it tells the others.
struct HeldWorker {
  WorkerReport Report_;
  bool IsOpen_ = false;   ///< New runs are taken.
  double Slowness_ = 1.0; ///< Learnt run time by the estimates.
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEETTYPES_H
