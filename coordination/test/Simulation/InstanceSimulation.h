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

/// \brief Mistakes that can be planted, to see that the checks find them.
enum class Plant : uint8_t {
  None,
  StartWithoutClaim,   ///< The table service is not asked.
  AssumeLostClaimHeld, ///< A claim without answer counts as held.
  AssumeHeldInOutage,  ///< A claim in an outage counts as held.
  TakeOverClaim,       ///< The claim of an unreachable holder is taken over.
  OverwriteClaim,      ///< Insert-if-absent overwrites.
  IgnoreNonce,         ///< An instance trusts rows of forgotten records.
  ReuseIncarnation,    ///< A replaced instance has the old incarnation.
  RetryLostTask,       ///< A task without answer is sent again.
  CrossAnswers,        ///< Answers of backend servers are mixed up.
  SayNotRun,           ///< Every failure is called "not run".
  StepBack,            ///< An instance adopts whatever it reads.
  ClaimEveryWrite,     ///< A lost race for the catalogue counts as won.
  KeepDrainsToItself,  ///< Drains are not passed on.
  StopAtOnce           ///< A planned stop does not wait.
};

/// \brief What happens in a world, as probabilities and counts.
struct WorldOptions {
  uint64_t Seed_ = 1;
  uint32_t Jobs_ = 14;
  Milliseconds Arrivals_{2'000};
  Milliseconds Length_{9'000};
  uint32_t Kills_ = 2;
  uint32_t Pauses_ = 2;
  uint32_t Cuts_ = 2;
  uint32_t StoreCuts_ = 1;
  uint32_t Outages_ = 1;
  Milliseconds LongestOutage_{3'000};
  uint32_t Drains_ = 0;
  uint32_t Writes_ = 0; ///< Catalogues that operators submit.
  uint32_t Stops_ = 0;  ///< Planned stops.
  double LoseMessage_ = 0.03;
  double DoubleMessage_ = 0.03;
  double LoseStoreRequest_ = 0.05;
  double LoseStoreAnswer_ = 0.10;
  double RefuseTask_ = 0.08;
  double LoseTaskAnswer_ = 0.03;
  double FailTask_ = 0.02;
  double StaleRead_ = 0.1;  ///< A read that answers with an older row.
  double DelaySend_ = 0.05; ///< A pause between the decision and the socket.
  std::size_t MaxRecords_ = 1'000;
  Plant Plant_ = Plant::None;
};

/// \brief No fault at all.
WorldOptions calmWorld(uint64_t Seed);

/// \brief What a world has shown.
struct WorldReport {
  std::vector<std::string> Violations_;
  uint64_t Submissions_ = 0;
  uint64_t Complete_ = 0;
  uint64_t NotRun_ = 0;
  uint64_t MayHaveRun_ = 0;
  uint64_t Unanswered_ = 0; ///< At an instance that was killed.
  uint64_t Starts_ = 0;
  uint64_t Accepted_ = 0; ///< Catalogues.
  uint64_t Refused_ = 0;  ///< Catalogues, lost races included.
  uint64_t StopsDone_ = 0;
};

/// \brief Several instances of the real decision code in one process, with a
/// virtual clock, and small fakes for the table service, the backend servers,
/// the links and the callers.
///
/// Everything follows from the seed. Events reach an instance late, twice, out
/// of order or not at all; instances are killed and replaced, paused, and cut
/// off from each other and from the table service.
class World {
public:
  explicit World(WorldOptions Options);

  /// \brief Lets everything happen and checks it.
  WorldReport run();

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
    Milliseconds StoreCutUntil_;
    std::deque<Event> Backlog_;
    std::map<uint64_t, ClaimBatch> Batches_;
    std::optional<TaskFinished> Held_; ///< For Plant::CrossAnswers.
  };

  struct Submission {
    JobRequest Request_;
    std::size_t Node_ = 0;
    uint64_t Generation_ = 0;
    Milliseconds At_;
    uint32_t Answers_ = 0;
  };

  struct Entry {
    Milliseconds At_;
    uint64_t Order_;
    std::function<void()> Call_;
    bool operator<(const Entry &Other) const {
      return std::tie(Other.At_, Other.Order_) < std::tie(At_, Order_);
    }
  };

  struct Row {
    uint64_t Version_ = 0;
    std::string Value_;
  };

  // Time and chance.
  void at(Milliseconds When, std::function<void()> Call);
  void after(Milliseconds Delay, std::function<void()> Call);
  bool chance(double Share);
  Milliseconds between(int64_t Least, int64_t Most);

  // Instances.
  void startNode(std::size_t Index);
  void tick(std::size_t Index, uint64_t Generation);
  void deliver(std::size_t Index, uint64_t Generation, Event Happened);
  void handle(std::size_t Index, Event Happened);
  void resume(std::size_t Index, uint64_t Generation);
  void kill(std::size_t Index);
  void pause(std::size_t Index, Milliseconds Time);
  void checkLinks();
  bool isCut(std::size_t A, std::size_t B) const;
  std::optional<std::size_t> nodeOf(Incarnation Run) const;

  // Actions.
  void perform(std::size_t Index, const Action &Wanted);
  void performPeer(std::size_t Index, const SendPeer &Wanted);
  void performInsert(std::size_t Index, const InsertClaims &Wanted);
  void performSend(std::size_t Index, const SendTask &Wanted);
  void performRead(std::size_t Index, const ReadRow &Wanted);
  void performSwap(std::size_t Index, const SwapRow &Wanted);
  void arriveTask(std::size_t Index, uint64_t Generation, const SendTask &Task);
  ClaimRow insertRow(const Claim &Wanted, Incarnation Holder);
  bool isStoreDown(std::size_t Index) const;
  ClaimsAnswered ownRows(const Node &Claimant, uint64_t Batch) const;

  // Planted mistakes; see Planted.cpp.
  bool plantInsert(std::size_t Index, const InsertClaims &Wanted);
  void plantEvent(std::size_t Index, Event &Happened);
  void plantOperators(std::size_t Index, Event &Happened);
  void plantClaims(std::size_t Index, ClaimsAnswered &Answered);

  // Callers and checks.
  void scheduleJobs();
  void scheduleFaults();
  void submit(JobRequest Request, std::size_t Index);
  void checkAnswer(std::size_t Index, const AnswerCaller &Given);
  void checkUnanswered();
  void violate(const std::string &What);

  // Operators; see WorldOperators.cpp.
  void scheduleOperators();
  void drainOne();
  void writeOne();
  void stopOne();
  void awaitIdle(std::size_t Index, uint64_t Generation, Milliseconds From);
  static bool hasDrain(const Node &Known, const std::string &Worker);
  void loseDrains(Incarnation Ended);
  void noteDrains(const Node &At);
  void checkDrained(std::size_t Index, const SendTask &Wanted);
  void checkOperator(const AnswerOperator &Answered);
  void checkInForce(uint64_t Version);
  void checkVersion(std::size_t Index, uint64_t Before);

  WorldOptions Options_;
  Random Chance_;
  Milliseconds Now_;
  std::priority_queue<Entry> Agenda_;
  uint64_t NextOrder_ = 0;
  std::vector<Node> Nodes_;
  std::map<std::pair<std::size_t, std::size_t>, Milliseconds> CutUntil_;
  std::set<std::pair<std::size_t, Incarnation>> Linked_;
  Milliseconds OutageUntil_;
  std::map<JobId, ClaimRow> Claims_;
  std::map<std::string, Row> Rows_;
  std::map<std::pair<JobId, uint32_t>, uint32_t> Starts_;
  std::map<JobId, uint32_t> OnTheWay_; ///< Sends that may still start.
  std::set<JobId> Started_;
  std::map<uint64_t, Submission> Submissions_;
  uint64_t NextToken_ = 1;
  std::map<std::string, Milliseconds> DrainedAt_;
  std::map<std::string, Incarnation> DrainedBy_; ///< Who took the order first.
  std::map<uint64_t, std::string> Written_; ///< Text of each write, by token.
  std::map<uint64_t, std::string> History_; ///< Text of each version.
  std::map<std::string, Row> OlderRows_;
  WorldReport Report_;
};

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SIMULATION_INSTANCESIMULATION_H
