/// \file
/// \brief Stand-ins of the platform for the cases of this review: the store,
/// workers, clients, and the instances as child processes, on loopback.

#ifndef REVIEW_HARNESS_2_STAGE_H
#define REVIEW_HARNESS_2_STAGE_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace stage {

using Json = nlohmann::json;

/// \brief Milliseconds of the steady clock since the program began.
int64_t now();
void sleepMs(int64_t Ms);

/// \brief Writes a line with the time to record.txt.
void record(const std::string &Line);
void openRecord(const std::string &Path);

struct Request {
  std::string Method_;
  std::string Path_;
  std::string Query_;
  std::map<std::string, std::string> Headers_; ///< Names in lower case.
  std::string Body_;
};

struct Reply {
  int Status_ = 200; ///< 0: no answer, the connection is closed.
  std::string Body_ = "{}";
};

/// \brief An HTTP server with a thread for each connection.
class Server {
public:
  using Handler = std::function<Reply(const Request &)>;
  Server(std::string Address, uint16_t Port, Handler OnRequest);
  ~Server();
  uint16_t port() const { return Port_; }
  /// \brief Refuses connections and resets the open ones.
  void close();

private:
  void accept();
  void serve(int Socket);
  Handler OnRequest_;
  int Listener_ = -1;
  uint16_t Port_ = 0;
  std::atomic<bool> IsClosed_{false};
  std::mutex Lock_;
  std::set<int> Sockets_;
  std::thread Acceptor_;
};

/// \brief The platform's store: tables of rows with a feed of changes.
class Store {
public:
  Store();
  uint16_t port() const { return Server_->port(); }
  /// \brief Writes a row as the operator or a worker does.
  void write(const std::string &Table, const std::string &Key,
             const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  std::size_t rows(const std::string &Table);
  std::vector<std::string> keys(const std::string &Table);

private:
  struct Row {
    std::string Value_;
    uint64_t Version_ = 0;
    bool IsDeleted_ = false;
  };
  Reply handle(const Request &R);
  Reply get(const std::map<std::string, std::string> &Query);
  Reply feed(const std::map<std::string, std::string> &Query);
  Reply transact(const Json &Body);
  std::mutex Lock_;
  std::condition_variable Changed_;
  uint64_t Version_ = 1;
  std::map<std::string, std::map<std::string, Row>> Tables_;
  std::unique_ptr<Server> Server_;
};

struct WorkerOptions {
  std::string Id_;
  std::string Service_ = "desk";
  std::string Zone_;
  std::vector<std::string> Labels_{"a", "r1"};
  int64_t Cpu_ = 8000;
  int64_t MemMb_ = 16384;
  bool RejectsOverload_ = true;
};

/// \brief One worker. The spec of a task says how long it runs: "run=MS ...".
class Worker {
public:
  Worker(Store &Known, WorkerOptions Options);
  ~Worker();
  const std::string &id() const { return Options_.Id_; }
  const std::string &zone() const { return Options_.Zone_; }
  /// \brief When a holder last raised the worker's epoch number.
  int64_t claimedAt() const { return ClaimedAt_; }
  /// \brief Crashes; the same object can be started again under its id.
  void crash();
  void restart(std::optional<std::vector<std::string>> Labels = {});
  void drain();
  /// \brief Answers to be lost: of the next starts.
  std::atomic<int> LoseStartAnswers_{0};
  std::size_t running();

private:
  struct Run {
    int64_t StartedAt_ = 0;
    int64_t Length_ = 0;
    int64_t Cpu_ = 0;
  };
  struct End {
    uint64_t Number_;
    std::string Task_;
    uint32_t Attempt_;
    std::string How_;
  };
  Reply handle(const Request &R);
  Reply start(const Json &Body);
  Reply stop(const Json &Body);
  Reply hold(const Json &Body);
  void tick();
  void report();
  int64_t clock() const { return now() - BornAt_; }
  void end(std::string Task, const std::string &How);
  Json stamped(Json Body) const;

  Store &Store_;
  WorkerOptions Options_;
  std::mutex Lock_;
  std::condition_variable Ended_;
  int64_t BornAt_ = 0;
  int64_t Born_ = 0;
  uint64_t Token_ = 0;
  int64_t Lease_ = 0;
  uint64_t NextEnd_ = 1;
  int64_t Sequence_ = 0;
  bool IsDraining_ = false;
  std::map<std::string, std::pair<uint32_t, Run>> Running_; ///< By task.
  std::map<std::string, uint32_t> Over_; ///< Highest ended attempt by task.
  std::vector<End> Ends_;
  uint16_t Port_ = 0;
  std::unique_ptr<Server> Server_;
  std::atomic<bool> IsUp_{false};
  std::atomic<int64_t> ClaimedAt_{0};
  std::atomic<bool> IsOver_{false};
  std::thread Ticker_;
};

/// \brief What was started and run, for the checks.
struct Start {
  int64_t At_;
  std::string Worker_;
  std::string Task_;
  uint32_t Attempt_;
  std::string Spec_;
  int64_t EndedAt_ = -1;
  std::string How_;
};
std::vector<Start> starts();
/// \brief CPU needs of each task by job, for the capacity of workers.
void noteJob(const std::string &Id, int64_t Cpu);
/// \brief Breaches of capacity noticed by workers.
int overloads();

struct InstanceOptions {
  std::string Name_;
  std::string Zone_;
  std::string Ip_;
  double CpuShare_ = 0.25;
};

/// \brief One instance, started with the command of the deploy file.
class Instance {
public:
  Instance(const std::string &Folder, uint16_t StorePort,
           InstanceOptions Options, std::vector<std::string> Seeds);
  ~Instance();
  void start();
  void signal(int Number);
  bool isRunning();
  /// \brief Waits for the process to end; returns its wait status.
  std::optional<int> wait(int64_t Ms);
  bool isReady();
  const InstanceOptions &options() const { return Options_; }
  static constexpr uint16_t FrontPort = 8161;

private:
  std::string Folder_;
  InstanceOptions Options_;
  std::string Settings_;
  pid_t Pid_ = -1;
};

struct Answer {
  int Status_ = 0; ///< 0: none; -1: the connection was refused.
  std::string Body_;
};

/// \brief Sends one request on a connection of its own.
Answer call(const std::string &Ip, uint16_t Port, const std::string &Method,
            const std::string &Path, const std::string &Body, int64_t TimeoutMs,
            const std::string &Host = "shop.example", int64_t DeadlineMs = 0);

/// \brief Opens a connection; -1 if that fails.
int dial(const std::string &Ip, uint16_t Port);
/// \brief Reads one answer; status 0 if the connection ends before.
Answer readAnswer(int Socket, int64_t TimeoutMs);
std::string formatRequest(const std::string &Method, const std::string &Path,
                          const std::string &Body, const std::string &Host,
                          int64_t DeadlineMs);

/// \brief A deployment like apck-karite: nine instances in three zones, of
/// which the first is the strongest and the fourth does not coordinate, with
/// workers and a store with a configuration of one route, "/jobs/".
class Deployment {
public:
  Deployment(const std::string &Folder, std::vector<int> WorkersByZone,
             WorkerOptions Like = {});
  ~Deployment();
  /// \brief Starts all instances and waits until all are ready.
  bool begin();
  Store Store_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::vector<std::unique_ptr<Instance>> Instances_;
  void writeConfig(uint64_t Version, int MaxAttempts = 3);

private:
  std::string Folder_;
};

std::string jobBody(int Count, int64_t Cpu, int64_t EstimateMs,
                    const std::string &Spec, int AntiAffinity = 0,
                    const std::string &Label = {});
std::string jobId(uint64_t Number);

/// \brief Whether the case runs with its disruption (TROUBLE=0: without).
bool hasTrouble();

} // namespace stage

#endif
