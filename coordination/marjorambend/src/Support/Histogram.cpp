#include "marjorambend/src/Support/Histogram.h"

#include <algorithm>

namespace marjorambend {

void observe(Histogram &Into, Milliseconds Time) {
  const auto Bucket = std::lower_bound(HistogramBounds.begin(),
                                       HistogramBounds.end(), Time.Count_);
  ++Into.Buckets_[static_cast<std::size_t>(Bucket - HistogramBounds.begin())];
  Into.Sum_ += Time.Count_;
  ++Into.Count_;
}

std::string renderHistogramType(std::string_view Name) {
  return "# TYPE marjorambend_" + std::string(Name) + " histogram\n";
}

std::string renderLabel(std::string_view Name, std::string_view Value) {
  std::string Text = std::string(Name) + "=\"";
  for (const char One : Value) {
    if (One == '\n') {
      Text += "\\n";
      continue;
    }
    if (One == '"' || One == '\\')
      Text += '\\';
    Text += One;
  }
  return Text + '"';
}

std::string renderHistogram(const Histogram &From, std::string_view Name,
                            std::string_view Labels) {
  const std::string Whole = "marjorambend_" + std::string(Name);
  std::string Text;
  uint64_t Below = 0;
  for (std::size_t Index = 0; Index < From.Buckets_.size(); ++Index) {
    Below += From.Buckets_[Index];
    const std::string Bound = Index < HistogramBounds.size()
                                  ? std::to_string(HistogramBounds[Index])
                                  : "+Inf";
    Text.append(Whole).append("_bucket{").append(Labels);
    Text.append(Labels.empty() ? "le=\"" : ",le=\"").append(Bound);
    Text.append("\"} ").append(std::to_string(Below)).append("\n");
  }
  std::string Braces;
  if (!Labels.empty())
    Braces.append("{").append(Labels).append("}");
  Text.append(Whole).append("_sum").append(Braces).append(" ");
  Text.append(std::to_string(From.Sum_)).append("\n");
  Text.append(Whole).append("_count").append(Braces).append(" ");
  Text.append(std::to_string(From.Count_)).append("\n");
  return Text;
}

} // namespace marjorambend
