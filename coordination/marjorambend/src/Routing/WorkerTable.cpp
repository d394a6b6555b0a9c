#include "marjorambend/src/Routing/WorkerTable.h"

#include <algorithm>

namespace marjorambend {

void updateWorkers(WorkerTable &Table, std::span<const WorkerSpec> Listed) {
  for (Worker &Known : Table.Workers_)
    Known.IsListed_ = false;
  for (const WorkerSpec &Spec : Listed) {
    const auto Found = Table.Index_.find(Spec.Name_);
    if (Found == Table.Index_.end()) {
      Table.Index_.emplace(Spec.Name_,
                           static_cast<uint32_t>(Table.Workers_.size()));
      Table.Workers_.push_back(Worker{.Spec_ = Spec});
      continue;
    }
    Worker &Known = Table.Workers_[Found->second];
    const bool IsReplaced = Known.Spec_.Address_ != Spec.Address_ ||
                            Known.Spec_.Port_ != Spec.Port_;
    Known.Spec_ = Spec;
    Known.IsListed_ = true;
    if (!IsReplaced)
      continue;
    Known.LeavingUntil_ = {};
    Known.ConsecutiveFailures_ = 0;
    Known.EjectedUntil_ = {};
    Known.PausedUntil_ = {};
  }
}

bool isAvailable(const Worker &Candidate, Milliseconds Now) {
  if (!Candidate.IsListed_ || Candidate.Spec_.Leaving_ || Candidate.IsDrained_)
    return false;
  return Now >= Candidate.EjectedUntil_ && Now >= Candidate.LeavingUntil_;
}

bool isEligible(const Worker &Candidate, Milliseconds Now) {
  if (!isAvailable(Candidate, Now) || Now < Candidate.PausedUntil_)
    return false;
  return !Candidate.IsProbing_ || Candidate.Outstanding_ == 0;
}

uint32_t slotLimit(const Worker &Candidate) {
  const uint32_t Slots = Candidate.Spec_.Slots_;
  if (Candidate.PeerUse_ >= Slots)
    return 0;
  return std::min(Slots - Candidate.PeerUse_, Candidate.ConcurrencyLimit_);
}

void lowerConcurrencyLimit(Worker &Full) {
  Full.ConcurrencyLimit_ = std::max<uint32_t>(1, Full.Outstanding_);
}

void raiseConcurrencyLimit(Worker &Free) {
  if (Free.ConcurrencyLimit_ < Free.Spec_.Slots_)
    ++Free.ConcurrencyLimit_;
}

Capacity capacityOf(const WorkerTable &Table, Milliseconds Now) {
  Capacity Sum;
  for (const Worker &Candidate : Table.Workers_) {
    if (!isAvailable(Candidate, Now))
      continue;
    const uint32_t Limit = slotLimit(Candidate);
    ++Sum.Workers_;
    Sum.Slots_ += std::max(Limit, Candidate.Share_);
    if (isEligible(Candidate, Now) && Candidate.Outstanding_ < Limit)
      Sum.FreeSlots_ += Limit - Candidate.Outstanding_;
  }
  return Sum;
}

std::optional<uint32_t> findWorker(const WorkerTable &Table,
                                   std::string_view Name) {
  const auto Found = Table.Index_.find(std::string(Name));
  if (Found == Table.Index_.end())
    return std::nullopt;
  return Found->second;
}

} // namespace marjorambend
