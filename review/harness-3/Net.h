/// \file
/// \brief HTTP over loopback sockets for the stand-ins and clients of a case.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// \brief Milliseconds of the steady clock since the program started.
int64_t nowMs();
void sleepMs(int64_t Time);

/// \brief Ports that nothing on this machine uses, all different.
std::vector<uint16_t> freePorts(std::size_t Count);

struct Request {
  std::string Method_;
  std::string Path_; ///< Without the query.
  std::map<std::string, std::string> Query_;
  std::map<std::string, std::string> Headers_; ///< Names in lower case.
  std::string Body_;
};

struct Response {
  int Status_ = 200;
  std::string Body_ = "{}";
  bool IsDropped_ = false; ///< Close the connection without an answer.
};

/// \brief A connected stream socket.
class Stream {
public:
  explicit Stream(int Socket = -1) : Socket_(Socket) {}
  Stream(Stream &&Other) noexcept
      : Socket_(std::exchange(Other.Socket_, -1)),
        Input_(std::move(Other.Input_)) {}
  Stream &operator=(Stream &&Other) noexcept;
  ~Stream() { close(); }

  static Stream dial(const std::string &Ip, uint16_t Port);
  bool isOpen() const { return Socket_ >= 0; }
  bool send(const std::string &Bytes) const;
  /// Reads one HTTP response; nullopt if none is complete in time.
  std::optional<Response> readResponse(int64_t TimeoutMs);
  /// Reads one HTTP request; nullopt if the connection ends.
  std::optional<Request> readRequest();
  void close();

private:
  bool fill(int64_t UntilMs);
  bool fillTo(std::size_t Bytes, int64_t UntilMs);
  std::optional<std::size_t> readHeader(int64_t UntilMs);

  int Socket_;
  std::string Input_;
};

/// \brief Serves HTTP with one thread a connection.
class Server {
public:
  using Handler = std::function<Response(const Request &)>;
  Server(std::string Ip, uint16_t Port, Handler OnRequest);
  Server(const Server &) = delete;
  ~Server();

private:
  void accept();
  void serve(int Socket);

  Handler OnRequest_;
  int Listener_ = -1;
  std::atomic<bool> IsStopped_ = false;
  std::mutex Lock_;
  std::vector<int> Open_;
  std::vector<std::thread> Threads_;
  std::thread Acceptor_;
};

/// \brief Sends a request over a connection of its own.
std::string formatRequest(const std::string &Method, const std::string &Path,
                          const std::map<std::string, std::string> &Headers,
                          const std::string &Body);
std::optional<Response> call(const std::string &Ip, uint16_t Port,
                             const std::string &Text, int64_t TimeoutMs);

} // namespace review
