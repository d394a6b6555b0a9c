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

std::string renderHistogram(const Histogram &From, std::string_view Name,
                            std::string_view Labels) {
  const std::string Whole = "marjorambend_" + std::string(Name);
  const std::string Comma = Labels.empty() ? "" : ",";
  std::string Text;
  uint64_t Below = 0;
  for (std::size_t Index = 0; Index < From.Buckets_.size(); ++Index) {
    Below += From.Buckets_[Index];
    const std::string Bound = Index < HistogramBounds.size()
                                  ? std::to_string(HistogramBounds[Index])
                                  : "+Inf";
    Text += Whole + "_bucket{" + std::string(Labels) + Comma + "le=\"" + Bound +
            "\"} " + std::to_string(Below) + '\n';
  }
  const std::string Braces =
      Labels.empty() ? "" : '{' + std::string(Labels) + '}';
  Text += Whole + "_sum" + Braces + ' ' + std::to_string(From.Sum_) + '\n';
  Text += Whole + "_count" + Braces + ' ' + std::to_string(From.Count_) + '\n';
  return Text;
}

} // namespace marjorambend
