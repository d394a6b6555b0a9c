#ifndef MARJORAMBEND_TRANSPORT_CALLTIMES_H
#define MARJORAMBEND_TRANSPORT_CALLTIMES_H

#include "marjorambend/src/Support/Histogram.h"
#include "marjorambend/src/Transport/HttpClient.h"

#include <map>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief How long calls to one dependency took, by kind of call and by whether
/// an answer came.
struct CallTimes {
  std::map<std::string, Histogram> ByLabels_;
};

/// \brief A handler that counts the time from now on and then calls
/// \p OnResult. \p Into has to live as long as the client.
HttpClient::Handler timed(CallTimes &Into, std::string_view Call,
                          HttpClient::Handler OnResult);

/// \brief The usual text form for scraping.
///
/// \param Name without the product's prefix.
std::string renderCallTimes(const CallTimes &Times, std::string_view Name);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_CALLTIMES_H
