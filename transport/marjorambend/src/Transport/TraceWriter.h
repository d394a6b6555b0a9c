#ifndef MARJORAMBEND_TRANSPORT_TRACEWRITER_H
#define MARJORAMBEND_TRANSPORT_TRACEWRITER_H

#include "marjorambend/src/Support/Trace.h"

#include <fstream>
#include <string>

namespace marjorambend {

/// \brief Formats a span as one line of JSON.
/// \param WallOffset difference between wall time and monotonic time.
std::string formatSpan(const Span &Finished, std::string_view Process,
                       Milliseconds WallOffset);

/// \brief Appends finished spans to a file, one per line.
class TraceWriter {
public:
  /// \param Path the file; empty to write nothing.
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
