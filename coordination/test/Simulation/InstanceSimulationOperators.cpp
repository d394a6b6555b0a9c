#include "InstanceSimulation.h"

#include <algorithm>
#include <marjorambend/Configuration>

namespace marjorambend::test {

// A drained worker gets no new work after this time.
static constexpr Milliseconds DrainBound{3'000};
// An accepted catalogue is in force everywhere after this time.
static constexpr Milliseconds InForceBound{9'000};
// Callers are no longer sent to an instance this long after its order to stop.
static constexpr Milliseconds StopDelay{300};
static constexpr Milliseconds StopPoll{10};
static constexpr Milliseconds NewInstance{3'000};
static constexpr int64_t FirstOrder = 2'000;

void World::scheduleOperators() {
  const int64_t Last = FirstOrder + Options_.Arrivals_.Count_;
  for (uint32_t Order = 0; Order < Options_.Drains_; ++Order)
    at(between(FirstOrder, Last), [this] { drainOne(); });
  for (uint32_t Order = 0; Order < Options_.Writes_; ++Order)
    at(between(FirstOrder, Last), [this] { writeOne(); });
  for (uint32_t Order = 0; Order < Options_.Stops_; ++Order)
    at(between(FirstOrder, Last), [this] { stopOne(); });
}

void World::drainOne() {
  const std::size_t Index = uniformBelow(Chance_, Nodes_.size());
  const std::string Worker = chance(0.5) ? "aw0" : "bw1";
  if (!Nodes_[Index].IsAlive_)
    return;
  DrainedAt_.emplace(Worker, Now_);
  DrainedBy_.emplace(Worker, Nodes_[Index].State_.Self_);
  deliver(Index, Nodes_[Index].Generation_,
          DrainOrdered{"worker/" + Worker, true});
}

bool World::hasDrain(const Node &Known, const std::string &Worker) {
  return Known.IsAlive_ && isDrained(Known.State_.Drains_, Worker, "");
}

// The command calls an order in force once every instance has it; an order
// that ends with the only instance that had it is reported as not in force.
// It counts again from when an instance reads it in the table service.
void World::loseDrains(Incarnation Ended) {
  for (const auto &[Worker, Orderer] : DrainedBy_) {
    const bool IsKnown = std::any_of(Nodes_.begin(), Nodes_.end(),
                                     [&Worker = Worker](const Node &Each) {
                                       return hasDrain(Each, Worker);
                                     });
    if (Orderer == Ended && !IsKnown)
      DrainedAt_.erase(Worker);
  }
}

void World::noteDrains(const Node &At) {
  for (const auto &[Worker, Orderer] : DrainedBy_) {
    if (hasDrain(At, Worker))
      DrainedAt_.emplace(Worker, Now_);
  }
}

void World::checkDrained(std::size_t Index, const SendTask &Wanted) {
  const Instance &State = Nodes_[Index].State_;
  const auto Found =
      DrainedAt_.find(State.Workers_.Workers_[Wanted.Worker_].Spec_.Name_);
  if (Found != DrainedAt_.end() && Now_ > Found->second + DrainBound)
    violate("new work for a drained worker");
}

// Two operators may edit the same version at the same moment.
void World::writeOne() {
  const std::size_t Index = uniformBelow(Chance_, Nodes_.size());
  const Node &At = Nodes_[Index];
  if (!At.IsAlive_ || Now_ < At.PausedUntil_ || At.State_.Config_.Version_ == 0)
    return;
  const uint64_t Token = NextToken_++;
  const std::string Text =
      R"({"teams":[{"name":"team"}],"kinds":[{"name":"kind","owner":"team",)"
      R"("declared_run_ms":60,"max_run_ms":1500,"value":)" +
      std::to_string(Token) + "}]}";
  Written_[Token] = Text;
  deliver(Index, At.Generation_,
          CatalogueSubmitted{Token, At.State_.Config_.Version_, Text});
}

void World::checkOperator(const AnswerOperator &Answered) {
  const std::string &Text = Written_[Answered.Token_];
  if (!Answered.IsAccepted_) {
    ++Report_.Refused_;
    return;
  }
  ++Report_.Accepted_;
  if (History_[Answered.Version_] != Text)
    violate("a catalogue that was not accepted is called accepted");
  after(InForceBound,
        [this, Version = Answered.Version_] { checkInForce(Version); });
}

void World::checkInForce(uint64_t Version) {
  for (const Node &Each : Nodes_) {
    const bool IsNew = Each.State_.LastTick_ == Milliseconds{} ||
                       Now_ - Each.StartedAt_ < NewInstance;
    if (!Each.IsAlive_ || IsNew || Now_ < Each.PausedUntil_)
      continue;
    if (Each.State_.Config_.Version_ < Version)
      violate("an accepted catalogue is not in force at " + Each.Name_);
  }
}

void World::checkVersion(std::size_t Index, uint64_t Before) {
  if (Nodes_[Index].State_.Config_.Version_ < Before)
    violate("the catalogue has stepped back");
}

void World::stopOne() {
  const std::size_t Index = uniformBelow(Chance_, Nodes_.size());
  const Node &Stopped = Nodes_[Index];
  if (!Stopped.IsAlive_ || Stopped.State_.IsStopping_)
    return;
  deliver(Index, Stopped.Generation_, StopOrdered{});
  awaitIdle(Index, Stopped.Generation_, Now_);
}

void World::awaitIdle(std::size_t Index, uint64_t Generation,
                      Milliseconds From) {
  const Node &Stopped = Nodes_[Index];
  if (!Stopped.IsAlive_ || Stopped.Generation_ != Generation)
    return;
  const bool IsEarly = Now_ < From + StopDelay || Now_ < Stopped.PausedUntil_;
  const bool MayEnd = isIdle(Stopped.State_) && Stopped.State_.IsStopping_;
  const bool IsHasty = Options_.Plant_ == Plant::StopAtOnce;
  if ((IsEarly || !MayEnd) && !IsHasty) {
    after(StopPoll, [this, Index, Generation, From] {
      awaitIdle(Index, Generation, From);
    });
    return;
  }
  for (const auto &[Token, Asked] : Submissions_) {
    const bool IsHere = Asked.Node_ == Index && Asked.Generation_ == Generation;
    if (IsHere && Asked.Answers_ == 0)
      violate("a planned stop cut off a submission");
  }
  ++Report_.StopsDone_;
  kill(Index);
}

} // namespace marjorambend::test
