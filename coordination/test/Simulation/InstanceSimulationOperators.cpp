#include "InstanceSimulation.h"

#include <algorithm>
#include <marjorambend/Configuration>

namespace marjorambend::test {

// Time after which a drained worker must not get new work.
static constexpr Milliseconds DrainBound{3'000};
// Time after which an accepted catalogue must be in force everywhere.
static constexpr Milliseconds InForceBound{9'000};
// Time from the stop order until the load balancer sends no more callers.
static constexpr Milliseconds StopDelay{300};
static constexpr Milliseconds StopPoll{10};
static constexpr Milliseconds StartupTime{3'000};
static constexpr int64_t FirstOrderTime = 2'000;

void InstanceSimulation::scheduleOperators() {
  const int64_t Last = FirstOrderTime + Options_.ArrivalPeriod_.Count_;
  for (uint32_t Order = 0; Order < Options_.Drains_; ++Order)
    at(randomBetween(FirstOrderTime, Last), [this] { drainRandomWorker(); });
  for (uint32_t Order = 0; Order < Options_.CatalogueWrites_; ++Order)
    at(randomBetween(FirstOrderTime, Last), [this] { submitCatalogue(); });
  for (uint32_t Order = 0; Order < Options_.Stops_; ++Order)
    at(randomBetween(FirstOrderTime, Last), [this] { stopRandomNode(); });
}

void InstanceSimulation::drainRandomWorker() {
  const std::size_t Index = uniformBelow(Generator_, Nodes_.size());
  const std::string Worker = chance(0.5) ? "aw0" : "bw1";
  if (!Nodes_[Index].IsAlive_)
    return;
  DrainedAt_.emplace(Worker, Now_);
  DrainedBy_.emplace(Worker, Nodes_[Index].State_.Self_);
  deliver(Index, Nodes_[Index].Generation_,
          DrainOrdered{"worker/" + Worker, true});
}

bool InstanceSimulation::knowsDrain(const Node &Known,
                                    const std::string &Worker) {
  return Known.IsAlive_ && isDrained(Known.State_.Drains_, Worker, "");
}

// A drain order that is lost with the only instance that knew it is reported to
// the operator as not in force, so it is not checked. It counts again once an
// instance reads it from the table service.
void InstanceSimulation::dropLostDrains(Incarnation Ended) {
  for (const auto &[Worker, Orderer] : DrainedBy_) {
    const bool IsKnown = std::any_of(Nodes_.begin(), Nodes_.end(),
                                     [&Worker = Worker](const Node &Each) {
                                       return knowsDrain(Each, Worker);
                                     });
    if (Orderer == Ended && !IsKnown)
      DrainedAt_.erase(Worker);
  }
}

void InstanceSimulation::recordDrains(const Node &At) {
  for (const auto &[Worker, Orderer] : DrainedBy_) {
    if (knowsDrain(At, Worker))
      DrainedAt_.emplace(Worker, Now_);
  }
}

void InstanceSimulation::checkDrained(std::size_t Index,
                                      const SendTask &Requested) {
  const Instance &State = Nodes_[Index].State_;
  const auto Found =
      DrainedAt_.find(State.Workers_.Workers_[Requested.Worker_].Spec_.Name_);
  if (Found != DrainedAt_.end() && Now_ > Found->second + DrainBound)
    reportViolation("new work for a drained worker");
}

// Two operators may edit the same version at the same time.
void InstanceSimulation::submitCatalogue() {
  const std::size_t Index = uniformBelow(Generator_, Nodes_.size());
  const Node &At = Nodes_[Index];
  if (!At.IsAlive_ || Now_ < At.PausedUntil_ || At.State_.Config_.Version_ == 0)
    return;
  const uint64_t Token = NextToken_++;
  const std::string Text =
      R"({"teams":[{"name":"team"}],"kinds":[{"name":"kind","owner":"team",)"
      R"("declared_run_ms":60,"max_run_ms":1500,"value":)" +
      std::to_string(Token) + "}]}";
  SubmittedCatalogues_[Token] = Text;
  deliver(Index, At.Generation_,
          CatalogueSubmitted{Token, At.State_.Config_.Version_, Text});
}

void InstanceSimulation::checkOperatorAnswer(const AnswerOperator &Answered) {
  const std::string &Text = SubmittedCatalogues_[Answered.Token_];
  if (!Answered.IsAccepted_) {
    ++Report_.RefusedWrites_;
    return;
  }
  ++Report_.AcceptedWrites_;
  if (CatalogueVersions_[Answered.Version_] != Text)
    reportViolation("a catalogue was reported as accepted but is not stored");
  after(InForceBound,
        [this, Version = Answered.Version_] { checkInForce(Version); });
}

void InstanceSimulation::checkInForce(uint64_t Version) {
  for (const Node &Each : Nodes_) {
    const bool IsNew = Each.State_.LastTick_ == Milliseconds{} ||
                       Now_ - Each.StartedAt_ < StartupTime;
    if (!Each.IsAlive_ || IsNew || Now_ < Each.PausedUntil_)
      continue;
    if (Each.State_.Config_.Version_ < Version)
      reportViolation("an accepted catalogue is not in force at " + Each.Name_);
  }
}

void InstanceSimulation::checkVersion(std::size_t Index, uint64_t Before) {
  if (Nodes_[Index].State_.Config_.Version_ < Before)
    reportViolation("the catalogue reverted to an older version");
}

void InstanceSimulation::stopRandomNode() {
  const std::size_t Index = uniformBelow(Generator_, Nodes_.size());
  const Node &Stopped = Nodes_[Index];
  if (!Stopped.IsAlive_ || Stopped.State_.IsStopping_)
    return;
  deliver(Index, Stopped.Generation_, StopOrdered{});
  awaitIdle(Index, Stopped.Generation_, Now_);
}

void InstanceSimulation::awaitIdle(std::size_t Index, uint64_t Generation,
                                   Milliseconds From) {
  const Node &Stopped = Nodes_[Index];
  if (!Stopped.IsAlive_ || Stopped.Generation_ != Generation)
    return;
  const bool IsEarly = Now_ < From + StopDelay || Now_ < Stopped.PausedUntil_;
  const bool MayEnd = isIdle(Stopped.State_) && Stopped.State_.IsStopping_;
  const bool StopsImmediately =
      Options_.InjectedBug_ == InjectedBug::StopImmediately;
  if ((IsEarly || !MayEnd) && !StopsImmediately) {
    after(StopPoll, [this, Index, Generation, From] {
      awaitIdle(Index, Generation, From);
    });
    return;
  }
  for (const auto &[Token, Submitted] : Submissions_) {
    const bool IsHere =
        Submitted.Node_ == Index && Submitted.Generation_ == Generation;
    if (IsHere && Submitted.Answers_ == 0)
      reportViolation("a planned stop cut off a submission");
  }
  ++Report_.StopsDone_;
  kill(Index);
}

} // namespace marjorambend::test
