#ifndef MARJORAMBEND_SCHEDULING_RETURNTIMES_H
#define MARJORAMBEND_SCHEDULING_RETURNTIMES_H

#include "marjorambend/src/Scheduling/Overload.h"
#include "marjorambend/src/Support/Histogram.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace marjorambend {

/// \brief Number of priority classes that the ledger tells apart; less urgent
/// jobs share the last one.
inline constexpr std::size_t ReturnClassCount = 8;

/// \brief Options for the times at which refused callers return.
struct ReturnTimesOptions {
  /// Resolution of the ledger; the placer reviews its queue as often.
  Milliseconds SlotLength_{20};
  /// Weight of priority 0 among the classes; that of all others is 1.
  double FirstClassWeight_ = 2.0;
  /// Greatest share of one class; leaves room for a class of which nothing has
  /// been refused yet.
  double MaxShare_ = 0.9;
  /// Time constant with which refused work is forgotten when the shares of the
  /// classes are computed.
  Milliseconds DemandWindow_{2'000};
  /// Delay up to which a caller waits for promised capacity only. At 2.6 times
  /// the capacity, 1.6 times the capacity is refused and has to return within
  /// the greatest retry time, so that not all of it can be promised; a longer
  /// exclusive delay makes that bound bind within 12 s.
  Milliseconds ExclusiveDelay_{1'500};
  /// Share of the capacity that returns without a promise may need in addition
  /// to what is promised; all returns stay below 1.5 times the capacity.
  double OverflowShare_ = 0.45;
  /// Number of slots over which the work of returning jobs is bounded.
  std::size_t WindowSlots_ = 5;
  /// Time after which a new placer uses the ledger: by then the return times
  /// that its predecessor has given have passed.
  Milliseconds TakeoverTime_{5'000};
};

/// \brief Work of the callers that return in one interval of time, in
/// thousandths of a core times milliseconds.
struct ReturnSlot {
  /// Promised capacity of this interval; a job may need several intervals.
  std::array<double, ReturnClassCount> PromisedByClass_{};
  double Promised_ = 0;   ///< The same of all classes.
  double Returning_ = 0;  ///< Whole work of all jobs that return here.
  double Unpromised_ = 0; ///< The part of it that is not promised.
  uint32_t Promises_ = 0; ///< Number of promises that begin here.
};

/// \brief Refusals of one priority class.
struct ReturnClass {
  Milliseconds LastReturn_; ///< Latest return time that was given.
  double Demand_ = 0;       ///< Decaying sum of the refused work.
  Milliseconds DemandAt_;   ///< When Demand_ was computed.
};

/// \brief Capacity that was promised to refused callers.
///
/// This is soft state: a new placer begins with an empty ledger.
struct ReturnLedger {
  std::optional<Milliseconds> PlacingSince_; ///< \sa followPlacer
  Milliseconds FirstSlotAt_;
  std::deque<ReturnSlot> Slots_;
  std::array<ReturnClass, ReturnClassCount> Classes_;
  /// Time from the promised return until the backlog left capacity.
  Histogram Errors_;
};

/// \brief A refused job and the load that it was refused under.
struct ReturnRequest {
  uint32_t Priority_ = 0;
  double Work_ = 0; ///< Thousandths of a core times milliseconds.
  /// Time that the capacity needs for the waiting work.
  Milliseconds Backlog_;
  int64_t MilliCores_ = 0; ///< Capacity that is open or about to open.
};

/// \brief Delay after which a refused caller returns, and whether capacity is
/// promised to it then.
struct ReturnTime {
  Milliseconds Delay_;
  bool IsPromised_ = false;
};

/// \brief Share of the capacity that the promises of a class may use: weighted
/// max-min fair by the work that was refused lately.
///
/// Load pattern: one class is refused far more than the others. It uses what
/// they leave, and they keep their shares.
double returnShare(const ReturnLedger &Ledger, std::size_t Class,
                   int64_t MilliCores, const ReturnTimesOptions &Options,
                   Milliseconds Now);

/// \brief Chooses when the caller of a refused job returns, and enters it into
/// the ledger.
///
/// Load pattern: more load than capacity for seconds, and the refused callers
/// return. Within a class, those refused first return first; all promises of an
/// interval need no more than its capacity, and all returns no more than that
/// and OverflowShare_, unless the greatest retry time forces them to.
ReturnTime chooseReturnTime(ReturnLedger &Ledger, const ReturnRequest &Request,
                            const ReturnTimesOptions &Options,
                            const RetryAfterOptions &Bounds, Milliseconds Now);

/// \brief Removes what was promised for times that have passed, and records its
/// error: the time that \p Backlog still needs.
///
/// Must be called regularly. Capacity before the promised time belongs to
/// earlier promises, so that there are no negative errors.
void expireReturns(ReturnLedger &Ledger, Milliseconds Backlog,
                   const ReturnTimesOptions &Options, Milliseconds Now);

/// \brief Empties the ledger while another instance is the placer.
void followPlacer(ReturnLedger &Ledger, bool IsPlacer, Milliseconds Now);

/// \brief Whether return times come from the ledger.
///
/// Load pattern: the placer changes during a burst. The promises of the
/// previous one are unknown and would be promised again.
bool usesLedger(const ReturnLedger &Ledger, const OverloadOptions &Overload,
                const ReturnTimesOptions &Options, Milliseconds Now);

} // namespace marjorambend

#endif // MARJORAMBEND_SCHEDULING_RETURNTIMES_H
