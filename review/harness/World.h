#ifndef MARJORAMBEND_REVIEW_WORLD_H
#define MARJORAMBEND_REVIEW_WORLD_H

#include "Caller.h"
#include "Fleet.h"
#include "Worker.h"

#include <optional>

namespace marjorambend::review {

/// \brief A job as its client submits it.
struct ClientJob {
  std::string Id_; ///< Empty: a new one.
  std::string Route_ = "fit-hold";
  int Tasks_ = 1;
  int64_t MilliCores_ = 14'000;
  int64_t MemoryMb_ = 64;
  int64_t EstimateMs_ = 200;
  int64_t WorkMs_ = 200; ///< What a task really takes.
  std::string Label_;    ///< `requirements`
  int MaxPerWorker_ = 0; ///< `anti_affinity`
  int64_t DeadlineMs_ = 1'500;
  int Padding_ = 0; ///< Further bytes of `spec`.
  /// Whether the client sends it again after no response, 502 or 504.
  bool IsResent_ = true;
  int MaxTries_ = 4;
};

/// \brief What clients and workers have seen of a job.
struct JobRecord {
  ClientJob Job_;
  int Tries_ = 0;
  int Rejections_ = 0;
  int Starts_ = 0;
  std::optional<int> Status_; ///< Of the last try, once it is over.
  std::string Answer_;
  std::optional<int64_t> CancelAckedAt_;
  std::set<std::string> Done_; ///< Tasks that have ended `done`.
};

/// \brief A small deployment: instances of the system as processes, and
/// stand-ins of the platform's store, the workers and the clients.
class World {
public:
  /// \brief \p Folder gets `record.txt`; settings and logs go to a temporary
  /// folder.
  World(const std::string &Folder, int InstancesPerZone, int WorkersPerZone);
  ~World();

  EventLoop &loop() { return Loop_; }
  Record &record() { return Record_; }
  Fleet &fleet() { return *Fleet_; }
  Store &store() { return *Store_; }
  std::vector<std::unique_ptr<Worker>> &workers() { return Workers_; }
  std::map<std::string, JobRecord> &jobs() { return Jobs_; }

  /// \brief Starts all and calls \p Then once each instance is ready and work
  /// is served; ends the run with 2 if that does not happen in time.
  void begin(std::function<void()> Then);
  /// \brief Calls a function after a delay.
  void after(int64_t Ms, std::function<void()> Call);
  /// \brief Submits a job to an instance; returns its ID.
  std::string submit(ClientJob Job, const std::string &Instance);
  /// \brief Notes a job as sent for the first time, by the test itself, and
  /// returns the text of its request.
  std::string sendByHand(ClientJob &Job, const std::string &Instance);
  /// \brief Sends a job again, to an instance.
  void sendAgain(const std::string &Id, const std::string &Instance) {
    send(Id, Instance);
  }
  /// \brief Cancels a job at an instance.
  void cancel(const std::string &Id, const std::string &Instance);
  /// \brief Ends the run.
  void finish(int ExitCode);
  /// \brief Runs until finish(); returns the exit code, 1 if a rule was
  /// broken.
  int run();
  /// \brief Notes that a rule was broken.
  void breach(const std::string &Rule, const std::string &What);
  int breaches() const { return Breaches_; }

  /// Called for each start, after the checks.
  std::function<void(const Worker &, const WorkerRun &)> OnStart_;

private:
  static std::string bodyOf(const ClientJob &Job);
  std::string newId();
  void send(const std::string &Id, const std::string &Instance);
  void handleEnd(const Worker &At, const WorkerRun &Run, const char *How);
  void finishTry(const std::string &Id, const HttpResult &Result);
  void handleStart(const Worker &At, const WorkerRun &Run);
  void writeConfig();
  void probe();
  std::string otherInstance(const std::string &Not);

  EventLoop Loop_;
  Record Record_;
  std::string Temp_;
  std::string Prefix_;
  std::unique_ptr<Store> Store_;
  std::unique_ptr<Fleet> Fleet_;
  std::unique_ptr<Caller> Client_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::map<std::string, JobRecord> Jobs_;
  std::vector<std::unique_ptr<Timer>> Timers_;
  std::function<void()> OnReady_;
  std::set<std::string> Ready_;
  uint64_t NextJob_ = 1;
  int Served_ = 0;
  int Breaches_ = 0;
  int ExitCode_ = 2;
  std::map<std::string, std::string> LastInstance_;
};

} // namespace marjorambend::review

#endif // MARJORAMBEND_REVIEW_WORLD_H
