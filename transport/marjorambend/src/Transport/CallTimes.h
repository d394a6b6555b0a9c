#ifndef MARJORAMBEND_TRANSPORT_CALLTIMES_H
#define MARJORAMBEND_TRANSPORT_CALLTIMES_H

#include "marjorambend/src/Support/Histogram.h"
#include "marjorambend/src/Transport/HttpClient.h"

#include <map>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Durations of calls to one dependency, by kind of call and by whether
/// they were answered.
struct CallTimes {
  std::map<std::string, Histogram> ByLabels_;
};

/// \brief Wraps \p OnResult in a handler that records the time since this call
/// in \p Into, which must outlive the client.
HttpClient::Handler withTiming(CallTimes &Into, std::string_view Call,
                               HttpClient::Handler OnResult);

/// \brief Renders the histograms in the Prometheus text format.
///
/// \param Name metric name without the prefix `marjorambend_`.
std::string renderCallTimes(const CallTimes &Times, std::string_view Name);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_CALLTIMES_H
