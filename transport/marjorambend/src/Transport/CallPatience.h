#ifndef MARJORAMBEND_TRANSPORT_CALLPATIENCE_H
#define MARJORAMBEND_TRANSPORT_CALLPATIENCE_H

#include "marjorambend/src/Support/Milliseconds.h"

namespace marjorambend {

/// \brief Bounds of the time for which an answer is awaited.
struct PatienceBounds {
  Milliseconds Least_;
  Milliseconds Most_;
};

/// \brief How long answers take at present, of all calls of one process.
///
/// A process whose own link is full hears all answers late. Calls that are
/// given up too soon are sent again and fill the link further.
struct CallPatience {
  double Mean_ = 0;      ///< Milliseconds, smoothed.
  double Deviation_ = 0; ///< Mean deviation, smoothed.
  double Silence_ = 0;   ///< Share of calls without an answer, smoothed.
};

/// \brief Notes that an answer has come.
void noteAnswer(CallPatience &Known, Milliseconds Took);

/// \brief Notes that no answer has come in time.
void noteSilence(CallPatience &Known);

/// \brief How long to wait for the next answer: the mean and four deviations
/// (RFC 6298), twice that while many calls stay unanswered, four times while
/// most do.
Milliseconds patienceOf(const CallPatience &Known,
                        const PatienceBounds &Bounds);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_CALLPATIENCE_H
