#include "InstanceSimulation.h"

#include <algorithm>
#include <marjorambend/Configuration>

namespace marjorambend::test {

static constexpr Milliseconds WallStart{1'796'000'000'000};
static constexpr Milliseconds TickInterval{10};
static constexpr Milliseconds LinkInterval{300};
// Gives new instances time to learn the catalogue and the drains.
static constexpr Milliseconds WarmUpTime{2'000};
static constexpr double UnreadySubmitProbability = 0.2;
static constexpr std::string_view TestCatalogue =
    R"({"teams":[{"name":"team"}],)"
    R"("kinds":[{"name":"kind","owner":"team","urgency":0,)"
    R"("declared_run_ms":60,"max_run_ms":1500}]})";

InstanceSimulationOptions noFaults(uint64_t Seed) {
  return {.Seed_ = Seed,
          .Kills_ = 0,
          .Pauses_ = 0,
          .Partitions_ = 0,
          .StorePartitions_ = 0,
          .StoreOutages_ = 0,
          .LoseMessage_ = 0,
          .DuplicateMessage_ = 0,
          .LoseStoreRequest_ = 0,
          .LoseStoreAnswer_ = 0,
          .RefuseTask_ = 0,
          .LoseTaskAnswer_ = 0,
          .FailTask_ = 0,
          .StaleRead_ = 0,
          .DelaySend_ = 0};
}

InstanceSimulation::InstanceSimulation(InstanceSimulationOptions Options)
    : Options_(Options), Generator_(Options.Seed_) {
  Rows_[std::string(CatalogueKey)] = {
      .Version_ = 1, .Value_ = packCatalogue(7, TestCatalogue)};
  const char *Centres[] = {"a", "a", "b"};
  for (std::size_t Index = 0; Index < 3; ++Index)
    Nodes_.push_back({.Name_ = "i" + std::to_string(Index),
                      .DataCentre_ = Centres[Index],
                      .Seed_ = Generator_()});
}

InstanceSimulationReport InstanceSimulation::run() {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    startNode(Index);
  establishLinks();
  scheduleJobs();
  scheduleFaults();
  scheduleOperators();
  while (!Queue_.empty() &&
         Queue_.top().At_ <= WarmUpTime + Options_.Duration_) {
    const ScheduledCall Next = Queue_.top();
    Queue_.pop();
    Now_ = Next.At_;
    Next.Call_();
  }
  checkUnanswered();
  return Report_;
}

void InstanceSimulation::at(Milliseconds When, std::function<void()> Call) {
  Queue_.push({When, NextOrder_++, std::move(Call)});
}

void InstanceSimulation::after(Milliseconds Delay, std::function<void()> Call) {
  at(Now_ + Delay, std::move(Call));
}

bool InstanceSimulation::chance(double Share) {
  return uniformUnit(Generator_) < Share;
}

Milliseconds InstanceSimulation::randomBetween(int64_t Min, int64_t Max) {
  return {Min + static_cast<int64_t>(uniformBelow(Generator_, Max - Min + 1))};
}

void InstanceSimulation::startNode(std::size_t Index) {
  Node &New = Nodes_[Index];
  if (Options_.InjectedBug_ != InjectedBug::ReuseIncarnation)
    New.Seed_ += 1;
  ++New.Generation_;
  New.IsAlive_ = true;
  New.StartedAt_ = Now_;
  New.Backlog_.clear();
  New.Batches_.clear();
  New.PreviousResult_.reset();
  New.PausedUntil_ = {};
  New.State_ = makeInstance({.Name_ = New.Name_,
                             .DataCentre_ = New.DataCentre_,
                             .MaxRecords_ = Options_.MaxRecords_},
                            New.Seed_);
  std::vector<WorkerSpec> Listed;
  for (const char *Centre : {"a", "b"}) {
    for (const char *Name : {"w0", "w1"})
      Listed.push_back({.Name_ = std::string(Centre) + Name,
                        .DataCentre_ = Centre,
                        .Slots_ = 3,
                        .Connections_ = 8});
  }
  tick(Index, New.Generation_);
  deliver(Index, New.Generation_, WorkersListed{Listed});
}

void InstanceSimulation::tick(std::size_t Index, uint64_t Generation) {
  if (Nodes_[Index].Generation_ != Generation)
    return;
  const Milliseconds Skew{static_cast<int64_t>(Index) * 700 - 700};
  deliver(Index, Generation, Tick{WallStart + Now_ + Skew});
  after(TickInterval, [this, Index, Generation] { tick(Index, Generation); });
}

void InstanceSimulation::deliver(std::size_t Index, uint64_t Generation,
                                 Event NewEvent) {
  Node &To = Nodes_[Index];
  if (!To.IsAlive_ || To.Generation_ != Generation)
    return;
  const bool IsTick = std::holds_alternative<Tick>(NewEvent);
  if (Now_ < To.PausedUntil_) {
    if (!IsTick)
      To.Backlog_.push_back(std::move(NewEvent));
    return;
  }
  handle(Index, std::move(NewEvent));
}

void InstanceSimulation::handle(std::size_t Index, Event NewEvent) {
  injectIntoEvent(Index, NewEvent);
  const uint64_t Before = Nodes_[Index].State_.Config_.Version_;
  for (const Action &Requested :
       step(Nodes_[Index].State_, std::move(NewEvent), Now_))
    perform(Index, Requested);
  checkVersion(Index, Before);
  recordDrains(Nodes_[Index]);
}

void InstanceSimulation::resume(std::size_t Index, uint64_t Generation) {
  Node &Resumed = Nodes_[Index];
  while (Resumed.Generation_ == Generation && !Resumed.Backlog_.empty()) {
    Event Next = std::move(Resumed.Backlog_.front());
    Resumed.Backlog_.pop_front();
    handle(Index, std::move(Next));
  }
}

void InstanceSimulation::kill(std::size_t Index) {
  Node &Killed = Nodes_[Index];
  const Incarnation Run = Killed.State_.Self_;
  Killed.IsAlive_ = false;
  ++Killed.Generation_;
  dropLostDrains(Run);
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
    if (Links_.erase({Other, Run}) == 0 || Other == Index)
      continue;
    const uint64_t Generation = Nodes_[Other].Generation_;
    if (!isPartitioned(Index, Other))
      after(randomBetween(1, 60), [this, Other, Generation, Run] {
        deliver(Other, Generation, PeerDisconnected{Run});
      });
  }
  std::erase_if(Links_, [&](const auto &Link) { return Link.first == Index; });
  after(randomBetween(100, 900), [this, Index] { startNode(Index); });
}

void InstanceSimulation::pause(std::size_t Index, Milliseconds Time) {
  Node &Paused = Nodes_[Index];
  Paused.PausedUntil_ = Now_ + Time;
  const uint64_t Generation = Paused.Generation_;
  after(Time, [this, Index, Generation] { resume(Index, Generation); });
}

bool InstanceSimulation::isPartitioned(std::size_t A, std::size_t B) const {
  const auto Found = PartitionedUntil_.find(std::minmax(A, B));
  return Found != PartitionedUntil_.end() && Now_ < Found->second;
}

std::optional<std::size_t> InstanceSimulation::findNode(Incarnation Run) const {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    if (Nodes_[Index].IsAlive_ && Nodes_[Index].State_.Self_ == Run)
      return Index;
  }
  return std::nullopt;
}

void InstanceSimulation::establishLinks() {
  for (std::size_t A = 0; A < Nodes_.size(); ++A) {
    for (std::size_t B = 0; B < Nodes_.size(); ++B) {
      const Node &To = Nodes_[B];
      const bool CanLink =
          A != B && Nodes_[A].IsAlive_ && To.IsAlive_ && !isPartitioned(A, B);
      if (!CanLink || !Links_.insert({A, To.State_.Self_}).second)
        continue;
      deliver(A, Nodes_[A].Generation_,
              PeerConnected{To.State_.Self_, To.Name_, To.DataCentre_});
    }
  }
  after(LinkInterval, [this] { establishLinks(); });
}

void InstanceSimulation::scheduleFaults() {
  const int64_t Last =
      WarmUpTime.Count_ + Options_.ArrivalPeriod_.Count_ + 1'500;
  for (uint32_t Fault = 0; Fault < Options_.Kills_; ++Fault)
    at(randomBetween(WarmUpTime.Count_, Last), [this] {
      const std::size_t Index = uniformBelow(Generator_, Nodes_.size());
      if (Nodes_[Index].IsAlive_)
        kill(Index);
    });
  for (uint32_t Fault = 0; Fault < Options_.Pauses_; ++Fault)
    at(randomBetween(WarmUpTime.Count_, Last), [this] {
      pause(uniformBelow(Generator_, Nodes_.size()), randomBetween(50, 2'500));
    });
  for (uint32_t Fault = 0; Fault < Options_.Partitions_; ++Fault)
    at(randomBetween(WarmUpTime.Count_, Last), [this] {
      const std::size_t A = uniformBelow(Generator_, Nodes_.size());
      const std::size_t B = (A + 1) % Nodes_.size();
      PartitionedUntil_[std::minmax(A, B)] = Now_ + randomBetween(200, 4'000);
    });
  for (uint32_t Fault = 0; Fault < Options_.StorePartitions_; ++Fault)
    at(randomBetween(WarmUpTime.Count_, Last), [this] {
      Nodes_[uniformBelow(Generator_, Nodes_.size())].StorePartitionedUntil_ =
          Now_ + randomBetween(300, 3'000);
    });
  for (uint32_t Fault = 0; Fault < Options_.StoreOutages_; ++Fault)
    at(randomBetween(WarmUpTime.Count_, Last), [this] {
      OutageUntil_ = Now_ + randomBetween(300, Options_.MaxOutage_.Count_);
    });
}

void InstanceSimulation::scheduleJobs() {
  for (uint32_t Job = 0; Job < Options_.Jobs_; ++Job) {
    at(WarmUpTime + randomBetween(100, Options_.ArrivalPeriod_.Count_), [this] {
      JobRequest Request{.Team_ = "team",
                         .Kind_ = "kind",
                         .Timeout_ = randomBetween(500, 3'000)};
      const std::size_t Reserver = uniformBelow(Generator_, Nodes_.size());
      Request.Id_ = makeJobId(WallStart + Now_, Generator_);
      const bool CanReserve =
          Nodes_[Reserver].IsAlive_ && !Nodes_[Reserver].State_.IsStopping_;
      if (CanReserve && chance(0.4))
        Request.Id_ = reserveJobIds(Nodes_[Reserver].State_, 1).front();
      const auto Tasks = static_cast<uint32_t>(randomBetween(1, 4).Count_);
      for (uint32_t Task = 0; Task < Tasks; ++Task)
        Request.Tasks_.push_back("task " + std::to_string(Task));
      const auto Copies = randomBetween(1, 4).Count_;
      for (int64_t Copy = 0; Copy < Copies; ++Copy) {
        const Milliseconds Delay =
            Copy == 0 ? Milliseconds{}
                      : randomBetween(0, chance(0.5) ? 30 : 2'000);
        after(Delay, [this, Request] {
          submit(Request, uniformBelow(Generator_, Nodes_.size()));
        });
      }
    });
  }
}

void InstanceSimulation::submit(JobRequest Request, std::size_t Index) {
  // The load balancer skips instances that are down or stopping.
  if (!Nodes_[Index].IsAlive_ || Nodes_[Index].State_.IsStopping_)
    return;
  if (!isReady(Nodes_[Index].State_) && !chance(UnreadySubmitProbability)) {
    after(Milliseconds{50}, [this, Request = std::move(Request)] {
      submit(Request, uniformBelow(Generator_, Nodes_.size()));
    });
    return;
  }
  const uint64_t Token = NextToken_++;
  const uint64_t Generation = Nodes_[Index].Generation_;
  Submissions_[Token] = {.Request_ = Request,
                         .Node_ = Index,
                         .Generation_ = Generation,
                         .At_ = Now_};
  ++Report_.Submissions_;
  deliver(Index, Generation,
          JobSubmitted{.Token_ = Token, .Request_ = std::move(Request)});
}

static std::string expectedResult(const JobId &Id, uint32_t Task) {
  return formatJobId(Id) + '/' + std::to_string(Task);
}

static bool isCorrectAnswer(const Answer &Reply, const JobRequest &Request) {
  if (Reply.Results_.size() != Request.Tasks_.size())
    return false;
  for (uint32_t Task = 0; Task < Reply.Results_.size(); ++Task) {
    if (Reply.Results_[Task] != expectedResult(Request.Id_, Task))
      return false;
  }
  return true;
}

void InstanceSimulation::checkAnswer(std::size_t Index,
                                     const AnswerCaller &Reply) {
  const auto Found = Submissions_.find(Reply.Token_);
  if (Found == Submissions_.end() || Found->second.Node_ != Index) {
    reportViolation("an answer without a submission");
    return;
  }
  Submission &Submitted = Found->second;
  const Answer &Actual = *Reply.Answer_;
  ++Submitted.Answers_;
  if (Submitted.Answers_ > 1)
    reportViolation("two answers to one submission");
  if (Actual.Id_ != Submitted.Request_.Id_)
    reportViolation("the answer of another job");
  switch (Actual.Outcome_) {
  case Outcome::Complete:
    ++Report_.Complete_;
    if (!isCorrectAnswer(Actual, Submitted.Request_))
      reportViolation("a complete answer with missing or wrong results");
    return;
  case Outcome::NotRun:
    ++Report_.NotRun_;
    if (Started_.count(Actual.Id_) > 0 || PendingSends_[Actual.Id_] > 0)
      reportViolation("refused as not run (" +
                      std::string(reasonName(Actual.Reason_)) +
                      "), but it ran");
    return;
  case Outcome::MayHaveRun:
    ++Report_.MayHaveRun_;
    return;
  }
}

void InstanceSimulation::checkUnanswered() {
  for (const auto &[Token, Submitted] : Submissions_) {
    if (Submitted.Answers_ > 0)
      continue;
    const Node &At = Nodes_[Submitted.Node_];
    if (At.Generation_ != Submitted.Generation_)
      ++Report_.Unanswered_;
    else
      reportViolation("a submission without answer");
  }
}

void InstanceSimulation::reportViolation(const std::string &What) {
  Report_.Violations_.push_back("at " + std::to_string(Now_.Count_) +
                                " ms: " + What);
}

} // namespace marjorambend::test
