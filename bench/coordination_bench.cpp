/// \file
/// \brief What one decision costs, and how the cost grows with the size.

#include "Fixtures.h"

#include <benchmark/benchmark.h>
#include <marjorambend/Admission>
#include <marjorambend/Claims>
#include <marjorambend/Configuration>
#include <marjorambend/Instance>
#include <marjorambend/Jobs>
#include <marjorambend/Membership>
#include <marjorambend/Routing>

using namespace marjorambend;
using namespace marjorambend::bench;

static void chooseWorkerCost(benchmark::State &Run) {
  WorkerTable Table;
  updateWorkers(Table, makeWorkers(Run.range(0)));
  Random Generator(1);
  for (auto Turn : Run)
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
  for (auto Turn : Run)
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
  for (auto Turn : Run) {
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
  for (auto Turn : Run)
    benchmark::DoNotOptimize(admit(State, {}, Demand, 100, Generator));
}
BENCHMARK(admitCost)->Arg(2)->Arg(31)->Arg(310);

static void parseCatalogueCost(benchmark::State &Run) {
  const std::string Text = makeCatalogueText(Run.range(0));
  for (auto Turn : Run)
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
  for (auto Turn : Run) {
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
  for (auto Turn : Run) {
    At = At + Milliseconds{10};
    for (auto &[Other, Known] : State.Peers_.Peers_)
      Known.HeardAt_ = At;
    Bytes += step(State, Tick{Wall + At}, At).size();
  }
  benchmark::DoNotOptimize(Bytes);
}
BENCHMARK(idleTickCost)->Args({17, 8})->Args({275, 8})->Args({275, 40});

BENCHMARK_MAIN();
