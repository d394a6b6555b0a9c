#ifndef MARJORAMBEND_SUPPORT_TRACE_H
#define MARJORAMBEND_SUPPORT_TRACE_H

#include "marjorambend/src/Support/Milliseconds.h"
#include "marjorambend/src/Support/Random.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Place of one hop in a trace, as in W3C Trace Context.
struct TraceContext {
  uint64_t TraceHigh_ = 0;
  uint64_t TraceLow_ = 0;
  uint64_t Span_ = 0;   ///< This hop.
  uint64_t Parent_ = 0; ///< The hop before; 0 if this is the first.
  bool IsSampled_ = false;
};

/// \brief One finished hop.
struct Span {
  TraceContext Context_;
  std::string Name_;
  std::string Note_; ///< What a reader wants to know, such as the worker.
  Milliseconds Start_;
  Milliseconds End_;
};

/// \brief Opens the first hop of this process from a `traceparent` header.
///
/// A missing or malformed header starts a new trace, which is not sampled.
TraceContext startSpan(std::string_view TraceParent, Random &Generator);

/// \brief Opens a hop below \p Parent.
TraceContext childOf(const TraceContext &Parent, Random &Generator);

/// \brief The `traceparent` header that carries \p Context to the next hop.
std::string formatTraceParent(const TraceContext &Context);

} // namespace marjorambend

#endif // MARJORAMBEND_SUPPORT_TRACE_H
