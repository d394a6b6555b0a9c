/// \file
/// \brief Admits waiting jobs by least cost.

#include "marjorambend/src/Fleet/PlacerAdmission.h"
#include "marjorambend/src/Fleet/PlacerStep.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace marjorambend::internal {

// An operator sees the shares of a burst in a few lines.
static constexpr Milliseconds ShareLogInterval{1'000};

static const OverloadOptions &overloadOptions(const FleetStepContext &Ctx) {
  return Ctx.State_.Options_.Placer_.Overload_;
}

bool admitsByLeastCost(const FleetStepContext &Ctx) {
  return overloadOptions(Ctx).Policy_ == AdmissionPolicy::LeastCost;
}

static Milliseconds startBy(const FleetStepContext &Ctx, const PlacerJob &Job) {
  return marjorambend::startBy(Job.ArrivedAt_, latestStart(Job),
                               overloadOptions(Ctx).LeastCost_);
}

Milliseconds queueRank(const FleetStepContext &Ctx, const PlacerJob &Job) {
  if (!admitsByLeastCost(Ctx))
    return latestStart(Job) +
           Ctx.State_.Options_.Placer_.PriorityStep_ * Job.Request_.Priority_;
  return isStarted(Job) ? Job.ArrivedAt_ : startBy(Ctx, Job);
}

void beginAdmission(FleetStepContext &Ctx, PlacerJob &Job) {
  if (!admitsByLeastCost(Ctx) || isStarted(Job))
    Job.IsAdmitted_ = true;
  if (!Job.IsAdmitted_ && Job.Size_.Work_ <= 0)
    Job.Size_ = recordDemand(Ctx.State_.Placing_.Shares_,
                             Job.Request_.Priority_, waitingWork(Job),
                             overloadOptions(Ctx).LeastCost_.Shares_, Ctx.Now_);
}

static void admit(FleetStepContext &Ctx, PlacerJob &Job) {
  Job.IsAdmitted_ = true;
  recordAdmission(Ctx.State_.Placing_.Shares_, Job.Size_,
                  overloadOptions(Ctx).LeastCost_.Shares_, Ctx.Now_);
}

void recordPlacement(FleetStepContext &Ctx, PlacerJob &Job) {
  if (!admitsByLeastCost(Ctx) || !Job.Waiting_)
    return;
  PlacerState &Placer = Ctx.State_.Placing_;
  removeFromQueue(queueOf(Placer, Job), *Job.Waiting_);
  if (!Job.IsAdmitted_)
    admit(Ctx, Job);
  Job.IsLate_ = false;
  Job.Waiting_->Rank_ = queueRank(Ctx, Job);
  addToQueue(queueOf(Placer, Job), *Job.Waiting_);
}

void recordRefusal(FleetStepContext &Ctx, const PlacerJob &Job) {
  if (admitsByLeastCost(Ctx) && Job.Size_.Work_ > 0)
    recordRefusal(Ctx.State_.Placing_.Shares_, Job.Size_, Job.IsAdmitted_,
                  overloadOptions(Ctx).LeastCost_.Shares_, Ctx.Now_);
}

// What is reserved while jobs wait is what the fleet can do at present; a run
// on a slow worker takes longer than its estimate.
static double milliCoresAtWork(const PlacerState &Placer) {
  double Sum = 0;
  for (const auto &[Id, Worker] : Placer.Workers_) {
    if (Worker.Held_.IsOpen_)
      Sum += static_cast<double>(
                 std::min(Worker.Reserved_.MilliCores_,
                          Worker.Held_.Report_.Capacity_.MilliCores_)) /
             Worker.Held_.Slowness_;
  }
  return Sum;
}

static void collectJobs(const FleetStepContext &Ctx, const WaitingQueue &Queue,
                        std::vector<AdmissionJob> &Into) {
  for (const auto &[Need, Jobs] : Queue.ByNeed_) {
    for (const WaitingJob &Entry : Jobs) {
      const PlacerJob &Job = Ctx.State_.Placing_.Jobs_.at(Entry.Key_);
      Into.push_back({.Key_ = Entry.Key_,
                      .Size_ = Job.Size_,
                      .WaitingWork_ = waitingWork(Job),
                      .StartBy_ = startBy(Ctx, Job),
                      .IsStarted_ = isStarted(Job),
                      .IsAdmitted_ = Job.IsAdmitted_});
    }
  }
}

// Percent of the sum of all classes, by class, separated by slashes.
static std::string sharesOf(const FairShares &Shares,
                            double ClassWork::*Amount) {
  double Sum = 0;
  for (const ClassWork &Class : Shares.Window_)
    Sum += std::max(0.0, Class.*Amount);
  std::string Text;
  for (const ClassWork &Class : Shares.Window_) {
    const double Part = Sum > 0 ? std::max(0.0, Class.*Amount) / Sum : 0;
    Text += (Text.empty() ? "" : "/") + std::to_string(std::lround(Part * 100));
  }
  return Text;
}

static void logShares(FleetStepContext &Ctx, std::size_t Waiting,
                      std::size_t Refused) {
  PlacerState &Placer = Ctx.State_.Placing_;
  if (Refused == 0 || Ctx.Now_ - Placer.SharesLoggedAt_ < ShareLogInterval)
    return;
  Placer.SharesLoggedAt_ = Ctx.Now_;
  log(Ctx, "admission_shares", 0,
      {{"demanded_pct", sharesOf(Placer.Shares_, &ClassWork::Demanded_)},
       {"admitted_pct", sharesOf(Placer.Shares_, &ClassWork::Admitted_)},
       {"refused_pct", sharesOf(Placer.Shares_, &ClassWork::Refused_)},
       {"waiting_jobs", std::to_string(Waiting)},
       {"refused", std::to_string(Refused)}});
}

bool isFleetBusy(const FleetStepContext &Ctx) {
  const PlacerState &Placer = Ctx.State_.Placing_;
  return static_cast<double>(Placer.ReservedMilliCores_) >=
         overloadOptions(Ctx).LeastCost_.BusyShare_ *
             static_cast<double>(Placer.Capacity_.OpenMilliCores_);
}

std::vector<AdmissionRefusal> admitWaitingJobs(FleetStepContext &Ctx) {
  PlacerState &Placer = Ctx.State_.Placing_;
  if (Placer.Unreviewed_.Size_ == 0)
    return {};
  const LeastCostOptions &Options = overloadOptions(Ctx).LeastCost_;
  const double MilliCores = milliCoresAtWork(Placer);
  if (MilliCores <= 0)
    return {};
  std::vector<AdmissionJob> Jobs;
  collectJobs(Ctx, Placer.InTime_, Jobs);
  collectJobs(Ctx, Placer.Unreviewed_, Jobs);
  advanceWindow(Placer.Shares_, Options.Shares_, Ctx.Now_);
  const AdmissionReview Review =
      reviewAdmission(Jobs, MilliCores, Placer.Shares_, Options, Ctx.Now_);
  for (const PlacerJobKey &Key : Review.Admitted_) {
    PlacerJob &Job = Placer.Jobs_.at(Key);
    removeFromQueue(Placer.Unreviewed_, *Job.Waiting_);
    admit(Ctx, Job);
    addToQueue(Placer.InTime_, *Job.Waiting_);
  }
  Placer.IsDirty_ = Placer.IsDirty_ || !Review.Admitted_.empty();
  logShares(Ctx, Jobs.size(), Review.Refused_.size());
  return Review.Refused_;
}

} // namespace marjorambend::internal
