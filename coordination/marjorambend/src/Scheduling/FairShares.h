#ifndef MARJORAMBEND_SCHEDULING_FAIRSHARES_H
#define MARJORAMBEND_SCHEDULING_FAIRSHARES_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace marjorambend {

/// \brief Number of priority classes; lower priorities share the last one.
inline constexpr std::size_t PriorityClassCount = 4;
/// \brief Size bands of a class: the smaller 70% of its jobs, the fifth above
/// them, and the largest tenth.
inline constexpr std::size_t SizeBandCount = 3;

/// \brief Options for the shares of the priority classes.
struct FairShareOptions {
  /// Length of the sliding window.
  Milliseconds Window_{2'000};
  /// Weight of priority 0; all others have 1.
  double TopWeight_ = 2.0;
  /// Least served share of a size band, relative to its class. The required
  /// bound is 0.5; the rest allows for wrong estimates, which mix the bands.
  double MinBandShare_ = 0.8;
};

/// \brief Work of a class, in thousandths of a core times milliseconds.
struct ClassWork {
  double Demanded_ = 0;
  double Admitted_ = 0;
  double Refused_ = 0;
};

/// \brief Jobs of a size band, with older jobs counting less.
struct BandJobs {
  double Demanded_ = 0;
  double Admitted_ = 0;
};

/// \brief Size of a job as the shares account for it.
struct JobSize {
  std::size_t Class_ = 0;
  std::size_t Band_ = 0;
  double Work_ = 0; ///< Thousandths of a core times milliseconds.
};

/// \brief Works of the latest jobs of a class.
struct SizeSample {
  std::array<double, 100> Works_{};
  std::size_t Count_ = 0; ///< Of all jobs so far.
};

/// \brief Work by class in an interval of the window.
struct ShareInterval {
  Milliseconds From_;
  std::array<ClassWork, PriorityClassCount> Classes_;
};

/// \brief Demanded and admitted work by class over a sliding window.
///
/// This is soft state: a new placer rebuilds it within the window.
struct FairShares {
  std::deque<ShareInterval> Intervals_;
  std::array<ClassWork, PriorityClassCount> Window_; ///< Sums of Intervals_.
  /// Since the start; admitted work includes that of jobs displaced later.
  std::array<ClassWork, PriorityClassCount> Totals_;
  std::array<SizeSample, PriorityClassCount> Sizes_;
  std::array<std::array<BandJobs, SizeBandCount>, PriorityClassCount> Bands_;
};

/// \brief Class of a route's priority.
std::size_t priorityClass(uint32_t Priority);

/// \brief Weight of a class.
double classWeight(std::size_t Class, const FairShareOptions &Options);

/// \brief Records a job that has arrived, and returns its size.
JobSize recordDemand(FairShares &Shares, uint32_t Priority, double Work,
                     const FairShareOptions &Options, Milliseconds Now);
void recordAdmission(FairShares &Shares, const JobSize &Job,
                     const FairShareOptions &Options, Milliseconds Now);
/// \param WasAdmitted whether the admission is withdrawn.
void recordRefusal(FairShares &Shares, const JobSize &Job, bool WasAdmitted,
                   const FairShareOptions &Options, Milliseconds Now);

/// \brief Removes what has left the window.
void advanceWindow(FairShares &Shares, const FairShareOptions &Options,
                   Milliseconds Now);

/// \brief Work that each class may have of all that was admitted: what it
/// demanded, or its weighted part of what the others leave.
///
/// Load pattern: one class demands more than the whole capacity. The others
/// keep their shares, and what they do not need is not lost.
std::array<double, PriorityClassCount>
entitledWork(const std::array<ClassWork, PriorityClassCount> &Window,
             const FairShareOptions &Options);

} // namespace marjorambend

#endif // MARJORAMBEND_SCHEDULING_FAIRSHARES_H
