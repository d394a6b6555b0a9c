#include "marjorambend/src/Fleet/Placement.h"

#include <algorithm>
#include <tuple>

namespace marjorambend {
namespace internal {

// A task away from its data takes this many times as long; the platform's
// `remote_factor` is 1.5 to 2.
static constexpr double RemoteDataFactor = 2.0;

static bool hasLabel(const HeldWorker &Worker, const std::string &Label) {
  const auto &Labels = Worker.Report_.Labels_;
  return std::find(Labels.begin(), Labels.end(), Label) != Labels.end();
}

static bool isCrowded(const PlacerJob &Job, const std::string &Worker) {
  if (Job.Request_.MaxPerWorker_ == 0)
    return false;
  const auto Count = std::count_if(
      Job.Reservations_.begin(), Job.Reservations_.end(),
      [&Worker](const Reservation &One) { return One.Worker_ == Worker; });
  return Count >= static_cast<std::ptrdiff_t>(Job.Request_.MaxPerWorker_);
}

} // namespace internal

bool isEligible(const PlacerJob &Job, const PlacerWorker &Worker) {
  const HeldWorker &Held = Worker.Held_;
  if (Held.Report_.Service_ != Job.Request_.Service_)
    return false;
  if (!Job.Request_.Label_.empty() &&
      !internal::hasLabel(Held, Job.Request_.Label_))
    return false;
  return fits(Job.Request_.Needs_, Held.Report_.Capacity_);
}

Milliseconds expectedRun(const PlacerJob &Job, const PlacerWorker &Worker,
                         double UsualSlowness) {
  double Factor = Worker.Held_.Slowness_ / UsualSlowness;
  if (!Job.Request_.DataRack_.empty() &&
      !internal::hasLabel(Worker.Held_, Job.Request_.DataRack_))
    Factor *= internal::RemoteDataFactor;
  return {static_cast<int64_t>(
      static_cast<double>(Job.Request_.Estimate_.Count_) * Factor)};
}

std::map<std::string, PlacerWorker>::iterator
chooseWorkerFor(std::map<std::string, PlacerWorker> &Workers,
                const TaskWish &Wish, const PlacerOptions &Options,
                Milliseconds Now) {
  const PlacerJob &Job = Wish.Job_;
  auto Best = Workers.end();
  // Steps of similar run time, then whether it is far, then what is left over.
  std::tuple<int64_t, bool, int64_t> BestRank;
  const auto Step = std::max<int64_t>(
      1, static_cast<int64_t>(
             static_cast<double>(Job.Request_.Estimate_.Count_) *
             Options.SimilarRunTime_));
  for (auto It = Workers.begin(); It != Workers.end(); ++It) {
    const PlacerWorker &Worker = It->second;
    // The cheapest tests come first: most workers are full when it matters.
    const Room Free = Worker.Held_.Report_.Capacity_ - Worker.Reserved_;
    if (!fits(Job.Request_.Needs_, Free) || !Worker.Held_.IsOpen_ ||
        Worker.BackOffUntil_ > Now || !isEligible(Job, Worker) ||
        internal::isCrowded(Job, It->first))
      continue;
    const Milliseconds Run = expectedRun(Job, Worker, Wish.UsualSlowness_);
    if (Wish.EndBefore_ && Now + Run > *Wish.EndBefore_)
      continue;
    const bool IsFar =
        Worker.Held_.Report_.DataCentre_ != Job.OriginDataCentre_;
    const std::tuple<int64_t, bool, int64_t> Rank{
        Run.Count_ / Step, IsFar,
        Free.MilliCores_ - Job.Request_.Needs_.MilliCores_};
    if (Best == Workers.end() || Rank < BestRank) {
      Best = It;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace marjorambend
