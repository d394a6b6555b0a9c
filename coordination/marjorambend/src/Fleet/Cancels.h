#ifndef MARJORAMBEND_FLEET_CANCELS_H
#define MARJORAMBEND_FLEET_CANCELS_H

#include "marjorambend/src/Fleet/FleetTypes.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace marjorambend {

/// \brief What became of a caller's request to cancel a job.
enum class CancelResult : uint8_t {
  Unknown,   ///< An instance that may have the job has not answered.
  NotFound,  ///< No instance has the job open.
  Cancelled, ///< The job is answered as cancelled and its runs are stopped.
};

/// \brief A request to cancel a job that other instances are asked about.
struct PendingCancel {
  std::vector<uint64_t> Tokens_;    ///< Open requests of callers.
  std::vector<Incarnation> Askers_; ///< Instances that wait for the result.
  std::set<Incarnation> Awaited_;   ///< Instances that have not answered.
  bool IsUncertain_ = false;        ///< An instance was lost or does not know.
  Milliseconds Until_;
};

/// \brief By the job identity chosen by the caller.
using PendingCancels = std::map<uint64_t, PendingCancel>;

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_CANCELS_H
