#ifndef MARJORAMBEND_SCHEDULING_WAITINGQUEUE_H
#define MARJORAMBEND_SCHEDULING_WAITINGQUEUE_H

#include "marjorambend/src/Support/Identity.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace marjorambend {

/// \brief Identifies a job by its origin and its number there.
using PlacerJobKey = std::pair<Incarnation, uint64_t>;

/// \brief Entry of a job in the queue of waiting jobs.
struct WaitingJob {
  Milliseconds Rank_; ///< Latest start; later for less urgent jobs.
  PlacerJobKey Key_;
  Milliseconds LatestStart_;
  int64_t MilliCores_ = 0; ///< Need of each task.

  friend bool operator<(const WaitingJob &A, const WaitingJob &B) {
    return std::tie(A.Rank_, A.Key_) < std::tie(B.Rank_, B.Key_);
  }
};

/// \brief Jobs with waiting tasks, ordered by rank and grouped by need.
///
/// Load pattern: at more than twice the capacity hundreds of jobs wait, and
/// some cores become free with each of thousands of ends of runs a second. The
/// groups let the next job that fits be found without a scan of those that do
/// not, so that the cost of an end does not grow with the number of jobs that
/// wait.
struct WaitingQueue {
  std::map<int, std::set<WaitingJob>> ByNeed_; ///< \sa needGroup
  std::size_t Size_ = 0;
};

/// \brief Group of jobs with similar needs; greater needs are in higher groups.
int needGroup(int64_t MilliCores);

void addToQueue(WaitingQueue &Queue, const WaitingJob &Job);
void removeFromQueue(WaitingQueue &Queue, const WaitingJob &Job);

/// \brief Returns the first job by rank that needs at most \p MaxMilliCores;
/// if \p After is set, the first one behind it.
std::optional<WaitingJob>
nextThatFits(const WaitingQueue &Queue, int64_t MaxMilliCores,
             const std::optional<WaitingJob> &After = std::nullopt);

} // namespace marjorambend

#endif // MARJORAMBEND_SCHEDULING_WAITINGQUEUE_H
