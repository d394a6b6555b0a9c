#ifndef MARJORAMBEND_TRANSPORT_CALLERBUDGET_H
#define MARJORAMBEND_TRANSPORT_CALLERBUDGET_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace marjorambend {

/// \brief Bounds on what all connections of a listener may hold; 0: no bound.
struct CallerBudget {
  std::size_t MaxBytes_ = 0;
  std::size_t MaxConnections_ = 0;
};

/// \brief What remains to be freed before a listener is within its budget.
struct Excess {
  std::size_t Bytes_ = 0;
  std::size_t Connections_ = 0;
};

/// \brief A connection, as the choice of closed connections sees it.
struct HeldConnection {
  uint64_t Id_ = 0;
  std::size_t Bytes_ = 0;
  Milliseconds Since_;          ///< Accepted, or last request completed.
  bool HasOpenRequest_ = false; ///< A complete request; its job may have begun.
  /// Holds nothing of a request, but bytes have arrived that are not read yet.
  bool HasUnreadRequest_ = false;
};

/// \brief Bounds for a machine with this memory and these descriptors; a value
/// of 0 is unknown and gives no bound.
CallerBudget budgetOf(std::size_t MemoryBytes, std::size_t MaxDescriptors);

/// \brief Bound on the accepted connections of other instances that have not
/// sent a hello, with these descriptors; 0 is unknown.
std::size_t maxStrangersOf(std::size_t MaxDescriptors);

/// \brief What exceeds the budget. Beyond its bound an eighth is freed, so that
/// not every byte and connection leads to a new choice.
Excess excessOver(const CallerBudget &Budget, std::size_t Bytes,
                  std::size_t Connections);

/// \brief Returns the connections to close, in this order.
///
/// Load pattern: many clients send most of a request and stop. Those that have
/// held the most for the longest time without a complete request are closed
/// first, those with an unread request last; one with an open request is never
/// closed.
std::vector<uint64_t> chooseClosed(std::span<const HeldConnection> Held,
                                   Excess Excess, Milliseconds Now);

/// \brief Time by which a request must be complete.
///
/// Load pattern: clients send single bytes to keep a request open. Each
/// received byte of the body extends the time only by what it takes at the
/// minimum rate.
Milliseconds receiveDeadline(Milliseconds Start, Milliseconds Timeout,
                             std::size_t BodyBytes);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_CALLERBUDGET_H
