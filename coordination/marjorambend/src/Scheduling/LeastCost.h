#ifndef MARJORAMBEND_SCHEDULING_LEASTCOST_H
#define MARJORAMBEND_SCHEDULING_LEASTCOST_H

#include "marjorambend/src/Scheduling/FairShares.h"
#include "marjorambend/src/Scheduling/WaitingQueue.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <span>
#include <string_view>
#include <vector>

namespace marjorambend {

/// \brief Options for admission by least cost.
struct LeastCostOptions {
  /// Share of a job's slack within which it should start. Estimates are off by
  /// 40%, so a job that starts at the end of its slack often ends late.
  double StartMargin_ = 0.5;
  /// A class above its share is still admitted, so that no worker becomes idle,
  /// up to this queue in time of the capacity. A longer one delays priority 0,
  /// which has about 50 ms to start.
  Milliseconds MaxQueueAboveShare_{40};
  /// Part of its share that a class may lack before others yield to it.
  double ShareTolerance_ = 0.05;
  /// Share of the open cores that must be reserved for the policy to apply.
  /// Tasks of half a worker leave about a tenth of the cores unused.
  double BusyShare_ = 0.8;
  FairShareOptions Shares_;
};

/// \brief A waiting job, as the admission sees it.
struct AdmissionJob {
  PlacerJobKey Key_;
  JobSize Size_;
  double WaitingWork_ = 0; ///< Thousandths of a core times milliseconds.
  Milliseconds StartBy_;   ///< \sa startBy
  bool IsStarted_ = false;
  bool IsAdmitted_ = false; ///< By an earlier review.
};

/// \brief A job to refuse, with the cause for the log.
struct AdmissionRefusal {
  PlacerJobKey Key_;
  std::string_view Why_;
};

/// \brief Decisions of one review; jobs that are not refused are admitted.
struct AdmissionReview {
  std::vector<PlacerJobKey> Admitted_; ///< By this review.
  std::vector<AdmissionRefusal> Refused_;
};

/// \brief Time by which a job should start.
Milliseconds startBy(Milliseconds ArrivedAt, Milliseconds LatestStart,
                     const LeastCostOptions &Options);

/// \brief Selects the jobs to admit so that those refused cost callers least.
///
/// Load pattern: more load than capacity for seconds, of several priorities. A
/// job that does not fit is refused when it arrives, instead of after its slack
/// or at the cost of a larger one. Walks the jobs by the time by which they
/// should start (Moore and Hodgson): once one would start later, the class with
/// the greatest admitted share for its weight yields, and within it the job
/// with the least value for its work.
/// \param MilliCoresAtWork Capacity that does the work of the queue.
AdmissionReview reviewAdmission(std::span<const AdmissionJob> Jobs,
                                double MilliCoresAtWork,
                                const FairShares &Shares,
                                const LeastCostOptions &Options,
                                Milliseconds Now);

} // namespace marjorambend

#endif // MARJORAMBEND_SCHEDULING_LEASTCOST_H
