#ifndef MARJORAMBEND_TEST_SIMULATION_FLEETSIMULATION_H
#define MARJORAMBEND_TEST_SIMULATION_FLEETSIMULATION_H

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

/// \brief A kind of job that callers bring.
struct LoadKind {
  std::string Name_;
  uint32_t Priority_ = 0;
  double PerSecond_ = 0;
  double MeanTasks_ = 1;
  uint32_t MostTasks_ = 1;
  double MeanRun_ = 0; ///< Milliseconds on a worker of usual speed.
  double MostRun_ = 0;
  double MeanMilliCores_ = 0;
  double Worth_ = 0; ///< Of a job of mean work that is answered in time.
};

/// \brief A rise of the load for a while.
struct LoadPeak {
  Milliseconds From_;
  Milliseconds Until_;
  double Factor_ = 1.0;
  std::string Kind_; ///< Empty: all kinds.
};

/// \brief Mistakes that can be planted, to see that the checks find them.
enum class FleetPlant : uint8_t {
  None,
  NeverStop,           ///< Stops are not sent.
  RestartUnknownStart, ///< A start without an answer counts as not started.
  IgnoreDrains,        ///< The list does not say that a worker drains.
  SayNotRun,           ///< Every job that is given up is called not run.
  LongLeases           ///< Leases outlast the resending of a lost job.
};

/// \brief What happens in a world of the fleet.
struct FleetWorldOptions {
  uint64_t Seed_ = 1;
  uint32_t DataCentres_ = 3;
  uint32_t InstancesEach_ = 3;
  uint32_t WorkersEach_ = 16;
  /// Thousandths of a core of each data centre's instances, in turn.
  std::vector<uint32_t> CpuShares_{250};
  int64_t WorkerMilliCores_ = 64'000;
  /// Every third worker is larger by this factor.
  double LargeFactor_ = 1.5;
  std::vector<double> Speeds_{0.55, 1.2, 1.2, 1.2};
  double EstimateError_ = 0.4; ///< Sigma of the logarithm.
  std::vector<LoadKind> Kinds_;
  std::vector<LoadPeak> Peaks_;
  Milliseconds LoadFrom_{3'000};
  Milliseconds LoadUntil_{9'000};
  Milliseconds Length_{16'000};
  uint32_t Kills_ = 0;       ///< Processes killed; they start again.
  uint32_t PowerLosses_ = 0; ///< The same, without a word to anybody.
  uint32_t Freezes_ = 0;
  uint32_t Stops_ = 0;    ///< Planned stops; they start again.
  uint32_t Cuts_ = 0;     ///< Pairs of instances that cannot reach each other.
  uint32_t ZoneCuts_ = 0; ///< Data centres cut off from others and the list.
  uint32_t WorkerCuts_ = 0; ///< Instances that cannot reach a worker.
  uint32_t Slowdowns_ = 0;  ///< Instances that need long for each event.
  uint32_t ClockLags_ = 0;  ///< Instances that the store's clock reaches late.
  uint32_t WorkerCrashes_ = 0;
  uint32_t Drains_ = 0;
  uint32_t ListOutages_ = 0;
  double ApplyLate_ = 0; ///< Orders unanswered and carried out 2 s later,
  Milliseconds LatestApply_{12'000}; ///< or up to this.
  /// Late orders that a next life of the worker carries out before a holder
  /// that knows of that life has spoken to it: KNOWN-RED.txt.
  bool LeavesOutOrdersBeforeAnyPoll_ = true;
  double LoseAnswer_ = 0; ///< Orders carried out at once and not answered.
  double FailRun_ = 0.002;
  double LeaveEarly_ = 0; ///< Callers that leave before their time.
  FleetPlant Plant_ = FleetPlant::None;
  PlacerOptions Placer_;
};

/// \brief What callers of one kind got.
struct KindResult {
  uint64_t Asked_ = 0;
  uint64_t InTime_ = 0;
  uint64_t Late_ = 0;
  uint64_t Refused_ = 0;
  uint64_t Unserved_ = 0;
  double WorthAsked_ = 0;
  double WorthEarned_ = 0;
};

/// \brief What was seen in a world.
struct FleetWorldResult {
  std::vector<std::string> Violations_;
  std::map<std::string, KindResult> Kinds_;
  uint64_t Starts_ = 0;
  uint64_t RejectedStarts_ = 0;
  double WorthShare_ = 0;
  /// Messages that each instance has told or was told, by name.
  std::map<std::string, uint64_t> Messages_;
};

/// \brief Instances, workers, callers and their faults on virtual time.
///
/// Everything follows from the seed.
class FleetWorld {
public:
  explicit FleetWorld(FleetWorldOptions Options);

  /// \brief Plays the whole length.
  FleetWorldResult run();

private:
  struct Node {
    std::unique_ptr<FleetInstance> State_;
    InstanceInfo Info_;
    std::string Name_;
    std::string DataCentre_;
    bool IsUp_ = false;
    bool IsFrozen_ = false;
    int64_t EventTakes_ = 0;    ///< More than 0 while it is slow.
    bool IsTickQueued_ = false; ///< A loop fires a timer once a turn.
    Milliseconds BusyUntil_;    ///< With the events before.
    bool KnowsClock_ = false;   ///< It has read the list, and so the clock.
    Milliseconds ClockLag_;
    uint64_t Epoch_ = 0;                      ///< Counts its processes.
    std::vector<std::function<void()>> Held_; ///< Until it wakes.
    std::map<uint64_t, uint64_t> Requests_;   ///< Token to caller.
    /// Sessions that it has not been told of yet, in order; it may be slow.
    std::deque<uint64_t> NewSessions_;
    std::map<std::size_t, uint64_t> SessionTo_; ///< As it knows them.
    std::set<LinkAddress> Wanted_;              ///< Sessions that it keeps up.
  };
  struct Caller {
    uint64_t Id_ = 0;
    std::size_t Kind_ = 0;
    JobSubmission Job_;
    std::vector<double> Runs_; ///< Of each task, at speed one.
    Milliseconds FirstAt_;
    Milliseconds DueAt_;     ///< When its newest attempt ends at the latest.
    Milliseconds Objective_; ///< Time within which the answer is in time.
    bool IsSettled_ = false;
    bool HasLeft_ = false;
    bool HasStarted_ = false;
    uint32_t Attempts_ = 0;
    uint32_t Rejected_ = 0;
    Milliseconds EndedAt_; ///< Of the caller's interest.
    double Work_ = 0;
  };
  struct Entry {
    Milliseconds At_;
    uint64_t Order_;
    std::function<void()> Call_;
  };
  struct Later {
    bool operator()(const Entry &A, const Entry &B) const {
      return std::tie(A.At_, A.Order_) > std::tie(B.At_, B.Order_);
    }
  };

  void at(Milliseconds When, std::function<void()> Call);
  void after(int64_t Delay, std::function<void()> Call);
  int64_t between(int64_t Least, int64_t Most);
  bool chance(double Share);

  void addNode(const std::string &DataCentre, uint32_t Index);
  void startNode(std::size_t Index);
  void endNode(std::size_t Index, bool IsSilent);
  void stopNode(std::size_t Index);
  void tickNode(std::size_t Index, uint64_t Epoch);
  void give(std::size_t Index, uint64_t Epoch, FleetEvent Event);
  bool waitsForSlowness(std::size_t Index, uint64_t Epoch,
                        const FleetEvent &Event);
  void process(std::size_t Index, FleetEvent Event);
  void carryOut(std::size_t Index, FleetActions Wanted);
  void plantInto(FleetActions &Wanted) const;
  bool isSilent(const Node &One) const;
  void listInstances(std::size_t Index, uint64_t Epoch);
  void connect(std::size_t A, std::size_t B);
  void connectWanted(std::size_t Index);
  bool isWanted(const Node &By, const Node &Other) const;
  void disconnect(std::size_t A, std::size_t B, int64_t Delay);
  std::optional<std::size_t> nodeOf(Incarnation Run) const;

  void order(std::size_t Index, const WorkerTarget &To,
             std::function<void(SimWorker &)> Apply,
             std::function<void()> Unanswered);
  void carryOutStart(std::size_t Index, const StartRun &Start);
  void carryOutStop(std::size_t Index, const StopRun &Stop);
  void carryOutPoll(std::size_t Index, const PollWorker &Poll);
  void noteStart(SimWorker &Worker, const RunId &Run);
  SimWorker *findWorker(const std::string &Id);
  void listWorkers();

  void makeLoad();
  void makeFaults();
  void makeCuts();
  void makeWorkerFaults();
  void makeLateFaults();
  Milliseconds duringLoad();
  std::size_t anyNode();
  std::string anyWorker();
  void cutZone(const std::string &DataCentre, int64_t Length);
  void setCut(std::size_t A, std::size_t B, int64_t Length);
  void cutWorker(std::size_t Index, const std::string &Id, int64_t Length);
  void pauseDrains(const std::string &DataCentre);
  void resumeDrains(const std::string &DataCentre);
  void freezeNode(std::size_t Index, int64_t Length);
  bool isListOutFor(const std::string &DataCentre) const;
  void arrive(std::size_t Kind);
  void send(uint64_t Id);
  void answer(std::size_t Index, const AnswerJob &Answer);
  void loseRequests(std::size_t Index);
  void sendAgain(Caller &Asking);
  void settle(Caller &Asking, JobOutcome Outcome);
  bool mayStillRun(uint64_t Job) const;
  void checkEnd();
  void violate(const std::string &What);

  FleetWorldOptions Options_;
  Random Generator_;
  Milliseconds Now_;
  uint64_t NextOrder_ = 0;
  std::vector<Entry> Queue_; ///< A heap; the next one is in front.
  std::vector<Node> Nodes_;
  std::map<std::string, SimWorker> Workers_;
  /// How many cuts there are, since they may overlap.
  std::map<std::pair<std::size_t, std::size_t>, int> Cut_;
  std::map<std::pair<std::size_t, std::string>, int> WorkerCut_;
  std::map<std::string, int> ZoneCut_;
  /// The session of two instances; 0 if there is none.
  std::map<std::pair<std::size_t, std::size_t>, uint64_t> Linked_;
  uint64_t NextSession_ = 1;
  /// When both sides have seen the end of their last session.
  std::map<std::pair<std::size_t, std::size_t>, Milliseconds> EndedBy_;
  std::map<uint64_t, Caller> Callers_;
  std::map<std::pair<uint64_t, uint32_t>, std::string> RunningOn_;
  uint64_t NextToken_ = 1;
  bool IsListOut_ = false;
  bool IsApplyingLate_ = false;
  bool IsBeforeAnyPoll_ = false; ///< And at a life that knows no token yet.
  FleetWorldResult Result_;
};

/// \brief The Agencia's three kinds at \p Load of their stated rates.
std::vector<LoadKind> agenciaKinds(double Load);

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SIMULATION_FLEETSIMULATION_H
