#ifndef MARJORAMBEND_REVIEW_WORKER_H
#define MARJORAMBEND_REVIEW_WORKER_H

#include "Store.h"

#include <functional>
#include <set>

namespace marjorambend::review {

/// \brief What a worker says of itself.
struct WorkerSpec {
  std::string Id_;
  std::string Service_;
  std::string Zone_;
  Endpoint At_;
  std::vector<std::string> Labels_; ///< Its kind and its rack.
  int64_t MilliCores_ = 32'000;
  int64_t MemoryMb_ = 65'536;
};

/// \brief A run on a worker.
struct WorkerRun {
  std::string Task_;
  int64_t Attempt_ = 0;
  int64_t MilliCores_ = 0;
  int64_t MemoryMb_ = 0;
  Milliseconds StartedAt_;
  Milliseconds Work_;
  bool IsStopping_ = false;
};

/// \brief The job of a task, as its client knows it.
struct TaskNeeds {
  int64_t MilliCores_ = 0;
  int64_t MemoryMb_ = 0;
  Milliseconds Work_;
};

class Worker;

/// \brief What the test wants to know of a worker.
struct WorkerEvents {
  /// Needs of a task; the worker learns them from the job's text.
  std::function<TaskNeeds(const std::string &Spec)> NeedsOf_;
  std::function<void(const Worker &, const WorkerRun &, const std::string &)>
      OnStart_;
  std::function<void(const Worker &, const WorkerRun &, const char *How)>
      OnEnd_;
  /// An order was carried out late.
  std::function<void(const Worker &, const std::string &Order, int Status)>
      OnLate_;
};

/// \brief Stand-in of a worker, with commands of the kind `invoke`.
class Worker {
public:
  Worker(EventLoop &Loop, Store &Known, WorkerSpec Spec, WorkerEvents Events);

  /// \brief Starts the worker: first its row is in the store, then it listens.
  void boot();
  /// \brief Ends all runs and closes all connections; the row stays until it
  /// expires.
  void crash();
  /// \brief Reports `draining`.
  void drain();

  const WorkerSpec &spec() const { return Spec_; }
  WorkerSpec &spec() { return Spec_; }
  bool isUp() const { return Server_ != nullptr; }
  bool isDraining() const { return IsDraining_; }
  const std::vector<WorkerRun> &runs() const { return Runs_; }
  int64_t born() const { return Born_; }

  /// \brief Number of starts that are still to be carried out late.
  std::size_t lateStarts() const { return LateStarts_; }

  /// Share of the orders that are left unanswered and carried out 2 to 12 s
  /// later, by whichever life of the worker is up then. One that finds the
  /// worker down is held up until it listens again, within the 12 s.
  double LateShare_ = 0;

private:
  struct End {
    int64_t Number_ = 0;
    std::string Task_;
    int64_t Attempt_ = 0;
    std::string How_;
  };
  struct HeldUp {
    std::string Path_;
    Json Body_;
    Milliseconds SentAt_;
  };
  struct Poll {
    uint64_t Token_ = 0;
    Milliseconds Until_;
  };

  std::optional<HttpReply> receive(const HttpRequest &Request);
  void carryOutLate(const HeldUp &Order);
  void deliverHeldUp();
  std::optional<HttpReply> carryOut(const std::string &Path, const Json &Body,
                                    uint64_t Token);
  HttpReply startRun(const Json &Body);
  HttpReply stopRun(const Json &Body);
  std::optional<HttpReply> hold(const Json &Body, uint64_t Token);
  HttpReply lists() const;
  HttpReply reply(uint16_t Status, Json Body) const;
  void extendLease(const Json &Body);
  void endRun(std::size_t Index, const char *How);
  void answerPolls(bool HasEnd);
  void tick();
  void writeRow();
  int64_t clock() const { return (monotonicNow() - BootedAt_).Count_ + 1; }

  EventLoop &Loop_;
  Store &Store_;
  WorkerSpec Spec_;
  WorkerEvents Events_;
  std::unique_ptr<HttpServer> Server_;
  std::unique_ptr<Timer> Tick_;
  std::unique_ptr<Timer> Heartbeat_;
  std::unique_ptr<Timer> Expiry_;
  std::vector<std::unique_ptr<Timer>> Late_;
  std::vector<HeldUp> HeldUp_; ///< Late orders that found the worker down.
  std::unique_ptr<Timer> Delivery_;
  std::size_t LateStarts_ = 0;
  Milliseconds RowWrittenAt_;
  Milliseconds BootedAt_;
  int64_t Born_ = 0;
  int64_t Sequence_ = 0;
  bool IsDraining_ = false;
  uint64_t Token_ = 0;   ///< Highest fencing token.
  int64_t LeaseEnd_ = 0; ///< On the worker's clock.
  int64_t AckedThrough_ = 0;
  int64_t LastEnd_ = 0;
  std::vector<WorkerRun> Runs_;
  std::vector<End> Ends_;
  std::map<std::string, int64_t> OverAttempts_; ///< Highest, by task.
  std::vector<Poll> Polls_;
};

} // namespace marjorambend::review

#endif // MARJORAMBEND_REVIEW_WORKER_H
