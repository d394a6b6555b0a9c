#include "Simulation/SimWorker.h"

#include <algorithm>

namespace marjorambend::test {

static Milliseconds workerClock(const SimWorker &Worker, Milliseconds Now) {
  return Now + Worker.ClockOffset_;
}

static std::pair<uint64_t, uint32_t> taskOf(const RunId &Run) {
  return {Run.Job_, Run.Task_};
}

static void recordEnd(SimWorker &Worker, const RunId &Run, RunEnd End) {
  Worker.Ended_.push_back({++Worker.LastEndNumber_, Run, End});
  uint32_t &Highest = Worker.HighestEndedAttempt_[taskOf(Run)];
  Highest = std::max(Highest, Run.Attempt_);
}

void restart(SimWorker &Worker, Milliseconds Now) {
  Worker.Report_.Incarnation_ = Now.Count_ + 1;
  Worker.ClockOffset_ = Milliseconds{1'000} - Now;
  Worker.IsUp_ = true;
  Worker.FencingToken_ = 0;
  Worker.PollsInIncarnation_ = 0;
  Worker.LeaseEnd_ = {};
  Worker.Runs_.clear();
  Worker.Ended_.clear();
  Worker.LastEndNumber_ = 0;
  Worker.HighestEndedAttempt_.clear();
  Worker.Polls_.clear();
}

static bool isDue(const SimWorker &Worker, const SimPoll &Poll,
                  Milliseconds Now) {
  const bool HasUnreportedEnd =
      !Worker.Ended_.empty() &&
      Worker.Ended_.back().Number_ > Poll.AckedThrough_;
  return HasUnreportedEnd || Poll.Until_ <= Now;
}

static bool isDone(const SimRun &Run, Milliseconds Now) {
  return static_cast<double>((Now - Run.StartedAt_).Count_) >= Run.Duration_;
}

static void answerPolls(SimWorker &Worker, Milliseconds Now) {
  std::vector<SimPoll> Waiting;
  for (SimPoll &Poll : Worker.Polls_) {
    if (isDue(Worker, Poll, Now))
      Poll.Answer_(listRuns(Worker, Now));
    else
      Waiting.push_back(std::move(Poll));
  }
  Worker.Polls_ = std::move(Waiting);
}

// A cheap check, as it is called for every worker and simulated millisecond.
static bool isAnythingDue(const SimWorker &Worker, Milliseconds Now) {
  if (!Worker.Runs_.empty() && workerClock(Worker, Now) >= Worker.LeaseEnd_)
    return true;
  for (const SimRun &Run : Worker.Runs_) {
    if (isDone(Run, Now))
      return true;
  }
  for (const SimPoll &Poll : Worker.Polls_) {
    if (isDue(Worker, Poll, Now))
      return true;
  }
  return false;
}

void advanceWorker(SimWorker &Worker, Milliseconds Now,
                   const std::function<void(const SimRun &, RunEnd)> &OnEnd) {
  if (!Worker.IsUp_ || !isAnythingDue(Worker, Now))
    return;
  const bool IsLeaseExpired = workerClock(Worker, Now) >= Worker.LeaseEnd_;
  std::vector<SimRun> Remaining;
  for (SimRun &Run : Worker.Runs_) {
    if (isDone(Run, Now)) {
      const RunEnd End = Run.WillFail_ ? RunEnd::Failed : RunEnd::Done;
      recordEnd(Worker, Run.Id_, End);
      OnEnd(Run, End);
    } else if (IsLeaseExpired) {
      recordEnd(Worker, Run.Id_, RunEnd::Lost);
      OnEnd(Run, RunEnd::Lost);
    } else {
      Remaining.push_back(Run);
    }
  }
  Worker.Runs_ = std::move(Remaining);
  answerPolls(Worker, Now);
}

static std::optional<OrderResult> checkTarget(SimWorker &Worker,
                                              const WorkerTarget &Target) {
  if (Target.Id_ != Worker.Report_.Id_)
    return OrderResult::OtherIncarnation;
  if (Target.FencingToken_ < Worker.FencingToken_)
    return OrderResult::Fenced;
  Worker.FencingToken_ = Target.FencingToken_;
  return std::nullopt;
}

static void extendLease(SimWorker &Worker, Milliseconds LeaseEnd,
                        Milliseconds Now) {
  const Milliseconds Max = workerClock(Worker, Now) + Worker.MaxLease_;
  Worker.LeaseEnd_ = std::max(Worker.LeaseEnd_, std::min(LeaseEnd, Max));
}

Room usedRoom(const SimWorker &Worker) {
  Room Used;
  for (const SimRun &One : Worker.Runs_)
    Used = Used + One.Needs_;
  return Used;
}

OrderResult applyStart(SimWorker &Worker, const StartRun &Order, SimRun Run,
                       Milliseconds Now) {
  if (const auto Rejection = checkTarget(Worker, Order.Worker_))
    return *Rejection;
  for (const SimRun &One : Worker.Runs_) {
    if (One.Id_ == Order.Run_)
      return OrderResult::Accepted;
  }
  if (Order.LeaseEnd_ <= workerClock(Worker, Now))
    return OrderResult::Late;
  extendLease(Worker, Order.LeaseEnd_, Now);
  const auto Highest = Worker.HighestEndedAttempt_.find(taskOf(Order.Run_));
  if (Highest != Worker.HighestEndedAttempt_.end() &&
      Order.Run_.Attempt_ <= Highest->second)
    return OrderResult::Superseded;
  if (Worker.GuardsCapacity_ &&
      !fits(Run.Needs_, Worker.Capacity_ - usedRoom(Worker)))
    return OrderResult::NoRoom;
  Run.Id_ = Order.Run_;
  Run.StartedAt_ = Now;
  Worker.Runs_.push_back(Run);
  return OrderResult::Accepted;
}

OrderResult applyStop(SimWorker &Worker, const StopRun &Order, Milliseconds Now,
                      const std::function<void(const SimRun &)> &OnEnd) {
  if (const auto Rejection = checkTarget(Worker, Order.Worker_))
    return *Rejection;
  const auto Found = std::find_if(
      Worker.Runs_.begin(), Worker.Runs_.end(),
      [&Order](const SimRun &Run) { return Run.Id_ == Order.Run_; });
  if (Found == Worker.Runs_.end()) {
    uint32_t &Highest = Worker.HighestEndedAttempt_[taskOf(Order.Run_)];
    Highest = std::max(Highest, Order.Run_.Attempt_);
    return OrderResult::Accepted;
  }
  const SimRun Run = *Found;
  Worker.Runs_.erase(Found);
  recordEnd(Worker, Run.Id_, RunEnd::Stopped);
  OnEnd(Run);
  answerPolls(Worker, Now);
  return OrderResult::Accepted;
}

OrderResult applyPoll(SimWorker &Worker, const PollWorker &Order,
                      Milliseconds Now) {
  if (const auto Rejection = checkTarget(Worker, Order.Worker_))
    return *Rejection;
  if (Order.LeaseEnd_.Count_ != 0)
    extendLease(Worker, Order.LeaseEnd_, Now);
  while (!Worker.Ended_.empty() &&
         Worker.Ended_.front().Number_ <= Order.AckedThrough_)
    Worker.Ended_.pop_front();
  return OrderResult::Accepted;
}

PollAnswered listRuns(const SimWorker &Worker, Milliseconds Now) {
  PollAnswered Lists{.Worker_ = Worker.Report_.Id_,
                     .Result_ = OrderResult::Accepted,
                     .Incarnation_ = Worker.Report_.Incarnation_,
                     .WorkerClock_ = workerClock(Worker, Now)};
  for (const SimRun &Run : Worker.Runs_) {
    const auto Ran = static_cast<double>((Now - Run.StartedAt_).Count_);
    Lists.Running_.push_back({Run.Id_, 100.0 * Ran / Run.Duration_});
  }
  Lists.Ended_.assign(Worker.Ended_.begin(), Worker.Ended_.end());
  return Lists;
}

} // namespace marjorambend::test
