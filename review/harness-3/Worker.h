/// \file
/// \brief Stand-in for a worker that runs tasks under a lease.
#pragma once

#include "Store.h"

namespace review {

/// \brief What a worker has seen of a task.
struct TaskEvent {
  int64_t AtMs_ = 0;
  std::string Worker_;
  std::string Task_;
  int64_t Attempt_ = 0;
  std::string What_; ///< "start", or how the run ended.
};

/// \brief Collects the events of all workers.
class Journal {
public:
  void add(TaskEvent Event);
  std::vector<TaskEvent> events() const;

private:
  mutable std::mutex Lock_;
  std::vector<TaskEvent> Events_;
};

struct WorkerOptions {
  std::string Id_;
  std::string Service_;
  std::string Zone_;
  std::string Ip_;
  uint16_t Port_ = 0;
  int64_t Cpu_ = 4'000;
  int64_t MemoryMb_ = 8'192;
  std::vector<std::string> Labels_;
};

/// \brief Runs a task for as many milliseconds as its spec says.
class Worker {
public:
  Worker(WorkerOptions Options, Store &Registry, Journal &Seen);
  Worker(const Worker &) = delete;
  ~Worker();

private:
  struct Run {
    int64_t StartedMs_ = 0;
    int64_t EndsMs_ = 0;
  };
  using RunKey = std::pair<std::string, int64_t>;

  void registerSelf();
  void tick();
  void endRun(const RunKey &Key, const std::string &How);
  void extendLease(const Json &Body);
  int64_t clock() const;
  Response handle(const Request &Asked);
  Response start(const Json &Body);
  Response stop(const Json &Body);
  Response hold(const Json &Body);
  Response refuse(const std::string &Reason) const;
  bool isFenced(const Json &Body);
  Json lists() const;

  WorkerOptions Options_;
  Store &Registry_;
  Journal &Seen_;
  int64_t BornMs_;
  int64_t BootMs_;
  std::mutex Lock_;
  std::condition_variable HasEnded_;
  uint64_t Token_ = 0;
  int64_t LeaseMs_ = 0; ///< On the worker's clock.
  std::map<RunKey, Run> Runs_;
  std::map<std::string, int64_t> HighestEnded_;
  int64_t NextEnd_ = 1;
  std::vector<Json> Ended_;
  uint64_t Sequence_ = 0;
  std::atomic<bool> IsStopped_ = false;
  std::thread Ticker_;
  std::unique_ptr<Server> Server_;
};

} // namespace review
