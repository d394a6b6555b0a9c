#ifndef MARJORAMBEND_DAEMON_CALLERCLOSURES_H
#define MARJORAMBEND_DAEMON_CALLERCLOSURES_H

#include <marjorambend/Instance>
#include <marjorambend/Transport>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Counter of a cause.
Counter counterOf(CloseCause Cause);

/// \brief Name of a cause in the log.
std::string_view nameOf(CloseCause Cause);

/// \brief Gauges of what the connections of callers hold.
std::string renderLoad(const HttpServerLoad &Load);

} // namespace marjorambend

#endif // MARJORAMBEND_DAEMON_CALLERCLOSURES_H
