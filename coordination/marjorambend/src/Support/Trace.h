#ifndef MARJORAMBEND_SUPPORT_TRACE_H
#define MARJORAMBEND_SUPPORT_TRACE_H

#include "marjorambend/src/Support/Milliseconds.h"
#include "marjorambend/src/Support/Random.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Identifies one span of a trace, as in W3C Trace Context.
struct TraceContext {
  uint64_t TraceHigh_ = 0;
  uint64_t TraceLow_ = 0;
  uint64_t Span_ = 0;   ///< This span.
  uint64_t Parent_ = 0; ///< The parent span; 0 for the root.
  bool IsSampled_ = false;
};

/// \brief A finished span.
struct Span {
  TraceContext Context_;
  std::string Name_;
  std::string Note_; ///< Further detail, such as the worker.
  Milliseconds Start_;
  Milliseconds End_;
};

/// \brief Starts the first span of this process from a `traceparent` header.
///
/// A missing or malformed header starts a new trace, which is not sampled.
TraceContext startSpan(std::string_view TraceParent, Random &Generator);

/// \brief Starts a child span of \p Parent.
TraceContext childOf(const TraceContext &Parent, Random &Generator);

/// \brief The `traceparent` header that propagates \p Context to the next
/// process.
std::string formatTraceParent(const TraceContext &Context);

} // namespace marjorambend

#endif // MARJORAMBEND_SUPPORT_TRACE_H
