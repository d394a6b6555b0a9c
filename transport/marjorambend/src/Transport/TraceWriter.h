#ifndef MARJORAMBEND_TRANSPORT_TRACEWRITER_H
#define MARJORAMBEND_TRANSPORT_TRACEWRITER_H

#include "marjorambend/src/Support/Trace.h"

#include <fstream>
#include <string>

namespace marjorambend {

/// \brief One line of JSON for a span: trace, span, parent, name, note, times.
/// \param WallOffset what to add to a monotonic instant to get wall time.
std::string formatSpan(const Span &Finished, std::string_view Process,
                       Milliseconds WallOffset);

/// \brief Appends finished spans to a file, a line each.
class TraceWriter {
public:
  /// \param Path the file; empty for none.
  TraceWriter(const std::string &Path, std::string Process,
              Milliseconds WallOffset);

  void write(const Span &Finished);

private:
  std::ofstream File_;
  std::string Process_;
  Milliseconds WallOffset_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_TRACEWRITER_H
