#ifndef MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATION_H
#define MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATION_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <marjorambend/Instance>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace marjorambend::test {

/// \brief Bugs that can be injected to verify that the checks detect them.
enum class InjectedBug : uint8_t {
  None,
  StartWithoutClaim,         ///< Jobs start without a claim.
  AssumeUnansweredClaimHeld, ///< An unanswered claim counts as held.
  AssumeHeldInOutage,        ///< A claim during an outage counts as held.
  TakeOverClaim,             ///< Claims of unreachable holders are taken over.
  OverwriteClaim,            ///< Insert-if-absent overwrites the row.
  IgnoreNonce,               ///< Rows of evicted records are trusted.
  ReuseIncarnation,          ///< A restart keeps the old incarnation.
  RetryLostTask,             ///< An unanswered task is sent again.
  SwapAnswers,               ///< Answers of backend servers are swapped.
  ReportAllAsNotRun,         ///< Failures are always answered as not run.
  AdoptOlderCatalogue,       ///< Instances adopt older catalogues.
  AcceptLostWrites,          ///< A catalogue write that lost the race succeeds.
  DropDrainUpdates,          ///< Drains are not sent to other instances.
  StopImmediately            ///< A planned stop does not wait for jobs.
};

/// \brief Load and faults of a simulation. Floating-point values are
/// probabilities.
struct InstanceSimulationOptions {
  uint64_t Seed_ = 1;
  uint32_t Jobs_ = 14;
  Milliseconds ArrivalPeriod_{2'000};
  Milliseconds Duration_{9'000};
  uint32_t Kills_ = 2;
  uint32_t Pauses_ = 2;
  uint32_t Partitions_ = 2;
  uint32_t StorePartitions_ = 1;
  uint32_t StoreOutages_ = 1;
  Milliseconds MaxOutage_{3'000};
  uint32_t Drains_ = 0;
  uint32_t CatalogueWrites_ = 0; ///< Catalogues that operators submit.
  uint32_t Stops_ = 0;           ///< Planned stops.
  double LoseMessage_ = 0.03;
  double DuplicateMessage_ = 0.03;
  double LoseStoreRequest_ = 0.05;
  double LoseStoreAnswer_ = 0.10;
  double RefuseTask_ = 0.08;
  double LoseTaskAnswer_ = 0.03;
  double FailTask_ = 0.02;
  double StaleRead_ = 0.1;  ///< A read returns the previous row.
  double DelaySend_ = 0.05; ///< A pause between decision and socket write.
  std::size_t MaxRecords_ = 1'000;
  InjectedBug InjectedBug_ = InjectedBug::None;
};

/// \brief Options without any fault.
InstanceSimulationOptions noFaults(uint64_t Seed);

/// \brief Violated checks and statistics of a simulation.
struct InstanceSimulationReport {
  std::vector<std::string> Violations_;
  uint64_t Submissions_ = 0;
  uint64_t Complete_ = 0;
  uint64_t NotRun_ = 0;
  uint64_t MayHaveRun_ = 0;
  uint64_t Unanswered_ = 0; ///< As the instance was killed.
  uint64_t Starts_ = 0;
  uint64_t AcceptedWrites_ = 0; ///< Of catalogues.
  uint64_t RefusedWrites_ = 0;  ///< Of catalogues, including lost races.
  uint64_t StopsDone_ = 0;
};

/// \brief Runs several instances of the production decision code in one process
/// with a virtual clock and fakes for the table service, the backend servers,
/// the links and the callers.
///
/// The seed determines the whole simulation. Events reach an instance late,
/// twice, out of order or not at all. Instances are killed and restarted,
/// paused, and partitioned from each other and from the table service.
class InstanceSimulation {
public:
  explicit InstanceSimulation(InstanceSimulationOptions Options);

  /// \brief Runs the simulation to its end and checks it.
  InstanceSimulationReport run();

private:
  struct Node {
    std::string Name_;
    std::string DataCentre_;
    Instance State_;
    uint64_t Generation_ = 0;
    uint64_t Seed_ = 0;
    bool IsAlive_ = true;
    Milliseconds StartedAt_;
    Milliseconds PausedUntil_;
    Milliseconds StorePartitionedUntil_;
    std::deque<Event> Backlog_;
    std::map<uint64_t, ClaimBatch> Batches_;
    std::optional<TaskFinished>
        PreviousResult_; ///< For InjectedBug::SwapAnswers.
  };

  struct Submission {
    JobRequest Request_;
    std::size_t Node_ = 0;
    uint64_t Generation_ = 0;
    Milliseconds At_;
    uint32_t Answers_ = 0;
  };

  struct ScheduledCall {
    Milliseconds At_;
    uint64_t Order_;
    std::function<void()> Call_;
    bool operator<(const ScheduledCall &Other) const {
      return std::tie(Other.At_, Other.Order_) < std::tie(At_, Order_);
    }
  };

  struct Row {
    uint64_t Version_ = 0;
    std::string Value_;
  };

  // Time and randomness.
  void at(Milliseconds When, std::function<void()> Call);
  void after(Milliseconds Delay, std::function<void()> Call);
  bool chance(double Share);
  Milliseconds randomBetween(int64_t Min, int64_t Max);

  // Instances.
  void startNode(std::size_t Index);
  void tick(std::size_t Index, uint64_t Generation);
  void deliver(std::size_t Index, uint64_t Generation, Event NewEvent);
  void handle(std::size_t Index, Event NewEvent);
  void resume(std::size_t Index, uint64_t Generation);
  void kill(std::size_t Index);
  void pause(std::size_t Index, Milliseconds Time);
  void establishLinks();
  bool isPartitioned(std::size_t A, std::size_t B) const;
  std::optional<std::size_t> findNode(Incarnation Run) const;

  // Actions.
  void perform(std::size_t Index, const Action &Requested);
  void performPeer(std::size_t Index, const SendPeer &Requested);
  void performInsert(std::size_t Index, const InsertClaims &Requested);
  void performSend(std::size_t Index, const SendTask &Requested);
  void performRead(std::size_t Index, const ReadRow &Requested);
  void performSwap(std::size_t Index, const SwapRow &Requested);
  void receiveTask(std::size_t Index, uint64_t Generation,
                   const SendTask &Task);
  ClaimRow insertRow(const Claim &Requested, Incarnation Holder);
  bool isStoreDown(std::size_t Index) const;
  ClaimsAnswered makeOwnRows(const Node &Claimant, uint64_t Batch) const;

  // Injected bugs; see InjectedBugs.cpp.
  bool injectIntoInsert(std::size_t Index, const InsertClaims &Requested);
  void injectIntoEvent(std::size_t Index, Event &NewEvent);
  void injectIntoOperatorEvent(std::size_t Index, Event &NewEvent);
  void injectIntoClaims(std::size_t Index, ClaimsAnswered &Answered);

  // Callers and checks.
  void scheduleJobs();
  void scheduleFaults();
  void submit(JobRequest Request, std::size_t Index);
  void checkAnswer(std::size_t Index, const AnswerCaller &Reply);
  void checkUnanswered();
  void reportViolation(const std::string &What);

  // Operators; see InstanceSimulationOperators.cpp.
  void scheduleOperators();
  void drainRandomWorker();
  void submitCatalogue();
  void stopRandomNode();
  void awaitIdle(std::size_t Index, uint64_t Generation, Milliseconds From);
  static bool knowsDrain(const Node &Known, const std::string &Worker);
  void dropLostDrains(Incarnation Ended);
  void recordDrains(const Node &At);
  void checkDrained(std::size_t Index, const SendTask &Requested);
  void checkOperatorAnswer(const AnswerOperator &Answered);
  void checkInForce(uint64_t Version);
  void checkVersion(std::size_t Index, uint64_t Before);

  InstanceSimulationOptions Options_;
  Random Generator_;
  Milliseconds Now_;
  std::priority_queue<ScheduledCall> Queue_;
  uint64_t NextOrder_ = 0;
  std::vector<Node> Nodes_;
  std::map<std::pair<std::size_t, std::size_t>, Milliseconds> PartitionedUntil_;
  std::set<std::pair<std::size_t, Incarnation>> Links_;
  Milliseconds OutageUntil_;
  std::map<JobId, ClaimRow> Claims_;
  std::map<std::string, Row> Rows_;
  std::map<std::pair<JobId, uint32_t>, uint32_t> Starts_;
  std::map<JobId, uint32_t> PendingSends_; ///< Sends that may still start.
  std::set<JobId> Started_;
  std::map<uint64_t, Submission> Submissions_;
  uint64_t NextToken_ = 1;
  std::map<std::string, Milliseconds> DrainedAt_;
  std::map<std::string, Incarnation>
      DrainedBy_; ///< Instance that took the order.
  std::map<uint64_t, std::string> SubmittedCatalogues_; ///< Texts by token.
  std::map<uint64_t, std::string> CatalogueVersions_;   ///< Texts by version.
  std::map<std::string, Row> PreviousRows_;
  InstanceSimulationReport Report_;
};

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATION_H
