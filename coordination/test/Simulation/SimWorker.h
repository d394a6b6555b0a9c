#ifndef MARJORAMBEND_TEST_SIMULATION_SIMWORKER_H
#define MARJORAMBEND_TEST_SIMULATION_SIMWORKER_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <marjorambend/Fleet>
#include <optional>
#include <utility>
#include <vector>

namespace marjorambend::test {

/// \brief A run on a simulated worker.
struct SimRun {
  RunId Id_;
  Room Needs_;
  Milliseconds StartedAt_;
  double Duration_ = 0; ///< In milliseconds.
  bool WillFail_ = false;
};

/// \brief A poll that waits for a run to end.
struct SimPoll {
  uint64_t AckedThrough_ = 0;
  Milliseconds Until_;
  std::function<void(PollAnswered)> Answer_;
};

/// \brief A worker that runs tasks under leases, as the platform specifies.
///
/// Times are those of the simulation unless noted; the worker's own clock
/// differs from it by an offset.
struct SimWorker {
  WorkerReport Report_;
  double Speed_ = 1.0;
  Milliseconds ClockOffset_;
  Milliseconds MaxLease_{1'000};
  bool IsUp_ = true;
  Room FullCapacity_;
  Room Capacity_; ///< In force; Report_ shows it later.
  /// Earlier capacities, with the times at which they ended.
  std::vector<std::pair<Milliseconds, Room>> PreviousCapacities_;
  /// Whether it rejects starts that exceed its capacity.
  bool GuardsCapacity_ = true;
  std::optional<Milliseconds> DrainedAt_; ///< When instances could know.
  uint64_t FencingToken_ = 0;
  uint32_t PollsInIncarnation_ = 0; ///< Since its restart, except late ones.
  Milliseconds LeaseEnd_;           ///< On the worker's clock.
  std::vector<SimRun> Runs_;
  std::deque<ListedEnd> Ended_;
  uint64_t LastEndNumber_ = 0;
  std::map<std::pair<uint64_t, uint32_t>, uint32_t> HighestEndedAttempt_;
  std::vector<SimPoll> Polls_;
};

/// \brief Restarts the worker with a new incarnation and no state.
void restart(SimWorker &Worker, Milliseconds Now);

/// \brief Ends the runs that are done or whose lease has expired, and answers
/// polls that are due.
///
/// \param OnEnd is called for each run that ends.
void advanceWorker(SimWorker &Worker, Milliseconds Now,
                   const std::function<void(const SimRun &, RunEnd)> &OnEnd);

/// \brief Resources that the worker's runs take.
Room usedRoom(const SimWorker &Worker);

/// \brief Carries out a start order. \p Run gives the duration and needs.
OrderResult applyStart(SimWorker &Worker, const StartRun &Order, SimRun Run,
                       Milliseconds Now);

/// \brief Carries out a stop order.
OrderResult applyStop(SimWorker &Worker, const StopRun &Order, Milliseconds Now,
                      const std::function<void(const SimRun &)> &OnEnd);

/// \brief Carries out a poll, except for its wait.
OrderResult applyPoll(SimWorker &Worker, const PollWorker &Order,
                      Milliseconds Now);

/// \brief The running and the ended runs of the worker.
PollAnswered listRuns(const SimWorker &Worker, Milliseconds Now);

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SIMULATION_SIMWORKER_H
