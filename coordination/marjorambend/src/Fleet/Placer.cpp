/// \file
/// \brief Placing the waiting tasks of all instances on all workers.

#include "marjorambend/src/Fleet/FleetStep.h"
#include "marjorambend/src/Fleet/Placement.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace marjorambend::internal {

static void addReserved(PlacerState &Placing, const std::string &Id,
                        const Room &More) {
  const auto Found = Placing.Workers_.find(Id);
  if (Found == Placing.Workers_.end())
    return;
  Found->second.Reserved_ = Found->second.Reserved_ + More;
  updateWorkerIndex(Placing, Id, Found->second);
}

static void unreserve(PlacerState &Placing, const PlacerJob &Job,
                      const std::string &Worker) {
  addReserved(Placing, Worker, Room{} - Job.Request_.Needs_);
  Placing.IsDirty_ = true;
}

static void stopWaiting(PlacerState &Placing, PlacerJob &Job) {
  if (Job.Waiting_)
    Placing.Waiting_.erase(*Job.Waiting_);
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
    // Of two holders, the one that was fenced off reports it as closed.
    const bool IsContested =
        Known.Holder_ != Holder && Known.Held_.IsOpen_ && !Worker.IsOpen_;
    if (IsContested)
      continue;
    if (Worker.Report_.Incarnation_ != Known.Held_.Report_.Incarnation_)
      Known.BackOffUntil_ = {};
    Known.Held_ = Worker;
    Known.Holder_ = Holder;
    updateWorkerIndex(State.Placing_, Id, Known);
  }
  State.Placing_.IsDirty_ = true;
  recordToken(State, Held.HighestToken_);
}

static void setPace(PlacerState &Placing, const WorkerPace &News,
                    PlacerWorker &Worker) {
  Worker.Held_.Slowness_ = News.Slowness_;
  updateWorkerIndex(Placing, News.Id_, Worker);
}

void handleWorkerPaces(FleetStepContext &Ctx, Incarnation Holder,
                       const WorkerPaces &News) {
  PlacerState &Placing = Ctx.State_.Placing_;
  for (const WorkerPace &One : News.Workers_) {
    const auto Known = Placing.Workers_.find(One.Id_);
    if (Known != Placing.Workers_.end() && Known->second.Holder_ == Holder)
      setPace(Placing, One, Known->second);
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
  PlacerState &Placing = State.Placing_;
  std::erase_if(State.HeldByOthers_,
                [Run](const auto &Entry) { return Entry.second == Run; });
  for (auto It = Placing.Jobs_.begin(); It != Placing.Jobs_.end();) {
    if (It->first.first != Run) {
      ++It;
      continue;
    }
    for (const Reservation &One : It->second.Reservations_)
      unreserve(Placing, It->second, One.Worker_);
    stopWaiting(Placing, It->second);
    It = Placing.Jobs_.erase(It);
  }
  std::vector<std::string> Gone;
  for (const auto &[Id, Worker] : Placing.Workers_) {
    if (Worker.Holder_ == Run)
      Gone.push_back(Id);
  }
  for (const std::string &Id : Gone)
    removeWorker(Placing, Id);
}

static std::string dataCentreOf(const FleetInstance &State, Incarnation Run) {
  if (Run == State.Self_.Run_)
    return State.Self_.DataCentre_;
  const auto Found = State.Members_.find(Run);
  return Found == State.Members_.end() ? std::string()
                                       : Found->second.Info_.DataCentre_;
}

// The last moment at which a task of usual run time ends in time.
static Milliseconds latestStart(const PlacerJob &Job) {
  return Job.ObjectiveAt_ - Job.Request_.Estimate_;
}

void handlePlaceRequest(FleetStepContext &Ctx, Incarnation Origin,
                        PlaceRequest Request) {
  PlacerState &Placing = Ctx.State_.Placing_;
  PlacerJob &Job = Placing.Jobs_[{Origin, Request.Job_}];
  if (Job.ArrivedAt_.Count_ == 0)
    Job.ArrivedAt_ = Ctx.Now_;
  Job.Origin_ = Origin;
  Job.OriginDataCentre_ = dataCentreOf(Ctx.State_, Origin);
  Job.ObjectiveAt_ = Ctx.Now_ + Request.ObjectiveIn_;
  Job.GiveUpAt_ = Ctx.Now_ + Request.GiveUpIn_;
  std::vector<uint32_t> Waiting = std::move(Job.Request_.Tasks_);
  Waiting.insert(Waiting.end(), Request.Tasks_.begin(), Request.Tasks_.end());
  Job.Request_ = std::move(Request);
  Job.Request_.Tasks_ = std::move(Waiting);
  stopWaiting(Placing, Job);
  const Milliseconds Latest = latestStart(Job);
  Job.Waiting_ =
      WaitingJob{.Rank_ = Latest + Ctx.State_.Options_.Placer_.PriorityStep_ *
                                       Job.Request_.Priority_,
                 .Key_ = {Origin, Job.Request_.Job_},
                 .LatestStart_ = Latest,
                 .MilliCores_ = Job.Request_.Needs_.MilliCores_};
  Placing.Waiting_.insert(*Job.Waiting_);
  Placing.IsDirty_ = true;
}

static void forgetIfDone(PlacerState &Placing, const PlacerJobKey &Key) {
  const auto Found = Placing.Jobs_.find(Key);
  if (Found == Placing.Jobs_.end() || !Found->second.Request_.Tasks_.empty())
    return;
  stopWaiting(Placing, Found->second);
  if (Found->second.Reservations_.empty())
    Placing.Jobs_.erase(Found);
}

void handlePlaceWithdraw(FleetStepContext &Ctx, Incarnation Origin,
                         const PlaceWithdraw &Job) {
  PlacerState &Placing = Ctx.State_.Placing_;
  const PlacerJobKey Key{Origin, Job.Job_};
  const auto Found = Placing.Jobs_.find(Key);
  if (Found == Placing.Jobs_.end())
    return;
  Found->second.Request_.Tasks_.clear();
  forgetIfDone(Placing, Key);
}

void handlePlaceRelease(FleetStepContext &Ctx, Incarnation Origin,
                        const PlaceRelease &Place) {
  PlacerState &Placing = Ctx.State_.Placing_;
  const PlacerJobKey Key{Origin, Place.Job_};
  const auto Found = Placing.Jobs_.find(Key);
  if (Found == Placing.Jobs_.end())
    return;
  PlacerJob &Job = Found->second;
  const auto One = std::find_if(
      Job.Reservations_.begin(), Job.Reservations_.end(),
      [&Place](const Reservation &R) { return R.Task_ == Place.Task_; });
  if (One == Job.Reservations_.end())
    return;
  const auto Worker = Placing.Workers_.find(One->Worker_);
  if (Place.End_ == RunEnd::NotStarted && Worker != Placing.Workers_.end())
    Worker->second.BackOffUntil_ =
        Ctx.Now_ + Ctx.State_.Options_.Placer_.BackOff_;
  unreserve(Placing, Job, One->Worker_);
  Job.Reservations_.erase(One);
  forgetIfDone(Placing, Key);
}

void handlePlaceAdopt(FleetStepContext &Ctx, Incarnation Origin,
                      const PlaceAdopt &Place) {
  PlacerState &Placing = Ctx.State_.Placing_;
  PlacerJob &Job = Placing.Jobs_[{Origin, Place.Job_}];
  Job.Origin_ = Origin;
  Job.Request_.Needs_ = Place.Needs_;
  Job.Reservations_.push_back({Place.Task_, Place.Worker_});
  addReserved(Placing, Place.Worker_, Place.Needs_);
}

// Estimates are compared with the faster half of the fleet, since a job's
// objective is meant for sound workers.
static double usualSlowness(FleetStepContext &Ctx) {
  PlacerState &Placing = Ctx.State_.Placing_;
  if (Ctx.Now_ - Placing.MedianComputedAt_ <
      Ctx.State_.Options_.Placer_.SlownessRefreshInterval_)
    return Placing.MedianSlowness_;
  Placing.MedianComputedAt_ = Ctx.Now_;
  std::vector<double> Known;
  for (const auto &[Id, Worker] : Placing.Workers_) {
    if (Worker.Held_.IsOpen_)
      Known.push_back(Worker.Held_.Slowness_);
  }
  if (Known.empty())
    return Placing.MedianSlowness_;
  const auto Middle =
      Known.begin() + static_cast<std::ptrdiff_t>(Known.size() / 2);
  std::nth_element(Known.begin(), Middle, Known.end());
  Placing.MedianSlowness_ = *Middle;
  return *Middle;
}

// Milliseconds for which the open workers have work that waits.
static double backlog(FleetStepContext &Ctx) {
  const PlacerOptions &Options = Ctx.State_.Options_.Placer_;
  PlacerState &Placing = Ctx.State_.Placing_;
  if (Ctx.Now_ - Placing.BacklogComputedAt_ < Options.SlownessRefreshInterval_)
    return Placing.Backlog_;
  Placing.BacklogComputedAt_ = Ctx.Now_;
  double Work = 0; // milli-core milliseconds
  double Cores = 0;
  for (const WaitingJob &One : Placing.Waiting_) {
    const PlaceRequest &Request = Placing.Jobs_.at(One.Key_).Request_;
    Work += static_cast<double>(Request.Tasks_.size()) *
            static_cast<double>(Request.Needs_.MilliCores_) *
            static_cast<double>(Request.Estimate_.Count_);
  }
  for (const auto &[Id, Worker] : Placing.Workers_) {
    if (Worker.Held_.IsOpen_)
      Cores += static_cast<double>(Worker.Held_.Report_.Capacity_.MilliCores_);
  }
  Placing.Backlog_ =
      Cores > 0 ? Work / Cores
                : static_cast<double>(Options.NoWorkersRetryAfter_.Count_);
  return Placing.Backlog_;
}

static Milliseconds retryAfter(FleetStepContext &Ctx) {
  const PlacerOptions &Options = Ctx.State_.Options_.Placer_;
  // Spread, so that those refused together do not return together.
  const double Spread = 1.0 + uniformUnit(Ctx.State_.Generator_);
  const auto Wait = static_cast<int64_t>(backlog(Ctx) * Spread);
  return {std::clamp(Wait, Options.MinRetryAfter_.Count_,
                     Options.MaxRetryAfter_.Count_)};
}

// A holder tells what changes at once, and every heartbeat that it is there.
static Milliseconds viewAge(const FleetStepContext &Ctx, Incarnation Holder) {
  const auto Known = Ctx.State_.Members_.find(Holder);
  return Known == Ctx.State_.Members_.end() ? Milliseconds{0}
                                            : Ctx.Now_ - Known->second.HeardAt_;
}

static Milliseconds oldestView(const FleetStepContext &Ctx) {
  Milliseconds Oldest;
  for (const auto &[Run, Member] : Ctx.State_.Members_)
    Oldest = std::max(Oldest, Ctx.Now_ - Member.HeardAt_);
  return Oldest;
}

static void refuse(FleetStepContext &Ctx, PlacerJob &Job,
                   std::string_view Why) {
  const Milliseconds ComeBack = retryAfter(Ctx);
  log(Ctx, "place_refused", Job.Request_.Id_,
      {{"why", std::string(Why)},
       {"waited_ms", toString(Ctx.Now_ - Job.ArrivedAt_)},
       {"waiting_jobs", std::to_string(Ctx.State_.Placing_.Waiting_.size())},
       {"open_workers",
        std::to_string(Ctx.State_.Placing_.OpenWorkers_.FreeCores_.size())},
       {"view_age_ms", toString(oldestView(Ctx))},
       {"retry_after_ms", toString(ComeBack)}});
  Job.Request_.Tasks_.clear();
  sendMessage(Ctx, Job.Origin_, PlaceRefused{Job.Request_.Job_, ComeBack});
}

/// \brief What could not be placed in one pass; nothing that asks for as much
/// of as fast a worker can be.
class UnplaceableWishes {
public:
  bool covers(const PlacerJob &Job, double MostSlowness) const {
    return isPlain(Job) &&
           std::any_of(Known_.begin(), Known_.end(), [&](const Wish &One) {
             return One.Service_ == Job.Request_.Service_ &&
                    fits(One.Needs_, Job.Request_.Needs_) &&
                    MostSlowness <= One.MostSlowness_;
           });
  }
  void add(const PlacerJob &Job, double MostSlowness) {
    if (isPlain(Job) && Known_.size() < MostKnown)
      Known_.push_back(
          {Job.Request_.Service_, Job.Request_.Needs_, MostSlowness});
  }

private:
  struct Wish {
    std::string Service_;
    Room Needs_;
    double MostSlowness_;
  };
  // More are rarely of use: jobs of one pass ask for much the same.
  static constexpr std::size_t MostKnown = 16;

  static bool isPlain(const PlacerJob &Job) {
    return Job.Request_.Label_.empty() && Job.Request_.DataRack_.empty() &&
           Job.Request_.MaxPerWorker_ == 0 && Job.Request_.Avoid_.empty();
  }
  std::vector<Wish> Known_;
};

// How slow a worker may be, by the usual one, to end the job in time.
static double mostSlowness(const PlacerJob &Job, Milliseconds Now) {
  if (latestStart(Job) < Now || Job.Request_.Estimate_.Count_ <= 0)
    return std::numeric_limits<double>::infinity();
  return static_cast<double>((Job.ObjectiveAt_ - Now).Count_) /
         static_cast<double>(Job.Request_.Estimate_.Count_);
}

static void placeJob(FleetStepContext &Ctx, PlacerJob &Job, double Usual) {
  PlacerState &Placing = Ctx.State_.Placing_;
  TaskRequirements Wish{.Job_ = Job, .MedianSlowness_ = Usual};
  if (latestStart(Job) >= Ctx.Now_)
    Wish.LatestEnd_ = Job.ObjectiveAt_;
  Placed Answer{.Job_ = Job.Request_.Job_};
  std::vector<uint32_t> &Tasks = Job.Request_.Tasks_;
  while (!Tasks.empty()) {
    const auto Chosen =
        chooseWorker(Placing, Wish, Ctx.State_.Options_.Placer_, Ctx.Now_);
    if (Chosen == Placing.Workers_.end())
      break;
    Answer.Tasks_.push_back(
        {.Task_ = Tasks.front(),
         .Worker_ = Chosen->first,
         .Holder_ = Chosen->second.Holder_,
         .FreeMilliCores_ = Chosen->second.Key_->FreeMilliCores_,
         .ViewAge_ = viewAge(Ctx, Chosen->second.Holder_)});
    addReserved(Placing, Chosen->first, Job.Request_.Needs_);
    Job.Reservations_.push_back({Tasks.front(), Chosen->first});
    Tasks.erase(Tasks.begin());
  }
  if (!Answer.Tasks_.empty())
    sendMessage(Ctx, Job.Origin_, std::move(Answer));
}

static void placeOrRefuse(FleetStepContext &Ctx, const PlacerJobKey &Key,
                          bool IsRefused, UnplaceableWishes &Unplaceable) {
  PlacerJob &Job = Ctx.State_.Placing_.Jobs_.at(Key);
  const double MostSlowness = mostSlowness(Job, Ctx.Now_);
  if (Ctx.Now_ + Job.Request_.Estimate_ > Job.GiveUpAt_)
    refuse(Ctx, Job, "too little time is left");
  else if (IsRefused && Job.Reservations_.empty())
    refuse(Ctx, Job, "late, while others can be in time");
  else if (!Unplaceable.covers(Job, MostSlowness)) {
    placeJob(Ctx, Job, usualSlowness(Ctx));
    if (!Job.Request_.Tasks_.empty())
      Unplaceable.add(Job, MostSlowness);
  }
  forgetIfDone(Ctx.State_.Placing_, Key);
}

// Load pattern: more work than the fleet can do for seconds. Jobs that can meet
// their objective come first, in the order in which their last chance to start
// passes, the urgent ones a little earlier; the others take what is left. A
// late one that has not begun would be held for nothing, or take room from
// those that can be in time; it is refused while there are such.
void placeTasks(FleetStepContext &Ctx) {
  PlacerState &Placing = Ctx.State_.Placing_;
  if (Placing.Waiting_.empty())
    return;
  std::vector<PlacerJobKey> InTime;
  std::vector<PlacerJobKey> Late;
  const int64_t MostFree = Placing.OpenWorkers_.FreeCores_.empty()
                               ? -1
                               : *Placing.OpenWorkers_.FreeCores_.rbegin();
  bool IsOverloaded = false;
  for (const WaitingJob &One : Placing.Waiting_) {
    if (One.LatestStart_ < Ctx.Now_)
      Late.push_back(One.Key_);
    else if (One.MilliCores_ <= MostFree)
      InTime.push_back(One.Key_);
    else
      IsOverloaded = true;
  }
  UnplaceableWishes Unplaceable;
  for (const PlacerJobKey &Key : InTime) {
    placeOrRefuse(Ctx, Key, false, Unplaceable);
    const auto Job = Placing.Jobs_.find(Key);
    IsOverloaded = IsOverloaded || (Job != Placing.Jobs_.end() &&
                                    !Job->second.Request_.Tasks_.empty());
  }
  const bool IsRefused =
      IsOverloaded && Ctx.State_.Options_.Placer_.RefusesLate_;
  for (const PlacerJobKey &Key : Late)
    placeOrRefuse(Ctx, Key, IsRefused, Unplaceable);
}

} // namespace marjorambend::internal
