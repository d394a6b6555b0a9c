#ifndef MARJORAMBEND_TRANSPORT_SOCKETS_H
#define MARJORAMBEND_TRANSPORT_SOCKETS_H

#include "marjorambend/src/Transport/HttpClient.h"

#include <netinet/in.h>
#include <optional>

namespace marjorambend {

/// \brief Converts an endpoint; nullopt if its address is not an IPv4 address.
std::optional<sockaddr_in> toSocketAddress(const Endpoint &To);

/// \brief Sets TCP_NODELAY and TCP_USER_TIMEOUT, after which the kernel closes
/// a connection with unacknowledged data.
void tuneSocket(int Socket, unsigned UserTimeoutMs);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_SOCKETS_H
