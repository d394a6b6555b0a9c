#include "InstanceSimulation.h"

#include <algorithm>
#include <marjorambend/Configuration>

namespace marjorambend::test {

static constexpr Milliseconds WallStart{1'796'000'000'000};
static constexpr Milliseconds TickInterval{10};
static constexpr Milliseconds LinkInterval{300};
// Time in which new instances learn catalogue and drains.
static constexpr Milliseconds WarmUp{2'000};
static constexpr double SendToUnready = 0.2;
static constexpr std::string_view TestCatalogue =
    R"({"teams":[{"name":"team"}],)"
    R"("kinds":[{"name":"kind","owner":"team","urgency":0,)"
    R"("declared_run_ms":60,"max_run_ms":1500}]})";

WorldOptions calmWorld(uint64_t Seed) {
  return {.Seed_ = Seed,
          .Kills_ = 0,
          .Pauses_ = 0,
          .Cuts_ = 0,
          .StoreCuts_ = 0,
          .Outages_ = 0,
          .LoseMessage_ = 0,
          .DoubleMessage_ = 0,
          .LoseStoreRequest_ = 0,
          .LoseStoreAnswer_ = 0,
          .RefuseTask_ = 0,
          .LoseTaskAnswer_ = 0,
          .FailTask_ = 0,
          .StaleRead_ = 0,
          .DelaySend_ = 0};
}

World::World(WorldOptions Options) : Options_(Options), Chance_(Options.Seed_) {
  Rows_[std::string(CatalogueKey)] = {
      .Version_ = 1, .Value_ = packCatalogue(7, TestCatalogue)};
  const char *Centres[] = {"a", "a", "b"};
  for (std::size_t Index = 0; Index < 3; ++Index)
    Nodes_.push_back({.Name_ = "i" + std::to_string(Index),
                      .DataCentre_ = Centres[Index],
                      .Seed_ = Chance_()});
}

WorldReport World::run() {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
    startNode(Index);
  checkLinks();
  scheduleJobs();
  scheduleFaults();
  scheduleOperators();
  while (!Agenda_.empty() && Agenda_.top().At_ <= WarmUp + Options_.Length_) {
    const Entry Next = Agenda_.top();
    Agenda_.pop();
    Now_ = Next.At_;
    Next.Call_();
  }
  checkUnanswered();
  return Report_;
}

void World::at(Milliseconds When, std::function<void()> Call) {
  Agenda_.push({When, NextOrder_++, std::move(Call)});
}

void World::after(Milliseconds Delay, std::function<void()> Call) {
  at(Now_ + Delay, std::move(Call));
}

bool World::chance(double Share) { return uniformUnit(Chance_) < Share; }

Milliseconds World::between(int64_t Least, int64_t Most) {
  return {Least +
          static_cast<int64_t>(uniformBelow(Chance_, Most - Least + 1))};
}

void World::startNode(std::size_t Index) {
  Node &New = Nodes_[Index];
  if (Options_.Plant_ != Plant::ReuseIncarnation)
    New.Seed_ += 1;
  ++New.Generation_;
  New.IsAlive_ = true;
  New.StartedAt_ = Now_;
  New.Backlog_.clear();
  New.Batches_.clear();
  New.Held_.reset();
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

void World::tick(std::size_t Index, uint64_t Generation) {
  if (Nodes_[Index].Generation_ != Generation)
    return;
  const Milliseconds Skew{static_cast<int64_t>(Index) * 700 - 700};
  deliver(Index, Generation, Tick{WallStart + Now_ + Skew});
  after(TickInterval, [this, Index, Generation] { tick(Index, Generation); });
}

void World::deliver(std::size_t Index, uint64_t Generation, Event Happened) {
  Node &To = Nodes_[Index];
  if (!To.IsAlive_ || To.Generation_ != Generation)
    return;
  const bool IsTick = std::holds_alternative<Tick>(Happened);
  if (Now_ < To.PausedUntil_) {
    if (!IsTick)
      To.Backlog_.push_back(std::move(Happened));
    return;
  }
  handle(Index, std::move(Happened));
}

void World::handle(std::size_t Index, Event Happened) {
  plantEvent(Index, Happened);
  const uint64_t Before = Nodes_[Index].State_.Config_.Version_;
  for (const Action &Wanted :
       step(Nodes_[Index].State_, std::move(Happened), Now_))
    perform(Index, Wanted);
  checkVersion(Index, Before);
  noteDrains(Nodes_[Index]);
}

void World::resume(std::size_t Index, uint64_t Generation) {
  Node &Woken = Nodes_[Index];
  while (Woken.Generation_ == Generation && !Woken.Backlog_.empty()) {
    Event Next = std::move(Woken.Backlog_.front());
    Woken.Backlog_.pop_front();
    handle(Index, std::move(Next));
  }
}

void World::kill(std::size_t Index) {
  Node &Dead = Nodes_[Index];
  const Incarnation Run = Dead.State_.Self_;
  Dead.IsAlive_ = false;
  ++Dead.Generation_;
  loseDrains(Run);
  for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
    if (Linked_.erase({Other, Run}) == 0 || Other == Index)
      continue;
    const uint64_t Generation = Nodes_[Other].Generation_;
    if (!isCut(Index, Other))
      after(between(1, 60), [this, Other, Generation, Run] {
        deliver(Other, Generation, PeerDisconnected{Run});
      });
  }
  std::erase_if(Linked_, [&](const auto &Link) { return Link.first == Index; });
  after(between(100, 900), [this, Index] { startNode(Index); });
}

void World::pause(std::size_t Index, Milliseconds Time) {
  Node &Paused = Nodes_[Index];
  Paused.PausedUntil_ = Now_ + Time;
  const uint64_t Generation = Paused.Generation_;
  after(Time, [this, Index, Generation] { resume(Index, Generation); });
}

bool World::isCut(std::size_t A, std::size_t B) const {
  const auto Found = CutUntil_.find(std::minmax(A, B));
  return Found != CutUntil_.end() && Now_ < Found->second;
}

std::optional<std::size_t> World::nodeOf(Incarnation Run) const {
  for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
    if (Nodes_[Index].IsAlive_ && Nodes_[Index].State_.Self_ == Run)
      return Index;
  }
  return std::nullopt;
}

void World::checkLinks() {
  for (std::size_t A = 0; A < Nodes_.size(); ++A) {
    for (std::size_t B = 0; B < Nodes_.size(); ++B) {
      const Node &To = Nodes_[B];
      const bool CanLink =
          A != B && Nodes_[A].IsAlive_ && To.IsAlive_ && !isCut(A, B);
      if (!CanLink || !Linked_.insert({A, To.State_.Self_}).second)
        continue;
      deliver(A, Nodes_[A].Generation_,
              PeerConnected{To.State_.Self_, To.Name_, To.DataCentre_});
    }
  }
  after(LinkInterval, [this] { checkLinks(); });
}

void World::scheduleFaults() {
  const int64_t Last = WarmUp.Count_ + Options_.Arrivals_.Count_ + 1'500;
  for (uint32_t Fault = 0; Fault < Options_.Kills_; ++Fault)
    at(between(WarmUp.Count_, Last), [this] {
      const std::size_t Index = uniformBelow(Chance_, Nodes_.size());
      if (Nodes_[Index].IsAlive_)
        kill(Index);
    });
  for (uint32_t Fault = 0; Fault < Options_.Pauses_; ++Fault)
    at(between(WarmUp.Count_, Last), [this] {
      pause(uniformBelow(Chance_, Nodes_.size()), between(50, 2'500));
    });
  for (uint32_t Fault = 0; Fault < Options_.Cuts_; ++Fault)
    at(between(WarmUp.Count_, Last), [this] {
      const std::size_t A = uniformBelow(Chance_, Nodes_.size());
      const std::size_t B = (A + 1) % Nodes_.size();
      CutUntil_[std::minmax(A, B)] = Now_ + between(200, 4'000);
    });
  for (uint32_t Fault = 0; Fault < Options_.StoreCuts_; ++Fault)
    at(between(WarmUp.Count_, Last), [this] {
      Nodes_[uniformBelow(Chance_, Nodes_.size())].StoreCutUntil_ =
          Now_ + between(300, 3'000);
    });
  for (uint32_t Fault = 0; Fault < Options_.Outages_; ++Fault)
    at(between(WarmUp.Count_, Last), [this] {
      OutageUntil_ = Now_ + between(300, Options_.LongestOutage_.Count_);
    });
}

void World::scheduleJobs() {
  for (uint32_t Job = 0; Job < Options_.Jobs_; ++Job) {
    at(WarmUp + between(100, Options_.Arrivals_.Count_), [this] {
      JobRequest Request{
          .Team_ = "team", .Kind_ = "kind", .Timeout_ = between(500, 3'000)};
      const std::size_t Home = uniformBelow(Chance_, Nodes_.size());
      Request.Id_ = makeJobId(WallStart + Now_, Chance_);
      const bool CanReserve =
          Nodes_[Home].IsAlive_ && !Nodes_[Home].State_.IsStopping_;
      if (CanReserve && chance(0.4))
        Request.Id_ = reserveJobIds(Nodes_[Home].State_, 1).front();
      const auto Tasks = static_cast<uint32_t>(between(1, 4).Count_);
      for (uint32_t Task = 0; Task < Tasks; ++Task)
        Request.Tasks_.push_back("task " + std::to_string(Task));
      const auto Copies = between(1, 4).Count_;
      for (int64_t Copy = 0; Copy < Copies; ++Copy) {
        const Milliseconds Delay =
            Copy == 0 ? Milliseconds{} : between(0, chance(0.5) ? 30 : 2'000);
        after(Delay, [this, Request] {
          submit(Request, uniformBelow(Chance_, Nodes_.size()));
        });
      }
    });
  }
}

void World::submit(JobRequest Request, std::size_t Index) {
  // The balancer passes by who is not there, or is stopping.
  if (!Nodes_[Index].IsAlive_ || Nodes_[Index].State_.IsStopping_)
    return;
  if (!isReady(Nodes_[Index].State_) && !chance(SendToUnready)) {
    after(Milliseconds{50}, [this, Request = std::move(Request)] {
      submit(Request, uniformBelow(Chance_, Nodes_.size()));
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

static bool isWhole(const Answer &Given, const JobRequest &Request) {
  if (Given.Results_.size() != Request.Tasks_.size())
    return false;
  for (uint32_t Task = 0; Task < Given.Results_.size(); ++Task) {
    if (Given.Results_[Task] != expectedResult(Request.Id_, Task))
      return false;
  }
  return true;
}

void World::checkAnswer(std::size_t Index, const AnswerCaller &Given) {
  const auto Found = Submissions_.find(Given.Token_);
  if (Found == Submissions_.end() || Found->second.Node_ != Index) {
    violate("an answer to nobody");
    return;
  }
  Submission &Asked = Found->second;
  const Answer &Whole = *Given.Answer_;
  ++Asked.Answers_;
  if (Asked.Answers_ > 1)
    violate("two answers to one submission");
  if (Whole.Id_ != Asked.Request_.Id_)
    violate("the answer of another job");
  switch (Whole.Outcome_) {
  case Outcome::Complete:
    ++Report_.Complete_;
    if (!isWhole(Whole, Asked.Request_))
      violate("a complete answer that is partial or crossed");
    return;
  case Outcome::NotRun:
    ++Report_.NotRun_;
    if (Started_.count(Whole.Id_) > 0 || OnTheWay_[Whole.Id_] > 0)
      violate("refused as not run (" + std::string(reasonName(Whole.Reason_)) +
              "), but it ran");
    return;
  case Outcome::MayHaveRun:
    ++Report_.MayHaveRun_;
    return;
  }
}

void World::checkUnanswered() {
  for (const auto &[Token, Asked] : Submissions_) {
    if (Asked.Answers_ > 0)
      continue;
    const Node &At = Nodes_[Asked.Node_];
    if (At.Generation_ != Asked.Generation_)
      ++Report_.Unanswered_;
    else
      violate("a submission without answer");
  }
}

void World::violate(const std::string &What) {
  Report_.Violations_.push_back("at " + std::to_string(Now_.Count_) +
                                " ms: " + What);
}

} // namespace marjorambend::test
