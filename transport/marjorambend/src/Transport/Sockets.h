#ifndef MARJORAMBEND_TRANSPORT_SOCKETS_H
#define MARJORAMBEND_TRANSPORT_SOCKETS_H

#include "marjorambend/src/Transport/HttpClient.h"

#include <netinet/in.h>
#include <optional>

namespace marjorambend {

/// \brief The address as the socket calls take it, if it is an IP number.
std::optional<sockaddr_in> toSocketAddress(const Endpoint &To);

/// \brief Sends small data at once, and gives a connection up whose data is
/// not acknowledged within \p UserTimeoutMs.
void tuneSocket(int Socket, unsigned UserTimeoutMs);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_SOCKETS_H
