#ifndef MARJORAMBEND_REVIEW_FLEET_H
#define MARJORAMBEND_REVIEW_FLEET_H

#include "Record.h"

#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace marjorambend::review {

/// \brief One entry instance of the system.
struct InstanceSpec {
  std::string Name_;
  std::string Zone_;
  std::string Address_;
  double CpuShare_ = 0.25;
};

/// \brief The ports that are the same on all machines.
struct Ports {
  static constexpr uint16_t Callers = 8161;
  static constexpr uint16_t Readiness = 8167;
  static constexpr uint16_t Control = 8166;
  static constexpr uint16_t Links = 7720;
  static constexpr uint16_t Metrics = 9464;
  static constexpr uint16_t Store = 8169;
  static constexpr uint16_t Worker = 8200;
};

/// \brief Starts, signals and ends the processes of the system.
class Fleet {
public:
  Fleet(Record &Log, std::string Folder, Endpoint StoreAt,
        std::vector<InstanceSpec> Instances);
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;
  /// \brief Kills all processes that are left.
  ~Fleet();

  void start(const std::string &Name, bool IsFirst);
  void signal(const std::string &Name, int Number);
  /// \brief Kills a process and waits for its end.
  void kill(const std::string &Name);
  /// \brief Whether the process runs; collects it if it has ended.
  bool isRunning(const std::string &Name);
  const std::vector<InstanceSpec> &instances() const { return Instances_; }
  const InstanceSpec &spec(const std::string &Name) const;

private:
  void writeSettings(const InstanceSpec &Spec, bool IsFirst) const;

  Record &Log_;
  std::string Folder_;
  Endpoint Store_;
  std::vector<InstanceSpec> Instances_;
  std::map<std::string, pid_t> Processes_;
};

/// \brief A prefix 127.A.B. on whose addresses all ports are free.
std::string findFreePrefix(const std::vector<int> &Hosts);

} // namespace marjorambend::review

#endif // MARJORAMBEND_REVIEW_FLEET_H
