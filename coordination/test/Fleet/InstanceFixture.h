#ifndef MARJORAMBEND_TEST_FLEET_INSTANCEFIXTURE_H
#define MARJORAMBEND_TEST_FLEET_INSTANCEFIXTURE_H

#include <algorithm>
#include <marjorambend/Fleet>
#include <string>
#include <vector>

namespace marjorambend::test {

/// \brief Drives one instance, which holds one worker, event by event.
class InstanceFixture {
public:
  enum class InstanceList : uint8_t { Read, Unread };

  explicit InstanceFixture(FleetOptions Options = {.Name_ = "a",
                                                   .DataCentre_ = "dc"},
                           InstanceList List = InstanceList::Read)
      : State_(makeFleetInstance(Options, Options.Name_.front())) {
    advance(0);
    if (List == InstanceList::Read)
      handle(InstancesRead{});
  }

  FleetActions handle(FleetEvent Event) {
    FleetActions Actions = step(State_, std::move(Event), Now_);
    for (const FleetAction &One : Actions) {
      if (const auto *Poll = std::get_if<PollWorker>(&One))
        LastPoll_ = *Poll;
    }
    return Actions;
  }

  /// \brief Advances the clock in ticks of 20 ms, and returns all actions.
  FleetActions advance(int64_t Time) {
    FleetActions All = handle(FleetTick{ClockStart + Now_});
    for (int64_t Step = 20; Step <= Time; Step += 20) {
      Now_ = Now_ + Milliseconds{20};
      for (FleetAction &One : handle(FleetTick{ClockStart + Now_}))
        All.push_back(std::move(One));
    }
    return All;
  }

  /// \brief Advances the clock without ticks, as if the process were suspended.
  void freeze(int64_t Time) { Now_ = Now_ + Milliseconds{Time}; }

  static WorkerReport worker(std::string Id = "w") {
    return {.Id_ = std::move(Id),
            .Service_ = "service",
            .Address_ = "10.0.0.1",
            .Port_ = 80,
            .DataCentre_ = "dc",
            .Capacity_ = {64'000, 100'000, 0},
            .Incarnation_ = 1};
  }

  /// \brief Gives the instance a configuration and one worker, and lets it
  /// claim the worker, which lists no runs.
  void openWorker() {
    handle(ConfigRead{.Config_ = {.Version_ = 1,
                                  .Routes_ = {{.Name_ = "r",
                                               .Host_ = "h",
                                               .Prefix_ = "/p/",
                                               .Service_ = "service",
                                               .MaxAttempts_ = 2,
                                               .StretchFactor_ = 1.6,
                                               .TargetLatency_ = {60}}}}});
    handle(WorkersRead{{worker()}});
    advance(700);
    listRuns({});
  }

  /// \brief Lists the worker with a new incarnation, as the platform does when
  /// the worker has restarted.
  void listRestart(int64_t WorkerIncarnation) {
    WorkerReport Report = State_.ListedWorkers_.at("w");
    Report.Incarnation_ = WorkerIncarnation;
    handle(WorkersRead{{Report}});
  }

  /// \brief Answers the last PollWorker of the instance with these lists.
  FleetActions listRuns(const std::vector<RunId> &Running,
                        std::vector<ListedEnd> Ended = {},
                        int64_t WorkerIncarnation = 1) {
    PollAnswered Lists{.Worker_ = "w",
                       .Poll_ = LastPoll_.Poll_,
                       .Result_ = OrderResult::Accepted,
                       .Incarnation_ = WorkerIncarnation,
                       .WorkerClock_ = Milliseconds{5'000} + Now_,
                       .Ended_ = std::move(Ended)};
    for (const RunId &Run : Running)
      Lists.Running_.push_back({Run, ++Progress_});
    return handle(Lists);
  }

  JobSubmission job(uint64_t Id = 7, uint64_t Token = 1, uint32_t Tasks = 1) {
    return {.Token_ = Token,
            .Id_ = Id,
            .Host_ = "h",
            .Path_ = "/p/",
            .Spec_ = "spec",
            .Tasks_ = Tasks,
            .Needs_ = {27'000, 64, 0},
            .Estimate_ = {100},
            .CallerTimeout_ = {2'000}};
  }

  FleetActions answerStart(OrderResult Result, RunId Run = {7, 0, 1}) {
    return handle(StartAnswered{"w", Run, Result, Milliseconds{5'000} + Now_});
  }

  /// \brief Opens a session with another instance, which coordinates.
  FleetActions connectPeer(uint64_t Run, std::string DataCentre = "dc") {
    FleetActions Actions =
        handle(InstanceUp{{.Run_ = {Run},
                           .Name_ = "z" + std::to_string(Run),
                           .DataCentre_ = std::move(DataCentre),
                           .CpuShare_ = 1'000}});
    handle(MessageReceived{
        {Run}, InstanceStatus{.IsReady_ = true, .IsCoordinating_ = true}});
    return Actions;
  }

  FleetInstance State_;
  Milliseconds Now_{10'000};
  PollWorker LastPoll_;

private:
  static constexpr Milliseconds ClockStart{480'000};
  double Progress_ = 0;
};

/// \brief Returns the actions of one type.
template <typename ActionType>
std::vector<ActionType> actionsOf(const FleetActions &All) {
  std::vector<ActionType> Found;
  for (const FleetAction &One : All) {
    if (const auto *Same = std::get_if<ActionType>(&One))
      Found.push_back(*Same);
  }
  return Found;
}

/// \brief Checks the number of actions of one type. CppUTest's macro evaluates
/// its argument twice, so it would handle the event twice.
template <typename ActionType>
void expectCount(std::size_t Expected, const FleetActions &All) {
  const std::size_t Found = actionsOf<ActionType>(All).size();
  LONGS_EQUAL(Expected, Found);
}

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_FLEET_INSTANCEFIXTURE_H
