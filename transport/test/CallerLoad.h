#ifndef MARJORAMBEND_TEST_CALLERLOAD_H
#define MARJORAMBEND_TEST_CALLERLOAD_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <sys/types.h>
#include <vector>

namespace marjorambend::test {

/// \brief Connections that all send the same bytes and stay open.
struct CallerLoad {
  std::size_t Connections_ = 0;
  std::string Text_;
  std::size_t BytesPerWrite_ = 64U << 10U;
};

/// \brief Which daemon a process runs.
enum class DaemonKind : uint8_t {
  Platform,  ///< `marjorambend platform`, with a settings file.
  Standalone ///< `marjorambend`, with flags.
};

/// \brief A running daemon with the settings of these tests.
class InstanceProcess {
public:
  InstanceProcess(std::size_t MemoryMb, std::size_t MaxFds,
                  DaemonKind Kind = DaemonKind::Platform);
  InstanceProcess(const InstanceProcess &) = delete;
  InstanceProcess &operator=(const InstanceProcess &) = delete;
  ~InstanceProcess();

  bool isRunning() const;
  void signal(int Number) const;
  /// \brief Peak resident memory (VmHWM) in KB.
  std::size_t peakKb() const;
  std::size_t openDescriptors() const;
  /// \brief Waits until the process uses no more than a little CPU time, since
  /// it has read what it was sent.
  void waitUntilRead() const;
  /// \brief Sends one request within the limits to \p Port; returns the status
  /// line, or nothing if the connection ends without a response.
  std::string ask(uint16_t Port, const std::string &Request,
                  std::size_t BytesPerWrite = SIZE_MAX) const;
  /// \brief A connected socket, or -1.
  int connectTo(uint16_t Port) const;
  /// \brief A socket that listens on the process's address, or -1.
  int listenOn(uint16_t Port) const;

private:
  uint64_t cpuTicks() const;

  pid_t Process_ = -1;
  std::string Address_;
  std::string Folder_;
};

/// \brief Sends \p Loads at the same time and keeps the connections open until
/// it is destroyed; does not read responses.
class OpenLoad {
public:
  OpenLoad(const InstanceProcess &Target, uint16_t Port,
           std::span<const CallerLoad> Loads);
  OpenLoad(const OpenLoad &) = delete;
  OpenLoad &operator=(const OpenLoad &) = delete;
  ~OpenLoad();

private:
  struct Sender {
    int Socket_ = -1;
    const CallerLoad *Load_ = nullptr;
    std::size_t Sent_ = 0;
  };

  static bool isDone(const Sender &One);
  static void sendSome(Sender &One);

  std::vector<Sender> Senders_;
};

/// \brief Answers each connection that an instance opens with the same bytes,
/// whatever it asks for, and keeps the connections open until it is destroyed.
class EndlessAnswers {
public:
  EndlessAnswers(const InstanceProcess &Asking, uint16_t Port,
                 std::string Answer);
  EndlessAnswers(const EndlessAnswers &) = delete;
  EndlessAnswers &operator=(const EndlessAnswers &) = delete;
  ~EndlessAnswers();

  void serveFor(int Ms);
  std::size_t connections() const { return Connections_; }

private:
  struct Connection {
    int Socket_ = -1;
    std::size_t Sent_ = 0;
  };

  void acceptOne();
  /// \brief Returns whether the connection is still open.
  bool serve(Connection &One, short Events) const;

  int Listener_;
  std::string Answer_;
  std::size_t Connections_ = 0; ///< Accepted so far.
  std::vector<Connection> Open_;
};

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_CALLERLOAD_H
