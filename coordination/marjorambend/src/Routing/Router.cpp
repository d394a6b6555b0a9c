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
// than an idle one of the same speed.
static double costOf(const Worker &Candidate, double RunMs) {
  const double Load = static_cast<double>(Candidate.Outstanding_) /
                      std::max<uint32_t>(1, Candidate.Spec_.Slots_);
  return RunMs * Candidate.Slowness_ * (1.0 + 0.05 * Load);
}

static Choice earliestCompletion(const WorkerTable &Table,
                                 const RoutingOptions &Options, double RunMs,
                                 Milliseconds Now) {
  Choice Best;
  double BestCost = std::numeric_limits<double>::max();
  double FastestCost = std::numeric_limits<double>::max();
  for (uint32_t Index = 0; Index < Table.Workers_.size(); ++Index) {
    const Worker &Candidate = Table.Workers_[Index];
    if (!isEligible(Candidate, Now))
      continue;
    const double Cost = costOf(Candidate, RunMs);
    if (slotLimit(Candidate) > 0)
      FastestCost = std::min(FastestCost, Cost);
    if (!hasFreeSlot(Candidate) || Cost >= BestCost)
      continue;
    Best = Index;
    BestCost = Cost;
  }
  // A much slower worker is left idle: a faster one is free again sooner.
  if (Best && BestCost > Options.WaitRatio_ * FastestCost)
    return std::nullopt;
  return Best;
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
    const uint32_t Index = (Table.NextInTurn_ + Step) % Count;
    if (!isEligible(Table.Workers_[Index], Now))
      continue;
    Table.NextInTurn_ = Index + 1;
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
  return Ejected + 1 <= std::max(1.0, Options.EjectedShare_ * Listed);
}

} // namespace internal

std::optional<uint32_t> chooseWorker(WorkerTable &Table,
                                     const RoutingOptions &Options,
                                     double RunMs, Random &Generator,
                                     Milliseconds Now) {
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
  return internal::earliestCompletion(Table, Options, RunMs, Now);
}

Verdict blameWorker(WorkerTable &Table, const RoutingOptions &Options,
                    uint32_t Index, double KindSuccessRate, Milliseconds Now) {
  if (KindSuccessRate < Options.BlameFloor_)
    return Verdict::Kept;
  Worker &Blamed = Table.Workers_[Index];
  ++Blamed.FailureStreak_;
  const bool IsOver = Blamed.FailureStreak_ >= Options.FailureStreak_;
  if (!IsOver && !Blamed.IsProbing_)
    return Verdict::Kept;
  if (!Blamed.IsProbing_ && !internal::mayEject(Table, Options, Now))
    return Verdict::Kept;
  const uint32_t Doublings = std::min<uint32_t>(Blamed.Ejections_, 16);
  const Milliseconds Time = std::min(
      Options.EjectionMax_, Options.EjectionBase_ * (int64_t{1} << Doublings));
  Blamed.EjectedUntil_ = Now + Time;
  Blamed.IsProbing_ = true;
  Blamed.FailureStreak_ = 0;
  ++Blamed.Ejections_;
  return Verdict::Ejected;
}

void praiseWorker(WorkerTable &Table, uint32_t Index) {
  Worker &Praised = Table.Workers_[Index];
  Praised.FailureStreak_ = 0;
  Praised.Ejections_ = 0;
  Praised.IsProbing_ = false;
  raiseCeiling(Praised);
}

} // namespace marjorambend
