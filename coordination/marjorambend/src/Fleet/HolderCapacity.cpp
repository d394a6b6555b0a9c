/// \file
/// \brief The capacity at which a held worker is used.

#include "marjorambend/src/Fleet/HoldStep.h"

#include <algorithm>
#include <string>

namespace marjorambend::internal {

static Room smallerOf(const Room &A, const Room &B) {
  return {std::min(A.MilliCores_, B.MilliCores_),
          std::min(A.MemoryMb_, B.MemoryMb_),
          std::min(A.Accelerators_, B.Accelerators_)};
}

Room usableCapacity(const WorkerHold &Hold) {
  return Hold.CapacityLimit_
             ? smallerOf(*Hold.CapacityLimit_, Hold.Report_.Capacity_)
             : Hold.Report_.Capacity_;
}

// Which resource was short is not known. Lowers the one of which the largest
// share would be in use.
static Room justBelow(const Room &Used, const Room &Capacity) {
  const auto Share = [](int64_t Taken, int64_t Of) {
    return static_cast<double>(Taken) /
           static_cast<double>(std::max<int64_t>(Of, 1));
  };
  const double MilliCores = Share(Used.MilliCores_, Capacity.MilliCores_);
  const double Memory = Share(Used.MemoryMb_, Capacity.MemoryMb_);
  const double Accelerators = Share(Used.Accelerators_, Capacity.Accelerators_);
  Room Below = Capacity;
  if (MilliCores >= std::max(Memory, Accelerators))
    Below.MilliCores_ = Used.MilliCores_ - 1;
  else if (Memory >= Accelerators)
    Below.MemoryMb_ = Used.MemoryMb_ - 1;
  else
    Below.Accelerators_ = Used.Accelerators_ - 1;
  return Below;
}

HeldWorker describeWorker(const WorkerHold &Hold, Milliseconds Now) {
  HeldWorker Described{.Report_ = Hold.Report_,
                       .IsOpen_ = isOpen(Hold, Now),
                       .Slowness_ = Hold.Slowness_};
  Described.Report_.Capacity_ = usableCapacity(Hold);
  return Described;
}

void logCapacityChange(FleetStepContext &Ctx, const WorkerHold &Hold,
                       const Room &Before, std::string_view Why) {
  const Room Usable = usableCapacity(Hold);
  if (Usable == Before)
    return;
  log(Ctx, "worker_capacity", 0,
      {{"worker", Hold.Report_.Id_},
       {"cores_m", std::to_string(Usable.MilliCores_)},
       {"before_m", std::to_string(Before.MilliCores_)},
       {"mem_mb", std::to_string(Usable.MemoryMb_)},
       {"used_m", std::to_string(Hold.Used_.MilliCores_)},
       {"why", std::string(Why)}});
}

void limitCapacity(FleetStepContext &Ctx, WorkerHold &Hold) {
  const Room Before = usableCapacity(Hold);
  // Otherwise a newer report explains the rejection.
  if (!fits(Hold.Used_, Before))
    return;
  Hold.CapacityLimit_ = justBelow(Hold.Used_, Before);
  Hold.CapacityLimitUntil_ =
      Ctx.Now_ + Ctx.State_.Options_.Holder_.CapacityLimitTime_;
  logCapacityChange(Ctx, Hold, Before, "the worker rejects a start");
  announceWorker(Ctx, Hold);
}

void expireCapacityLimit(FleetStepContext &Ctx, WorkerHold &Hold) {
  if (!Hold.CapacityLimit_ || Hold.CapacityLimitUntil_ > Ctx.Now_)
    return;
  const Room Before = usableCapacity(Hold);
  Hold.CapacityLimit_.reset();
  logCapacityChange(Ctx, Hold, Before, "the limit has expired");
  announceWorker(Ctx, Hold);
}

} // namespace marjorambend::internal
