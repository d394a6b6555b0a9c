/// \file
/// \brief A small deployment: the store, workers and instances as processes.
#pragma once

#include "Worker.h"

#include <fstream>
#include <sys/types.h>

namespace review {

/// \brief Ports of this run, the same on all addresses.
inline const std::vector<uint16_t> Ports = freePorts(6);
inline const uint16_t FrontendPort = Ports[0];
inline const uint16_t ReadinessPort = Ports[1];
inline const uint16_t ControlPort = Ports[2];
inline const uint16_t LinkPort = Ports[3];
inline const uint16_t StorePort = Ports[4];
inline const uint16_t WorkerPort = Ports[5];

struct NodeOptions {
  std::string Name_;
  std::string Zone_;
  double CpuShare_ = 0.25;
  int MemoryMb_ = 260;
  int MaxDescriptors_ = 4'100;
};

/// \brief One instance, run with the command of the deploy file.
class Node {
public:
  Node(NodeOptions Options, std::string Ip, std::string Settings,
       std::string Folder);
  Node(const Node &) = delete;
  ~Node();

  void start();
  void signal(int Number) const;
  /// Waits for the process to end.
  void reap();
  bool isRunning();
  bool isReady() const;
  const std::string &ip() const { return Ip_; }
  pid_t pid() const { return Pid_; }
  const NodeOptions &options() const { return Options_; }

private:
  NodeOptions Options_;
  std::string Ip_;
  std::string Folder_;
  std::string SettingsFile_;
  pid_t Pid_ = -1;
};

class Fleet {
public:
  /// Writes the record to record.txt in the given folder.
  explicit Fleet(const std::string &RecordFolder);
  ~Fleet();

  /// Publishes a desired state with one route.
  void configure(uint64_t Version, const Json &Routes);
  Node &addNode(NodeOptions Options);
  Worker &addWorker(WorkerOptions Options);
  bool waitReady(int64_t TimeoutMs);
  std::string ipOf(int Host) const;
  void note(const std::string &Line);

  std::string Host_ = "queue.example";
  std::unique_ptr<Store> Store_;
  Journal Journal_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::vector<std::unique_ptr<Node>> Nodes_;

private:
  std::string Prefix_; ///< First three parts of the addresses.
  std::string Folder_; ///< For settings and logs; removed at the end.
  std::ofstream Record_;
  std::mutex Lock_;
  int NextHost_ = 10;
};

/// \brief The one queue of a case: /q/ on the host of the fleet.
Json oneQueue();

/// \brief Body of a job of equal tasks; each works for \p WorkMs.
Json jobOf(int Tasks, int64_t WorkMs, int64_t Cpu);

/// \brief A POST, GET or DELETE as a client sends it.
std::string clientRequest(const std::string &Method, const std::string &Path,
                          const std::string &Host, int64_t DeadlineMs,
                          const std::string &Body);

/// \brief Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// \brief Notes the verdict and returns its exit code.
int finish(Fleet &Played, Verdict Result, const std::string &Why);

/// \brief The ID as clients write it.
std::string idText(uint64_t Id);

/// \brief Whether the case runs with its disruption (TROUBLE is not 0).
bool hasTrouble();

} // namespace review
