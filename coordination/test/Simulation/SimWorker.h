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
  double Length_ = 0; ///< Milliseconds.
  bool WillFail_ = false;
};

/// \brief A look that waits for an end.
struct SimPoll {
  uint64_t AckedThrough_ = 0;
  Milliseconds Until_;
  std::function<void(PollAnswered)> Answer_;
};

/// \brief A worker that runs tasks under leases, as the platform's page says.
///
/// Times are the world's; the worker's own clock differs by an offset.
struct SimWorker {
  WorkerReport Report_;
  double Speed_ = 1.0;
  Milliseconds ClockOffset_;
  Milliseconds MaxLease_{1'000};
  bool IsUp_ = true;
  std::optional<Milliseconds> DrainedAt_; ///< When the list began to say so.
  uint64_t FencingToken_ = 0;
  uint32_t PollsInIncarnation_ = 0; ///< Of holders that may know of this life.
  Milliseconds LeaseEnd_;           ///< On the worker's clock.
  std::vector<SimRun> Runs_;
  std::deque<ListedEnd> Ended_;
  uint64_t LastEnd_ = 0;
  std::map<std::pair<uint64_t, uint32_t>, uint32_t> HighestEnded_;
  std::vector<SimPoll> Polls_;
};

/// \brief Begins a new life that knows nothing.
void restart(SimWorker &Worker, Milliseconds Now);

/// \brief Ends runs whose lease or work is over, and answers looks.
///
/// \param OnEnd is called for each run that ends.
void settle(SimWorker &Worker, Milliseconds Now,
            const std::function<void(const SimRun &, RunEnd)> &OnEnd);

/// \brief Carries out a start; the run's length and needs come with \p Run.
OrderResult applyStart(SimWorker &Worker, const StartRun &Order, SimRun Run,
                       Milliseconds Now);

/// \brief Carries out a stop.
OrderResult applyStop(SimWorker &Worker, const StopRun &Order, Milliseconds Now,
                      const std::function<void(const SimRun &)> &OnEnd);

/// \brief Carries out a look, apart from its wait.
OrderResult applyPoll(SimWorker &Worker, const PollWorker &Order,
                      Milliseconds Now);

/// \brief The worker's lists.
PollAnswered lists(const SimWorker &Worker, Milliseconds Now);

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_SIMULATION_SIMWORKER_H
