#include "Simulation/SimWorker.h"

#include <algorithm>

namespace marjorambend::test {

static Milliseconds clockOf(const SimWorker &Worker, Milliseconds Now) {
  return Now + Worker.ClockOffset_;
}

static std::pair<uint64_t, uint32_t> taskOf(const RunId &Run) {
  return {Run.Job_, Run.Task_};
}

static void noteEnd(SimWorker &Worker, const RunId &Run, RunEnd End) {
  Worker.Ended_.push_back({++Worker.LastEnd_, Run, End});
  uint32_t &Highest = Worker.HighestEnded_[taskOf(Run)];
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
  Worker.LastEnd_ = 0;
  Worker.HighestEnded_.clear();
  Worker.Polls_.clear();
}

static bool isDue(const SimWorker &Worker, const SimPoll &Poll,
                  Milliseconds Now) {
  const bool HasNews = !Worker.Ended_.empty() &&
                       Worker.Ended_.back().Number_ > Poll.AckedThrough_;
  return HasNews || Poll.Until_ <= Now;
}

static bool isDone(const SimRun &Run, Milliseconds Now) {
  return static_cast<double>((Now - Run.StartedAt_).Count_) >= Run.Length_;
}

static void answerPolls(SimWorker &Worker, Milliseconds Now) {
  std::vector<SimPoll> Waiting;
  for (SimPoll &Poll : Worker.Polls_) {
    if (isDue(Worker, Poll, Now))
      Poll.Answer_(lists(Worker, Now));
    else
      Waiting.push_back(std::move(Poll));
  }
  Worker.Polls_ = std::move(Waiting);
}

// Asked of every worker in every millisecond of a world.
static bool isAnythingDue(const SimWorker &Worker, Milliseconds Now) {
  if (!Worker.Runs_.empty() && clockOf(Worker, Now) >= Worker.LeaseEnd_)
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

void settle(SimWorker &Worker, Milliseconds Now,
            const std::function<void(const SimRun &, RunEnd)> &OnEnd) {
  if (!Worker.IsUp_ || !isAnythingDue(Worker, Now))
    return;
  const bool IsLapsed = clockOf(Worker, Now) >= Worker.LeaseEnd_;
  std::vector<SimRun> Left;
  for (SimRun &Run : Worker.Runs_) {
    if (isDone(Run, Now)) {
      const RunEnd End = Run.WillFail_ ? RunEnd::Failed : RunEnd::Done;
      noteEnd(Worker, Run.Id_, End);
      OnEnd(Run, End);
    } else if (IsLapsed) {
      noteEnd(Worker, Run.Id_, RunEnd::Lost);
      OnEnd(Run, RunEnd::Lost);
    } else {
      Left.push_back(Run);
    }
  }
  Worker.Runs_ = std::move(Left);
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
  const Milliseconds Most = clockOf(Worker, Now) + Worker.MaxLease_;
  Worker.LeaseEnd_ = std::max(Worker.LeaseEnd_, std::min(LeaseEnd, Most));
}

OrderResult applyStart(SimWorker &Worker, const StartRun &Order, SimRun Run,
                       Milliseconds Now) {
  if (const auto Wrong = checkTarget(Worker, Order.Worker_))
    return *Wrong;
  for (const SimRun &One : Worker.Runs_) {
    if (One.Id_ == Order.Run_)
      return OrderResult::Accepted;
  }
  if (Order.LeaseEnd_ <= clockOf(Worker, Now))
    return OrderResult::Late;
  extendLease(Worker, Order.LeaseEnd_, Now);
  const auto Highest = Worker.HighestEnded_.find(taskOf(Order.Run_));
  if (Highest != Worker.HighestEnded_.end() &&
      Order.Run_.Attempt_ <= Highest->second)
    return OrderResult::Superseded;
  Room Used;
  for (const SimRun &One : Worker.Runs_)
    Used = Used + One.Needs_;
  if (!fits(Run.Needs_, Worker.Report_.Capacity_ - Used))
    return OrderResult::NoRoom;
  Run.Id_ = Order.Run_;
  Run.StartedAt_ = Now;
  Worker.Runs_.push_back(Run);
  return OrderResult::Accepted;
}

OrderResult applyStop(SimWorker &Worker, const StopRun &Order, Milliseconds Now,
                      const std::function<void(const SimRun &)> &OnEnd) {
  if (const auto Wrong = checkTarget(Worker, Order.Worker_))
    return *Wrong;
  const auto Found = std::find_if(
      Worker.Runs_.begin(), Worker.Runs_.end(),
      [&Order](const SimRun &Run) { return Run.Id_ == Order.Run_; });
  if (Found == Worker.Runs_.end()) {
    uint32_t &Highest = Worker.HighestEnded_[taskOf(Order.Run_)];
    Highest = std::max(Highest, Order.Run_.Attempt_);
    return OrderResult::Accepted;
  }
  const SimRun Run = *Found;
  Worker.Runs_.erase(Found);
  noteEnd(Worker, Run.Id_, RunEnd::Stopped);
  OnEnd(Run);
  answerPolls(Worker, Now);
  return OrderResult::Accepted;
}

OrderResult applyPoll(SimWorker &Worker, const PollWorker &Order,
                      Milliseconds Now) {
  if (const auto Wrong = checkTarget(Worker, Order.Worker_))
    return *Wrong;
  if (Order.LeaseEnd_.Count_ != 0)
    extendLease(Worker, Order.LeaseEnd_, Now);
  while (!Worker.Ended_.empty() &&
         Worker.Ended_.front().Number_ <= Order.AckedThrough_)
    Worker.Ended_.pop_front();
  return OrderResult::Accepted;
}

PollAnswered lists(const SimWorker &Worker, Milliseconds Now) {
  PollAnswered Lists{.Worker_ = Worker.Report_.Id_,
                     .Result_ = OrderResult::Accepted,
                     .Incarnation_ = Worker.Report_.Incarnation_,
                     .WorkerClock_ = clockOf(Worker, Now)};
  for (const SimRun &Run : Worker.Runs_) {
    const auto Ran = static_cast<double>((Now - Run.StartedAt_).Count_);
    Lists.Running_.push_back({Run.Id_, 100.0 * Ran / Run.Length_});
  }
  Lists.Ended_.assign(Worker.Ended_.begin(), Worker.Ended_.end());
  return Lists;
}

} // namespace marjorambend::test
