#ifndef MARJORAMBEND_TEST_RAWCONNECTION_H
#define MARJORAMBEND_TEST_RAWCONNECTION_H

#include <arpa/inet.h>
#include <cstdint>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace marjorambend::test {

/// \brief A client connection that sends arbitrary bytes.
class RawConnection {
public:
  explicit RawConnection(uint16_t Port)
      : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
    connect(Socket_, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  }
  RawConnection(const RawConnection &) = delete;
  RawConnection &operator=(const RawConnection &) = delete;
  ~RawConnection() { close(Socket_); }
  void send(const std::string &Text) const {
    ::send(Socket_, Text.data(), Text.size(), MSG_NOSIGNAL);
  }
  std::string read() const {
    std::string Text(4096, '\0');
    const ssize_t Bytes = recv(Socket_, Text.data(), Text.size(), MSG_DONTWAIT);
    Text.resize(Bytes > 0 ? static_cast<std::size_t>(Bytes) : 0);
    return Text;
  }

private:
  int Socket_;
};

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_RAWCONNECTION_H
