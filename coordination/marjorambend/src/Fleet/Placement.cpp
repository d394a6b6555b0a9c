#include "marjorambend/src/Fleet/Placement.h"

#include <algorithm>
#include <utility>
#include <vector>

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

namespace internal {

static bool canTakeNow(const PlacerWorker &Worker, const std::string &Id,
                       const TaskWish &Wish, Milliseconds Now) {
  const PlacerJob &Job = Wish.Job_;
  const Room Free = Worker.Held_.Report_.Capacity_ - Worker.Reserved_;
  if (!fits(Job.Request_.Needs_, Free) || !Worker.Held_.IsOpen_ ||
      Worker.BackOffUntil_ > Now || !isEligible(Job, Worker) ||
      isCrowded(Job, Id))
    return false;
  return !Wish.EndBefore_ ||
         Now + expectedRun(Job, Worker, Wish.UsualSlowness_) <=
             *Wish.EndBefore_;
}

} // namespace internal

std::map<std::string, PlacerWorker>::iterator
chooseWorkerFor(PlacerState &Placing, const TaskWish &Wish,
                const PlacerOptions &Options, Milliseconds Now) {
  const PlacerJob &Job = Wish.Job_;
  std::map<std::string, PlacerWorker> &Workers = Placing.Workers_;
  std::vector<std::map<std::string, PlacerWorker>::iterator> Able;
  Milliseconds Shortest{INT64_MAX};
  // Most workers are full when it matters.
  for (auto Free = Placing.ByFree_.lower_bound(
           {Job.Request_.Needs_.MilliCores_, std::string()});
       Free != Placing.ByFree_.end(); ++Free) {
    const auto It = Workers.find(Free->second);
    if (!internal::canTakeNow(It->second, It->first, Wish, Now))
      continue;
    Able.push_back(It);
    Shortest =
        std::min(Shortest, expectedRun(Job, It->second, Wish.UsualSlowness_));
  }
  const auto Similar =
      static_cast<double>(Shortest.Count_) * (1.0 + Options.SimilarRunTime_);
  auto Best = Workers.end();
  std::pair<bool, int64_t> BestRank; // whether it is far, what is left over
  for (const auto It : Able) {
    const Milliseconds Run = expectedRun(Job, It->second, Wish.UsualSlowness_);
    if (static_cast<double>(Run.Count_) > Similar)
      continue;
    const WorkerReport &Report = It->second.Held_.Report_;
    const std::pair<bool, int64_t> Rank{
        Report.DataCentre_ != Job.OriginDataCentre_,
        Report.Capacity_.MilliCores_ - It->second.Reserved_.MilliCores_};
    if (Best == Workers.end() || Rank < BestRank) {
      Best = It;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace marjorambend
