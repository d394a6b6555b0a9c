#include "marjorambend/src/Routing/Router.h"

#include <algorithm>
#include <limits>

namespace marjorambend {
namespace internal {

using Choice = std::optional<uint32_t>;

static bool hasFreeSlot(const Worker &Candidate) {
  return Candidate.Outstanding_ < slotLimit(Candidate);
}

// Lower is better. A worker that is already busy is somewhat less attractive
// than an idle one of the same speed, and a slot that belongs to another
// instance less than one of this instance: others may take it at any moment.
static double costOf(const Worker &Candidate, double RunMs) {
  constexpr double LoadPenalty = 0.05;
  constexpr double BorrowPenalty = 0.25;
  const double Load = static_cast<double>(Candidate.Outstanding_) /
                      std::max<uint32_t>(1, Candidate.Spec_.Slots_);
  const bool IsBorrowed = Candidate.Outstanding_ >= Candidate.Share_;
  const double Penalty =
      LoadPenalty * Load + (IsBorrowed ? BorrowPenalty : 0.0);
  return RunMs * Candidate.Speed_.Slowness_ * (1.0 + Penalty);
}

// Expected time until a clearly faster worker has a free slot and completes the
// task, including the tasks that wait ahead of it.
static double expectedTimeOnFaster(const WorkerTable &Table, double RunMs,
                                   double BestCost, std::size_t Waiting,
                                   Milliseconds Now) {
  constexpr double ClearlyFasterRatio = 0.8;
  double Rate = 0;
  double Slots = 0;
  for (const Worker &Candidate : Table.Workers_) {
    const double Cost = costOf(Candidate, RunMs);
    if (Cost >= ClearlyFasterRatio * BestCost || !isEligible(Candidate, Now))
      continue;
    Rate += slotLimit(Candidate) / Cost;
    Slots += slotLimit(Candidate);
  }
  if (Rate <= 0)
    return std::numeric_limits<double>::max();
  return static_cast<double>(Waiting) / Rate + Slots / Rate;
}

static Choice earliestCompletion(const WorkerTable &Table, double RunMs,
                                 std::size_t Waiting, Milliseconds Now) {
  Choice Best;
  double BestCost = std::numeric_limits<double>::max();
  for (uint32_t Index = 0; Index < Table.Workers_.size(); ++Index) {
    const Worker &Candidate = Table.Workers_[Index];
    if (!isEligible(Candidate, Now) || !hasFreeSlot(Candidate))
      continue;
    const double Cost = costOf(Candidate, RunMs);
    if (Cost >= BestCost)
      continue;
    Best = Index;
    BestCost = Cost;
  }
  if (!Best)
    return std::nullopt;
  const double Faster =
      expectedTimeOnFaster(Table, RunMs, BestCost, Waiting, Now);
  return Faster < BestCost ? std::nullopt : Best;
}

static Choice leastOutstanding(const WorkerTable &Table, Milliseconds Now) {
  Choice Best;
  for (uint32_t Index = 0; Index < Table.Workers_.size(); ++Index) {
    const Worker &Candidate = Table.Workers_[Index];
    if (!isEligible(Candidate, Now))
      continue;
    if (!Best || Candidate.Outstanding_ < Table.Workers_[*Best].Outstanding_)
      Best = Index;
  }
  return Best;
}

static Choice roundRobin(WorkerTable &Table, Milliseconds Now) {
  const auto Count = static_cast<uint32_t>(Table.Workers_.size());
  for (uint32_t Step = 0; Step < Count; ++Step) {
    const uint32_t Index = (Table.NextRoundRobin_ + Step) % Count;
    if (!isEligible(Table.Workers_[Index], Now))
      continue;
    Table.NextRoundRobin_ = Index + 1;
    return Index;
  }
  return std::nullopt;
}

static Choice randomChoice(const WorkerTable &Table, Random &Generator,
                           Milliseconds Now) {
  std::vector<uint32_t> Eligible;
  for (uint32_t Index = 0; Index < Table.Workers_.size(); ++Index) {
    if (isEligible(Table.Workers_[Index], Now))
      Eligible.push_back(Index);
  }
  if (Eligible.empty())
    return std::nullopt;
  return Eligible[uniformBelow(Generator, Eligible.size())];
}

static bool mayEject(const WorkerTable &Table, const RoutingOptions &Options,
                     Milliseconds Now) {
  uint32_t Listed = 0;
  uint32_t Ejected = 0;
  for (const Worker &Known : Table.Workers_) {
    if (!Known.IsListed_)
      continue;
    ++Listed;
    Ejected += Now < Known.EjectedUntil_ || Known.IsProbing_ ? 1 : 0;
  }
  return Ejected + 1 <= std::max(1.0, Options.MaxEjectedShare_ * Listed);
}

} // namespace internal

std::optional<uint32_t> chooseWorker(WorkerTable &Table,
                                     const RoutingOptions &Options,
                                     double RunMs, std::size_t Waiting,
                                     Random &Generator, Milliseconds Now) {
  switch (Options.Policy_) {
  case RoutingPolicy::LeastOutstanding:
    return internal::leastOutstanding(Table, Now);
  case RoutingPolicy::RoundRobin:
    return internal::roundRobin(Table, Now);
  case RoutingPolicy::RandomChoice:
    return internal::randomChoice(Table, Generator, Now);
  case RoutingPolicy::EarliestCompletion:
    break;
  }
  return internal::earliestCompletion(Table, RunMs, Waiting, Now);
}

EjectionResult recordFailure(WorkerTable &Table, const RoutingOptions &Options,
                             uint32_t Index, double KindSuccessRate,
                             Milliseconds Now) {
  if (KindSuccessRate < Options.MinKindSuccessRate_)
    return EjectionResult::Kept;
  Worker &FailedWorker = Table.Workers_[Index];
  ++FailedWorker.ConsecutiveFailures_;
  const bool IsOver =
      FailedWorker.ConsecutiveFailures_ >= Options.ConsecutiveFailures_;
  if (!IsOver && !FailedWorker.IsProbing_)
    return EjectionResult::Kept;
  if (!FailedWorker.IsProbing_ && !internal::mayEject(Table, Options, Now))
    return EjectionResult::Kept;
  const uint32_t Doublings = std::min<uint32_t>(FailedWorker.Ejections_, 16);
  const Milliseconds Time = std::min(
      Options.EjectionMax_, Options.EjectionBase_ * (int64_t{1} << Doublings));
  FailedWorker.EjectedUntil_ = Now + Time;
  FailedWorker.IsProbing_ = true;
  FailedWorker.ConsecutiveFailures_ = 0;
  ++FailedWorker.Ejections_;
  return EjectionResult::Ejected;
}

void recordSuccess(WorkerTable &Table, uint32_t Index) {
  Worker &HealthyWorker = Table.Workers_[Index];
  HealthyWorker.ConsecutiveFailures_ = 0;
  HealthyWorker.Ejections_ = 0;
  HealthyWorker.IsProbing_ = false;
  raiseConcurrencyLimit(HealthyWorker);
}

} // namespace marjorambend
