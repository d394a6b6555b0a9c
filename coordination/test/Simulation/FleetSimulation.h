#ifndef MARJORAMBEND_TEST_SIMULATION_FLEETSIMULATION_H
#define MARJORAMBEND_TEST_SIMULATION_FLEETSIMULATION_H

#include "Simulation/CrashFaults.h"
#include "Simulation/SimWorker.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <marjorambend/Fleet>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace marjorambend::test {

/// \brief A kind of job that callers submit.
struct LoadKind {
  std::string Name_;
  uint32_t Priority_ = 0;
  double PerSecond_ = 0; ///< Arrival rate.
  double MeanTasks_ = 1;
  uint32_t MaxTasks_ = 1;
  double MeanRunTime_ = 0; ///< Milliseconds on a worker of speed 1.
  double MaxRunTime_ = 0;
  double MeanMilliCores_ = 0;
  double Worth_ = 0; ///< Of a job of mean size that is answered in time.
  uint32_t MaxPerWorker_ = 0; ///< Tasks of a job on one worker; 0: no limit.
};

/// \brief Multiplies the arrival rate during an interval.
struct LoadPeak {
  Milliseconds From_;
  Milliseconds Until_;
  double Factor_ = 1.0;
  std::string Kind_; ///< Empty for all kinds.
};

/// \brief Bugs that can be injected to verify that the checks detect them.
enum class InjectedFleetBug : uint8_t {
  None,
  DropStopOrders,            ///< Stop orders are not sent.
  ConfirmUnsentStops,        ///< The same, and they count as confirmed.
  TreatUnknownStartAsNotRun, ///< An unanswered start counts as not delivered.
  HideDrains,                ///< The worker list omits the draining state.
  ReportAllAsNotRun,         ///< Failed jobs are always answered as not run.
  LongLeases,                ///< Leases outlast the resubmission delay.
  HideShrinks,               ///< The worker list shows the full capacity.
  IgnoreCrashes,             ///< No number of crashes makes a task fail.
  HideEvacuations            ///< Reads of the store omit the evacuations.
};

/// \brief Load, size and faults of a fleet simulation.
struct FleetSimulationOptions {
  uint64_t Seed_ = 1;
  uint32_t DataCentres_ = 3;
  uint32_t InstancesPerDataCentre_ = 3;
  uint32_t WorkersPerDataCentre_ = 16;
  /// CPU shares in thousandths of a core, assigned to the instances of a data
  /// centre in turn.
  std::vector<uint32_t> CpuShares_{250};
  int64_t WorkerMilliCores_ = 64'000;
  /// Every third worker is larger by this factor.
  double LargeWorkerFactor_ = 1.5;
  std::vector<double> WorkerSpeeds_{0.55, 1.2, 1.2, 1.2};
  double EstimateError_ = 0.4; ///< Standard deviation of its log.
  /// Amplitude of the demand of each data centre, out of phase, with a period
  /// of SwingPeriod_; 0 for equal demand.
  double DataCentreSwing_ = 0;
  Milliseconds SwingPeriod_{15'000};
  double LongTaskShare_ = 0; ///< Tasks that take LongTaskFactor_ times as long.
  double LongTaskFactor_ = 7.0;
  /// Racks per data centre, one of which holds the data of each job; 0: none.
  uint32_t DataRacks_ = 0;
  double RemoteFactor_ = 1.0; ///< On the run times in all other racks.
  std::vector<LoadKind> Kinds_;
  std::vector<LoadPeak> Peaks_;
  Milliseconds LoadFrom_{3'000};
  Milliseconds LoadUntil_{9'000};
  Milliseconds Duration_{16'000};
  uint32_t Kills_ = 0;       ///< Killed instances; they restart.
  uint32_t PowerLosses_ = 0; ///< As Kills_, without closing the sessions.
  uint32_t Freezes_ = 0;
  uint32_t Stops_ = 0;      ///< Planned stops; the instances restart.
  uint32_t Partitions_ = 0; ///< Between pairs of instances.
  /// Data centres that reach neither the others nor the platform's list.
  uint32_t ZonePartitions_ = 0;
  uint32_t WorkerPartitions_ = 0; ///< Between an instance and a worker.
  uint32_t Slowdowns_ = 0;        ///< Instances slow to process events.
  uint32_t ClockLags_ = 0;        ///< Instances with a delayed store clock.
  uint32_t WorkerCrashes_ = 0;
  uint32_t Drains_ = 0;
  uint32_t ListOutages_ = 0;
  uint32_t Shrinks_ = 0;     ///< Workers whose capacity shrinks for some time.
  uint32_t Evacuations_ = 0; ///< Requests to evacuate a data centre.
  bool WorkersGuardCapacity_ = true;
  /// Probability that an order gets no answer and is carried out only after
  /// 2 s to MaxApplyDelay_.
  double DelayOrder_ = 0;
  Milliseconds MaxApplyDelay_{12'000};
  /// Whether to ignore late orders that a restarted worker carries out before
  /// the first call from a holder that knows of the restart; see KNOWN-RED.txt.
  bool IgnoresOrdersBeforeAnyPoll_ = true;
  double LoseAnswer_ = 0;  ///< Probability that an answer to a start is lost.
  double FailRun_ = 0.002; ///< Probability that a run fails.
  double LeaveEarly_ = 0;  ///< Probability that a caller leaves early.
  uint32_t CallerAttempts_ = 3; ///< Most submissions of a job.
  CrashFaults Crashes_;
  InjectedFleetBug InjectedBug_ = InjectedFleetBug::None;
  PlacerOptions Placer_;
};

/// \brief Outcomes of the jobs of one kind.
struct KindResult {
  uint64_t Asked_ = 0; ///< All, but for those whose callers left.
  uint64_t InTime_ = 0;
  uint64_t Late_ = 0;
  uint64_t Refused_ = 0;
  uint64_t Unserved_ = 0;
  double WorthAsked_ = 0;
  double WorthEarned_ = 0;
};

/// \brief Violated checks and statistics of a simulation.
struct FleetSimulationResult {
  std::vector<std::string> Violations_;
  std::map<std::string, KindResult> Kinds_;
  uint64_t Starts_ = 0;
  uint64_t RejectedStarts_ = 0;
  /// Latest start in a data centre after the request for its evacuation, by an
  /// instance in contact with the store.
  Milliseconds LatestEvacuatedStart_;
  double WorthShare_ = 0;
  /// Messages sent and received by each instance, by name.
  std::map<std::string, uint64_t> Messages_;
  std::map<uint64_t, CrashingTask> CrashingTasks_; ///< By job.
};

/// \brief Simulates instances, workers, callers and faults in virtual time.
///
/// The seed determines the whole simulation.
class FleetSimulation {
public:
  explicit FleetSimulation(FleetSimulationOptions Options);

  /// \brief Runs the simulation to its end.
  FleetSimulationResult run();

private:
  struct Node {
    std::unique_ptr<FleetInstance> State_;
    InstanceInfo Info_;
    std::string Name_;
    std::string DataCentre_;
    bool IsUp_ = false;
    bool IsFrozen_ = false;
    int64_t EventDuration_ = 0;  ///< More than 0 while slow.
    bool IsTickQueued_ = false;  ///< As in an event loop, at most one.
    Milliseconds BusyUntil_;     ///< End of the queued events.
    bool HasStoreClock_ = false; ///< Set by reading a list.
    Milliseconds ClockLag_;
    uint64_t Epoch_ = 0; ///< Counts its restarts.
    std::vector<std::function<void()>> DeferredEvents_; ///< While frozen.
    std::map<uint64_t, uint64_t> Requests_;             ///< Token to caller.
    /// Sessions whose InstanceUp it has not processed yet, in order.
    std::deque<uint64_t> PendingSessions_;
    /// Sessions whose InstanceUp it has processed, by node.
    std::map<std::size_t, uint64_t> KnownSessions_;
    std::set<LinkAddress> WantedLinks_; ///< Sessions it keeps open.
  };
  struct Caller {
    uint64_t Id_ = 0;
    std::size_t Kind_ = 0;
    JobSubmission Job_;
    std::vector<double> Runs_; ///< Milliseconds of each task at speed 1.
    Milliseconds SubmittedAt_;
    Milliseconds LatestEndAt_; ///< Latest end of the current attempt.
    Milliseconds Objective_;   ///< Answers up to this time are in time.
    bool IsFinished_ = false;
    bool HasLeft_ = false;
    bool HasStarted_ = false;
    uint32_t Attempts_ = 0;
    uint32_t NotRunAnswers_ = 0;
    Milliseconds FinishedAt_; ///< Outcome known, or caller gone.
    std::optional<JobOutcome> Outcome_;
    double Work_ = 0;
  };
  struct ScheduledCall {
    Milliseconds At_;
    uint64_t Order_;
    std::function<void()> Call_;
  };
  struct Later {
    bool operator()(const ScheduledCall &A, const ScheduledCall &B) const {
      return std::tie(A.At_, A.Order_) > std::tie(B.At_, B.Order_);
    }
  };

  void at(Milliseconds When, std::function<void()> Call);
  void after(int64_t Delay, std::function<void()> Call);
  int64_t randomBetween(int64_t Min, int64_t Max);
  bool chance(double Share);

  void addNode(const std::string &DataCentre, uint32_t Index);
  void startNode(std::size_t Index);
  void endNode(std::size_t Index, bool IsPowerLoss);
  void stopNode(std::size_t Index);
  void tickNode(std::size_t Index, uint64_t Epoch);
  void deliver(std::size_t Index, uint64_t Epoch, FleetEvent Event);
  bool deferIfSlow(std::size_t Index, uint64_t Epoch, const FleetEvent &Event);
  void process(std::size_t Index, FleetEvent Event);
  void perform(std::size_t Index, FleetActions Actions);
  void injectBug(FleetActions &Actions) const;
  bool isUnresponsive(const Node &One) const;
  void listInstances(std::size_t Index, uint64_t Epoch);
  void connect(std::size_t A, std::size_t B);
  void connectWanted(std::size_t Index);
  bool wantsLink(const Node &By, const Node &Other) const;
  void disconnect(std::size_t A, std::size_t B, int64_t Delay);
  std::optional<std::size_t> findNode(Incarnation Run) const;

  void sendOrder(std::size_t Index, const WorkerTarget &To,
                 std::function<void(SimWorker &)> Apply,
                 std::function<void()> Unanswered,
                 std::optional<int64_t> ApplyDelay = std::nullopt);
  void performStart(std::size_t Index, const StartRun &Start);
  void performStop(std::size_t Index, const StopRun &Stop);
  void performPoll(std::size_t Index, const PollWorker &Poll);
  void recordStart(SimWorker &Worker, const RunId &Run);
  void checkTasksPerWorker(const SimWorker &Worker, const RunId &Run);
  SimWorker *findWorker(const std::string &Id);
  void listWorkers();

  void generateLoad();
  void scheduleFaults();
  void schedulePartitions();
  void scheduleWorkerFaults();
  void scheduleAddedFaults();
  void scheduleShrinks();
  void scheduleEvacuations();
  void readEvacuations(std::size_t Index, uint64_t Epoch);
  void followEvacuations(std::size_t Index, uint64_t Epoch);
  bool wasInContact(std::size_t Index) const;
  void checkEvacuation(std::size_t Index, const SimWorker &Worker);
  void setCapacity(const std::string &Id, const Room &Capacity);
  bool wasListUnavailable(const std::string &DataCentre) const;
  void checkCapacity(std::size_t Index, const SimWorker &Worker);
  Milliseconds randomTimeInLoad();
  std::size_t randomNode();
  std::string randomWorker();
  void partitionZone(const std::string &DataCentre, int64_t Duration);
  void partitionPair(std::size_t A, std::size_t B, int64_t Duration);
  void partitionWorker(std::size_t Index, const std::string &Id,
                       int64_t Duration);
  void suspendDrainChecks(const std::string &DataCentre);
  void resumeDrainChecks(const std::string &DataCentre);
  void freezeNode(std::size_t Index, int64_t Duration);
  bool isListUnavailableIn(const std::string &DataCentre) const;
  void arrive(std::size_t Kind);
  void submit(uint64_t Id);
  static std::string dataRack(std::size_t Centre, std::size_t Rack);
  double runTime(const Caller &Requester, uint32_t Task,
                 const SimWorker &Worker) const;
  std::size_t chooseEntry(const std::vector<std::size_t> &Ready);
  void handleAnswer(std::size_t Index, const AnswerJob &Answer);
  void resubmitRequests(std::size_t Index);
  void resubmit(Caller &Requester);
  void finishRequest(Caller &Requester, JobOutcome Outcome);
  bool mayStillRun(uint64_t Job) const;
  void checkFinalState();

  enum class CrashCause : uint8_t { Task, Rack, Other };

  int64_t randomCrashDelay(int64_t Min, int64_t Max);
  void scheduleCrashes();
  void labelRacks();
  void scheduleRackCrashes();
  void crashWorker(const std::string &Id, int64_t Duration, CrashCause Cause);
  void recordCrash(const std::string &Id, const RunId &Run, CrashCause Cause);
  void killHolders(const std::string &Worker);
  void restartAllButOne();
  std::optional<int64_t> delayStart(const StartRun &Start);
  void recordCrashingStart(const SimWorker &Worker, const RunId &Run);
  bool recordAnswer(const Caller &Requester, JobOutcome Outcome);
  void recordFailure(const Caller &Requester);
  void checkCrashes();
  void storeCrash(std::size_t Index, uint64_t Epoch, const WorkerCrash &Crash);
  void forgetCrash(std::size_t Index, uint64_t Epoch,
                   const WorkerIncarnation &Worker);
  void readCrashes(std::size_t Index, uint64_t Epoch);

  void reportViolation(const std::string &What);

  FleetSimulationOptions Options_;
  Random Generator_;
  CrashRecord Crashes_;
  Milliseconds Now_;
  uint64_t NextOrder_ = 0;
  std::vector<ScheduledCall> Queue_; ///< A heap with the next call in front.
  std::vector<Node> Nodes_;
  std::map<std::string, SimWorker> Workers_;
  /// Numbers of active partitions, which may overlap.
  std::map<std::pair<std::size_t, std::size_t>, int> PartitionedPairs_;
  std::map<std::pair<std::size_t, std::string>, int> PartitionedWorkers_;
  std::map<std::string, int> PartitionedZones_;
  /// The current session of each pair of nodes; 0 if there is none.
  std::map<std::pair<std::size_t, std::size_t>, uint64_t> Sessions_;
  uint64_t NextSession_ = 1;
  /// When both sides have noticed the end of their last session.
  std::map<std::pair<std::size_t, std::size_t>, Milliseconds> SessionClosedAt_;
  std::map<uint64_t, Caller> Callers_;
  std::map<std::pair<uint64_t, uint32_t>, std::string> RunningOn_;
  uint64_t NextToken_ = 1;
  /// Since when data centres are evacuated.
  std::map<std::string, Milliseconds> EvacuatedAt_;
  uint64_t OpVersion_ = 1; ///< Store version of the evacuations.
  bool IsListUnavailable_ = false;
  /// End of the last outage of the list by data centre; empty for all.
  std::map<std::string, Milliseconds> ListRestoredAt_;
  bool IsApplyingDelayedOrder_ = false;
  /// A late order is being applied to a worker that has restarted since and has
  /// not accepted two polls yet.
  bool IsBeforeAnyPoll_ = false;
  FleetSimulationResult Result_;
};

/// \brief The three kinds of job of the users' profile "agencia", with arrival
/// rates multiplied by \p Load.
std::vector<LoadKind> agenciaKinds(double Load);

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SIMULATION_FLEETSIMULATION_H
