#ifndef MARJORAMBEND_ADMISSION_ADMISSION_H
#define MARJORAMBEND_ADMISSION_ADMISSION_H

#include "marjorambend/src/Jobs/FairQueue.h"
#include "marjorambend/src/Jobs/JobTypes.h"
#include "marjorambend/src/Support/Random.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace marjorambend {

/// \brief Bounds of the queue of one instance.
struct AdmissionOptions {
  std::size_t MaxQueuedTasks_ = 50'000;
  std::size_t MaxQueuedBytes_ = 64U << 20U;
  Milliseconds MaxWait_{1'500}; ///< Longest wait for a slot, unless the job's
                                ///< own run time is longer.
  double DeadlineMargin_ = 1.0; ///< Share of the deadline that may be used.
  Milliseconds MinRetryAfter_{50};
  Milliseconds MaxRetryAfter_{10'000};
};

/// \brief Counts of queued and unfinished work.
struct Admission {
  std::size_t QueuedTasks_ = 0;
  std::size_t QueuedBytes_ = 0;
  std::array<double, UrgencyClasses> QueuedWorkMs_{}; ///< By class of urgency.
  std::map<std::string, uint32_t, std::less<>> TeamTasks_; ///< Not yet done.
};

/// \brief Properties of a job that admission depends on.
struct JobDemand {
  std::string_view Team_;
  uint8_t Class_ = 0;
  std::size_t Tasks_ = 0;
  std::size_t Bytes_ = 0;
  double TaskMs_ = 0;      ///< Expected run time of one task.
  double AheadMs_ = 0;     ///< Queued work that is served first.
  Milliseconds Remaining_; ///< Until the deadline.
  uint32_t TeamQuota_ = 0; ///< Most tasks of the team here; 0: no quota.
};

/// \brief A refusal with its Retry-After time.
struct Refusal {
  Reason Reason_ = Reason::QueueFull;
  Milliseconds RetryAfter_;
};

/// \brief Decides whether a job can be complete before its deadline, within
/// the bounds and the team's quota.
///
/// A longer queue adds waiting time but no throughput, so a job that would wait
/// longer than the bound is refused with a Retry-After time.
///
/// \param Slots tasks that the instance may run at a time.
tl::expected<void, Refusal> admit(const Admission &State,
                                  const AdmissionOptions &Options,
                                  const JobDemand &Demand, uint32_t Slots,
                                  Random &Generator);

/// \brief Expected time until a new job of that class gets its first slot.
Milliseconds expectedWait(const Admission &State, uint8_t Class,
                          uint32_t Slots);

/// \brief Adds jitter to a Retry-After time, so that refused callers do not all
/// return at once: from \p Base up to twice that.
Milliseconds spreadRetryAfter(const AdmissionOptions &Options,
                              Milliseconds Base, Random &Generator);

/// \brief Counts an admitted job.
void recordAdmitted(Admission &State, const JobDemand &Demand);

/// \brief Counts tasks that left the queue, started or dropped.
void recordDequeued(Admission &State, uint8_t Class, std::size_t Tasks,
                    std::size_t Bytes, double TaskMs);

/// \brief Counts a task that is queued again after a refusal.
void recordRequeued(Admission &State, uint8_t Class, std::size_t Bytes,
                    double TaskMs);

/// \brief Counts tasks of a team that are done or dropped.
void recordDone(Admission &State, std::string_view Team, std::size_t Tasks);

} // namespace marjorambend

#endif // MARJORAMBEND_ADMISSION_ADMISSION_H
