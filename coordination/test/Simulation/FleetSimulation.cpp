#include "Simulation/FleetSimulation.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>

namespace marjorambend::test {

// Network delays and intervals of the users' platform, in milliseconds.
static constexpr int64_t CallerDelay = 3;
static constexpr int64_t LocalDelay = 0; ///< Within a data centre.
static constexpr int64_t CrossZoneDelay = 1;
static constexpr int64_t TickInterval = 20;
static constexpr int64_t ListInterval = 600;
static constexpr int64_t SessionTimeout = 450;
static constexpr int64_t ResubmitDelay = 1'300;
static constexpr int64_t CallerLeaveDelay = 50; ///< After a caller's timeout.
static constexpr int64_t OrderTimeout = 250;
static constexpr Milliseconds DrainBound{2'000};
// The longest lease of a worker plus the time to notice its end.
static constexpr Milliseconds FencedBound{1'300};
static constexpr Milliseconds StoreClockStart{480'000};
static constexpr double ObjectiveStretch = 1.6;
static constexpr double TargetLatency = 60;
static constexpr double LateWorthShare = 0.2;
static constexpr uint32_t FirstCpuShare = 620;

std::vector<LoadKind> agenciaKinds(double Load) {
  return {{.Name_ = "cotiza",
           .Priority_ = 0,
           .PerSecond_ = 34.4 * Load,
           .MeanTasks_ = 8,
           .MaxTasks_ = 32,
           .MeanRunTime_ = 60,
           .MaxRunTime_ = 240,
           .MeanMilliCores_ = 27'000,
           .Worth_ = 0.0291},
          {.Name_ = "liquidacion",
           .Priority_ = 2,
           .PerSecond_ = 6.25 * Load,
           .MeanTasks_ = 4,
           .MaxTasks_ = 16,
           .MeanRunTime_ = 900,
           .MaxRunTime_ = 3'600,
           .MeanMilliCores_ = 27'000,
           .Worth_ = 0.16},
          {.Name_ = "certpeso",
           .Priority_ = 1,
           .PerSecond_ = 100 * Load,
           .MeanTasks_ = 2,
           .MaxTasks_ = 8,
           .MeanRunTime_ = 200,
           .MaxRunTime_ = 800,
           .MeanMilliCores_ = 27'000,
           .Worth_ = 0.01}};
}

FleetSimulation::FleetSimulation(FleetSimulationOptions Options)
    : Options_(std::move(Options)), Generator_(Options_.Seed_),
      Crashes_(Options_.Seed_ ^ 0xC2B2AE3D27D4EB4FULL) {
  for (uint32_t Centre = 0; Centre < Options_.DataCentres_; ++Centre) {
    const std::string Name = "dc" + std::to_string(Centre);
    for (uint32_t Index = 0; Index < Options_.InstancesPerDataCentre_; ++Index)
      addNode(Name, Index);
    for (uint32_t Index = 0; Index < Options_.WorkersPerDataCentre_; ++Index) {
      const std::string Id = Name + "-w" + std::to_string(Index);
      SimWorker &Worker = Workers_[Id];
      const double Size = Index % 3 == 2 ? Options_.LargeWorkerFactor_ : 1.0;
      Worker.Report_ = {
          .Id_ = Id,
          .Service_ = "service",
          .Address_ = Id,
          .Port_ = 1,
          .DataCentre_ = Name,
          .Capacity_ = {
              static_cast<int64_t>(
                  static_cast<double>(Options_.WorkerMilliCores_) * Size),
              131'072, 0}};
      Worker.Speed_ =
          Options_.WorkerSpeeds_[Index % Options_.WorkerSpeeds_.size()];
      Worker.Capacity_ = Worker.FullCapacity_ = Worker.Report_.Capacity_;
      Worker.GuardsCapacity_ = Options_.WorkersGuardCapacity_;
      if (Options_.DataRacks_ > 0)
        Worker.Report_.Labels_ = {
            dataRack(Centre, Index % Options_.DataRacks_)};
      restart(Worker, {0});
    }
  }
}

void FleetSimulation::at(Milliseconds When, std::function<void()> Call) {
  Queue_.push_back({std::max(When, Now_), NextOrder_++, std::move(Call)});
  std::push_heap(Queue_.begin(), Queue_.end(), Later{});
}
void FleetSimulation::after(int64_t Delay, std::function<void()> Call) {
  at(Now_ + Milliseconds{Delay}, std::move(Call));
}
int64_t FleetSimulation::randomBetween(int64_t Min, int64_t Max) {
  return Min + static_cast<int64_t>(uniformBelow(
                   Generator_, static_cast<uint64_t>(Max - Min + 1)));
}
bool FleetSimulation::chance(double Share) {
  return Share > 0 && uniformUnit(Generator_) < Share;
}

void FleetSimulation::reportViolation(const std::string &What) {
  Result_.Violations_.push_back(std::to_string(Now_.Count_) + " ms: " + What);
}

SimWorker *FleetSimulation::findWorker(const std::string &Id) {
  const auto Found = Workers_.find(Id);
  return Found == Workers_.end() ? nullptr : &Found->second;
}

std::optional<std::size_t> FleetSimulation::findNode(Incarnation Run) const {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    if (Nodes_[Index].IsUp_ && Nodes_[Index].Info_.Run_ == Run)
      return Index;
  }
  return std::nullopt;
}

// --- Instances

void FleetSimulation::startNode(std::size_t Index) {
  Node &Starting = Nodes_[Index];
  FleetOptions Options;
  Options.Name_ = Starting.Name_;
  Options.DataCentre_ = Starting.DataCentre_;
  Options.CpuShare_ = Starting.Info_.CpuShare_;
  Options.Placer_ = Options_.Placer_;
  if (Options_.InjectedBug_ == InjectedFleetBug::LongLeases)
    Options.Holder_.Lease_ = Options.Holder_.MaxLease_ = {10'000};
  if (Options_.InjectedBug_ == InjectedFleetBug::IgnoreCrashes)
    Options.Crashes_.MaxCrashes_ = Options.Crashes_.MaxCrashesOfAnyCause_ =
        std::numeric_limits<uint32_t>::max();
  Starting.State_ = std::make_unique<FleetInstance>(
      makeFleetInstance(std::move(Options), Generator_()));
  Starting.State_->Self_.Address_ = Starting.Name_;
  Starting.Info_ = Starting.State_->Self_;
  Starting.IsUp_ = true;
  Starting.IsFrozen_ = false;
  Starting.EventDuration_ = 0;
  Starting.HasStoreClock_ = false;
  Starting.BusyUntil_ = Now_;
  Starting.IsTickQueued_ = false;
  ++Starting.Epoch_;
  Starting.DeferredEvents_.clear();
  Starting.PendingSessions_.clear();
  Starting.KnownSessions_.clear();
  Starting.WantedLinks_.clear();
  const uint64_t Epoch = Starting.Epoch_;
  tickNode(Index, Epoch);
  after(randomBetween(5, 60), [this, Index, Epoch] {
    FleetConfig Config{.Version_ = 1};
    for (const LoadKind &Kind : Options_.Kinds_)
      Config.Routes_.push_back({.Name_ = Kind.Name_,
                                .Host_ = "host",
                                .Prefix_ = "/" + Kind.Name_ + "/",
                                .Service_ = "service",
                                .Priority_ = Kind.Priority_,
                                .MaxAttempts_ = 3,
                                .StretchFactor_ = ObjectiveStretch,
                                .TargetLatency_ = {60}});
    if (!isListUnavailableIn(Nodes_[Index].DataCentre_) &&
        Nodes_[Index].Epoch_ == Epoch)
      Nodes_[Index].HasStoreClock_ = true;
    followEvacuations(Index, Epoch);
    deliver(Index, Epoch, ConfigRead{Config});
  });
  after(randomBetween(5, 60),
        [this, Index, Epoch] { listInstances(Index, Epoch); });
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
    if (Other != Index)
      after(randomBetween(2, 300),
            [this, Index, Other] { connect(Index, Other); });
  }
}

void FleetSimulation::addNode(const std::string &DataCentre, uint32_t Index) {
  Node New{.Name_ = DataCentre + "-i" + std::to_string(Index),
           .DataCentre_ = DataCentre};
  New.Info_ = {
      .Name_ = New.Name_,
      .DataCentre_ = DataCentre,
      .CpuShare_ =
          Nodes_.empty()
              ? FirstCpuShare
              : Options_.CpuShares_[Index % Options_.CpuShares_.size()],
      .Address_ = New.Name_};
  Nodes_.push_back(std::move(New));
}

// Also lists instances that are down, as the store keeps their rows.
void FleetSimulation::listInstances(std::size_t Index, uint64_t Epoch) {
  if (Nodes_[Index].Epoch_ != Epoch)
    return;
  if (isListUnavailableIn(Nodes_[Index].DataCentre_)) {
    after(ListInterval, [this, Index, Epoch] { listInstances(Index, Epoch); });
    return;
  }
  InstancesRead Read;
  for (const Node &One : Nodes_)
    Read.Instances_.push_back(One.Info_);
  deliver(Index, Epoch, std::move(Read));
  readCrashes(Index, Epoch);
}

bool FleetSimulation::wantsLink(const Node &By, const Node &Other) const {
  return By.WantedLinks_.contains(linkAddressOf(Other.Info_));
}

void FleetSimulation::connectWanted(std::size_t Index) {
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
    if (Other != Index && wantsLink(Nodes_[Index], Nodes_[Other]))
      after(randomBetween(2, 100),
            [this, Index, Other] { connect(Index, Other); });
  }
}

// Down, frozen, or so far behind with its events that sessions time out.
bool FleetSimulation::isUnresponsive(const Node &One) const {
  return !One.IsUp_ || One.IsFrozen_ ||
         One.BusyUntil_ - Now_ > Milliseconds{SessionTimeout};
}

void FleetSimulation::connect(std::size_t A, std::size_t B) {
  Node &First = Nodes_[A];
  Node &Second = Nodes_[B];
  const auto Pair = std::minmax(A, B);
  const bool IsPossible =
      (wantsLink(First, Second) || wantsLink(Second, First)) &&
      !isUnresponsive(First) && !isUnresponsive(Second) &&
      PartitionedPairs_[Pair] == 0 && Sessions_[Pair] == 0 &&
      SessionClosedAt_[Pair] <= Now_;
  if (!IsPossible)
    return;
  Sessions_[Pair] = NextSession_++;
  First.PendingSessions_.push_back(Sessions_[Pair]);
  Second.PendingSessions_.push_back(Sessions_[Pair]);
  deliver(A, First.Epoch_, InstanceUp{Second.Info_});
  deliver(B, Second.Epoch_, InstanceUp{First.Info_});
}

// Each side notices the end of the session at its own time, around Delay.
void FleetSimulation::disconnect(std::size_t A, std::size_t B, int64_t Delay) {
  const auto Pair = std::minmax(A, B);
  if (Sessions_[Pair] == 0)
    return;
  Sessions_[Pair] = 0;
  SessionClosedAt_[Pair] = Now_ + Milliseconds{Delay + 50};
  const auto ReportLoss = [this, Delay](std::size_t To, Incarnation Gone) {
    const uint64_t Epoch = Nodes_[To].Epoch_;
    after(Delay == 0 ? 1 : randomBetween(Delay - 100, Delay + 50),
          [this, To, Epoch, Gone] { deliver(To, Epoch, InstanceDown{Gone}); });
  };
  ReportLoss(A, Nodes_[B].Info_.Run_);
  ReportLoss(B, Nodes_[A].Info_.Run_);
  after(Delay + 200, [this, A, B] { connect(A, B); });
}

void FleetSimulation::endNode(std::size_t Index, bool IsPowerLoss) {
  Node &Ending = Nodes_[Index];
  if (!Ending.IsUp_)
    return;
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
    if (Other != Index)
      disconnect(Index, Other, IsPowerLoss ? SessionTimeout : 0);
  }
  Ending.IsUp_ = false;
  ++Ending.Epoch_;
  resubmitRequests(Index);
  after(randomBetween(300, 2'000), [this, Index] { startNode(Index); });
}

void FleetSimulation::stopNode(std::size_t Index) {
  Node &Stopping = Nodes_[Index];
  if (!Stopping.IsUp_ || Stopping.IsFrozen_)
    return;
  const uint64_t Epoch = Stopping.Epoch_;
  deliver(Index, Epoch, FleetStop{});
  after(5'300, [this, Index, Epoch] {
    deliver(Index, Epoch, FleetStopForced{});
    after(10, [this, Index, Epoch] {
      if (Nodes_[Index].Epoch_ == Epoch)
        endNode(Index, false);
    });
  });
}

void FleetSimulation::tickNode(std::size_t Index, uint64_t Epoch) {
  if (Nodes_[Index].Epoch_ != Epoch)
    return;
  const Node &Ticking = Nodes_[Index];
  const Milliseconds Clock = Ticking.HasStoreClock_
                                 ? StoreClockStart + Now_ - Ticking.ClockLag_
                                 : Milliseconds{0};
  deliver(Index, Epoch, FleetTick{Clock});
  after(TickInterval, [this, Index, Epoch] { tickNode(Index, Epoch); });
}

void FleetSimulation::deliver(std::size_t Index, uint64_t Epoch,
                              FleetEvent Event) {
  Node &To = Nodes_[Index];
  if (!To.IsUp_ || To.Epoch_ != Epoch)
    return;
  if (To.IsFrozen_) {
    To.DeferredEvents_.push_back(
        [this, Index, Epoch, Event] { deliver(Index, Epoch, Event); });
    return;
  }
  if (!deferIfSlow(Index, Epoch, Event))
    process(Index, std::move(Event));
}

// Queues the event behind the earlier ones; these keep their order when the
// node is fast again.
bool FleetSimulation::deferIfSlow(std::size_t Index, uint64_t Epoch,
                                  const FleetEvent &Event) {
  Node &To = Nodes_[Index];
  if (To.EventDuration_ == 0 && To.BusyUntil_ <= Now_)
    return false;
  const bool IsTick = std::holds_alternative<FleetTick>(Event);
  if (IsTick && To.IsTickQueued_)
    return true;
  To.IsTickQueued_ = To.IsTickQueued_ || IsTick;
  To.BusyUntil_ =
      std::max(Now_, To.BusyUntil_) + Milliseconds{To.EventDuration_};
  for (std::size_t Other = 0; Other < Nodes_.size() && isUnresponsive(To);
       ++Other) {
    if (Other != Index)
      disconnect(Index, Other, SessionTimeout);
  }
  at(To.BusyUntil_, [this, Index, Epoch, Event] {
    Node &Then = Nodes_[Index];
    const auto ProcessEvent = [this, Index, Epoch, Event] {
      Node &Awake = Nodes_[Index];
      if (Awake.IsUp_ && Awake.Epoch_ == Epoch)
        process(Index, Event);
    };
    if (Then.IsFrozen_ && Then.Epoch_ == Epoch)
      Then.DeferredEvents_.push_back(ProcessEvent);
    else
      ProcessEvent();
  });
  return true;
}

void FleetSimulation::process(std::size_t Index, FleetEvent Event) {
  Node &To = Nodes_[Index];
  if (std::holds_alternative<FleetTick>(Event))
    To.IsTickQueued_ = false;
  if (const auto *Up = std::get_if<InstanceUp>(&Event)) {
    const auto Other = findNode(Up->Info_.Run_);
    if (Other)
      To.KnownSessions_[*Other] = To.PendingSessions_.front();
    To.PendingSessions_.pop_front();
  }
  perform(Index, step(*To.State_, std::move(Event), Now_));
}

void FleetSimulation::injectBug(FleetActions &Actions) const {
  if (Options_.InjectedBug_ == InjectedFleetBug::DropStopOrders)
    std::erase_if(Actions, [](const FleetAction &One) {
      return std::holds_alternative<StopRun>(One);
    });
  for (FleetAction &One : Actions) {
    auto *Answer = std::get_if<AnswerJob>(&One);
    if (Options_.InjectedBug_ == InjectedFleetBug::ReportAllAsNotRun &&
        Answer != nullptr && Answer->Outcome_ == JobOutcome::MayHaveRun)
      Answer->Outcome_ = JobOutcome::NotRun;
  }
}

void FleetSimulation::perform(std::size_t Index, FleetActions Actions) {
  injectBug(Actions);
  for (FleetAction &One : Actions) {
    if (auto *Send = std::get_if<SendMessage>(&One)) {
      const auto To = findNode(Send->To_);
      // Messages on a session whose end the sender has not noticed are lost.
      const uint64_t Session = To ? Sessions_[std::minmax(Index, *To)] : 0;
      if (Session == 0 || Nodes_[Index].KnownSessions_[*To] != Session)
        continue;
      ++Result_.Messages_[Nodes_[Index].Name_];
      ++Result_.Messages_[Nodes_[*To].Name_];
      const bool IsNear = Nodes_[Index].DataCentre_ == Nodes_[*To].DataCentre_;
      after(IsNear ? LocalDelay : CrossZoneDelay,
            [this, To = *To, Index, Epoch = Nodes_[*To].Epoch_, Session,
             From = Nodes_[Index].Info_.Run_, Message = Send->Message_] {
              if (Sessions_[std::minmax(Index, To)] == Session)
                deliver(To, Epoch, MessageReceived{From, Message});
            });
    } else if (const auto *Start = std::get_if<StartRun>(&One)) {
      performStart(Index, *Start);
    } else if (const auto *Stop = std::get_if<StopRun>(&One)) {
      performStop(Index, *Stop);
    } else if (const auto *Poll = std::get_if<PollWorker>(&One)) {
      performPoll(Index, *Poll);
    } else if (const auto *Answer = std::get_if<AnswerJob>(&One)) {
      handleAnswer(Index, *Answer);
    } else if (const auto *Store = std::get_if<StoreCrash>(&One)) {
      storeCrash(Index, Nodes_[Index].Epoch_, Store->Crash_);
    } else if (const auto *Forget = std::get_if<ForgetCrash>(&One)) {
      forgetCrash(Index, Nodes_[Index].Epoch_, Forget->Worker_);
    } else if (const auto *Links = std::get_if<LinkInstances>(&One)) {
      Nodes_[Index].WantedLinks_ = Links->Addresses_;
      connectWanted(Index);
    } else if (const auto *Line = std::get_if<LogDecision>(&One)) {
      if (!isDeclaredLogLine(*Line))
        reportViolation("unknown log line " + std::string(Line->What_));
    }
  }
}

// --- Orders to workers

void FleetSimulation::sendOrder(std::size_t Index, const WorkerTarget &To,
                                std::function<void(SimWorker &)> Apply,
                                std::function<void()> Unanswered,
                                std::optional<int64_t> ApplyDelay) {
  SimWorker *Worker = findWorker(To.Id_);
  if (Worker == nullptr || !Worker->IsUp_ ||
      PartitionedWorkers_[{Index, To.Id_}]) {
    after(OrderTimeout, std::move(Unanswered));
    return;
  }
  const auto DeliverOrder = [this, Id = To.Id_, Apply = std::move(Apply)] {
    SimWorker *Reached = findWorker(Id);
    if (Reached != nullptr && Reached->IsUp_)
      Apply(*Reached);
  };
  if (!ApplyDelay && chance(Options_.DelayOrder_))
    ApplyDelay = randomBetween(2'000, Options_.MaxApplyDelay_.Count_);
  if (ApplyDelay) {
    after(*ApplyDelay, [this, DeliverOrder, Id = To.Id_,
                        OldIncarnation = Worker->Report_.Incarnation_] {
      const SimWorker &Then = *findWorker(Id);
      IsApplyingDelayedOrder_ = true;
      IsBeforeAnyPoll_ = Then.Report_.Incarnation_ != OldIncarnation &&
                         Then.PollsInIncarnation_ < 2;
      DeliverOrder();
      IsApplyingDelayedOrder_ = IsBeforeAnyPoll_ = false;
    });
    after(OrderTimeout, std::move(Unanswered));
    return;
  }
  const bool IsNear = Worker->Report_.DataCentre_ == Nodes_[Index].DataCentre_;
  after(IsNear ? LocalDelay : CrossZoneDelay, DeliverOrder);
}

void FleetSimulation::recordStart(SimWorker &Worker, const RunId &Run) {
  ++Result_.Starts_;
  recordCrashingStart(Worker, Run);
  // Instances cannot prevent that a restarted worker carries out a late order
  // before the first call from a holder that knows of the restart; see
  // docs/FAULTS.md.
  if (IsBeforeAnyPoll_ && Options_.IgnoresOrdersBeforeAnyPoll_)
    return;
  const auto Key = std::make_pair(Run.Job_, Run.Task_);
  const auto Before = RunningOn_.find(Key);
  if (Before != RunningOn_.end())
    reportViolation("task " + formatHex(Run.Job_) + '.' +
                    std::to_string(Run.Task_) + " started on " +
                    Worker.Report_.Id_ + " while it runs on " + Before->second);
  RunningOn_[Key] = Worker.Report_.Id_;
  if (Worker.DrainedAt_ && Now_ > *Worker.DrainedAt_ + DrainBound &&
      !IsApplyingDelayedOrder_)
    reportViolation("new work on draining worker " + Worker.Report_.Id_);
  Caller &Requester = Callers_.at(Run.Job_);
  Requester.HasStarted_ = true;
  // The users' time bounds do not apply to orders that a worker carries out
  // late. The holder must stop such a run; checkFinalState verifies it.
  if (Requester.IsFinished_ &&
      Now_ - Requester.FinishedAt_ > Milliseconds{1'500} &&
      !IsApplyingDelayedOrder_)
    reportViolation("start for job " + formatHex(Run.Job_) + " after its end");
}

// Also covers orders that are carried out late: the users' rule on this limit
// has no exception for them.
void FleetSimulation::checkTasksPerWorker(const SimWorker &Worker,
                                          const RunId &Run) {
  const uint32_t Max = Callers_.at(Run.Job_).Job_.MaxPerWorker_;
  const auto Count = std::count_if(
      Worker.Runs_.begin(), Worker.Runs_.end(),
      [&Run](const SimRun &One) { return One.Id_.Job_ == Run.Job_; });
  if (Max != 0 && Count > static_cast<std::ptrdiff_t>(Max))
    reportViolation(std::to_string(Count) + " tasks of job " +
                    formatHex(Run.Job_) + " run on " + Worker.Report_.Id_ +
                    ", which may run " + std::to_string(Max));
}

std::string FleetSimulation::dataRack(std::size_t Centre, std::size_t Rack) {
  return "data-" + std::to_string(Centre) + "-" + std::to_string(Rack);
}

double FleetSimulation::runTime(const Caller &Requester, uint32_t Task,
                                const SimWorker &Worker) const {
  const std::vector<std::string> &Labels = Worker.Report_.Labels_;
  const std::string &Rack = Requester.Job_.DataRack_;
  const bool IsLocal = Rack.empty() || std::find(Labels.begin(), Labels.end(),
                                                 Rack) != Labels.end();
  return Requester.Runs_.at(Task) / Worker.Speed_ *
         (IsLocal ? 1.0 : Options_.RemoteFactor_);
}

void FleetSimulation::performStart(std::size_t Index, const StartRun &Start) {
  const uint64_t Epoch = Nodes_[Index].Epoch_;
  const auto Answer = [this, Index, Epoch,
                       Start](OrderResult Result,
                              std::optional<Milliseconds> Clock) {
    deliver(Index, Epoch,
            StartAnswered{Start.Worker_.Id_, Start.Run_, Result, Clock});
  };
  const OrderResult WhenUnknown =
      Options_.InjectedBug_ == InjectedFleetBug::TreatUnknownStartAsNotRun
          ? OrderResult::NotDelivered
          : OrderResult::Unknown;
  const bool IsLost = chance(Options_.LoseAnswer_);
  sendOrder(
      Index, Start.Worker_,
      [this, Index, Start, Answer, IsLost, WhenUnknown](SimWorker &Worker) {
        const Caller &Requester = Callers_.at(Start.Run_.Job_);
        const double Duration = runTime(Requester, Start.Run_.Task_, Worker);
        const std::size_t Before = Worker.Runs_.size();
        const OrderResult Result =
            applyStart(Worker, Start,
                       {.Needs_ = Requester.Job_.Needs_,
                        .Duration_ = Duration,
                        .WillFail_ = chance(Options_.FailRun_)},
                       Now_);
        if (Worker.Runs_.size() > Before) {
          recordStart(Worker, Start.Run_);
          checkTasksPerWorker(Worker, Start.Run_);
          checkCapacity(Index, Worker);
          checkEvacuation(Index, Worker);
        }
        if (Result != OrderResult::Accepted)
          ++Result_.RejectedStarts_;
        const Milliseconds Clock = Now_ + Worker.ClockOffset_;
        if (IsLost)
          after(OrderTimeout, [=] { Answer(WhenUnknown, std::nullopt); });
        else
          after(LocalDelay, [=] { Answer(Result, Clock); });
      },
      [=] { Answer(WhenUnknown, std::nullopt); }, delayStart(Start));
}

void FleetSimulation::performStop(std::size_t Index, const StopRun &Stop) {
  const uint64_t Epoch = Nodes_[Index].Epoch_;
  if (Options_.InjectedBug_ == InjectedFleetBug::ConfirmUnsentStops) {
    after(LocalDelay, [this, Index, Epoch, Stop] {
      deliver(Index, Epoch,
              StopAnswered{Stop.Worker_.Id_, Stop.Run_, OrderResult::Accepted,
                           std::nullopt});
    });
    return;
  }
  sendOrder(
      Index, Stop.Worker_,
      [this, Index, Epoch, Stop](SimWorker &Worker) {
        const OrderResult Result =
            applyStop(Worker, Stop, Now_, [this](const SimRun &Run) {
              RunningOn_.erase({Run.Id_.Job_, Run.Id_.Task_});
            });
        const Milliseconds Clock = Now_ + Worker.ClockOffset_;
        after(LocalDelay, [this, Index, Epoch, Stop, Result, Clock] {
          deliver(Index, Epoch,
                  StopAnswered{Stop.Worker_.Id_, Stop.Run_, Result, Clock});
        });
      },
      [this, Index, Epoch, Stop] {
        deliver(Index, Epoch,
                StopAnswered{Stop.Worker_.Id_, Stop.Run_, OrderResult::Unknown,
                             std::nullopt});
      });
}

void FleetSimulation::performPoll(std::size_t Index, const PollWorker &Poll) {
  const uint64_t Epoch = Nodes_[Index].Epoch_;
  auto IsAnswered = std::make_shared<bool>(false);
  const auto Answer = [this, Index, Epoch, Poll,
                       IsAnswered](PollAnswered Lists) {
    if (*IsAnswered || PartitionedWorkers_[{Index, Poll.Worker_.Id_}])
      return;
    *IsAnswered = true;
    Lists.Worker_ = Poll.Worker_.Id_;
    Lists.Poll_ = Poll.Poll_;
    after(LocalDelay, [this, Index, Epoch, Lists = std::move(Lists)] {
      deliver(Index, Epoch, Lists);
    });
  };
  const auto Fail = [this, Index, Epoch, Poll, IsAnswered] {
    if (*IsAnswered)
      return;
    *IsAnswered = true;
    deliver(Index, Epoch,
            PollAnswered{.Worker_ = Poll.Worker_.Id_, .Poll_ = Poll.Poll_});
  };
  sendOrder(
      Index, Poll.Worker_,
      [this, Poll, Answer](SimWorker &Worker) {
        const OrderResult Result = applyPoll(Worker, Poll, Now_);
        if (Result != OrderResult::Accepted) {
          Answer({.Result_ = Result});
          return;
        }
        // A poll that is carried out late was sent earlier and does not count.
        Worker.PollsInIncarnation_ += IsApplyingDelayedOrder_ ? 0 : 1;
        Worker.Polls_.push_back(
            {Poll.AckedThrough_, Now_ + Poll.Wait_, Answer});
      },
      [] {});
  after(Poll.Wait_.Count_ + OrderTimeout, Fail);
}

void FleetSimulation::listWorkers() {
  std::vector<WorkerReport> Reports;
  for (const auto &[Id, Worker] : Workers_)
    Reports.push_back(Worker.Report_);
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    const uint64_t Epoch = Nodes_[Index].Epoch_;
    after(randomBetween(1, ListInterval), [this, Index, Epoch, Reports] {
      if (isListUnavailableIn(Nodes_[Index].DataCentre_))
        deliver(Index, Epoch, WorkersReadFailed{});
      else if (Nodes_[Index].Epoch_ == Epoch) {
        Nodes_[Index].HasStoreClock_ = true;
        deliver(Index, Epoch, WorkersRead{Reports});
      }
    });
  }
  after(ListInterval, [this] { listWorkers(); });
}

// --- Callers

static double logNormal(Random &Generator, double Mean, double Sigma) {
  const double A = std::max(1e-12, uniformUnit(Generator));
  const double B = uniformUnit(Generator);
  const double Normal =
      std::sqrt(-2 * std::log(A)) * std::cos(2 * 3.14159265358979 * B);
  return Mean * std::exp(Sigma * Normal - Sigma * Sigma / 2);
}

void FleetSimulation::generateLoad() {
  static constexpr double TaskSpread = 0.15;
  for (std::size_t Kind = 0; Kind < Options_.Kinds_.size(); ++Kind) {
    const LoadKind &Of = Options_.Kinds_[Kind];
    double When = static_cast<double>(Options_.LoadFrom_.Count_);
    while (When < static_cast<double>(Options_.LoadUntil_.Count_)) {
      double Rate = Of.PerSecond_;
      for (const LoadPeak &Peak : Options_.Peaks_) {
        const Milliseconds Here{static_cast<int64_t>(When)};
        if ((Peak.Kind_.empty() || Peak.Kind_ == Of.Name_) &&
            Here >= Peak.From_ && Here < Peak.Until_)
          Rate *= Peak.Factor_;
      }
      When -=
          1000.0 / Rate * std::log(std::max(1e-12, uniformUnit(Generator_)));
      Caller Requester;
      Requester.Id_ = Generator_() | 1U;
      Requester.Kind_ = Kind;
      const auto Tasks = static_cast<uint32_t>(
          std::clamp(std::round(logNormal(Generator_, Of.MeanTasks_, 0.4)), 1.0,
                     static_cast<double>(Of.MaxTasks_)));
      const double Run =
          std::min(Of.MaxRunTime_, logNormal(Generator_, Of.MeanRunTime_, 0.4));
      double Longest = 0;
      for (uint32_t Task = 0; Task < Tasks; ++Task) {
        Requester.Runs_.push_back(
            std::max(1.0, logNormal(Generator_, Run, TaskSpread)) *
            (chance(Options_.LongTaskShare_) ? Options_.LongTaskFactor_ : 1.0));
        Longest = std::max(Longest, Requester.Runs_.back());
        Requester.Work_ += Requester.Runs_.back();
      }
      const double Cores =
          std::clamp(logNormal(Generator_, Of.MeanMilliCores_, 0.2), 1'000.0,
                     Of.MeanMilliCores_ * 1.5);
      Requester.Job_ = {.Id_ = Requester.Id_,
                        .Host_ = "host",
                        .Path_ = "/" + Of.Name_ + "/",
                        .Spec_ = "spec",
                        .Tasks_ = Tasks,
                        .Needs_ = {static_cast<int64_t>(Cores), 64, 0},
                        .Estimate_ = {std::max<int64_t>(
                            1, static_cast<int64_t>(logNormal(
                                   Generator_, Run, Options_.EstimateError_)))},
                        .MaxPerWorker_ = Of.MaxPerWorker_};
      if (Options_.DataRacks_ > 0)
        Requester.Job_.DataRack_ =
            dataRack(uniformBelow(Generator_, Options_.DataCentres_),
                     uniformBelow(Generator_, Options_.DataRacks_));
      Requester.Work_ *= Cores;
      Requester.Objective_ = {
          static_cast<int64_t>(Longest * ObjectiveStretch + TargetLatency)};
      const int64_t CallerTimeout =
          std::max<int64_t>(1'500, Requester.Objective_.Count_ * 3) +
          randomBetween(300, 1'300);
      Requester.Job_.CallerTimeout_ = {CallerTimeout};
      Requester.SubmittedAt_ = {static_cast<int64_t>(When)};
      const uint64_t Id = Requester.Id_;
      Callers_[Id] = std::move(Requester);
      at(Callers_[Id].SubmittedAt_, [this, Id] { submit(Id); });
    }
  }
}

// Accepts a random instance with a probability that follows the demand of its
// data centre.
std::size_t
FleetSimulation::chooseEntry(const std::vector<std::size_t> &Ready) {
  const double Swing = Options_.DataCentreSwing_;
  for (;;) {
    const std::size_t Chosen = Ready[uniformBelow(Generator_, Ready.size())];
    if (Swing <= 0)
      return Chosen;
    const double Turns =
        static_cast<double>(Now_.Count_) /
            static_cast<double>(Options_.SwingPeriod_.Count_) +
        static_cast<double>(Chosen / Options_.InstancesPerDataCentre_) /
            static_cast<double>(Options_.DataCentres_);
    const double Demand = 1.0 + Swing * std::sin(2 * std::numbers::pi * Turns);
    if (uniformUnit(Generator_) * (1.0 + Swing) < Demand)
      return Chosen;
  }
}

void FleetSimulation::submit(uint64_t Id) {
  Caller &Requester = Callers_.at(Id);
  if (Requester.IsFinished_)
    return;
  ++Requester.Attempts_;
  // A caller that leaves at its timeout has resubmitted by then.
  Requester.LatestEndAt_ =
      Now_ + Requester.Job_.CallerTimeout_ +
      Milliseconds{CallerLeaveDelay + ResubmitDelay + CallerDelay};
  std::vector<std::size_t> Ready;
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    if (Nodes_[Index].IsUp_ && Nodes_[Index].State_ &&
        isReady(*Nodes_[Index].State_))
      Ready.push_back(Index);
  }
  if (Ready.empty()) {
    resubmit(Requester);
    return;
  }
  const std::size_t To = chooseEntry(Ready);
  const uint64_t Epoch = Nodes_[To].Epoch_;
  const uint64_t Token = NextToken_++;
  JobSubmission Job = Requester.Job_;
  Job.Token_ = Token;
  after(CallerDelay, [this, To, Epoch, Token, Id, Job] {
    if (!Nodes_[To].IsUp_ || Nodes_[To].Epoch_ != Epoch) {
      resubmit(Callers_.at(Id));
      return;
    }
    Nodes_[To].Requests_[Token] = Id;
    deliver(To, Epoch, Job);
  });
  const auto Leave = [this, To, Epoch, Token, Id](bool IsAgain) {
    if (Nodes_[To].Epoch_ != Epoch || Nodes_[To].Requests_.erase(Token) == 0)
      return;
    deliver(To, Epoch, JobAbandoned{Token});
    Caller &Leaving = Callers_.at(Id);
    Leaving.HasLeft_ = !IsAgain;
    if (IsAgain)
      resubmit(Leaving);
    else
      finishRequest(Leaving, JobOutcome::Cancelled);
  };
  const Milliseconds CallerTimeout = Requester.Job_.CallerTimeout_;
  after(CallerTimeout.Count_ + CallerLeaveDelay, [Leave] { Leave(true); });
  if (chance(Options_.LeaveEarly_))
    after(randomBetween(20, CallerTimeout.Count_), [Leave] { Leave(false); });
}

void FleetSimulation::resubmit(Caller &Requester) {
  if (Requester.IsFinished_)
    return;
  if (Requester.Attempts_ >= Options_.CallerAttempts_) {
    finishRequest(Requester, JobOutcome::MayHaveRun);
    return;
  }
  after(ResubmitDelay, [this, Id = Requester.Id_] { submit(Id); });
}

void FleetSimulation::resubmitRequests(std::size_t Index) {
  std::map<uint64_t, uint64_t> Lost = std::move(Nodes_[Index].Requests_);
  Nodes_[Index].Requests_.clear();
  for (const auto &[Token, Id] : Lost)
    resubmit(Callers_.at(Id));
}

void FleetSimulation::handleAnswer(std::size_t Index, const AnswerJob &Answer) {
  const auto Found = Nodes_[Index].Requests_.find(Answer.Token_);
  if (Found == Nodes_[Index].Requests_.end())
    return;
  Caller &Requester = Callers_.at(Found->second);
  Nodes_[Index].Requests_.erase(Found);
  if (Answer.Outcome_ == JobOutcome::NotRun)
    ++Requester.NotRunAnswers_;
  const bool IsResubmitted = recordAnswer(Requester, Answer.Outcome_) ||
                             Answer.Outcome_ == JobOutcome::MayHaveRun;
  if (IsResubmitted)
    resubmit(Requester);
  else
    finishRequest(Requester, Answer.Outcome_);
}

void FleetSimulation::finishRequest(Caller &Requester, JobOutcome Outcome) {
  if (Requester.IsFinished_)
    return;
  Requester.IsFinished_ = true;
  Requester.FinishedAt_ = Now_;
  Requester.Outcome_ = Outcome;
  const LoadKind &Kind = Options_.Kinds_[Requester.Kind_];
  KindResult &Totals = Result_.Kinds_[Kind.Name_];
  const double Mean =
      Kind.MeanTasks_ * Kind.MeanRunTime_ * Kind.MeanMilliCores_;
  const double Worth =
      Kind.Worth_ * std::min(4.0, 0.3 + 0.7 * Requester.Work_ / Mean);
  const Milliseconds Took =
      Now_ - Requester.SubmittedAt_ + Milliseconds{CallerDelay};
  if (Requester.HasLeft_)
    return;
  ++Totals.Asked_;
  Totals.WorthAsked_ += Worth;
  if (Outcome == JobOutcome::NotRun) {
    ++Totals.Refused_;
  } else if (Outcome != JobOutcome::Completed ||
             Took > Requester.Objective_ * 3) {
    ++Totals.Unserved_;
  } else if (Took <= Requester.Objective_) {
    ++Totals.InTime_;
    Totals.WorthEarned_ += Worth;
  } else {
    ++Totals.Late_;
    Totals.WorthEarned_ += LateWorthShare * Worth;
  }
}

// --- Faults

Milliseconds FleetSimulation::randomTimeInLoad() {
  return {randomBetween(Options_.LoadFrom_.Count_,
                        Options_.LoadUntil_.Count_ + 1'000)};
}
std::size_t FleetSimulation::randomNode() {
  return uniformBelow(Generator_, Nodes_.size());
}
std::string FleetSimulation::randomWorker() {
  return std::next(Workers_.begin(), static_cast<std::ptrdiff_t>(uniformBelow(
                                         Generator_, Workers_.size())))
      ->first;
}
bool FleetSimulation::isListUnavailableIn(const std::string &DataCentre) const {
  const auto Partition = PartitionedZones_.find(DataCentre);
  return IsListUnavailable_ ||
         (Partition != PartitionedZones_.end() && Partition->second > 0);
}

void FleetSimulation::scheduleFaults() {
  for (uint32_t Count = 0; Count < Options_.Kills_; ++Count)
    at(randomTimeInLoad(),
       [this, Index = randomNode()] { endNode(Index, false); });
  for (uint32_t Count = 0; Count < Options_.PowerLosses_; ++Count)
    at(randomTimeInLoad(),
       [this, Index = randomNode()] { endNode(Index, true); });
  for (uint32_t Count = 0; Count < Options_.Stops_; ++Count)
    at(randomTimeInLoad(), [this, Index = randomNode()] { stopNode(Index); });
  for (uint32_t Count = 0; Count < Options_.Freezes_; ++Count)
    at(randomTimeInLoad(),
       [this, Index = randomNode(), Duration = randomBetween(100, 4'000)] {
         freezeNode(Index, Duration);
       });
  schedulePartitions();
  scheduleWorkerFaults();
  for (uint32_t Count = 0; Count < Options_.ListOutages_; ++Count)
    at(randomTimeInLoad(), [this, Duration = randomBetween(500, 4'000)] {
      IsListUnavailable_ = true;
      suspendDrainChecks({});
      after(Duration, [this] {
        IsListUnavailable_ = false;
        resumeDrainChecks({});
      });
    });
  scheduleAddedFaults();
}

// Drawn after the other faults, so that older seeds without these faults give
// the same simulations as before.
void FleetSimulation::scheduleAddedFaults() {
  for (uint32_t Count = 0; Count < Options_.ZonePartitions_; ++Count)
    at(randomTimeInLoad(),
       [this, Index = randomNode(), Duration = randomBetween(700, 6'000)] {
         partitionZone(Nodes_[Index].DataCentre_, Duration);
       });
  for (uint32_t Count = 0; Count < Options_.Slowdowns_; ++Count)
    at(randomTimeInLoad(),
       [this, Index = randomNode(), EventDuration = randomBetween(1, 3),
        Duration = randomBetween(500, 4'000)] {
         Node &Slow = Nodes_[Index];
         if (!Slow.IsUp_)
           return;
         Slow.EventDuration_ = EventDuration;
         after(Duration, [this, Index, Epoch = Slow.Epoch_] {
           if (Nodes_[Index].Epoch_ == Epoch)
             Nodes_[Index].EventDuration_ = 0;
         });
       });
  for (uint32_t Count = 0; Count < Options_.ClockLags_; ++Count)
    at(randomTimeInLoad(),
       [this, Index = randomNode(), By = randomBetween(0, 800),
        Duration = randomBetween(500, 5'000)] {
         Nodes_[Index].ClockLag_ = {By};
         after(Duration, [this, Index] { Nodes_[Index].ClockLag_ = {0}; });
       });
  scheduleShrinks();
  scheduleEvacuations();
}

void FleetSimulation::freezeNode(std::size_t Index, int64_t Duration) {
  Node &Hit = Nodes_[Index];
  if (!Hit.IsUp_ || Hit.IsFrozen_)
    return;
  Hit.IsFrozen_ = true;
  for (std::size_t Other = 0;
       Other < Nodes_.size() && Duration > SessionTimeout; ++Other) {
    if (Other != Index)
      disconnect(Index, Other, SessionTimeout);
  }
  after(Duration, [this, Index, Epoch = Hit.Epoch_] {
    Node &Waking = Nodes_[Index];
    if (Waking.Epoch_ != Epoch)
      return;
    Waking.IsFrozen_ = false;
    const auto Deferred = std::move(Waking.DeferredEvents_);
    Waking.DeferredEvents_.clear();
    for (const auto &Call : Deferred)
      Call();
    for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
      if (Other != Index)
        after(randomBetween(50, 300),
              [this, Index, Other] { connect(Index, Other); });
    }
  });
}

void FleetSimulation::partitionPair(std::size_t A, std::size_t B,
                                    int64_t Duration) {
  if (A == B)
    return;
  ++PartitionedPairs_[std::minmax(A, B)];
  disconnect(A, B, SessionTimeout);
  after(Duration, [this, A, B] {
    --PartitionedPairs_[std::minmax(A, B)];
    connect(A, B);
  });
}

// Callers still reach the instances of the data centre, but these reach no
// other data centre and not the platform's list.
void FleetSimulation::partitionZone(const std::string &DataCentre,
                                    int64_t Duration) {
  for (std::size_t A = 0; A < Nodes_.size(); ++A) {
    const bool IsInside = Nodes_[A].DataCentre_ == DataCentre;
    for (std::size_t B = A + 1; B < Nodes_.size(); ++B) {
      if (IsInside != (Nodes_[B].DataCentre_ == DataCentre))
        partitionPair(A, B, Duration);
    }
    for (const auto &[Id, Worker] : Workers_) {
      if (IsInside != (Worker.Report_.DataCentre_ == DataCentre))
        partitionWorker(A, Id, Duration);
    }
  }
  ++PartitionedZones_[DataCentre];
  suspendDrainChecks(DataCentre);
  after(Duration, [this, DataCentre] {
    --PartitionedZones_[DataCentre];
    resumeDrainChecks(DataCentre);
  });
}

void FleetSimulation::partitionWorker(std::size_t Index, const std::string &Id,
                                      int64_t Duration) {
  ++PartitionedWorkers_[{Index, Id}];
  after(Duration, [this, Index, Id] { --PartitionedWorkers_[{Index, Id}]; });
}

// While a list is unavailable, drains are not checked: instances cannot learn
// of them.
void FleetSimulation::suspendDrainChecks(const std::string &DataCentre) {
  for (auto &[Id, Worker] : Workers_) {
    if (DataCentre.empty() || Worker.Report_.DataCentre_ == DataCentre)
      Worker.DrainedAt_.reset();
  }
}

void FleetSimulation::resumeDrainChecks(const std::string &DataCentre) {
  ListRestoredAt_[DataCentre] = Now_;
  for (auto &[Id, Worker] : Workers_) {
    const bool IsMeant =
        DataCentre.empty() || Worker.Report_.DataCentre_ == DataCentre;
    if (IsMeant && Worker.Report_.IsDraining_ &&
        !isListUnavailableIn(Worker.Report_.DataCentre_))
      Worker.DrainedAt_ = Now_ + Milliseconds{2 * ListInterval};
  }
}

void FleetSimulation::schedulePartitions() {
  for (uint32_t Count = 0; Count < Options_.Partitions_; ++Count)
    at(randomTimeInLoad(), [this, A = randomNode(), B = randomNode(),
                            Duration = randomBetween(700, 4'000)] {
      partitionPair(A, B, Duration);
    });
  for (uint32_t Count = 0; Count < Options_.WorkerPartitions_; ++Count)
    at(randomTimeInLoad(), [this, Index = randomNode(), Id = randomWorker(),
                            Duration = randomBetween(200, 5'000)] {
      partitionWorker(Index, Id, Duration);
    });
}

void FleetSimulation::scheduleWorkerFaults() {
  for (uint32_t Count = 0; Count < Options_.WorkerCrashes_; ++Count)
    at(randomTimeInLoad(),
       [this, Id = randomWorker(), Duration = randomBetween(200, 4'000)] {
         crashWorker(Id, Duration, CrashCause::Other);
       });
  for (uint32_t Count = 0; Count < Options_.Drains_; ++Count)
    at(randomTimeInLoad(), [this, Id = randomWorker()] {
      SimWorker &Worker = *findWorker(Id);
      if (Options_.InjectedBug_ != InjectedFleetBug::HideDrains)
        Worker.Report_.IsDraining_ = true;
      // The delay of the list comes before DrainBound.
      after(ListInterval, [this, Id] {
        SimWorker &Draining = *findWorker(Id);
        if (!Draining.DrainedAt_ &&
            !isListUnavailableIn(Draining.Report_.DataCentre_))
          Draining.DrainedAt_ = Now_;
      });
    });
}

bool FleetSimulation::mayStillRun(uint64_t Job) const {
  for (const Node &One : Nodes_) {
    if (!One.IsUp_ || !One.State_)
      continue;
    for (const auto &[Worker, Hold] : One.State_->Holds_) {
      for (const auto &[Id, Run] : Hold.Runs_) {
        const bool IsFenced = Hold.Phase_ == HoldPhase::Fenced &&
                              Now_ - Hold.FencedAt_ < FencedBound;
        if (Id.Job_ == Job && (Run.IsStartUnconfirmed_ || IsFenced))
          return true;
      }
    }
  }
  return false;
}

void FleetSimulation::checkFinalState() {
  for (const auto &[Id, Requester] : Callers_) {
    // A caller that still waits may be served later. The last one of a kind may
    // submit after the end of the simulation.
    const bool IsOpen =
        !Requester.IsFinished_ &&
        (Requester.LatestEndAt_ >= Now_ || Requester.Attempts_ == 0);
    if (!Requester.IsFinished_ && !IsOpen)
      reportViolation("job " + formatHex(Id) + " has no answer");
    if (Requester.HasStarted_ && Requester.NotRunAnswers_ > 0 &&
        Requester.NotRunAnswers_ == Requester.Attempts_)
      reportViolation("job " + formatHex(Id) +
                      " was refused as not run and has run");
  }
  for (const auto &[Id, Worker] : Workers_) {
    for (const SimRun &Run : Worker.Runs_) {
      const Caller &Requester = Callers_.at(Run.Id_.Job_);
      // A late order may have started the run after the job finished; it ends
      // with its lease.
      const Milliseconds Since =
          std::max(Requester.FinishedAt_, Run.StartedAt_);
      if (Requester.IsFinished_ && Now_ - Since > Milliseconds{2'000})
        reportViolation("worker " + Id + " still runs a task of job " +
                        formatHex(Run.Id_.Job_) + " after its end");
    }
  }
  for (const Node &One : Nodes_) {
    if (!One.IsUp_ || !One.State_)
      continue;
    for (const auto &[Number, Job] : One.State_->Jobs_) {
      const Caller &Requester = Callers_.at(Job.Submission_.Id_);
      // An instance keeps the job of an unanswered start while it may still be
      // carried out, and that of a run whose lease another holder may have
      // extended.
      if (Requester.IsFinished_ &&
          Now_ - Requester.FinishedAt_ > Milliseconds{2'000} &&
          !mayStillRun(Requester.Id_))
        reportViolation("instance " + One.Name_ + " still has job " +
                        formatHex(Requester.Id_));
    }
  }
}

FleetSimulationResult FleetSimulation::run() {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    after(randomBetween(0, 300), [this, Index] { startNode(Index); });
  listWorkers();
  generateLoad();
  scheduleFaults();
  scheduleCrashes();
  const std::function<void(const SimRun &, RunEnd)> NoteEnd =
      [this](const SimRun &Run, RunEnd) {
        RunningOn_.erase({Run.Id_.Job_, Run.Id_.Task_});
      };
  while (!Queue_.empty() && Queue_.front().At_ <= Options_.Duration_) {
    std::pop_heap(Queue_.begin(), Queue_.end(), Later{});
    const ScheduledCall Next = std::move(Queue_.back());
    Queue_.pop_back();
    // Advance the workers in steps of 1 ms up to the next call.
    while (Now_ < Next.At_) {
      Now_ = Now_ + Milliseconds{1};
      for (auto &[Id, Worker] : Workers_)
        test::advanceWorker(Worker, Now_, NoteEnd);
    }
    Next.Call_();
  }
  checkFinalState();
  checkCrashes();
  double Asked = 0;
  double Earned = 0;
  for (const auto &[Name, Kind] : Result_.Kinds_) {
    Asked += Kind.WorthAsked_;
    Earned += Kind.WorthEarned_;
  }
  Result_.WorthShare_ = Asked > 0 ? Earned / Asked : 0;
  return std::move(Result_);
}

} // namespace marjorambend::test
