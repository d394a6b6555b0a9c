#include "Fleet.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace marjorambend::review {

static constexpr const char *Program = "target/daemon/marjorambend";

static bool isFree(const std::string &Address, uint16_t Port) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in At{};
  At.sin_family = AF_INET;
  At.sin_port = htons(Port);
  inet_pton(AF_INET, Address.c_str(), &At.sin_addr);
  const bool IsBound =
      bind(Socket, reinterpret_cast<const sockaddr *>(&At), sizeof(At)) == 0;
  close(Socket);
  return IsBound;
}

std::string findFreePrefix(const std::vector<int> &Hosts) {
  std::random_device Source;
  for (int Tries = 0; Tries < 50; ++Tries) {
    const std::string Prefix = "127." + std::to_string(64 + Source() % 128) +
                               '.' + std::to_string(Source() % 250) + '.';
    bool IsUsable = true;
    for (const int Host : Hosts) {
      for (const uint16_t Port :
           {Ports::Callers, Ports::Readiness, Ports::Control, Ports::Links,
            Ports::Metrics, Ports::Store, Ports::Worker})
        IsUsable = IsUsable && isFree(Prefix + std::to_string(Host), Port);
    }
    if (IsUsable)
      return Prefix;
  }
  return {};
}

Fleet::Fleet(Record &Log, std::string Folder, Endpoint StoreAt,
             std::vector<InstanceSpec> Instances)
    : Log_(Log), Folder_(std::move(Folder)), Store_(std::move(StoreAt)),
      Instances_(std::move(Instances)) {}

Fleet::~Fleet() {
  for (const InstanceSpec &One : Instances_)
    kill(One.Name_);
}

const InstanceSpec &Fleet::spec(const std::string &Name) const {
  for (const InstanceSpec &One : Instances_) {
    if (One.Name_ == Name)
      return One;
  }
  std::abort();
}

// The settings of a small deployment, fasciaviva-sched, at other addresses.
void Fleet::writeSettings(const InstanceSpec &Spec, bool IsFirst) const {
  std::ofstream File(Folder_ + '/' + Spec.Name_ + ".yaml");
  File << "node_name: \"" << Spec.Name_ << "\"\n"
       << "role: \"instance\"\nmachine_class: \"edge\"\n"
       << "serves:\n  - \"edge\"\n  - \"control\"\n"
       << "ip: \"" << Spec.Address_ << "\"\n"
       << "zone: \"" << Spec.Zone_ << "\"\nregion: \"nord-italia\"\n"
       << "zones:\n  milano: \"nord-italia\"\n  torino: \"nord-italia\"\n"
       << "  verona: \"nord-italia\"\nlisten_addrs:\n"
       << "  frontend: \"" << Spec.Address_ << ':' << Ports::Callers << "\"\n"
       << "  readiness: \"" << Spec.Address_ << ':' << Ports::Readiness
       << "\"\n"
       << "  control_plane: \"" << Spec.Address_ << ':' << Ports::Control
       << "\"\ninternal_port_range:\n  - " << Ports::Links << "\n  - "
       << Ports::Links + 15 << "\nseeds:\n";
  for (std::size_t Index = 0; Index < Instances_.size() && Index < 3; ++Index)
    File << "  - \"" << Instances_[Index].Address_ << ':' << Ports::Control
         << "\"\n";
  File << "bootstrap: " << (IsFirst ? "true" : "false")
       << "\nfault_counted: false\nlimits:\n  cpu_share: " << Spec.CpuShare_
       << "\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n"
          "  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n"
          "discovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1500\n"
          "contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n"
          "  - \"cost\"\n  - \"recover\"\n  - \"sched\"\n  - \"platform\"\n"
          "  - \"advice\"\n  - \"upkeep\"\n  - \"sharing\"\n"
          "fault_tolerance:\n  machines: 2\n  zones: 1\n  regions: 0\n"
          "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n"
          "  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n"
          "  drain_ms: 2000\n  grace_s: 6\n  loss_slack_ms: 200\n"
          "  config_apply_ms: 2000\n  downgrade_slack_ms: 250\n"
          "  max_extension_ms: 5000\n  recovery_s: 12\n"
          "  hold_max_ms: 1000\n  stop_ms: 50\n  gang_ms: 3000\n"
          "  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n"
          "  finish_s: 14\n  status_s: 120\n  remote_factor: 1.5\n"
          "  save_s: 1\n  restore_ms: 250\n  notice_ms: 4500\n"
          "  move_s: 1.5\n  upkeep_s: 2\n  fencing_enforced: false\n"
          "  lease_ms: 3000\n  thaw_ms: 300\n  pace_ms: 100\n"
          "  harm_ms: 4000\n  resend_ms: 1300\ncommands: \"invoke\"\n"
       << "platform:\n  address: \"" << Store_.Address_ << ':' << Store_.Port_
       << "\"\n  form: \"table\"\n  writes_per_s: 600\n"
          "  reads_per_s: 2000\n  tx_ms: 4.0\n  partition_writes_s: 250\n"
          "  row_bytes: 65536\n  cross_partition: true\n  history_s: 20\n"
          "  blob_bytes: 8388608\n  blob_ms: 25.0\n  blob_mb_s: 80.0\n";
}

void Fleet::start(const std::string &Name, bool IsFirst) {
  const InstanceSpec &Spec = spec(Name);
  writeSettings(Spec, IsFirst);
  const std::string Settings = Folder_ + '/' + Name + ".yaml";
  const std::string Output = Folder_ + '/' + Name + ".log";
  const pid_t Child = fork();
  if (Child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int File = open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(File, STDOUT_FILENO);
    dup2(File, STDERR_FILENO);
    for (int Open = STDERR_FILENO + 1; Open < 1024; ++Open)
      close(Open);
    setenv("MARJORAMBEND_NODE_FILE", Settings.c_str(), 1);
    const char *Other = std::getenv("REVIEW_PROGRAM");
    execl(Other == nullptr ? Program : Other, "marjorambend", "platform",
          nullptr);
    _exit(127);
  }
  Processes_[Name] = Child;
  Log_.write("instance " + Name + " started");
}

void Fleet::signal(const std::string &Name, int Number) {
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end())
    return;
  ::kill(Found->second, Number);
  Log_.write("instance " + Name + " gets signal " + std::to_string(Number) +
             " (" + strsignal(Number) + ')');
}

void Fleet::kill(const std::string &Name) {
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end())
    return;
  ::kill(Found->second, SIGKILL);
  waitpid(Found->second, nullptr, 0);
  Processes_.erase(Found);
  Log_.write("instance " + Name + " killed");
}

bool Fleet::isRunning(const std::string &Name) {
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end())
    return false;
  int Status = 0;
  if (waitpid(Found->second, &Status, WNOHANG) == 0)
    return true;
  Log_.write("instance " + Name + " ended, status " + std::to_string(Status));
  Processes_.erase(Found);
  return false;
}

} // namespace marjorambend::review
