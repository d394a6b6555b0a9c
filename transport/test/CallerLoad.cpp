#include "CallerLoad.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace marjorambend::test {

static constexpr int MsPerTry = 20;
static constexpr int MaxTries = 1'500;
// Senders that the process has not read from for this long are left as they
// are; it bounds the duration of a test and decides no result.
static constexpr int NoProgressMs = 1'500;

// An address per test process, so that its ports are free.
static std::string loopbackAddress() {
  const int Process = getpid();
  return "127." + std::to_string(80 + (Process >> 16U) % 40) + '.' +
         std::to_string((Process >> 8U) % 256) + '.' +
         std::to_string(1 + Process % 254);
}

static void writeSettings(const std::string &Path, const std::string &Address,
                          std::size_t MemoryMb, std::size_t MaxFds) {
  std::ofstream(Path) << "node_name: edge-1\nzone: east\nip: " << Address
                      << "\nlisten_addrs:\n  frontend: \"" << Address
                      << ":8161\"\n  readiness: \"" << Address
                      << ":8167\"\ninternal_port_range: [7720]\nseeds: []\n"
                         "limits:\n  cpu_share: 0.5\n  memory_mb: "
                      << MemoryMb << "\n  max_fds: " << MaxFds
                      << "\nbounds:\n  hold_max_ms: 1000\n  resend_ms: 1300\n"
                         "  grace_s: 6\nplatform:\n  address: \""
                      << Address << ":8169\"\n";
}

// The same ports and limits as those of the settings file.
static std::vector<std::string> standaloneFlags(const std::string &Address,
                                                std::size_t MemoryMb,
                                                std::size_t MaxFds) {
  return {"--address=" + Address,
          "--caller_port=8161",
          "--operator_port=8167",
          "--peer_port=7720",
          "--platform_address=" + Address,
          "--platform_port=8169",
          "--operator_secret=operators",
          "--peer_key=instances",
          "--max_body_bytes=262144",
          "--memory_mb=" + std::to_string(MemoryMb),
          "--max_fds=" + std::to_string(MaxFds)};
}

InstanceProcess::InstanceProcess(std::size_t MemoryMb, std::size_t MaxFds,
                                 DaemonKind Kind)
    : Address_(loopbackAddress()) {
  std::string Name =
      std::filesystem::temp_directory_path() / "untrusted-callers-XXXXXX";
  Folder_ = mkdtemp(Name.data());
  const std::string File = Folder_ + "/settings.yaml";
  const std::string Log = Folder_ + "/log";
  writeSettings(File, Address_, MemoryMb, MaxFds);
  std::vector<std::string> Arguments{MARJORAMBEND_PROGRAM};
  if (Kind == DaemonKind::Platform)
    Arguments.emplace_back("platform");
  else
    for (std::string &Flag : standaloneFlags(Address_, MemoryMb, MaxFds))
      Arguments.push_back(std::move(Flag));
  std::vector<char *> Words;
  for (std::string &Argument : Arguments)
    Words.push_back(Argument.data());
  Words.push_back(nullptr);
  Process_ = fork();
  if (Process_ == 0) {
    setenv("MARJORAMBEND_NODE_FILE", File.c_str(), 1);
    const int Output =
        open(Log.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC | O_APPEND, 0600);
    dup2(Output, STDOUT_FILENO);
    dup2(Output, STDERR_FILENO);
    execv(MARJORAMBEND_PROGRAM, Words.data());
    _exit(127);
  }
  for (int Try = 0; Try < MaxTries; ++Try) {
    const int Socket = connectTo(8161);
    if (Socket >= 0) {
      close(Socket);
      return;
    }
    usleep(MsPerTry * 1'000);
  }
}

InstanceProcess::~InstanceProcess() {
  kill(Process_, SIGKILL);
  waitpid(Process_, nullptr, 0);
  std::filesystem::remove_all(Folder_);
}

bool InstanceProcess::isRunning() const {
  siginfo_t Info{};
  waitid(P_PID, static_cast<id_t>(Process_), &Info,
         WEXITED | WNOHANG | WNOWAIT);
  return Info.si_pid == 0;
}

void InstanceProcess::signal(int Number) const { kill(Process_, Number); }

std::size_t InstanceProcess::peakKb() const {
  std::ifstream File("/proc/" + std::to_string(Process_) + "/status");
  for (std::string Name; File >> Name;) {
    std::size_t Kb = 0;
    if (Name == "VmHWM:" && File >> Kb)
      return Kb;
  }
  return SIZE_MAX;
}

std::size_t InstanceProcess::openDescriptors() const {
  const std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(Process_) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(Entries), end(Entries)));
}

uint64_t InstanceProcess::cpuTicks() const {
  std::ifstream File("/proc/" + std::to_string(Process_) + "/stat");
  std::string Skipped;
  for (int Field = 1; Field < 14; ++Field)
    File >> Skipped;
  uint64_t User = 0;
  uint64_t System = 0;
  File >> User >> System;
  return User + System;
}

void InstanceProcess::waitUntilRead() const {
  uint64_t Before = cpuTicks();
  for (int Try = 0; Try < MaxTries; ++Try) {
    usleep(10 * MsPerTry * 1'000);
    const uint64_t After = cpuTicks();
    if (After <= Before + 1)
      return;
    Before = After;
  }
}

static sockaddr_in socketAddress(const std::string &Address, uint16_t Port) {
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &At.sin_addr);
  return At;
}

int InstanceProcess::listenOn(uint16_t Port) const {
  const sockaddr_in At = socketAddress(Address_, Port);
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (bind(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) == 0 &&
      listen(Socket, SOMAXCONN) == 0)
    return Socket;
  close(Socket);
  return -1;
}

int InstanceProcess::connectTo(uint16_t Port) const {
  const sockaddr_in To = socketAddress(Address_, Port);
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect(Socket, reinterpret_cast<const sockaddr *>(&To), sizeof(To)) == 0)
    return Socket;
  close(Socket);
  return -1;
}

std::string InstanceProcess::ask(uint16_t Port, const std::string &Request,
                                 std::size_t BytesPerWrite) const {
  // A connection may be closed while the process is above a bound; a caller
  // within the limits then tries again.
  for (int Try = 0; Try < 50; ++Try) {
    const int Socket = connectTo(Port);
    if (Socket < 0)
      return {};
    for (std::string_view Rest = Request; !Rest.empty();) {
      const ssize_t Sent =
          send(Socket, Rest.data(), std::min(BytesPerWrite, Rest.size()),
               MSG_NOSIGNAL);
      if (Sent <= 0)
        break;
      Rest.remove_prefix(static_cast<std::size_t>(Sent));
    }
    pollfd Wait{.fd = Socket, .events = POLLIN, .revents = 0};
    poll(&Wait, 1, 20'000);
    std::string Text(4'096, '\0');
    const ssize_t Bytes = recv(Socket, Text.data(), Text.size(), MSG_DONTWAIT);
    close(Socket);
    if (Bytes > 0)
      return Text.substr(0, Text.find("\r\n"));
    usleep(MsPerTry * 1'000);
  }
  return {};
}

OpenLoad::OpenLoad(const InstanceProcess &Target, uint16_t Port,
                   std::span<const CallerLoad> Loads) {
  for (const CallerLoad &Load : Loads) {
    for (std::size_t Count = 0; Count < Load.Connections_; ++Count) {
      const int Socket = Target.connectTo(Port);
      if (Socket >= 0)
        Senders_.push_back({.Socket_ = Socket, .Load_ = &Load});
    }
  }
  while (true) {
    std::vector<pollfd> Wait;
    std::vector<Sender *> Waiting;
    for (Sender &One : Senders_) {
      if (isDone(One))
        continue;
      Wait.push_back({.fd = One.Socket_, .events = POLLOUT, .revents = 0});
      Waiting.push_back(&One);
    }
    if (Wait.empty() || poll(Wait.data(), Wait.size(), NoProgressMs) <= 0)
      return;
    for (std::size_t Index = 0; Index < Wait.size(); ++Index) {
      if (Wait[Index].revents != 0)
        sendSome(*Waiting[Index]);
    }
  }
}

bool OpenLoad::isDone(const Sender &One) {
  return One.Sent_ >= One.Load_->Text_.size();
}

void OpenLoad::sendSome(Sender &One) {
  const std::size_t Count =
      std::min(One.Load_->BytesPerWrite_, One.Load_->Text_.size() - One.Sent_);
  const ssize_t Bytes = send(One.Socket_, One.Load_->Text_.data() + One.Sent_,
                             Count, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Bytes > 0)
    One.Sent_ += static_cast<std::size_t>(Bytes);
  else if (errno != EAGAIN)
    One.Sent_ = SIZE_MAX; // The process has closed the connection.
}

OpenLoad::~OpenLoad() {
  for (const Sender &One : Senders_)
    close(One.Socket_);
}

EndlessAnswers::EndlessAnswers(const InstanceProcess &Asking, uint16_t Port,
                               std::string Answer)
    : Listener_(Asking.listenOn(Port)), Answer_(std::move(Answer)) {}

EndlessAnswers::~EndlessAnswers() {
  for (const Connection &One : Open_)
    close(One.Socket_);
  close(Listener_);
}

void EndlessAnswers::serveFor(int Ms) {
  const auto End =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(Ms);
  while (std::chrono::steady_clock::now() < End) {
    std::vector<pollfd> Wait{{.fd = Listener_, .events = POLLIN, .revents = 0}};
    for (const Connection &One : Open_) {
      const bool IsDone = One.Sent_ >= Answer_.size();
      const short Events = IsDone ? POLLIN : POLLIN | POLLOUT;
      Wait.push_back({.fd = One.Socket_, .events = Events, .revents = 0});
    }
    poll(Wait.data(), Wait.size(), MsPerTry);
    std::vector<Connection> Open;
    for (std::size_t Index = 0; Index < Open_.size(); ++Index) {
      if (serve(Open_[Index], Wait[Index + 1].revents))
        Open.push_back(Open_[Index]);
    }
    Open_ = std::move(Open);
    if (Wait.front().revents != 0)
      acceptOne();
  }
}

void EndlessAnswers::acceptOne() {
  const int Socket = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
  if (Socket < 0)
    return;
  ++Connections_;
  Open_.push_back({.Socket_ = Socket});
}

bool EndlessAnswers::serve(Connection &One, short Events) const {
  if ((Events & (POLLERR | POLLHUP)) != 0) {
    close(One.Socket_);
    return false;
  }
  std::string Request(4'096, '\0');
  if ((Events & POLLIN) != 0 &&
      recv(One.Socket_, Request.data(), Request.size(), MSG_DONTWAIT) == 0) {
    close(One.Socket_);
    return false;
  }
  if ((Events & POLLOUT) != 0) {
    const ssize_t Bytes =
        send(One.Socket_, Answer_.data() + One.Sent_,
             Answer_.size() - One.Sent_, MSG_NOSIGNAL | MSG_DONTWAIT);
    One.Sent_ += Bytes > 0 ? static_cast<std::size_t>(Bytes) : 0;
  }
  return true;
}

} // namespace marjorambend::test
