#ifndef MARJORAMBEND_BENCH_FIXTURES_H
#define MARJORAMBEND_BENCH_FIXTURES_H

#include <marjorambend/Configuration>
#include <marjorambend/Instance>
#include <string>
#include <vector>

namespace marjorambend::bench {

inline constexpr Milliseconds Now{10'000};
inline constexpr Milliseconds Wall{1'796'000'000'000};

/// \brief Workers of data centre "a".
inline std::vector<WorkerSpec> makeWorkers(int64_t Count) {
  std::vector<WorkerSpec> Listed;
  for (int64_t Index = 0; Index < Count; ++Index)
    Listed.push_back({.Name_ = "data-centre-worker-" + std::to_string(Index),
                      .Address_ = "10.100.200.250",
                      .Port_ = 8080,
                      .DataCentre_ = "a",
                      .Slots_ = 8,
                      .Connections_ = 64});
  return Listed;
}

/// \brief A catalogue with a kind for each team.
inline std::string makeCatalogueText(int64_t Teams) {
  std::string TeamList;
  std::string KindList;
  for (int64_t Index = 0; Index < Teams; ++Index) {
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

/// \brief An instance that is ready for jobs of "team-0" and "kind-0".
inline Instance makeReady(int64_t Workers, int64_t Teams) {
  Instance State = makeInstance({.DataCentre_ = "a"}, 1);
  step(State, Tick{Wall}, Now);
  step(State,
       RowRead{std::string(CatalogueKey), 1,
               packCatalogue(1, makeCatalogueText(Teams))},
       Now);
  step(State, WorkersListed{makeWorkers(Workers)}, Now);
  State.KnowsDrains_ = true;
  return State;
}

/// \brief Submits a job with a reserved identity and answers all its tasks.
inline void runJob(Instance &State, const std::vector<std::string> &Tasks,
                   uint64_t Token) {
  const JobRequest Request{.Id_ = reserveJobIds(State, 1).front(),
                           .Team_ = "team-0",
                           .Kind_ = "kind-0",
                           .Tasks_ = Tasks,
                           .Timeout_ = Milliseconds{60'000}};
  Actions Requested = step(State, JobSubmitted{Token, Request}, Now);
  for (std::size_t Index = 0; Index < Requested.size(); ++Index) {
    const auto *Send = std::get_if<SendTask>(&Requested[Index]);
    if (Send == nullptr)
      continue;
    Actions More = step(State,
                        TaskFinished{.Send_ = Send->Send_,
                                     .Result_ = TaskResult::Succeeded,
                                     .Body_ = "result"},
                        Now + Milliseconds{100});
    Requested.insert(Requested.end(), More.begin(), More.end());
  }
}

} // namespace marjorambend::bench

#endif // MARJORAMBEND_BENCH_FIXTURES_H
