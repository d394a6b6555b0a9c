#include "Fleet.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

Node::Node(NodeOptions Options, std::string Ip, std::string Settings,
           std::string Folder)
    : Options_(std::move(Options)), Ip_(std::move(Ip)),
      Folder_(std::move(Folder)),
      SettingsFile_(Folder_ + "/" + Options_.Name_ + ".yaml") {
  std::ofstream(SettingsFile_) << Settings;
}

Node::~Node() {
  if (Pid_ > 0) {
    signal(SIGCONT);
    signal(SIGKILL);
    reap();
  }
}

void Node::start() {
  const std::string Log = Folder_ + "/" + Options_.Name_ + ".log";
  Pid_ = ::fork();
  if (Pid_ != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Output, 1);
  ::dup2(Output, 2);
  ::setenv("MARJORAMBEND_NODE_FILE", SettingsFile_.c_str(), 1);
  ::execl("target/daemon/marjorambend", "target/daemon/marjorambend",
          "platform", "--admission_policy=least_cost", nullptr);
  ::_exit(127);
}

void Node::signal(int Number) const {
  if (Pid_ > 0)
    ::kill(Pid_, Number);
}

void Node::reap() {
  if (Pid_ > 0)
    ::waitpid(Pid_, nullptr, 0);
  Pid_ = -1;
}

bool Node::isRunning() {
  if (Pid_ <= 0)
    return false;
  if (::waitpid(Pid_, nullptr, WNOHANG) != Pid_)
    return true;
  Pid_ = -1;
  return false;
}

bool Node::isReady() const {
  const auto Reply =
      call(Ip_, ReadinessPort,
           formatRequest("GET", "/readyz", {{"Host", Ip_}}, ""), 1'000);
  return Reply && Reply->Status_ == 200;
}

Fleet::Fleet(const std::string &RecordFolder)
    : Record_(RecordFolder + "/record.txt") {
  nowMs();
  const int Number = static_cast<int>(::getpid());
  Prefix_ = "127." + std::to_string(20 + Number / 200 % 200) + "." +
            std::to_string(1 + Number % 200) + ".";
  const char *Parent = std::getenv("TMPDIR");
  Folder_ =
      std::string(Parent == nullptr ? "/tmp" : Parent) + "/review-3-XXXXXX";
  if (::mkdtemp(Folder_.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder");
  Store_ = std::make_unique<Store>(ipOf(1), StorePort);
}

Fleet::~Fleet() {
  Nodes_.clear();
  if (std::getenv("KEEP") == nullptr) {
    std::error_code Ignored;
    std::filesystem::remove_all(Folder_, Ignored);
  } else {
    note("logs in " + Folder_);
  }
}

std::string Fleet::ipOf(int Host) const {
  return Prefix_ + std::to_string(Host);
}

void Fleet::note(const std::string &Line) {
  const std::lock_guard Guard(Lock_);
  Record_ << nowMs() << " ms: " << Line << std::endl;
}

void Fleet::configure(uint64_t Version, const Json &Routes) {
  Store_->put("op", "config",
              {{"version", Version},
               {"routes", Routes},
               {"services",
                Json::array({{{"name", "desk"}, {"rejects_overload", true}}})},
               {"limits", Json::object()}});
}

static std::string settingsOf(const NodeOptions &Options, const std::string &Ip,
                              const std::string &Seed,
                              const std::string &Store) {
  std::string Text;
  Text += "node_name: \"" + Options.Name_ + "\"\nrole: \"instance\"\n";
  Text += "machine_class: \"edge\"\nserves:\n  - \"edge\"\n  - \"control\"\n";
  Text += "ip: \"" + Ip + "\"\nzone: \"" + Options.Zone_ + "\"\n";
  Text += "region: \"region\"\nzones:\n  " + Options.Zone_ + ": \"region\"\n";
  const auto At = [](const std::string &Address, uint16_t Port) {
    return "\"" + Address + ":" + std::to_string(Port) + "\"";
  };
  Text += "listen_addrs:\n  frontend: " + At(Ip, FrontendPort) +
          "\n  readiness: " + At(Ip, ReadinessPort) +
          "\n  control_plane: " + At(Ip, ControlPort) + "\n";
  Text += "internal_port_range:\n  - " + std::to_string(LinkPort) + "\n  - " +
          std::to_string(LinkPort) + "\n";
  Text += "seeds:\n  - " + At(Seed, ControlPort) +
          "\nbootstrap: true\nfault_counted: false\nlimits:\n";
  Text += "  cpu_share: " + std::to_string(Options.CpuShare_) +
          "\n  cores: 1\n  memory_mb: " + std::to_string(Options.MemoryMb_) +
          "\n  max_fds: " + std::to_string(Options.MaxDescriptors_) + "\n";
  Text += "bounds:\n  hold_max_ms: 1000\n  resend_ms: 1300\n  grace_s: 6.0\n"
          "  remote_factor: 2.0\n  cancel_ms: 3000\n  stop_ms: 50\n";
  Text += "platform:\n  address: \"" + Store + ":" + std::to_string(StorePort) +
          "\"\n  form: \"table\"\n  writes_per_s: 800\n  reads_per_s: 2000\n";
  return Text;
}

Node &Fleet::addNode(NodeOptions Options) {
  const std::string Ip = ipOf(NextHost_++);
  const std::string Seed = Nodes_.empty() ? Ip : Nodes_.front()->ip();
  const std::string Settings = settingsOf(Options, Ip, Seed, ipOf(1));
  Nodes_.push_back(
      std::make_unique<Node>(std::move(Options), Ip, Settings, Folder_));
  Nodes_.back()->start();
  return *Nodes_.back();
}

Worker &Fleet::addWorker(WorkerOptions Options) {
  if (Options.Ip_.empty())
    Options.Ip_ = ipOf(NextHost_++);
  if (Options.Port_ == 0)
    Options.Port_ = WorkerPort;
  Workers_.push_back(
      std::make_unique<Worker>(std::move(Options), *Store_, Journal_));
  return *Workers_.back();
}

bool Fleet::waitReady(int64_t TimeoutMs) {
  const int64_t Until = nowMs() + TimeoutMs;
  for (const auto &One : Nodes_) {
    while (!One->isReady()) {
      if (nowMs() > Until)
        return false;
      sleepMs(20);
    }
  }
  return true;
}

Json oneQueue() {
  return Json::array({{{"name", "queue"},
                       {"host", "queue.example"},
                       {"path_prefix", "/q/"},
                       {"kind", "non_idempotent"},
                       {"service", "desk"},
                       {"priority", 0},
                       {"max_attempts", 2},
                       {"stretch_factor", 1.6},
                       {"target_latency_ms", 60}}});
}

int finish(Fleet &Played, Verdict Result, const std::string &Why) {
  static constexpr const char *Names[] = {"held", "BROKEN", "not run"};
  Played.note(std::string("verdict: ") + Names[static_cast<int>(Result)] +
              ": " + Why);
  return static_cast<int>(Result);
}

Json jobOf(int Tasks, int64_t WorkMs, int64_t Cpu) {
  return {{"spec", std::to_string(WorkMs)},
          {"best_effort", true},
          {"phases", Json::array({{{"count", Tasks},
                                   {"cpu", Cpu},
                                   {"mem_mb", 64},
                                   {"estimate_ms", WorkMs}}})}};
}

std::string clientRequest(const std::string &Method, const std::string &Path,
                          const std::string &Host, int64_t DeadlineMs,
                          const std::string &Body) {
  return formatRequest(
      Method, Path,
      {{"Host", Host}, {"Deadline-Ms", std::to_string(DeadlineMs)}}, Body);
}

std::string idText(uint64_t Id) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Id));
  return Text;
}

bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

} // namespace review
