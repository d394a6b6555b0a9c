/// \file
/// \brief Keeps the workers and jobs that the placer knows.

#include "marjorambend/src/Fleet/Placement.h"
#include "marjorambend/src/Fleet/PlacerAdmission.h"
#include "marjorambend/src/Fleet/PlacerStep.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace marjorambend::internal {

void addReservation(PlacerState &Placer, const std::string &Id,
                    const Room &More) {
  const auto Found = Placer.Workers_.find(Id);
  if (Found == Placer.Workers_.end())
    return;
  Found->second.Reserved_ = Found->second.Reserved_ + More;
  updateWorkerIndex(Placer, Id, Found->second);
}

static void unreserve(PlacerState &Placer, const Reservation &Released) {
  addReservation(Placer, Released.Worker_, Room{} - Released.Amount_);
  Placer.IsDirty_ = true;
}

Room amountToReserve(const PlacerState &Placer, const std::string &Worker,
                     const Room &Needs, bool IsSuspect) {
  const auto Known = Placer.Workers_.find(Worker);
  if (!IsSuspect || Known == Placer.Workers_.end())
    return Needs;
  const Room Free =
      Known->second.Held_.Report_.Capacity_ - Known->second.Reserved_;
  return fits(Needs, Free) ? Free : Needs;
}

static void removeFromQueue(PlacerState &Placer, PlacerJob &Job) {
  if (Job.Waiting_)
    removeFromQueue(queueOf(Placer, Job), *Job.Waiting_);
  Job.Waiting_.reset();
}

void handleWorkersHeld(FleetStepContext &Ctx, Incarnation Holder,
                       const WorkersHeld &Held) {
  FleetInstance &State = Ctx.State_;
  for (const HeldWorker &Worker : Held.Workers_) {
    const std::string &Id = Worker.Report_.Id_;
    if (Holder != State.Self_.Run_)
      State.HeldByOthers_[Id] = Holder;
    PlacerWorker &Known = State.Placing_.Workers_[Id];
    // If two holders report a worker, the fenced-off one reports it as closed.
    const bool IsContested =
        Known.Holder_ != Holder && Known.IsReportedOpen_ && !Worker.IsOpen_;
    if (IsContested)
      continue;
    if (Worker.Report_.Incarnation_ != Known.Held_.Report_.Incarnation_)
      Known.BackOffUntil_ = {};
    Known.Held_ = Worker;
    Known.IsReportedOpen_ = Worker.IsOpen_;
    Known.Held_.IsOpen_ = Worker.IsOpen_ && isAdmitted(Ctx, Worker.Report_);
    Known.Holder_ = Holder;
    updateWorkerIndex(State.Placing_, Id, Known);
  }
  State.Placing_.IsDirty_ = true;
  recordToken(State, Held.HighestToken_);
}

static void setSlowness(PlacerState &Placer, const WorkerPace &News,
                        PlacerWorker &Worker) {
  Worker.Held_.Slowness_ = News.Slowness_;
  updateWorkerIndex(Placer, News.Id_, Worker);
}

void handleWorkerPaces(FleetStepContext &Ctx, Incarnation Holder,
                       const WorkerPaces &News) {
  PlacerState &Placer = Ctx.State_.Placing_;
  for (const WorkerPace &One : News.Workers_) {
    const auto Known = Placer.Workers_.find(One.Id_);
    if (Known != Placer.Workers_.end() && Known->second.Holder_ == Holder)
      setSlowness(Placer, One, Known->second);
  }
}

void handleWorkersDropped(FleetStepContext &Ctx, Incarnation Holder,
                          const WorkersDropped &Dropped) {
  FleetInstance &State = Ctx.State_;
  for (const std::string &Id : Dropped.Ids_) {
    const auto Other = State.HeldByOthers_.find(Id);
    if (Other != State.HeldByOthers_.end() && Other->second == Holder)
      State.HeldByOthers_.erase(Other);
    const auto Known = State.Placing_.Workers_.find(Id);
    if (Known != State.Placing_.Workers_.end() &&
        Known->second.Holder_ == Holder)
      removeWorker(State.Placing_, Id);
  }
}

void removeInstanceFromPlacer(FleetStepContext &Ctx, Incarnation Run) {
  FleetInstance &State = Ctx.State_;
  PlacerState &Placer = State.Placing_;
  std::erase_if(State.HeldByOthers_,
                [Run](const auto &Entry) { return Entry.second == Run; });
  for (auto It = Placer.Jobs_.begin(); It != Placer.Jobs_.end();) {
    if (It->first.first != Run) {
      ++It;
      continue;
    }
    for (const Reservation &One : It->second.Reservations_)
      unreserve(Placer, One);
    removeFromQueue(Placer, It->second);
    It = Placer.Jobs_.erase(It);
  }
  std::vector<std::string> Removed;
  for (const auto &[Id, Worker] : Placer.Workers_) {
    if (Worker.Holder_ == Run)
      Removed.push_back(Id);
  }
  for (const std::string &Id : Removed)
    removeWorker(Placer, Id);
}

static std::string dataCentreOf(const FleetInstance &State, Incarnation Run) {
  if (Run == State.Self_.Run_)
    return State.Self_.DataCentre_;
  const auto Found = State.Members_.find(Run);
  return Found == State.Members_.end() ? std::string()
                                       : Found->second.Info_.DataCentre_;
}

void handlePlaceRequest(FleetStepContext &Ctx, Incarnation Origin,
                        PlaceRequest Request) {
  PlacerState &Placer = Ctx.State_.Placing_;
  PlacerJob &Job = Placer.Jobs_[{Origin, Request.Job_}];
  if (Job.ArrivedAt_.Count_ == 0)
    Job.ArrivedAt_ = Ctx.Now_;
  Job.Origin_ = Origin;
  Job.OriginDataCentre_ = dataCentreOf(Ctx.State_, Origin);
  Job.ObjectiveAt_ = Ctx.Now_ + Request.ObjectiveIn_;
  Job.GiveUpAt_ = Ctx.Now_ + Request.GiveUpIn_;
  std::vector<uint32_t> Waiting = std::move(Job.Request_.Tasks_);
  Waiting.insert(Waiting.end(), Request.Tasks_.begin(), Request.Tasks_.end());
  if (Request.IsSuspect_)
    Job.Suspects_.insert(Request.Tasks_.begin(), Request.Tasks_.end());
  Job.Request_ = std::move(Request);
  Job.Request_.Tasks_ = std::move(Waiting);
  removeFromQueue(Placer, Job);
  const Milliseconds Latest = latestStart(Job);
  Job.Waiting_ = WaitingJob{.Rank_ = queueRank(Ctx, Job),
                            .Key_ = {Origin, Job.Request_.Job_},
                            .LatestStart_ = Latest,
                            .MilliCores_ = Job.Request_.Needs_.MilliCores_};
  Job.IsLate_ = Latest < Ctx.Now_ && !isStarted(Job);
  beginAdmission(Ctx, Job);
  addToQueue(queueOf(Placer, Job), *Job.Waiting_);
  Placer.NewJobs_.push_back(Job.Waiting_->Key_);
}

void removeIfDone(PlacerState &Placer, const PlacerJobKey &Key) {
  const auto Found = Placer.Jobs_.find(Key);
  if (Found == Placer.Jobs_.end() || !Found->second.Request_.Tasks_.empty())
    return;
  removeFromQueue(Placer, Found->second);
  if (Found->second.Reservations_.empty())
    Placer.Jobs_.erase(Found);
}

void handlePlaceWithdraw(FleetStepContext &Ctx, Incarnation Origin,
                         const PlaceWithdraw &Job) {
  PlacerState &Placer = Ctx.State_.Placing_;
  const PlacerJobKey Key{Origin, Job.Job_};
  const auto Found = Placer.Jobs_.find(Key);
  if (Found == Placer.Jobs_.end())
    return;
  Found->second.Request_.Tasks_.clear();
  Found->second.Suspects_.clear();
  removeIfDone(Placer, Key);
}

// A run on a slow worker or with remote data takes longer for another reason
// than its estimate. Jobs that another placer has placed have no route here.
static void learnRunTime(FleetStepContext &Ctx, const PlacerJob &Job,
                         const PlacerWorker &Worker, uint16_t RanPercent) {
  const PlacerOptions &Options = Ctx.State_.Options_.Placer_;
  PlacerState &Placer = Ctx.State_.Placing_;
  if (RanPercent == 0 || !Options.LearnsRunTimes_)
    return;
  constexpr double PerCent = 100.0;
  const double Expected =
      runTimeFactor(Job, Worker, Placer.MedianSlowness_, Options.RemoteFactor_);
  observeRatio(Placer.RunTimes_, Job.Request_.Route_,
               RanPercent / PerCent / Expected, Options.RunTimes_, Ctx.Now_);
}

static void recordRelease(FleetStepContext &Ctx, const PlacerWorker &Worker,
                          const Reservation &Released) {
  if (!Ctx.State_.Options_.Placer_.WaitsForData_)
    return;
  for (const std::string &Label : Worker.Held_.Report_.Labels_)
    observeRelease(Ctx.State_.Placing_.Releases_[Label],
                   Released.Amount_.MilliCores_, Ctx.Now_);
}

void handlePlaceRelease(FleetStepContext &Ctx, Incarnation Origin,
                        const PlaceRelease &Place) {
  PlacerState &Placer = Ctx.State_.Placing_;
  const PlacerJobKey Key{Origin, Place.Job_};
  const auto Found = Placer.Jobs_.find(Key);
  if (Found == Placer.Jobs_.end())
    return;
  PlacerJob &Job = Found->second;
  const auto One = std::find_if(
      Job.Reservations_.begin(), Job.Reservations_.end(),
      [&Place](const Reservation &R) {
        return R.Task_ == Place.Task_ &&
               (Place.Worker_.empty() || R.Worker_ == Place.Worker_);
      });
  if (One == Job.Reservations_.end())
    return;
  const auto Worker = Placer.Workers_.find(One->Worker_);
  if (Place.End_ == RunEnd::NotStarted && Worker != Placer.Workers_.end())
    Worker->second.BackOffUntil_ =
        Ctx.Now_ + Ctx.State_.Options_.Placer_.BackOff_;
  if (Worker != Placer.Workers_.end() && Place.End_ == RunEnd::Done) {
    learnRunTime(Ctx, Job, Worker->second, Place.RanPercent_);
    recordRelease(Ctx, Worker->second, *One);
    if (isRemote(Job, Worker->second))
      increment(Ctx.State_.Counters_, Counter::PlacementsRemote);
  }
  unreserve(Placer, *One);
  Job.Reservations_.erase(One);
  removeIfDone(Placer, Key);
}

void handlePlaceAdopt(FleetStepContext &Ctx, Incarnation Origin,
                      const PlaceAdopt &Place) {
  PlacerState &Placer = Ctx.State_.Placing_;
  PlacerJob &Job = Placer.Jobs_[{Origin, Place.Job_}];
  Job.Origin_ = Origin;
  Job.Request_.Needs_ = Place.Needs_;
  const Room Amount =
      amountToReserve(Placer, Place.Worker_, Place.Needs_, Place.IsSuspect_);
  Job.Reservations_.push_back({Place.Task_, Place.Worker_, Amount});
  addReservation(Placer, Place.Worker_, Amount);
}

} // namespace marjorambend::internal
