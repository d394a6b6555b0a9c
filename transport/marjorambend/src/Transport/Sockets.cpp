#include "marjorambend/src/Transport/Sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace marjorambend {

std::optional<sockaddr_in> toSocketAddress(const Endpoint &To) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(To.Port_);
  if (inet_pton(AF_INET, To.Address_.c_str(), &Address.sin_addr) != 1)
    return std::nullopt;
  return Address;
}

void tuneSocket(int Socket, unsigned UserTimeoutMs) {
  const int On = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  setsockopt(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs,
             sizeof(UserTimeoutMs));
}

} // namespace marjorambend
