/// \file
/// \brief Measures the slopes behind docs/CAPACITY.md: bytes of state and of
/// messages at several sizes.

#include <cstdio>
#include <malloc.h>
#include <marjorambend/Configuration>
#include <marjorambend/Instance>
#include <marjorambend/Transport>

using namespace marjorambend;

namespace {

constexpr Milliseconds Start{10'000};
constexpr Milliseconds Wall{1'796'000'000'000};

std::size_t bytesInUse() { return mallinfo2().uordblks; }

std::string makeCatalogueText(int Teams) {
  std::string TeamList;
  std::string KindList;
  for (int Index = 0; Index < Teams; ++Index) {
    const std::string Number = std::to_string(Index);
    const std::string Comma = Index == 0 ? "" : ",";
    TeamList += Comma;
    TeamList += R"({"name":"team-)" + Number + R"(","max_tasks":5000})";
    KindList += Comma;
    KindList += R"({"name":"kind-)" + Number + R"(","owner":"team-)" + Number +
                R"(","urgency":0,"value":2,"declared_run_ms":100})";
  }
  return R"({"teams":[)" + TeamList + R"(],"kinds":[)" + KindList + "]}";
}

std::vector<WorkerSpec> makeWorkers(int Count) {
  std::vector<WorkerSpec> Listed;
  for (int Index = 0; Index < Count; ++Index)
    Listed.push_back({.Name_ = "data-centre-worker-" + std::to_string(Index),
                      .Address_ = "10.100.200.250",
                      .Port_ = 8080,
                      .DataCentre_ = "a",
                      .Slots_ = 8,
                      .Connections_ = 64});
  return Listed;
}

Instance makeReady(int Workers, int Teams) {
  Instance State = makeInstance({.DataCentre_ = "a"}, 1);
  step(State, Tick{Wall}, Start);
  step(State,
       RowRead{std::string(CatalogueKey), 1,
               packCatalogue(1, makeCatalogueText(Teams))},
       Start);
  step(State, WorkersListed{makeWorkers(Workers)}, Start);
  State.KnowsDrains_ = true;
  return State;
}

void runJob(Instance &State, std::size_t Tasks) {
  const JobRequest Request{.Id_ = reserveJobIds(State, 1).front(),
                           .Team_ = "team-0",
                           .Kind_ = "kind-0",
                           .Tasks_ = std::vector<std::string>(Tasks, "payload"),
                           .Timeout_ = Milliseconds{60'000}};
  Actions Wanted = step(State, JobSubmitted{1, Request}, Start);
  for (std::size_t Index = 0; Index < Wanted.size(); ++Index) {
    const auto *Send = std::get_if<SendTask>(&Wanted[Index]);
    if (Send == nullptr)
      continue;
    Actions More = step(State,
                        TaskFinished{.Send_ = Send->Send_,
                                     .Result_ = TaskResult::Succeeded,
                                     .Body_ = "result"},
                        Start + Milliseconds{100});
    Wanted.insert(Wanted.end(), More.begin(), More.end());
  }
}

void measureRecords(std::size_t Tasks) {
  for (const int Jobs : {1'000, 10'000, 50'000}) {
    Instance State = makeReady(17, 2);
    const std::size_t Before = bytesInUse();
    for (int Job = 0; Job < Jobs; ++Job)
      runJob(State, Tasks);
    const std::size_t Used = bytesInUse() - Before;
    std::printf(
        "finished jobs of %4zu tasks: %6d jobs %10zu bytes, %7.0f each\n",
        Tasks, Jobs, Used, static_cast<double>(Used) / Jobs);
  }
}

void measureWorkers() {
  for (const int Workers : {17, 50, 275, 2'200}) {
    const std::size_t Before = bytesInUse();
    const Instance State = makeReady(Workers, 2);
    std::printf("workers: %5d %10zu bytes in all\n", Workers,
                bytesInUse() - Before);
  }
}

void measureTeams() {
  for (const int Teams : {2, 31, 310}) {
    const std::size_t Before = bytesInUse();
    const Instance State = makeReady(17, Teams);
    std::printf("teams and kinds: %4d %10zu bytes in all, catalogue text %zu\n",
                Teams, bytesInUse() - Before, State.Config_.Text_.size());
  }
}

void measureHeartbeats() {
  for (const int Workers : {0, 17, 50, 275}) {
    Heartbeat Beat{.CatalogueVersion_ = 1};
    for (int Worker = 0; Worker < Workers; ++Worker)
      Beat.Uses_.push_back({static_cast<uint32_t>(Worker), 3});
    std::printf(
        "heartbeat with %4d workers in use: %6zu bytes with its frame\n",
        Workers, encodeMessage(PeerMessage(Beat)).size() + FrameHeaderBytes);
  }
}

void measureClaims() {
  Random Generator(1);
  const JobId Id = makeJobId(Wall, Generator);
  std::printf("claim row: key %zu bytes, value 32 bytes\n",
              claimKey(Id).size());
}

} // namespace

int main() {
  measureRecords(1);
  measureRecords(20);
  measureWorkers();
  measureTeams();
  measureHeartbeats();
  measureClaims();
  return 0;
}
