#ifndef MARJORAMBEND_TRANSPORT_ADAPTIVETIMEOUT_H
#define MARJORAMBEND_TRANSPORT_ADAPTIVETIMEOUT_H

#include "marjorambend/src/Support/Milliseconds.h"

namespace marjorambend {

/// \brief Bounds of the time for which an answer is awaited.
struct TimeoutBounds {
  Milliseconds Least_;
  Milliseconds Most_;
};

/// \brief How long answers take at present, of all calls of one process.
///
/// A process whose own link is full hears all answers late. Calls that are
/// given up too soon are sent again and fill the link further.
struct AnswerStats {
  double Mean_ = 0;            ///< Milliseconds, smoothed.
  double Deviation_ = 0;       ///< Mean deviation, smoothed.
  double UnansweredShare_ = 0; ///< Share of calls without an answer, smoothed.
};

/// \brief Notes that an answer has come.
void recordAnswer(AnswerStats &Known, Milliseconds Took);

/// \brief Notes that no answer has come in time.
void recordMissingAnswer(AnswerStats &Known);

/// \brief How long to wait for the next answer: the mean and four deviations
/// (RFC 6298), twice that while many calls stay unanswered, four times while
/// most do.
Milliseconds computeTimeout(const AnswerStats &Known,
                            const TimeoutBounds &Bounds);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_ADAPTIVETIMEOUT_H
