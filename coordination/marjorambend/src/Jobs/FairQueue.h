#ifndef MARJORAMBEND_JOBS_FAIRQUEUE_H
#define MARJORAMBEND_JOBS_FAIRQUEUE_H

#include "marjorambend/src/Support/Identity.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace marjorambend {

/// \brief Number of classes of urgency; class 0 is the most urgent.
inline constexpr std::size_t UrgencyClasses = 3;

/// \brief A job that has tasks waiting for a worker.
struct QueuedJob {
  JobId Id_;
  uint8_t Class_ = 0;
  Milliseconds OrderKey_; ///< Jobs of one team are served by growing key.
};

/// \brief Jobs of one team in one class.
struct TeamQueue {
  double VirtualTime_ = 0; ///< Work served to the team, divided by its weight.
  double Weight_ = 1;
  std::set<std::tuple<Milliseconds, JobId>> Jobs_;
};

/// \brief One class of urgency: start-time fair queuing between teams.
struct ClassQueue {
  double VirtualNow_ = 0;
  std::map<std::string, TeamQueue, std::less<>> Teams_;
  std::set<std::tuple<double, std::string>> Order_; ///< Teams that have jobs.
};

/// \brief Order in which waiting tasks are offered to workers.
///
/// Classes are served in strict order of urgency, the teams of a class by fair
/// shares of work, and the jobs of a team by their order key. The state has one
/// entry for each waiting job and one for each team; each call costs O(log n).
struct FairQueue {
  std::array<ClassQueue, UrgencyClasses> Classes_;
  std::size_t Jobs_ = 0;
};

/// \brief Adds a job; adding it again has no effect.
void pushJob(FairQueue &Queue, std::string_view Team, double Weight,
             const QueuedJob &Job);

/// \brief Removes a job; nothing happens if it is not queued.
void removeJob(FairQueue &Queue, std::string_view Team, const QueuedJob &Job);

/// \brief The job whose task is to be sent next.
std::optional<JobId> frontJob(const FairQueue &Queue);

/// \brief The first jobs in the order in which they are served, at most
/// \p Most.
std::vector<JobId> frontJobs(const FairQueue &Queue, std::size_t Most);

/// \brief Charges \p Work to a team after one of its tasks was sent.
void chargeTeam(FairQueue &Queue, std::string_view Team, uint8_t Class,
                Milliseconds Work);

} // namespace marjorambend

#endif // MARJORAMBEND_JOBS_FAIRQUEUE_H
