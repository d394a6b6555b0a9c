#include "marjorambend/src/Transport/CallTimes.h"

#include <utility>

namespace marjorambend {

HttpClient::Handler withTiming(CallTimes &Into, std::string_view Call,
                               HttpClient::Handler OnResult) {
  return
      [&Into, Labels = renderLabel("call", Call) + ',', Since = monotonicNow(),
       OnResult = std::move(OnResult)](HttpResult Result) {
        const std::string Answered =
            renderLabel("answered", Result ? "true" : "false");
        observe(Into.ByLabels_[Labels + Answered], monotonicNow() - Since);
        OnResult(std::move(Result));
      };
}

std::string renderCallTimes(const CallTimes &Times, std::string_view Name) {
  std::string Text = renderHistogramType(Name);
  for (const auto &[Labels, One] : Times.ByLabels_)
    Text += renderHistogram(One, Name, Labels);
  return Text;
}

} // namespace marjorambend
