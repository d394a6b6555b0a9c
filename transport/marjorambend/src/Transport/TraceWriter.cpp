#include "marjorambend/src/Transport/TraceWriter.h"

#include "marjorambend/src/Support/Identity.h"

#include <nlohmann/json.hpp>

namespace marjorambend {

std::string formatSpan(const Span &Finished, std::string_view Process,
                       Milliseconds WallOffset) {
  const TraceContext &Context = Finished.Context_;
  const nlohmann::ordered_json Line{
      {"trace", formatHex(Context.TraceHigh_) + formatHex(Context.TraceLow_)},
      {"span", formatHex(Context.Span_)},
      {"parent", formatHex(Context.Parent_)},
      {"process", Process},
      {"name", Finished.Name_},
      {"note", Finished.Note_},
      {"start_ms", (Finished.Start_ + WallOffset).Count_},
      {"duration_ms", (Finished.End_ - Finished.Start_).Count_}};
  return Line.dump();
}

TraceWriter::TraceWriter(const std::string &Path, std::string Process,
                         Milliseconds WallOffset)
    : Process_(std::move(Process)), WallOffset_(WallOffset) {
  if (!Path.empty())
    File_.open(Path, std::ios::app);
}

void TraceWriter::write(const Span &Finished) {
  if (File_.is_open())
    File_ << formatSpan(Finished, Process_, WallOffset_) << std::endl;
}

} // namespace marjorambend
