/// \file
/// \brief When the callers of refused jobs return.

#include "marjorambend/src/Fleet/PlacerStep.h"

#include <algorithm>

namespace marjorambend::internal {

// Capacity that the callers return to, and the time that it needs for the
// waiting work.
struct ReturnCapacity {
  int64_t MilliCores_ = 0;
  Milliseconds Backlog_;
};

static ReturnCapacity returnCapacity(const FleetStepContext &Ctx) {
  const PlacerState &Placer = Ctx.State_.Placing_;
  const PlacerOptions &Options = Ctx.State_.Options_.Placer_;
  const bool IsSettling =
      isSettling(Placer.Capacity_, Options.Overload_, Ctx.Now_);
  return {.MilliCores_ = expectedMilliCores(Placer.Capacity_, IsSettling),
          .Backlog_ = backlogTime(Placer.WaitingWork_, Placer.Capacity_,
                                  IsSettling, Options.Retry_)};
}

void reviewReturns(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  const PlacerOptions &Options = State.Options_.Placer_;
  if (Options.Overload_.Policy_ != AdmissionPolicy::LeastCost)
    return;
  ReturnLedger &Ledger = State.Placing_.Returns_;
  followPlacer(Ledger, State.Placer_ == State.Self_.Run_, Ctx.Now_);
  expireReturns(Ledger, returnCapacity(Ctx).Backlog_, Options.Returns_,
                Ctx.Now_);
}

// Jobs that no worker can run, and all jobs while no worker is open, wait for
// workers and not for capacity, so that none is promised to them.
Milliseconds returnDelay(FleetStepContext &Ctx, const PlacerJob &Job,
                         double Work, Milliseconds MinRetryAfter) {
  FleetInstance &State = Ctx.State_;
  const PlacerOptions &Options = State.Options_.Placer_;
  ReturnLedger &Ledger = State.Placing_.Returns_;
  const ReturnCapacity Capacity = returnCapacity(Ctx);
  const bool UsesLedger =
      MinRetryAfter == Milliseconds{} && Capacity.MilliCores_ > 0 &&
      usesLedger(Ledger, Options.Overload_, Options.Returns_, Ctx.Now_);
  if (!UsesLedger)
    return std::max(MinRetryAfter,
                    retryAfter(Capacity.Backlog_, uniformUnit(State.Generator_),
                               Options.Retry_));
  const ReturnTime Chosen =
      chooseReturnTime(Ledger,
                       {.Priority_ = Job.Request_.Priority_,
                        .Work_ = Work,
                        .Backlog_ = Capacity.Backlog_,
                        .MilliCores_ = Capacity.MilliCores_},
                       Options.Returns_, Options.Retry_, Ctx.Now_);
  increment(State.Counters_, Chosen.IsPromised_ ? Counter::ReturnsPromised
                                                : Counter::ReturnsUnpromised);
  return Chosen.Delay_;
}

} // namespace marjorambend::internal
