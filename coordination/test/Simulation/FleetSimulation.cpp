#include "Simulation/FleetSimulation.h"

#include <algorithm>
#include <cmath>

namespace marjorambend::test {

// As the users' platform has it.
static constexpr int64_t ClientTrip = 3;
static constexpr int64_t NearTrip = 0;
static constexpr int64_t FarTrip = 1;
static constexpr int64_t TickEvery = 20;
static constexpr int64_t ListEvery = 600;
static constexpr int64_t SessionSilence = 450;
static constexpr int64_t ResendAfter = 1'300;
static constexpr int64_t LeaveAfter = 50; ///< Beyond a caller's patience.
static constexpr int64_t OrderTimeout = 250;
static constexpr Milliseconds DrainBound{2'000};
// The longest lease of a worker, and time to notice its end.
static constexpr Milliseconds FencedBound{1'300};
static constexpr Milliseconds StoreStart{480'000};
static constexpr double Stretch = 1.6;
static constexpr double TargetLatency = 60;
static constexpr double LateShare = 0.2;
static constexpr uint32_t MaxCallerAttempts = 3;
static constexpr uint32_t FirstCpuShare = 620;

std::vector<LoadKind> agenciaKinds(double Load) {
  return {{.Name_ = "cotiza",
           .Priority_ = 0,
           .PerSecond_ = 34.4 * Load,
           .MeanTasks_ = 8,
           .MostTasks_ = 32,
           .MeanRun_ = 60,
           .MostRun_ = 240,
           .MeanMilliCores_ = 27'000,
           .Worth_ = 0.0291},
          {.Name_ = "liquidacion",
           .Priority_ = 2,
           .PerSecond_ = 6.25 * Load,
           .MeanTasks_ = 4,
           .MostTasks_ = 16,
           .MeanRun_ = 900,
           .MostRun_ = 3'600,
           .MeanMilliCores_ = 27'000,
           .Worth_ = 0.16},
          {.Name_ = "certpeso",
           .Priority_ = 1,
           .PerSecond_ = 100 * Load,
           .MeanTasks_ = 2,
           .MostTasks_ = 8,
           .MeanRun_ = 200,
           .MostRun_ = 800,
           .MeanMilliCores_ = 27'000,
           .Worth_ = 0.01}};
}

FleetWorld::FleetWorld(FleetWorldOptions Options)
    : Options_(std::move(Options)), Generator_(Options_.Seed_) {
  for (uint32_t Centre = 0; Centre < Options_.DataCentres_; ++Centre) {
    const std::string Name = "dc" + std::to_string(Centre);
    for (uint32_t Index = 0; Index < Options_.InstancesEach_; ++Index)
      addNode(Name, Index);
    for (uint32_t Index = 0; Index < Options_.WorkersEach_; ++Index) {
      const std::string Id = Name + "-w" + std::to_string(Index);
      SimWorker &Worker = Workers_[Id];
      const double Size = Index % 3 == 2 ? Options_.LargeFactor_ : 1.0;
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
      Worker.Speed_ = Options_.Speeds_[Index % Options_.Speeds_.size()];
      restart(Worker, {0});
    }
  }
}

void FleetWorld::at(Milliseconds When, std::function<void()> Call) {
  Queue_.push_back({std::max(When, Now_), NextOrder_++, std::move(Call)});
  std::push_heap(Queue_.begin(), Queue_.end(), Later{});
}
void FleetWorld::after(int64_t Delay, std::function<void()> Call) {
  at(Now_ + Milliseconds{Delay}, std::move(Call));
}
int64_t FleetWorld::between(int64_t Least, int64_t Most) {
  return Least + static_cast<int64_t>(uniformBelow(
                     Generator_, static_cast<uint64_t>(Most - Least + 1)));
}
bool FleetWorld::chance(double Share) {
  return Share > 0 && uniformUnit(Generator_) < Share;
}

void FleetWorld::violate(const std::string &What) {
  Result_.Violations_.push_back(std::to_string(Now_.Count_) + " ms: " + What);
}

SimWorker *FleetWorld::findWorker(const std::string &Id) {
  const auto Found = Workers_.find(Id);
  return Found == Workers_.end() ? nullptr : &Found->second;
}

std::optional<std::size_t> FleetWorld::nodeOf(Incarnation Run) const {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    if (Nodes_[Index].IsUp_ && Nodes_[Index].Info_.Run_ == Run)
      return Index;
  }
  return std::nullopt;
}

// --- Instances

void FleetWorld::startNode(std::size_t Index) {
  Node &Starting = Nodes_[Index];
  FleetOptions Options;
  Options.Name_ = Starting.Name_;
  Options.DataCentre_ = Starting.DataCentre_;
  Options.CpuShare_ = Starting.Info_.CpuShare_;
  Options.Placer_ = Options_.Placer_;
  if (Options_.Plant_ == FleetPlant::LongLeases)
    Options.Holder_.Lease_ = Options.Holder_.MaxLease_ = {10'000};
  Starting.State_ = std::make_unique<FleetInstance>(
      makeFleetInstance(std::move(Options), Generator_()));
  Starting.State_->Self_.Address_ = Starting.Name_;
  Starting.Info_ = Starting.State_->Self_;
  Starting.IsUp_ = true;
  Starting.IsFrozen_ = false;
  Starting.EventTakes_ = 0;
  Starting.KnowsClock_ = false;
  Starting.BusyUntil_ = Now_;
  Starting.IsTickQueued_ = false;
  ++Starting.Epoch_;
  Starting.Held_.clear();
  Starting.NewSessions_.clear();
  Starting.SessionTo_.clear();
  Starting.Wanted_.clear();
  const uint64_t Epoch = Starting.Epoch_;
  tickNode(Index, Epoch);
  after(between(5, 60), [this, Index, Epoch] {
    FleetConfig Config{.Version_ = 1};
    for (const LoadKind &Kind : Options_.Kinds_)
      Config.Routes_.push_back({.Name_ = Kind.Name_,
                                .Host_ = "host",
                                .Prefix_ = "/" + Kind.Name_ + "/",
                                .Service_ = "service",
                                .Priority_ = Kind.Priority_,
                                .MaxAttempts_ = 3,
                                .StretchFactor_ = Stretch,
                                .TargetLatency_ = {60}});
    if (!isListOutFor(Nodes_[Index].DataCentre_) &&
        Nodes_[Index].Epoch_ == Epoch)
      Nodes_[Index].KnowsClock_ = true;
    give(Index, Epoch, ConfigRead{Config});
  });
  after(between(5, 60), [this, Index, Epoch] { listInstances(Index, Epoch); });
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
    if (Other != Index)
      after(between(2, 300), [this, Index, Other] { connect(Index, Other); });
  }
}

void FleetWorld::addNode(const std::string &DataCentre, uint32_t Index) {
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

// The store's rows outlive the instances that wrote them.
void FleetWorld::listInstances(std::size_t Index, uint64_t Epoch) {
  if (Nodes_[Index].Epoch_ != Epoch)
    return;
  if (isListOutFor(Nodes_[Index].DataCentre_)) {
    after(ListEvery, [this, Index, Epoch] { listInstances(Index, Epoch); });
    return;
  }
  InstancesRead Read;
  for (const Node &One : Nodes_)
    Read.Instances_.push_back(One.Info_);
  give(Index, Epoch, std::move(Read));
}

bool FleetWorld::isWanted(const Node &By, const Node &Other) const {
  return By.Wanted_.contains(linkAddressOf(Other.Info_));
}

void FleetWorld::connectWanted(std::size_t Index) {
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
    if (Other != Index && isWanted(Nodes_[Index], Nodes_[Other]))
      after(between(2, 100), [this, Index, Other] { connect(Index, Other); });
  }
}

// Nobody hears it, since it is away or far behind with its events.
bool FleetWorld::isSilent(const Node &One) const {
  return !One.IsUp_ || One.IsFrozen_ ||
         One.BusyUntil_ - Now_ > Milliseconds{SessionSilence};
}

void FleetWorld::connect(std::size_t A, std::size_t B) {
  Node &First = Nodes_[A];
  Node &Second = Nodes_[B];
  const auto Pair = std::minmax(A, B);
  const bool IsPossible =
      (isWanted(First, Second) || isWanted(Second, First)) &&
      !isSilent(First) && !isSilent(Second) && Cut_[Pair] == 0 &&
      Linked_[Pair] == 0 && EndedBy_[Pair] <= Now_;
  if (!IsPossible)
    return;
  Linked_[Pair] = NextSession_++;
  First.NewSessions_.push_back(Linked_[Pair]);
  Second.NewSessions_.push_back(Linked_[Pair]);
  give(A, First.Epoch_, InstanceUp{Second.Info_});
  give(B, Second.Epoch_, InstanceUp{First.Info_});
}

// Both sides notice within the delay, each at its own time.
void FleetWorld::disconnect(std::size_t A, std::size_t B, int64_t Delay) {
  const auto Pair = std::minmax(A, B);
  if (Linked_[Pair] == 0)
    return;
  Linked_[Pair] = 0;
  EndedBy_[Pair] = Now_ + Milliseconds{Delay + 50};
  const auto Tell = [this, Delay](std::size_t To, Incarnation Gone) {
    const uint64_t Epoch = Nodes_[To].Epoch_;
    after(Delay == 0 ? 1 : between(Delay - 100, Delay + 50),
          [this, To, Epoch, Gone] { give(To, Epoch, InstanceDown{Gone}); });
  };
  Tell(A, Nodes_[B].Info_.Run_);
  Tell(B, Nodes_[A].Info_.Run_);
  after(Delay + 200, [this, A, B] { connect(A, B); });
}

void FleetWorld::endNode(std::size_t Index, bool IsSilent) {
  Node &Ending = Nodes_[Index];
  if (!Ending.IsUp_)
    return;
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
    if (Other != Index)
      disconnect(Index, Other, IsSilent ? SessionSilence : 0);
  }
  Ending.IsUp_ = false;
  ++Ending.Epoch_;
  loseRequests(Index);
  after(between(300, 2'000), [this, Index] { startNode(Index); });
}

void FleetWorld::stopNode(std::size_t Index) {
  Node &Stopping = Nodes_[Index];
  if (!Stopping.IsUp_ || Stopping.IsFrozen_)
    return;
  const uint64_t Epoch = Stopping.Epoch_;
  give(Index, Epoch, FleetStop{});
  after(5'300, [this, Index, Epoch] {
    give(Index, Epoch, FleetStopForced{});
    after(10, [this, Index, Epoch] {
      if (Nodes_[Index].Epoch_ == Epoch)
        endNode(Index, false);
    });
  });
}

void FleetWorld::tickNode(std::size_t Index, uint64_t Epoch) {
  if (Nodes_[Index].Epoch_ != Epoch)
    return;
  const Node &Ticking = Nodes_[Index];
  const Milliseconds Clock = Ticking.KnowsClock_
                                 ? StoreStart + Now_ - Ticking.ClockLag_
                                 : Milliseconds{0};
  give(Index, Epoch, FleetTick{Clock});
  after(TickEvery, [this, Index, Epoch] { tickNode(Index, Epoch); });
}

void FleetWorld::give(std::size_t Index, uint64_t Epoch, FleetEvent Event) {
  Node &To = Nodes_[Index];
  if (!To.IsUp_ || To.Epoch_ != Epoch)
    return;
  if (To.IsFrozen_) {
    To.Held_.push_back(
        [this, Index, Epoch, Event] { give(Index, Epoch, Event); });
    return;
  }
  if (!waitsForSlowness(Index, Epoch, Event))
    process(Index, std::move(Event));
}

// Events keep their order, also as the slowness ends.
bool FleetWorld::waitsForSlowness(std::size_t Index, uint64_t Epoch,
                                  const FleetEvent &Event) {
  Node &To = Nodes_[Index];
  if (To.EventTakes_ == 0 && To.BusyUntil_ <= Now_)
    return false;
  const bool IsTick = std::holds_alternative<FleetTick>(Event);
  if (IsTick && To.IsTickQueued_)
    return true;
  To.IsTickQueued_ = To.IsTickQueued_ || IsTick;
  To.BusyUntil_ = std::max(Now_, To.BusyUntil_) + Milliseconds{To.EventTakes_};
  for (std::size_t Other = 0; Other < Nodes_.size() && isSilent(To); ++Other) {
    if (Other != Index)
      disconnect(Index, Other, SessionSilence);
  }
  at(To.BusyUntil_, [this, Index, Epoch, Event] {
    Node &Then = Nodes_[Index];
    const auto CarryOut = [this, Index, Epoch, Event] {
      Node &Awake = Nodes_[Index];
      if (Awake.IsUp_ && Awake.Epoch_ == Epoch)
        process(Index, Event);
    };
    if (Then.IsFrozen_ && Then.Epoch_ == Epoch)
      Then.Held_.push_back(CarryOut);
    else
      CarryOut();
  });
  return true;
}

void FleetWorld::process(std::size_t Index, FleetEvent Event) {
  Node &To = Nodes_[Index];
  if (std::holds_alternative<FleetTick>(Event))
    To.IsTickQueued_ = false;
  if (const auto *Up = std::get_if<InstanceUp>(&Event)) {
    const auto Other = nodeOf(Up->Info_.Run_);
    if (Other)
      To.SessionTo_[*Other] = To.NewSessions_.front();
    To.NewSessions_.pop_front();
  }
  carryOut(Index, step(*To.State_, std::move(Event), Now_));
}

void FleetWorld::plantInto(FleetActions &Wanted) const {
  if (Options_.Plant_ == FleetPlant::NeverStop)
    std::erase_if(Wanted, [](const FleetAction &One) {
      return std::holds_alternative<StopRun>(One);
    });
  for (FleetAction &One : Wanted) {
    auto *Answer = std::get_if<AnswerJob>(&One);
    if (Options_.Plant_ == FleetPlant::SayNotRun && Answer != nullptr &&
        Answer->Outcome_ == JobOutcome::MayHaveRun)
      Answer->Outcome_ = JobOutcome::NotRun;
  }
}

void FleetWorld::carryOut(std::size_t Index, FleetActions Wanted) {
  plantInto(Wanted);
  for (FleetAction &One : Wanted) {
    if (auto *Tell = std::get_if<SendMessage>(&One)) {
      const auto To = nodeOf(Tell->To_);
      // What is sent over a session that has ended unseen is lost.
      const uint64_t Session = To ? Linked_[std::minmax(Index, *To)] : 0;
      if (Session == 0 || Nodes_[Index].SessionTo_[*To] != Session)
        continue;
      ++Result_.Messages_[Nodes_[Index].Name_];
      ++Result_.Messages_[Nodes_[*To].Name_];
      const bool IsNear = Nodes_[Index].DataCentre_ == Nodes_[*To].DataCentre_;
      after(IsNear ? NearTrip : FarTrip,
            [this, To = *To, Index, Epoch = Nodes_[*To].Epoch_, Session,
             From = Nodes_[Index].Info_.Run_, Message = Tell->Message_] {
              if (Linked_[std::minmax(Index, To)] == Session)
                give(To, Epoch, MessageReceived{From, Message});
            });
    } else if (const auto *Start = std::get_if<StartRun>(&One)) {
      carryOutStart(Index, *Start);
    } else if (const auto *Stop = std::get_if<StopRun>(&One)) {
      carryOutStop(Index, *Stop);
    } else if (const auto *Poll = std::get_if<PollWorker>(&One)) {
      carryOutPoll(Index, *Poll);
    } else if (const auto *Answer = std::get_if<AnswerJob>(&One)) {
      answer(Index, *Answer);
    } else if (const auto *Links = std::get_if<LinkInstances>(&One)) {
      Nodes_[Index].Wanted_ = Links->Addresses_;
      connectWanted(Index);
    } else if (const auto *Line = std::get_if<LogDecision>(&One)) {
      if (!isDeclaredLogLine(*Line))
        violate("unknown log line " + std::string(Line->What_));
    }
  }
}

// --- Orders to workers

void FleetWorld::order(std::size_t Index, const WorkerTarget &To,
                       std::function<void(SimWorker &)> Apply,
                       std::function<void()> Unanswered) {
  SimWorker *Worker = findWorker(To.Id_);
  if (Worker == nullptr || !Worker->IsUp_ || WorkerCut_[{Index, To.Id_}]) {
    after(OrderTimeout, std::move(Unanswered));
    return;
  }
  const auto Reach = [this, Id = To.Id_, Apply = std::move(Apply)] {
    SimWorker *Reached = findWorker(Id);
    if (Reached != nullptr && Reached->IsUp_)
      Apply(*Reached);
  };
  if (chance(Options_.ApplyLate_)) {
    after(between(2'000, Options_.LatestApply_.Count_),
          [this, Reach, Id = To.Id_, Life = Worker->Report_.Incarnation_] {
            const SimWorker &Then = *findWorker(Id);
            IsApplyingLate_ = true;
            IsBeforeAnyPoll_ = Then.Report_.Incarnation_ != Life &&
                               Then.PollsInIncarnation_ < 2;
            Reach();
            IsApplyingLate_ = IsBeforeAnyPoll_ = false;
          });
    after(OrderTimeout, std::move(Unanswered));
    return;
  }
  const bool IsNear = Worker->Report_.DataCentre_ == Nodes_[Index].DataCentre_;
  after(IsNear ? NearTrip : FarTrip, Reach);
}

void FleetWorld::noteStart(SimWorker &Worker, const RunId &Run) {
  ++Result_.Starts_;
  // A late order to an old life that the next life carries out before a holder
  // that knows of that life has spoken to it: nothing that instances do can
  // prevent it. docs/FAULTS.md lists it.
  if (IsBeforeAnyPoll_ && Options_.LeavesOutOrdersBeforeAnyPoll_)
    return;
  const auto Key = std::make_pair(Run.Job_, Run.Task_);
  const auto Before = RunningOn_.find(Key);
  if (Before != RunningOn_.end())
    violate("task " + formatHex(Run.Job_) + '.' + std::to_string(Run.Task_) +
            " started on " + Worker.Report_.Id_ + " while it runs on " +
            Before->second);
  RunningOn_[Key] = Worker.Report_.Id_;
  if (Worker.DrainedAt_ && Now_ > *Worker.DrainedAt_ + DrainBound &&
      !IsApplyingLate_)
    violate("new work on draining worker " + Worker.Report_.Id_);
  Caller &Asking = Callers_.at(Run.Job_);
  Asking.HasStarted_ = true;
  // The users' bounds in time do not hold for orders that a worker carries out
  // late; the holder stops such a run, and checkEnd sees whether it did.
  if (Asking.IsSettled_ && Now_ - Asking.EndedAt_ > Milliseconds{1'500} &&
      !IsApplyingLate_)
    violate("start for job " + formatHex(Run.Job_) + " that nobody wants");
}

void FleetWorld::carryOutStart(std::size_t Index, const StartRun &Start) {
  const uint64_t Epoch = Nodes_[Index].Epoch_;
  const auto Answer = [this, Index, Epoch,
                       Start](OrderResult Result,
                              std::optional<Milliseconds> Clock) {
    give(Index, Epoch,
         StartAnswered{Start.Worker_.Id_, Start.Run_, Result, Clock});
  };
  const OrderResult WhenUnknown =
      Options_.Plant_ == FleetPlant::RestartUnknownStart
          ? OrderResult::NotDelivered
          : OrderResult::Unknown;
  const bool IsLost = chance(Options_.LoseAnswer_);
  order(
      Index, Start.Worker_,
      [this, Start, Answer, IsLost, WhenUnknown](SimWorker &Worker) {
        const Caller &Asking = Callers_.at(Start.Run_.Job_);
        const double Length = Asking.Runs_.at(Start.Run_.Task_) / Worker.Speed_;
        const std::size_t Before = Worker.Runs_.size();
        const OrderResult Result =
            applyStart(Worker, Start,
                       {.Needs_ = Asking.Job_.Needs_,
                        .Length_ = Length,
                        .WillFail_ = chance(Options_.FailRun_)},
                       Now_);
        if (Worker.Runs_.size() > Before)
          noteStart(Worker, Start.Run_);
        if (Result != OrderResult::Accepted)
          ++Result_.RejectedStarts_;
        const Milliseconds Clock = Now_ + Worker.ClockOffset_;
        if (IsLost)
          after(OrderTimeout, [=] { Answer(WhenUnknown, std::nullopt); });
        else
          after(NearTrip, [=] { Answer(Result, Clock); });
      },
      [=] { Answer(WhenUnknown, std::nullopt); });
}

void FleetWorld::carryOutStop(std::size_t Index, const StopRun &Stop) {
  const uint64_t Epoch = Nodes_[Index].Epoch_;
  order(
      Index, Stop.Worker_,
      [this, Index, Epoch, Stop](SimWorker &Worker) {
        const OrderResult Result =
            applyStop(Worker, Stop, Now_, [this](const SimRun &Run) {
              RunningOn_.erase({Run.Id_.Job_, Run.Id_.Task_});
            });
        const Milliseconds Clock = Now_ + Worker.ClockOffset_;
        after(NearTrip, [this, Index, Epoch, Stop, Result, Clock] {
          give(Index, Epoch,
               StopAnswered{Stop.Worker_.Id_, Stop.Run_, Result, Clock});
        });
      },
      [this, Index, Epoch, Stop] {
        give(Index, Epoch,
             StopAnswered{Stop.Worker_.Id_, Stop.Run_, OrderResult::Unknown,
                          std::nullopt});
      });
}

void FleetWorld::carryOutPoll(std::size_t Index, const PollWorker &Poll) {
  const uint64_t Epoch = Nodes_[Index].Epoch_;
  auto IsAnswered = std::make_shared<bool>(false);
  const auto Answer = [this, Index, Epoch, Poll,
                       IsAnswered](PollAnswered Lists) {
    if (*IsAnswered || WorkerCut_[{Index, Poll.Worker_.Id_}])
      return;
    *IsAnswered = true;
    Lists.Worker_ = Poll.Worker_.Id_;
    Lists.Poll_ = Poll.Poll_;
    after(NearTrip, [this, Index, Epoch, Lists = std::move(Lists)] {
      give(Index, Epoch, Lists);
    });
  };
  const auto Fail = [this, Index, Epoch, Poll, IsAnswered] {
    if (*IsAnswered)
      return;
    *IsAnswered = true;
    give(Index, Epoch,
         PollAnswered{.Worker_ = Poll.Worker_.Id_, .Poll_ = Poll.Poll_});
  };
  order(
      Index, Poll.Worker_,
      [this, Poll, Answer](SimWorker &Worker) {
        const OrderResult Result = applyPoll(Worker, Poll, Now_);
        if (Result != OrderResult::Accepted) {
          Answer({.Result_ = Result});
          return;
        }
        // One that is carried out late was sent before.
        Worker.PollsInIncarnation_ += IsApplyingLate_ ? 0 : 1;
        Worker.Polls_.push_back(
            {Poll.AckedThrough_, Now_ + Poll.Wait_, Answer});
      },
      [] {});
  after(Poll.Wait_.Count_ + OrderTimeout, Fail);
}

void FleetWorld::listWorkers() {
  std::vector<WorkerReport> Reports;
  for (const auto &[Id, Worker] : Workers_)
    Reports.push_back(Worker.Report_);
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    const uint64_t Epoch = Nodes_[Index].Epoch_;
    after(between(1, ListEvery), [this, Index, Epoch, Reports] {
      if (isListOutFor(Nodes_[Index].DataCentre_))
        give(Index, Epoch, WorkersReadFailed{});
      else if (Nodes_[Index].Epoch_ == Epoch) {
        Nodes_[Index].KnowsClock_ = true;
        give(Index, Epoch, WorkersRead{Reports});
      }
    });
  }
  after(ListEvery, [this] { listWorkers(); });
}

// --- Callers

static double logNormal(Random &Generator, double Mean, double Sigma) {
  const double A = std::max(1e-12, uniformUnit(Generator));
  const double B = uniformUnit(Generator);
  const double Normal =
      std::sqrt(-2 * std::log(A)) * std::cos(2 * 3.14159265358979 * B);
  return Mean * std::exp(Sigma * Normal - Sigma * Sigma / 2);
}

void FleetWorld::makeLoad() {
  static constexpr double Uneven = 0.15;
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
      Caller Asking;
      Asking.Id_ = Generator_() | 1U;
      Asking.Kind_ = Kind;
      const auto Tasks = static_cast<uint32_t>(
          std::clamp(std::round(logNormal(Generator_, Of.MeanTasks_, 0.4)), 1.0,
                     static_cast<double>(Of.MostTasks_)));
      const double Run =
          std::min(Of.MostRun_, logNormal(Generator_, Of.MeanRun_, 0.4));
      double Longest = 0;
      for (uint32_t Task = 0; Task < Tasks; ++Task) {
        Asking.Runs_.push_back(
            std::max(1.0, logNormal(Generator_, Run, Uneven)));
        Longest = std::max(Longest, Asking.Runs_.back());
        Asking.Work_ += Asking.Runs_.back();
      }
      const double Cores =
          std::clamp(logNormal(Generator_, Of.MeanMilliCores_, 0.2), 1'000.0,
                     Of.MeanMilliCores_ * 1.5);
      Asking.Job_ = {.Id_ = Asking.Id_,
                     .Host_ = "host",
                     .Path_ = "/" + Of.Name_ + "/",
                     .Spec_ = "spec",
                     .Tasks_ = Tasks,
                     .Needs_ = {static_cast<int64_t>(Cores), 64, 0},
                     .Estimate_ = {std::max<int64_t>(
                         1, static_cast<int64_t>(logNormal(
                                Generator_, Run, Options_.EstimateError_)))}};
      Asking.Work_ *= Cores;
      Asking.Objective_ = {
          static_cast<int64_t>(Longest * Stretch + TargetLatency)};
      const int64_t Patience =
          std::max<int64_t>(1'500, Asking.Objective_.Count_ * 3) +
          between(300, 1'300);
      Asking.Job_.CallerTimeout_ = {Patience};
      Asking.FirstAt_ = {static_cast<int64_t>(When)};
      const uint64_t Id = Asking.Id_;
      Callers_[Id] = std::move(Asking);
      at(Callers_[Id].FirstAt_, [this, Id] { send(Id); });
    }
  }
}

void FleetWorld::send(uint64_t Id) {
  Caller &Asking = Callers_.at(Id);
  if (Asking.IsSettled_)
    return;
  ++Asking.Attempts_;
  // It may leave at the end of its patience, and has then asked again by this.
  Asking.DueAt_ = Now_ + Asking.Job_.CallerTimeout_ +
                  Milliseconds{LeaveAfter + ResendAfter + ClientTrip};
  std::vector<std::size_t> Ready;
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    if (Nodes_[Index].IsUp_ && Nodes_[Index].State_ &&
        isReady(*Nodes_[Index].State_))
      Ready.push_back(Index);
  }
  if (Ready.empty()) {
    sendAgain(Asking);
    return;
  }
  const std::size_t To = Ready[uniformBelow(Generator_, Ready.size())];
  const uint64_t Epoch = Nodes_[To].Epoch_;
  const uint64_t Token = NextToken_++;
  JobSubmission Job = Asking.Job_;
  Job.Token_ = Token;
  after(ClientTrip, [this, To, Epoch, Token, Id, Job] {
    if (!Nodes_[To].IsUp_ || Nodes_[To].Epoch_ != Epoch) {
      sendAgain(Callers_.at(Id));
      return;
    }
    Nodes_[To].Requests_[Token] = Id;
    give(To, Epoch, Job);
  });
  const auto Leave = [this, To, Epoch, Token, Id](bool IsAgain) {
    if (Nodes_[To].Epoch_ != Epoch || Nodes_[To].Requests_.erase(Token) == 0)
      return;
    give(To, Epoch, JobAbandoned{Token});
    Caller &Leaving = Callers_.at(Id);
    Leaving.HasLeft_ = !IsAgain;
    if (IsAgain)
      sendAgain(Leaving);
    else
      settle(Leaving, JobOutcome::Cancelled);
  };
  const Milliseconds Patience = Asking.Job_.CallerTimeout_;
  after(Patience.Count_ + LeaveAfter, [Leave] { Leave(true); });
  if (chance(Options_.LeaveEarly_))
    after(between(20, Patience.Count_), [Leave] { Leave(false); });
}

void FleetWorld::sendAgain(Caller &Asking) {
  if (Asking.IsSettled_)
    return;
  if (Asking.Attempts_ >= MaxCallerAttempts) {
    settle(Asking, JobOutcome::MayHaveRun);
    return;
  }
  after(ResendAfter, [this, Id = Asking.Id_] { send(Id); });
}

void FleetWorld::loseRequests(std::size_t Index) {
  std::map<uint64_t, uint64_t> Lost = std::move(Nodes_[Index].Requests_);
  Nodes_[Index].Requests_.clear();
  for (const auto &[Token, Id] : Lost)
    sendAgain(Callers_.at(Id));
}

void FleetWorld::answer(std::size_t Index, const AnswerJob &Answer) {
  const auto Found = Nodes_[Index].Requests_.find(Answer.Token_);
  if (Found == Nodes_[Index].Requests_.end())
    return;
  Caller &Asking = Callers_.at(Found->second);
  Nodes_[Index].Requests_.erase(Found);
  if (Answer.Outcome_ == JobOutcome::NotRun)
    ++Asking.Rejected_;
  if (Answer.Outcome_ == JobOutcome::MayHaveRun)
    sendAgain(Asking);
  else
    settle(Asking, Answer.Outcome_);
}

void FleetWorld::settle(Caller &Asking, JobOutcome Outcome) {
  if (Asking.IsSettled_)
    return;
  Asking.IsSettled_ = true;
  Asking.EndedAt_ = Now_;
  const LoadKind &Kind = Options_.Kinds_[Asking.Kind_];
  KindResult &Into = Result_.Kinds_[Kind.Name_];
  const double Mean = Kind.MeanTasks_ * Kind.MeanRun_ * Kind.MeanMilliCores_;
  const double Worth =
      Kind.Worth_ * std::min(4.0, 0.3 + 0.7 * Asking.Work_ / Mean);
  const Milliseconds Took = Now_ - Asking.FirstAt_ + Milliseconds{ClientTrip};
  if (Asking.HasLeft_)
    return;
  ++Into.Asked_;
  Into.WorthAsked_ += Worth;
  if (Outcome == JobOutcome::NotRun) {
    ++Into.Refused_;
  } else if (Outcome != JobOutcome::Completed || Took > Asking.Objective_ * 3) {
    ++Into.Unserved_;
  } else if (Took <= Asking.Objective_) {
    ++Into.InTime_;
    Into.WorthEarned_ += Worth;
  } else {
    ++Into.Late_;
    Into.WorthEarned_ += LateShare * Worth;
  }
}

// --- Faults

Milliseconds FleetWorld::duringLoad() {
  return {
      between(Options_.LoadFrom_.Count_, Options_.LoadUntil_.Count_ + 1'000)};
}
std::size_t FleetWorld::anyNode() {
  return uniformBelow(Generator_, Nodes_.size());
}
std::string FleetWorld::anyWorker() {
  return std::next(Workers_.begin(), static_cast<std::ptrdiff_t>(uniformBelow(
                                         Generator_, Workers_.size())))
      ->first;
}
bool FleetWorld::isListOutFor(const std::string &DataCentre) const {
  const auto Cut = ZoneCut_.find(DataCentre);
  return IsListOut_ || (Cut != ZoneCut_.end() && Cut->second > 0);
}

void FleetWorld::makeFaults() {
  for (uint32_t Count = 0; Count < Options_.Kills_; ++Count)
    at(duringLoad(), [this, Index = anyNode()] { endNode(Index, false); });
  for (uint32_t Count = 0; Count < Options_.PowerLosses_; ++Count)
    at(duringLoad(), [this, Index = anyNode()] { endNode(Index, true); });
  for (uint32_t Count = 0; Count < Options_.Stops_; ++Count)
    at(duringLoad(), [this, Index = anyNode()] { stopNode(Index); });
  for (uint32_t Count = 0; Count < Options_.Freezes_; ++Count)
    at(duringLoad(), [this, Index = anyNode(), Length = between(100, 4'000)] {
      freezeNode(Index, Length);
    });
  makeCuts();
  makeWorkerFaults();
  for (uint32_t Count = 0; Count < Options_.ListOutages_; ++Count)
    at(duringLoad(), [this, Length = between(500, 4'000)] {
      IsListOut_ = true;
      pauseDrains({});
      after(Length, [this] {
        IsListOut_ = false;
        resumeDrains({});
      });
    });
  makeLateFaults();
}

// Drawn after the others, so that worlds without these stay as they were.
void FleetWorld::makeLateFaults() {
  for (uint32_t Count = 0; Count < Options_.ZoneCuts_; ++Count)
    at(duringLoad(), [this, Index = anyNode(), Length = between(700, 6'000)] {
      cutZone(Nodes_[Index].DataCentre_, Length);
    });
  for (uint32_t Count = 0; Count < Options_.Slowdowns_; ++Count)
    at(duringLoad(), [this, Index = anyNode(), Takes = between(1, 3),
                      Length = between(500, 4'000)] {
      Node &Slow = Nodes_[Index];
      if (!Slow.IsUp_)
        return;
      Slow.EventTakes_ = Takes;
      after(Length, [this, Index, Epoch = Slow.Epoch_] {
        if (Nodes_[Index].Epoch_ == Epoch)
          Nodes_[Index].EventTakes_ = 0;
      });
    });
  for (uint32_t Count = 0; Count < Options_.ClockLags_; ++Count)
    at(duringLoad(), [this, Index = anyNode(), By = between(0, 800),
                      Length = between(500, 5'000)] {
      Nodes_[Index].ClockLag_ = {By};
      after(Length, [this, Index] { Nodes_[Index].ClockLag_ = {0}; });
    });
}

void FleetWorld::freezeNode(std::size_t Index, int64_t Length) {
  Node &Hit = Nodes_[Index];
  if (!Hit.IsUp_ || Hit.IsFrozen_)
    return;
  Hit.IsFrozen_ = true;
  for (std::size_t Other = 0; Other < Nodes_.size() && Length > SessionSilence;
       ++Other) {
    if (Other != Index)
      disconnect(Index, Other, SessionSilence);
  }
  after(Length, [this, Index, Epoch = Hit.Epoch_] {
    Node &Waking = Nodes_[Index];
    if (Waking.Epoch_ != Epoch)
      return;
    Waking.IsFrozen_ = false;
    const auto Held = std::move(Waking.Held_);
    Waking.Held_.clear();
    for (const auto &Call : Held)
      Call();
    for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
      if (Other != Index)
        after(between(50, 300),
              [this, Index, Other] { connect(Index, Other); });
    }
  });
}

void FleetWorld::setCut(std::size_t A, std::size_t B, int64_t Length) {
  if (A == B)
    return;
  ++Cut_[std::minmax(A, B)];
  disconnect(A, B, SessionSilence);
  after(Length, [this, A, B] {
    --Cut_[std::minmax(A, B)];
    connect(A, B);
  });
}

// Callers still reach its instances; the platform's list does not.
void FleetWorld::cutZone(const std::string &DataCentre, int64_t Length) {
  for (std::size_t A = 0; A < Nodes_.size(); ++A) {
    const bool IsInside = Nodes_[A].DataCentre_ == DataCentre;
    for (std::size_t B = A + 1; B < Nodes_.size(); ++B) {
      if (IsInside != (Nodes_[B].DataCentre_ == DataCentre))
        setCut(A, B, Length);
    }
    for (const auto &[Id, Worker] : Workers_) {
      if (IsInside != (Worker.Report_.DataCentre_ == DataCentre))
        cutWorker(A, Id, Length);
    }
  }
  ++ZoneCut_[DataCentre];
  pauseDrains(DataCentre);
  after(Length, [this, DataCentre] {
    --ZoneCut_[DataCentre];
    resumeDrains(DataCentre);
  });
}

void FleetWorld::cutWorker(std::size_t Index, const std::string &Id,
                           int64_t Length) {
  ++WorkerCut_[{Index, Id}];
  after(Length, [this, Index, Id] { --WorkerCut_[{Index, Id}]; });
}

// Nobody has to know of a drain that the list cannot have or cannot tell.
void FleetWorld::pauseDrains(const std::string &DataCentre) {
  for (auto &[Id, Worker] : Workers_) {
    if (DataCentre.empty() || Worker.Report_.DataCentre_ == DataCentre)
      Worker.DrainedAt_.reset();
  }
}

void FleetWorld::resumeDrains(const std::string &DataCentre) {
  for (auto &[Id, Worker] : Workers_) {
    const bool IsMeant =
        DataCentre.empty() || Worker.Report_.DataCentre_ == DataCentre;
    if (IsMeant && Worker.Report_.IsDraining_ &&
        !isListOutFor(Worker.Report_.DataCentre_))
      Worker.DrainedAt_ = Now_ + Milliseconds{2 * ListEvery};
  }
}

void FleetWorld::makeCuts() {
  for (uint32_t Count = 0; Count < Options_.Cuts_; ++Count)
    at(duringLoad(), [this, A = anyNode(), B = anyNode(),
                      Length = between(700, 4'000)] { setCut(A, B, Length); });
  for (uint32_t Count = 0; Count < Options_.WorkerCuts_; ++Count)
    at(duringLoad(),
       [this, Index = anyNode(), Id = anyWorker(),
        Length = between(200, 5'000)] { cutWorker(Index, Id, Length); });
}

void FleetWorld::makeWorkerFaults() {
  for (uint32_t Count = 0; Count < Options_.WorkerCrashes_; ++Count)
    at(duringLoad(), [this, Id = anyWorker(), Length = between(200, 4'000)] {
      SimWorker &Worker = *findWorker(Id);
      if (!Worker.IsUp_)
        return;
      for (const SimRun &Run : Worker.Runs_)
        RunningOn_.erase({Run.Id_.Job_, Run.Id_.Task_});
      Worker.IsUp_ = false;
      Worker.Polls_.clear();
      after(Length, [this, Id] { restart(*findWorker(Id), Now_); });
    });
  for (uint32_t Count = 0; Count < Options_.Drains_; ++Count)
    at(duringLoad(), [this, Id = anyWorker()] {
      SimWorker &Worker = *findWorker(Id);
      if (Options_.Plant_ != FleetPlant::IgnoreDrains)
        Worker.Report_.IsDraining_ = true;
      // The list's own delay comes before this.
      after(ListEvery, [this, Id] {
        SimWorker &Draining = *findWorker(Id);
        if (!Draining.DrainedAt_ && !isListOutFor(Draining.Report_.DataCentre_))
          Draining.DrainedAt_ = Now_;
      });
    });
}

bool FleetWorld::mayStillRun(uint64_t Job) const {
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

void FleetWorld::checkEnd() {
  for (const auto &[Id, Asking] : Callers_) {
    // A caller whose time is not over yet may still be served; the last of a
    // kind may ask after the end.
    const bool IsOpen =
        !Asking.IsSettled_ && (Asking.DueAt_ >= Now_ || Asking.Attempts_ == 0);
    if (!Asking.IsSettled_ && !IsOpen)
      violate("job " + formatHex(Id) + " has no answer");
    if (Asking.HasStarted_ && Asking.Rejected_ > 0 &&
        Asking.Rejected_ == Asking.Attempts_)
      violate("job " + formatHex(Id) + " was refused as not run and has run");
  }
  for (const auto &[Id, Worker] : Workers_) {
    for (const SimRun &Run : Worker.Runs_) {
      const Caller &Asking = Callers_.at(Run.Id_.Job_);
      // A late order may have started it since; it ends with its lease.
      const Milliseconds Since = std::max(Asking.EndedAt_, Run.StartedAt_);
      if (Asking.IsSettled_ && Now_ - Since > Milliseconds{2'000})
        violate("worker " + Id + " still runs a task of job " +
                formatHex(Run.Id_.Job_) + " that nobody wants");
    }
  }
  for (const Node &One : Nodes_) {
    if (!One.IsUp_ || !One.State_)
      continue;
    for (const auto &[Number, Job] : One.State_->Jobs_) {
      const Caller &Asking = Callers_.at(Job.Submission_.Id_);
      // A start without an answer is kept for as long as it may be carried out,
      // and a run that another holder may have renewed for a lease.
      if (Asking.IsSettled_ && Now_ - Asking.EndedAt_ > Milliseconds{2'000} &&
          !mayStillRun(Asking.Id_))
        violate("instance " + One.Name_ + " still has job " +
                formatHex(Asking.Id_));
    }
  }
}

FleetWorldResult FleetWorld::run() {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    after(between(0, 300), [this, Index] { startNode(Index); });
  listWorkers();
  makeLoad();
  makeFaults();
  const std::function<void(const SimRun &, RunEnd)> NoteEnd =
      [this](const SimRun &Run, RunEnd) {
        RunningOn_.erase({Run.Id_.Job_, Run.Id_.Task_});
      };
  while (!Queue_.empty() && Queue_.front().At_ <= Options_.Length_) {
    std::pop_heap(Queue_.begin(), Queue_.end(), Later{});
    const Entry Next = std::move(Queue_.back());
    Queue_.pop_back();
    // Workers go on by themselves between two events.
    while (Now_ < Next.At_) {
      Now_ = Now_ + Milliseconds{1};
      for (auto &[Id, Worker] : Workers_)
        test::settle(Worker, Now_, NoteEnd);
    }
    Next.Call_();
  }
  checkEnd();
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
