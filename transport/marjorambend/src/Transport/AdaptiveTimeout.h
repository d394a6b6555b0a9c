#ifndef MARJORAMBEND_TRANSPORT_ADAPTIVETIMEOUT_H
#define MARJORAMBEND_TRANSPORT_ADAPTIVETIMEOUT_H

#include "marjorambend/src/Support/Milliseconds.h"

namespace marjorambend {

/// \brief Bounds of an adaptive timeout.
struct TimeoutBounds {
  Milliseconds Least_;
  Milliseconds Most_;
};

/// \brief Running statistics of the answers to all calls of one process.
///
/// They are shared by all targets: when the process's own link is saturated,
/// all answers are late, and calls that time out too early are repeated and
/// load the link further.
struct AnswerStats {
  double Mean_ = 0;            ///< Milliseconds, smoothed.
  double Deviation_ = 0;       ///< Mean deviation, smoothed.
  double UnansweredShare_ = 0; ///< Share of unanswered calls, smoothed.
};

/// \brief Records an answer and the time it took.
void recordAnswer(AnswerStats &Known, Milliseconds Took);

/// \brief Records a call that timed out.
void recordMissingAnswer(AnswerStats &Known);

/// \brief The timeout of the next call: mean plus four mean deviations
/// (RFC 6298), doubled while many calls are unanswered and quadrupled while
/// most are, limited to \p Bounds.
Milliseconds computeTimeout(const AnswerStats &Known,
                            const TimeoutBounds &Bounds);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_ADAPTIVETIMEOUT_H
