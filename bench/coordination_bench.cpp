/// \file
/// \brief Measures the cost of single decisions and its growth with the size.

#include "Fixtures.h"

#include <benchmark/benchmark.h>
#include <fcntl.h>
#include <marjorambend/Admission>
#include <marjorambend/Claims>
#include <marjorambend/Configuration>
#include <marjorambend/Fleet>
#include <marjorambend/Instance>
#include <marjorambend/Jobs>
#include <marjorambend/Membership>
#include <marjorambend/Routing>
#include <marjorambend/Transport>
#include <unistd.h>

using namespace marjorambend;
using namespace marjorambend::bench;

static void chooseWorkerCost(benchmark::State &Run) {
  WorkerTable Table;
  updateWorkers(Table, makeWorkers(Run.range(0)));
  Random Generator(1);
  for (auto Iteration : Run)
    benchmark::DoNotOptimize(chooseWorker(Table, {}, 100.0, 1, Generator, Now));
}
BENCHMARK(chooseWorkerCost)->Arg(17)->Arg(50)->Arg(275)->Arg(2200);

static void shareSlotsCost(benchmark::State &Run) {
  WorkerTable Table;
  updateWorkers(Table, makeWorkers(Run.range(0)));
  PeerTable Peers;
  for (uint64_t Other = 1; Other <= 4; ++Other) {
    Peer &Known = Peers.Peers_[{Other}];
    Known = {.Run_ = {Other}, .DataCentre_ = "a", .HasBacklog_ = true};
    for (const Worker &Each : Table.Workers_)
      Known.Uses_.push_back({hashName(Each.Spec_.Name_), 2});
  }
  for (auto Iteration : Run)
    sharePeerUse(Peers, {9}, "a", 1, Table);
}
BENCHMARK(shareSlotsCost)->Arg(17)->Arg(50)->Arg(275)->Arg(2200);

static void queueCost(benchmark::State &Run) {
  FairQueue Queue;
  std::vector<std::string> Teams;
  for (int64_t Team = 0; Team < Run.range(0); ++Team) {
    Teams.push_back("team-" + std::to_string(Team));
    for (uint64_t Job = 0; Job < 10; ++Job)
      pushJob(Queue, Teams.back(), 1,
              {.Id_ = {static_cast<uint64_t>(Team), Job}});
  }
  uint64_t Next = 0;
  for (auto Iteration : Run) {
    const JobId Front = *frontJob(Queue);
    const std::string &Team = Teams[Front.High_];
    removeJob(Queue, Team, {.Id_ = Front});
    chargeTeam(Queue, Team, 0, Milliseconds{100});
    pushJob(Queue, Team, 1, {.Id_ = {Front.High_, 100 + Next++}});
  }
}
BENCHMARK(queueCost)->Arg(2)->Arg(31)->Arg(310);

static void admitCost(benchmark::State &Run) {
  Admission State;
  Random Generator(1);
  for (int64_t Team = 0; Team < Run.range(0); ++Team)
    State.TeamTasks_["team-" + std::to_string(Team)] = 5;
  const JobDemand Demand{.Team_ = "team-1",
                         .Tasks_ = 20,
                         .TaskMs_ = 100,
                         .Remaining_ = Milliseconds{5'000},
                         .TeamQuota_ = 1'000};
  for (auto Iteration : Run)
    benchmark::DoNotOptimize(admit(State, {}, Demand, 100, Generator));
}
BENCHMARK(admitCost)->Arg(2)->Arg(31)->Arg(310);

static void parseCatalogueCost(benchmark::State &Run) {
  const std::string Text = makeCatalogueText(Run.range(0));
  for (auto Iteration : Run)
    benchmark::DoNotOptimize(parseCatalogue(Text));
  Run.counters["bytes"] = static_cast<double>(Text.size());
}
BENCHMARK(parseCatalogueCost)->Arg(2)->Arg(31)->Arg(310);

// Submission, start of each task, result of each task, answer.
static void wholeJobCost(benchmark::State &Run) {
  Instance State = makeReady(Run.range(0), 2);
  const std::vector<std::string> Tasks(static_cast<std::size_t>(Run.range(1)),
                                       "payload");
  uint64_t Token = 0;
  for (auto Iteration : Run) {
    runJob(State, Tasks, ++Token);
    // Keeps the table of finished jobs at a constant size.
    if (State.Jobs_.size() > 1'000) {
      State.Jobs_.clear();
      State.Finished_.clear();
      State.AnswerBytes_ = 0;
    }
  }
  Run.SetItemsProcessed(Run.iterations() * Run.range(1));
}
BENCHMARK(wholeJobCost)
    ->Args({17, 1})
    ->Args({17, 20})
    ->Args({275, 1})
    ->Args({275, 20})
    ->Args({275, 1000});

static void idleTickCost(benchmark::State &Run) {
  Instance State = makeReady(Run.range(0), 2);
  for (int64_t Other = 0; Other < Run.range(1); ++Other)
    step(State, PeerConnected{{static_cast<uint64_t>(Other + 1)}, "other", "a"},
         Now);
  Milliseconds At = Now;
  uint64_t Bytes = 0;
  for (auto Iteration : Run) {
    At = At + Milliseconds{10};
    for (auto &[Other, Known] : State.Peers_.Peers_)
      Known.HeardAt_ = At;
    Bytes += step(State, Tick{Wall + At}, At).size();
  }
  benchmark::DoNotOptimize(Bytes);
}
BENCHMARK(idleTickCost)->Args({17, 8})->Args({275, 8})->Args({275, 40});

/// One instance that is origin, placer and holder of \p Workers_ workers.
struct FleetFixture {
  FleetInstance State_ = makeFleetInstance({.DataCentre_ = "dc"}, 1);
  Milliseconds Now_{1'000};
  std::map<std::string, uint64_t> Polls_;
  DecisionLog *Log_ = nullptr; ///< Where decisions are written, if anywhere.

  explicit FleetFixture(int Workers) {
    handleEvent(FleetTick{{480'000}});
    handleEvent(ConfigRead{.Config_ = {.Version_ = 1,
                                       .Routes_ = {{.Name_ = "r",
                                                    .Host_ = "h",
                                                    .Prefix_ = "/p/",
                                                    .Service_ = "s",
                                                    .StretchFactor_ = 1.6}}}});
    WorkersRead Read;
    for (int Index = 0; Index < Workers; ++Index)
      Read.Workers_.push_back({.Id_ = "w" + std::to_string(Index),
                               .Service_ = "s",
                               .DataCentre_ = "dc",
                               .Capacity_ = {64'000, 100'000, 0},
                               .Incarnation_ = 1});
    handleEvent(Read);
    Now_ = Now_ + Milliseconds{550};
    handleEvent(FleetTick{{480'000}});
    const auto Claims = Polls_;
    for (const auto &[Worker, Poll] : Claims)
      list(Worker, {});
  }

  std::vector<StartRun> handleEvent(FleetEvent Event) {
    std::vector<StartRun> Starts;
    for (const FleetAction &One : step(State_, std::move(Event), Now_)) {
      if (const auto *Poll = std::get_if<PollWorker>(&One))
        Polls_[Poll->Worker_.Id_] = Poll->Poll_;
      if (const auto *Start = std::get_if<StartRun>(&One))
        Starts.push_back(*Start);
      const auto *Line = std::get_if<LogDecision>(&One);
      if (Line != nullptr && Log_ != nullptr)
        Log_->write(*Line);
    }
    return Starts;
  }
  void list(const std::string &Worker, std::vector<ListedEnd> Ended) {
    handleEvent(PollAnswered{.Worker_ = Worker,
                             .Poll_ = Polls_[Worker],
                             .Result_ = OrderResult::Accepted,
                             .Incarnation_ = 1,
                             .WorkerClock_ = Now_,
                             .Ended_ = std::move(Ended)});
  }
};

// A job of four tasks from submission to answer, without sockets; the time
// covers all four tasks.
static void runFleetJobs(benchmark::State &Round, FleetFixture &Fleet) {
  std::map<std::string, uint64_t> Ends;
  uint64_t Id = 1;
  for (auto _ : Round) {
    JobSubmission Job{.Token_ = Id,
                      .Id_ = Id,
                      .Host_ = "h",
                      .Path_ = "/p/",
                      .Spec_ = std::string(2'400, 'x'),
                      .Tasks_ = 4,
                      .Needs_ = {27'000, 64, 0},
                      .Estimate_ = {100}};
    ++Id;
    for (const StartRun &One : Fleet.handleEvent(std::move(Job))) {
      const std::string &Worker = One.Worker_.Id_;
      Fleet.handleEvent(
          StartAnswered{Worker, One.Run_, OrderResult::Accepted, Fleet.Now_});
      Fleet.list(Worker, {{++Ends[Worker], One.Run_, RunEnd::Done}});
    }
  }
}
static void fleetJob(benchmark::State &Round) {
  FleetFixture Fleet(static_cast<int>(Round.range(0)));
  runFleetJobs(Round, Fleet);
}
BENCHMARK(fleetJob)->Arg(9)->Arg(48)->Arg(350);

// Like runFleetJobs with every log line written and none sampled out; lines
// that do not fit into the buffer are formatted and then dropped.
static void fleetJobLogged(benchmark::State &Round) {
  FleetFixture Fleet(static_cast<int>(Round.range(0)));
  EventLoop Loop;
  const int Nowhere = open("/dev/null", O_WRONLY | O_CLOEXEC);
  DecisionLog Log(Loop, {.Descriptor_ = Nowhere,
                         .Instance_ = "instance",
                         .BytesPerSecond_ = SIZE_MAX});
  Fleet.Log_ = &Log;
  runFleetJobs(Round, Fleet);
  close(Nowhere);
}
BENCHMARK(fleetJobLogged)->Arg(9)->Arg(48)->Arg(350);

BENCHMARK_MAIN();
