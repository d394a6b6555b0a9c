#ifndef MARJORAMBEND_SCHEDULING_OVERLOAD_H
#define MARJORAMBEND_SCHEDULING_OVERLOAD_H

#include "marjorambend/src/Scheduling/LeastCost.h"
#include "marjorambend/src/Scheduling/WaitingQueue.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace marjorambend {

/// \brief Capacity of the workers that the placer may use.
struct FleetCapacity {
  int64_t OpenMilliCores_ = 0;   ///< Of open workers.
  int64_t ListedMilliCores_ = 0; ///< Of workers that should be open soon.
  /// When enough of the listed capacity was last open.
  Milliseconds LastSettledAt_;
};

/// \brief How the jobs to delay and to refuse are chosen.
enum class AdmissionPolicy : uint8_t {
  LatestStart, ///< By latest start and priority.
  LeastCost    ///< \sa reviewAdmission
};

/// \brief Options for the refusal of waiting jobs.
struct OverloadOptions {
  AdmissionPolicy Policy_ = AdmissionPolicy::LatestStart;
  LeastCostOptions LeastCost_;
  /// Whether a job that can only be late is refused while jobs that can be in
  /// time wait; off for comparison.
  bool RefusesLate_ = true;
  /// Whether a job is refused as soon as the work ahead of it makes it late.
  bool Forecasts_ = true;
  /// A job counts as late once the work ahead takes this multiple of its slack;
  /// estimates are off by 40%.
  double ForecastMargin_ = 2.0;
  /// Share of the listed capacity below which workers count as still opening.
  double SettledShare_ = 0.5;
  /// Time after which workers that have not opened are not waited for.
  Milliseconds MaxSettlingTime_{2'000};
};

/// \brief Whether enough of the listed capacity is open.
bool isSettled(const FleetCapacity &Capacity, const OverloadOptions &Options);

/// \brief Whether most workers are not open yet, but are expected to be soon.
///
/// Load pattern: all instances restart and claim the workers again, which takes
/// some hundred milliseconds. Jobs wait because no worker is open, not because
/// there are too many of them.
bool isSettling(const FleetCapacity &Capacity, const OverloadOptions &Options,
                Milliseconds Now);

/// \brief Whether a job that is late and has not started is refused.
///
/// Load pattern: more load than capacity for seconds. A late job would only
/// delay jobs that can be in time.
bool refusesLateJobs(std::size_t JobsInTime, const FleetCapacity &Capacity,
                     const OverloadOptions &Options, Milliseconds Now);

/// \brief A waiting job, as the forecast sees it.
struct ForecastJob {
  WaitingJob Entry_;
  double Work_ = 0; ///< Thousandths of a core times milliseconds.
  bool IsStarted_ = false;
};

/// \brief Returns the jobs that will be late unless others end early.
///
/// Load pattern: more load than capacity for seconds. Without a forecast, a job
/// waits for all of its slack before it is refused.
/// \param Jobs All waiting jobs, in the order of their ranks.
/// \param MilliCoresAtWork Capacity that does the work of the queue.
std::vector<PlacerJobKey> forecastLateJobs(std::span<const ForecastJob> Jobs,
                                           double MilliCoresAtWork,
                                           const OverloadOptions &Options,
                                           Milliseconds Now);

/// \brief Bounds of the retry time in a refusal.
struct RetryAfterOptions {
  Milliseconds MinRetryAfter_{200};
  Milliseconds MaxRetryAfter_{5'000};
  /// Retry time while no worker is open or expected; a worker opens about 50 ms
  /// after it is claimed.
  Milliseconds NoWorkersRetryAfter_{800};
  /// Least retry time of a job that is too large for all workers: until their
  /// next reports have been read.
  Milliseconds TooLargeRetryAfter_{2'100};
};

/// \brief The capacity as far as it is open or about to open, in thousandths of
/// a core.
int64_t expectedMilliCores(const FleetCapacity &Capacity, bool IsSettling);

/// \brief Time until the capacity, as far as it is open or about to open, has
/// done the waiting work.
/// \param Work in thousandths of a core times milliseconds.
Milliseconds backlogTime(double Work, const FleetCapacity &Capacity,
                         bool IsSettling, const RetryAfterOptions &Options);

/// \brief Time after which a refused caller may return.
/// \param Jitter in [0, 1); callers refused together return spread over twice
/// the backlog.
Milliseconds retryAfter(Milliseconds Backlog, double Jitter,
                        const RetryAfterOptions &Options);

} // namespace marjorambend

#endif // MARJORAMBEND_SCHEDULING_OVERLOAD_H
