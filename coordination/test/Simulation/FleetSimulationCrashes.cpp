/// \file
/// \brief The part of FleetSimulation that crashes workers and checks what
/// becomes of the tasks on them.

#include "Simulation/FleetSimulation.h"

#include <algorithm>

namespace marjorambend::test {

static constexpr int64_t MaxCrashDelay = 40;
static constexpr int64_t MaxKillDelay = 1'500; ///< From a crash to the kill.
// Within this time instances have noticed a crash and told each other of it.
static constexpr int64_t MinInstanceRestartDelay = 2'000;
static constexpr int64_t MaxInstanceRestartDelay = 3'000;
static constexpr int64_t MaxOutsideCrashDelay = 300;
// A holder polls a restarted worker within this time.
static constexpr int64_t MaxEarlyDelivery = 150;
static constexpr int64_t StoreWriteDelay = 250; ///< Writes are batched.
static constexpr int64_t StoreReadDelay = 100;
// Crashes after which the users count further starts, and their bound.
static constexpr uint32_t CountedCrashes = 3;
static constexpr uint32_t MaxStartsAfterCounted = 2;
// Crashes after which a task is given up.
static constexpr uint32_t GiveUpCrashes = 2;
static constexpr uint32_t GiveUpCrashesOfAnyCause = 3;
/// From a crash to the next start of the tasks on the worker, with a margin.
static constexpr Milliseconds RestartBound{5'500};

static std::string nameOfTask(uint64_t Job, uint32_t Task) {
  return formatHex(Job) + '.' + std::to_string(Task);
}

static std::string rackOf(const SimWorker &Worker) {
  return Worker.Report_.Labels_.empty() ? std::string()
                                        : Worker.Report_.Labels_.back();
}

int64_t FleetSimulation::randomCrashDelay(int64_t Min, int64_t Max) {
  return Min + static_cast<int64_t>(uniformBelow(
                   Crashes_.Generator_, static_cast<uint64_t>(Max - Min + 1)));
}

void FleetSimulation::scheduleCrashes() {
  labelRacks();
  for (auto &[Id, Requester] : Callers_) {
    if (Options_.Crashes_.MaxCallerTimeout_.Count_ > 0)
      Requester.Job_.CallerTimeout_ = {
          randomCrashDelay(Options_.Crashes_.MinCallerTimeout_.Count_,
                           Options_.Crashes_.MaxCallerTimeout_.Count_)};
    const bool IsCrashing =
        Options_.Crashes_.CrashingJobs_ > 0 &&
        uniformUnit(Crashes_.Generator_) < Options_.Crashes_.CrashingJobs_ &&
        Crashes_.CrashingTasks_.size() < Options_.Crashes_.MaxCrashingJobs_;
    if (!IsCrashing)
      continue;
    CrashingTask &Crashing = Crashes_.CrashingTasks_[Id];
    const bool IsFirst = uniformBelow(Crashes_.Generator_, 2) == 0;
    Crashing.Task_ =
        IsFirst ? 0
                : static_cast<uint32_t>(uniformBelow(Crashes_.Generator_,
                                                     Requester.Runs_.size()));
    Crashing.CrashDelay_ = randomCrashDelay(1, MaxCrashDelay);
    // It must not be done before its crash.
    double &Run = Requester.Runs_.at(Crashing.Task_);
    Run = std::max(Run, 2.0 * static_cast<double>(MaxCrashDelay));
  }
  scheduleRackCrashes();
}

void FleetSimulation::labelRacks() {
  if (Options_.Crashes_.RacksPerDataCentre_ == 0)
    return;
  std::map<std::string, uint32_t> Counts;
  for (auto &[Id, Worker] : Workers_) {
    const std::string &DataCentre = Worker.Report_.DataCentre_;
    const uint32_t Rack =
        Counts[DataCentre]++ % Options_.Crashes_.RacksPerDataCentre_;
    Worker.Report_.Labels_ = {"a", DataCentre + "-r" + std::to_string(Rack)};
  }
}

void FleetSimulation::scheduleRackCrashes() {
  std::set<std::string> Racks;
  for (const auto &[Id, Worker] : Workers_)
    Racks.insert(rackOf(Worker));
  int64_t When = randomCrashDelay(Options_.LoadFrom_.Count_ + 500,
                                  Options_.LoadUntil_.Count_);
  for (uint32_t Count = 0; Count < Options_.Crashes_.RackCrashes_; ++Count) {
    const auto Drawn = static_cast<std::ptrdiff_t>(
        uniformBelow(Crashes_.Generator_, Racks.size()));
    at({When}, [this, Rack = *std::next(Racks.begin(), Drawn)] {
      for (const auto &[Id, Worker] : Workers_) {
        if (rackOf(Worker) == Rack)
          crashWorker(Id, Options_.Crashes_.RestartDelay_.Count_,
                      CrashCause::Rack);
      }
    });
    When += randomCrashDelay(Options_.Crashes_.MinRackCrashGap_.Count_,
                             Options_.Crashes_.MaxRackCrashGap_.Count_);
  }
}

void FleetSimulation::crashWorker(const std::string &Id, int64_t Duration,
                                  CrashCause Cause) {
  SimWorker &Worker = *findWorker(Id);
  if (!Worker.IsUp_)
    return;
  for (const SimRun &Run : Worker.Runs_) {
    recordCrash(Id, Run.Id_, Cause);
    RunningOn_.erase({Run.Id_.Job_, Run.Id_.Task_});
  }
  Worker.IsUp_ = false;
  Worker.Runs_.clear();
  Worker.Polls_.clear();
  after(Duration, [this, Id] { restart(*findWorker(Id), Now_); });
}

void FleetSimulation::recordCrash(const std::string &Id, const RunId &Run,
                                  CrashCause Cause) {
  CrashCounts &Counts = Crashes_.Counts_[{Run.Job_, Run.Task_}];
  ++(Cause == CrashCause::Rack ? Counts.OfRacks_ : Counts.Other_);
  const auto Crashing = Crashes_.CrashingTasks_.find(Run.Job_);
  if (Crashing == Crashes_.CrashingTasks_.end()) {
    const Caller &Requester = Callers_.at(Run.Job_);
    const double Slowest = *std::min_element(Options_.WorkerSpeeds_.begin(),
                                             Options_.WorkerSpeeds_.end());
    const Milliseconds LongestRun{
        static_cast<int64_t>(Requester.Runs_.at(Run.Task_) / Slowest)};
    if (Cause == CrashCause::Task && !Requester.IsFinished_ &&
        Now_ + RestartBound + LongestRun <= Requester.LatestEndAt_)
      Crashes_.InterruptedJobs_.insert(Run.Job_);
    return;
  }
  CrashingTask &Task = Crashing->second;
  if (Task.Task_ != Run.Task_)
    return;
  ++Task.Crashes_;
  if (Cause == CrashCause::Task)
    Task.CrashedWorkers_.insert(Id);
  const CrashFaults &Faults = Options_.Crashes_;
  if (Task.Crashes_ == Faults.KillHolderAfter_)
    killHolders(Id);
  if (Task.Crashes_ == Faults.RestartAllButOneAfter_ &&
      !std::exchange(Crashes_.HasRestartedInstances_, true))
    restartAllButOne();
}

void FleetSimulation::killHolders(const std::string &Worker) {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    const Node &One = Nodes_[Index];
    if (!One.IsUp_ || !One.State_ || !One.State_->Holds_.contains(Worker))
      continue;
    const bool IsPowerLoss = uniformBelow(Crashes_.Generator_, 2) == 0;
    after(randomCrashDelay(0, MaxKillDelay),
          [this, Index, IsPowerLoss] { endNode(Index, IsPowerLoss); });
  }
}

void FleetSimulation::restartAllButOne() {
  const std::size_t Kept = uniformBelow(Crashes_.Generator_, Nodes_.size());
  after(randomCrashDelay(MinInstanceRestartDelay, MaxInstanceRestartDelay),
        [this, Kept] {
          for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
            if (Index != Kept)
              endNode(Index, false);
          }
        });
}

// Draws whether a start is carried out only by the next incarnation of the
// worker, and if so crashes the worker. Returns the delay.
std::optional<int64_t> FleetSimulation::delayStart(const StartRun &Start) {
  const auto Crashing = Crashes_.CrashingTasks_.find(Start.Run_.Job_);
  if (Crashing == Crashes_.CrashingTasks_.end() ||
      Crashing->second.Task_ != Start.Run_.Task_)
    return std::nullopt;
  if (!findWorker(Start.Worker_.Id_)->IsUp_)
    Crashing->second.StartsOnCrashed_.insert(Start.Run_);
  if (Options_.Crashes_.DelayStart_ <= 0 ||
      uniformUnit(Crashes_.Generator_) >= Options_.Crashes_.DelayStart_)
    return std::nullopt;
  const int64_t CrashDelay = randomCrashDelay(1, MaxOutsideCrashDelay);
  const int64_t RestartDelay = Options_.Crashes_.RestartDelay_.Count_;
  after(CrashDelay, [this, Id = Start.Worker_.Id_, RestartDelay] {
    crashWorker(Id, RestartDelay, CrashCause::Other);
  });
  return CrashDelay + RestartDelay + randomCrashDelay(1, MaxEarlyDelivery);
}

void FleetSimulation::recordCrashingStart(const SimWorker &Worker,
                                          const RunId &Run) {
  const auto Found = Crashes_.CrashingTasks_.find(Run.Job_);
  if (Found == Crashes_.CrashingTasks_.end() ||
      Found->second.Task_ != Run.Task_)
    return;
  CrashingTask &Task = Found->second;
  ++Task.Starts_;
  const std::string Name = nameOfTask(Run.Job_, Run.Task_);
  if (Task.Crashes_ >= CountedCrashes &&
      ++Task.StartsAfterThirdCrash_ > MaxStartsAfterCounted)
    reportViolation("task " + Name + " started on " + Worker.Report_.Id_ +
                    " after " + std::to_string(Task.Crashes_) +
                    " workers have crashed under it");
  if (Options_.Crashes_.IsOnlyFault_ && Task.Starts_ > GiveUpCrashes)
    reportViolation("start " + std::to_string(Task.Starts_) + " of task " +
                    Name + ", which crashes its workers, on " +
                    Worker.Report_.Id_);
  if (Options_.Crashes_.IsOnlyFault_ && Task.FailedAt_)
    reportViolation("task " + Name +
                    " started after its job was answered as "
                    "failed");
  after(Task.CrashDelay_, [this, Id = Worker.Report_.Id_, Run,
                           Incarnation = Worker.Report_.Incarnation_] {
    const SimWorker &Then = *findWorker(Id);
    const bool IsRunning =
        Then.IsUp_ && Then.Report_.Incarnation_ == Incarnation &&
        std::any_of(Then.Runs_.begin(), Then.Runs_.end(),
                    [&Run](const SimRun &One) { return One.Id_ == Run; });
    if (IsRunning)
      crashWorker(Id, Options_.Crashes_.RestartDelay_.Count_, CrashCause::Task);
  });
}

// Returns whether the caller resubmits the job whatever the answer.
bool FleetSimulation::recordAnswer(const Caller &Requester,
                                   JobOutcome Outcome) {
  if (Outcome == JobOutcome::Failed)
    recordFailure(Requester);
  return Options_.Crashes_.ResubmitsAlways_ &&
         Crashes_.CrashingTasks_.contains(Requester.Id_);
}

void FleetSimulation::recordFailure(const Caller &Requester) {
  const auto Crashing = Crashes_.CrashingTasks_.find(Requester.Id_);
  if (Crashing != Crashes_.CrashingTasks_.end()) {
    CrashingTask &Task = Crashing->second;
    // An instance cannot tell whether a worker has crashed before or after an
    // unanswered start.
    const std::size_t Possible = Task.Crashes_ + Task.StartsOnCrashed_.size();
    if (Options_.Crashes_.IsOnlyFault_ && Possible < GiveUpCrashes)
      reportViolation("job " + formatHex(Requester.Id_) +
                      " was answered as failed after " +
                      std::to_string(Task.Crashes_) + " crashes");
    if (!Task.FailedAt_)
      Task.FailedAt_ = Now_;
    return;
  }
  if (Options_.FailRun_ > 0)
    return;
  for (uint32_t Task = 0; Task < Requester.Runs_.size(); ++Task) {
    const auto Counts = Crashes_.Counts_.find({Requester.Id_, Task});
    if (Options_.Crashes_.IsOnlyFault_ || Counts == Crashes_.Counts_.end())
      continue;
    const CrashCounts &Of = Counts->second;
    if (Of.Other_ >= GiveUpCrashes ||
        Of.Other_ + Of.OfRacks_ >= GiveUpCrashesOfAnyCause)
      return;
  }
  reportViolation("job " + formatHex(Requester.Id_) +
                  ", which crashes no workers, was answered as failed");
}

static void mergeCrash(WorkerCrash &Into, const WorkerCrash &From) {
  Into.Tasks_.insert(Into.Tasks_.end(), From.Tasks_.begin(), From.Tasks_.end());
  Into.PossibleTasks_.insert(Into.PossibleTasks_.end(),
                             From.PossibleTasks_.begin(),
                             From.PossibleTasks_.end());
  Into.IsConfirmed_ = Into.IsConfirmed_ || From.IsConfirmed_;
}

// Writes that cannot reach the store are repeated while the instance runs.
void FleetSimulation::storeCrash(std::size_t Index, uint64_t Epoch,
                                 const WorkerCrash &Crash) {
  after(StoreWriteDelay, [this, Index, Epoch, Crash] {
    if (Nodes_[Index].Epoch_ != Epoch)
      return;
    if (isListUnavailableIn(Nodes_[Index].DataCentre_)) {
      storeCrash(Index, Epoch, Crash);
      return;
    }
    const auto [Row, IsNew] =
        Crashes_.Stored_.try_emplace(Crash.Worker_, StoredCrash{Crash, Now_});
    if (!IsNew)
      mergeCrash(Row->second.Crash_, Crash);
    for (std::size_t Reader = 0; Reader < Nodes_.size(); ++Reader)
      after(StoreReadDelay,
            [this, Reader, ReaderEpoch = Nodes_[Reader].Epoch_] {
              readCrashes(Reader, ReaderEpoch);
            });
  });
}

void FleetSimulation::forgetCrash(std::size_t Index, uint64_t Epoch,
                                  const WorkerIncarnation &Worker) {
  after(StoreWriteDelay, [this, Index, Epoch, Worker] {
    if (Nodes_[Index].Epoch_ != Epoch)
      return;
    if (isListUnavailableIn(Nodes_[Index].DataCentre_)) {
      forgetCrash(Index, Epoch, Worker);
      return;
    }
    Crashes_.Stored_.erase(Worker);
    for (std::size_t Reader = 0; Reader < Nodes_.size(); ++Reader) {
      if (!isListUnavailableIn(Nodes_[Reader].DataCentre_))
        deliver(Reader, Nodes_[Reader].Epoch_,
                CrashesRead{.Withdrawn_ = {Worker}});
    }
  });
}

void FleetSimulation::readCrashes(std::size_t Index, uint64_t Epoch) {
  if (Nodes_[Index].Epoch_ != Epoch ||
      isListUnavailableIn(Nodes_[Index].DataCentre_))
    return;
  CrashesRead Read;
  for (const auto &[Worker, Stored] : Crashes_.Stored_) {
    Read.Crashes_.push_back(Stored.Crash_);
    Read.Crashes_.back().Age_ = Stored.Crash_.Age_ + (Now_ - Stored.StoredAt_);
  }
  if (!Read.Crashes_.empty())
    deliver(Index, Epoch, std::move(Read));
}

void FleetSimulation::checkCrashes() {
  for (const auto &[Job, Task] : Crashes_.CrashingTasks_) {
    Result_.CrashingTasks_[Job] = Task;
    if (!Options_.Crashes_.IsOnlyFault_)
      continue;
    const std::string Name = nameOfTask(Job, Task.Task_);
    if (Task.CrashedWorkers_.size() > GiveUpCrashes)
      reportViolation("task " + Name + " has crashed " +
                      std::to_string(Task.CrashedWorkers_.size()) + " workers");
    if (Task.Crashes_ > 0 && !Task.FailedAt_ && Callers_.at(Job).IsFinished_)
      reportViolation("job of task " + Name +
                      ", which crashes its workers, was not answered as "
                      "failed");
  }
  if (!Options_.Crashes_.IsOnlyFault_)
    return;
  for (const uint64_t Job : Crashes_.InterruptedJobs_) {
    const Caller &Requester = Callers_.at(Job);
    if (Requester.IsFinished_ && Requester.Outcome_ != JobOutcome::Completed)
      reportViolation("job " + formatHex(Job) +
                      ", interrupted by another job's crash, did not complete");
  }
}

} // namespace marjorambend::test
