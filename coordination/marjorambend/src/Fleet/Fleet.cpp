#include "marjorambend/src/Fleet/Fleet.h"

#include "marjorambend/src/Fleet/FleetStep.h"

#include <algorithm>
#include <utility>

namespace marjorambend {

const char *nameOf(RunEnd End) {
  switch (End) {
  case RunEnd::Done:
    return "done";
  case RunEnd::Failed:
    return "failed";
  case RunEnd::Stopped:
    return "stopped";
  case RunEnd::Lost:
    return "lost";
  case RunEnd::NotStarted:
    return "not_started";
  case RunEnd::Superseded:
    return "superseded";
  }
  return "unknown";
}

const char *nameOf(OrderResult Result) {
  switch (Result) {
  case OrderResult::Accepted:
    return "accepted";
  case OrderResult::Fenced:
    return "fenced";
  case OrderResult::Superseded:
    return "superseded";
  case OrderResult::Late:
    return "late";
  case OrderResult::NoRoom:
    return "no_room";
  case OrderResult::Invalid:
    return "invalid";
  case OrderResult::Unhealthy:
    return "unhealthy";
  case OrderResult::OtherIncarnation:
    return "other_life";
  case OrderResult::NotDelivered:
    return "not_delivered";
  case OrderResult::Unknown:
    return "no_answer";
  }
  return "unknown";
}

const char *nameOf(JobOutcome Outcome) {
  switch (Outcome) {
  case JobOutcome::Completed:
    return "completed";
  case JobOutcome::Failed:
    return "failed";
  case JobOutcome::Cancelled:
    return "cancelled";
  case JobOutcome::NotRun:
    return "not_run";
  case JobOutcome::MayHaveRun:
    return "may_have_run";
  case JobOutcome::NoSuchRoute:
    return "no_such_route";
  case JobOutcome::NotSupported:
    return "not_supported";
  }
  return "unknown";
}

namespace internal {

void sendMessage(FleetStepContext &Ctx, Incarnation To, FleetMessage Message) {
  if (To == Ctx.State_.Self_.Run_) {
    Ctx.SelfMessages_.push_back(std::move(Message));
    return;
  }
  const auto Found = Ctx.State_.Members_.find(To);
  if (Found != Ctx.State_.Members_.end())
    Found->second.LastSentAt_ = Ctx.Now_;
  Ctx.Out_.push_back(SendMessage{To, std::move(Message)});
}

void sendToCoordinators(FleetStepContext &Ctx, const FleetMessage &Message) {
  for (const auto &[Run, Other] : Ctx.State_.Members_) {
    if (Other.Status_.IsCoordinating_)
      sendMessage(Ctx, Run, Message);
  }
  sendMessage(Ctx, Ctx.State_.Self_.Run_, Message);
}

void log(FleetStepContext &Ctx, std::string_view Event, uint64_t Job,
         std::vector<LogField> Fields, bool IsFinal) {
  Ctx.Out_.push_back(LogDecision{.What_ = Event,
                                 .Job_ = Job,
                                 .IsFinal_ = IsFinal,
                                 .Fields_ = std::move(Fields)});
}

/// \brief Dispatches a message from an instance, possibly this one.
struct MessageHandler {
  FleetStepContext &Ctx_;
  Incarnation From_;

  void operator()(const InstanceStatus &Status) const {
    const auto Found = Ctx_.State_.Members_.find(From_);
    if (Found == Ctx_.State_.Members_.end())
      return;
    const bool IsNew =
        Status.IsCoordinating_ && !Found->second.Status_.IsCoordinating_;
    Found->second.Status_ = Status;
    recordToken(Ctx_.State_, Status.HighestToken_);
    if (IsNew)
      sendHeldWorkers(Ctx_, From_);
  }
  void operator()(const WorkersHeld &M) const {
    handleWorkersHeld(Ctx_, From_, M);
  }
  void operator()(const WorkerPaces &M) const {
    handleWorkerPaces(Ctx_, From_, M);
  }
  void operator()(const WorkersDropped &M) const {
    handleWorkersDropped(Ctx_, From_, M);
  }
  void operator()(PlaceRequest &M) const {
    handlePlaceRequest(Ctx_, From_, std::move(M));
  }
  void operator()(const PlaceWithdraw &M) const {
    handlePlaceWithdraw(Ctx_, From_, M);
  }
  void operator()(const PlaceRelease &M) const {
    handlePlaceRelease(Ctx_, From_, M);
  }
  void operator()(const PlaceAdopt &M) const {
    handlePlaceAdopt(Ctx_, From_, M);
  }
  void operator()(const Placed &M) const { handlePlaced(Ctx_, From_, M); }
  void operator()(const PlaceRefused &M) const { handlePlaceRefused(Ctx_, M); }
  void operator()(const StartOrder &M) const { startRuns(Ctx_, From_, M); }
  void operator()(const StopOrder &M) const { stopRun(Ctx_, M); }
  void operator()(const RunEnded &M) const { handleRunEnded(Ctx_, M); }
  void operator()(const ListNews &M) const { applyListNews(Ctx_, M); }
  void operator()(const ConfigNews &M) const { applyConfigNews(Ctx_, M); }
  void operator()(const ConfigFreshness &M) const {
    applyConfigFreshness(Ctx_, From_, M);
  }
  void operator()(const RosterNews &M) const { applyRosterNews(Ctx_, M); }
  void operator()(const RosterQuery &) const { answerRosterQuery(Ctx_, From_); }
  void operator()(const CrashNews &M) const { handleCrashNews(Ctx_, M); }
  void operator()(const CancelRequest &M) const {
    handleCancelRequest(Ctx_, From_, M);
  }
  void operator()(const CancelAnswered &M) const {
    handleCancelAnswered(Ctx_, From_, M);
  }
};

// While this process was suspended, the other instances dropped their sessions
// with it and may have taken over its workers and jobs. So the first event
// after the pause must not be handled with the old state.
static void detectPause(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  const Milliseconds Gap = Ctx.Now_ - State.LastTick_;
  if (!State.HasTicked_ || Gap <= State.Options_.PauseThreshold_)
    return;
  increment(State.Counters_, Counter::PausesDetected);
  log(Ctx, "pause", 0, {{"gap_ms", toString(Gap)}});
  State.LastTick_ = Ctx.Now_;
  State.PauseSettledAt_ = Ctx.Now_ + State.Options_.PauseGracePeriod_;
  giveUpAllJobs(Ctx, "pause");
}

static void handleTick(FleetStepContext &Ctx, const FleetTick &Given) {
  FleetInstance &State = Ctx.State_;
  if (!State.HasTicked_)
    State.StartedAt_ = Ctx.Now_;
  // Messages that arrived since the last tick may not have been read yet.
  const bool IsLate = State.HasTicked_ && Ctx.Now_ - State.LastTick_ >
                                              State.Options_.LateTickThreshold_;
  State.HasTicked_ = true;
  State.LastTick_ = Ctx.Now_;
  recordToken(State, static_cast<uint64_t>(Given.SharedClock_.Count_) *
                         FencingTokensPerMs);
  State.TokenBase_ = State.HighestToken_;
  sendHeartbeats(Ctx);
  if (Ctx.Now_ >= State.NextRosterReview_)
    chooseCoordinators(Ctx);
  if (!IsLate)
    choosePlacer(Ctx);
  expireCrashRecords(Ctx);
  tickHolds(Ctx);
  reviewSuspectJobs(Ctx);
  expireJobs(Ctx);
  expireCancels(Ctx);
  reviewEarlyJobs(Ctx);
  admitReturningWorkers(Ctx);
  reviewWaitingJobs(Ctx);
}

static void handleInstanceUp(FleetStepContext &Ctx, const InstanceUp &Up) {
  FleetInstance &State = Ctx.State_;
  State.Members_[Up.Info_.Run_] = {.Info_ = Up.Info_, .HeardAt_ = Ctx.Now_};
  addToRoster(State.Roster_, Up.Info_);
  log(Ctx, "instance_up", 0,
      {{"other", Up.Info_.Name_}, {"data_centre", Up.Info_.DataCentre_}});
  sendStatus(Ctx, Up.Info_.Run_);
  sendOwnCrashes(Ctx, Up.Info_.Run_);
  if (!State.Evacuations_.DataCentres_.empty())
    sendConfigFreshness(Ctx, Up.Info_.Run_);
  if (!State.Roster_.IsRead_)
    sendMessage(Ctx, Up.Info_.Run_, RosterQuery{});
}

static void handleInstanceDown(FleetStepContext &Ctx, Incarnation Run) {
  FleetInstance &State = Ctx.State_;
  const auto Found = State.Members_.find(Run);
  if (Found == State.Members_.end())
    return;
  log(Ctx, "instance_down", 0,
      {{"other", Found->second.Info_.Name_},
       {"silent_ms", toString(Ctx.Now_ - Found->second.HeardAt_)}});
  const Milliseconds LastMessage = Found->second.HeardAt_;
  Milliseconds &DataCentreHeardAt =
      State.DataCentreHeardAt_[Found->second.Info_.DataCentre_];
  DataCentreHeardAt = std::max(DataCentreHeardAt, LastMessage);
  const std::string Name = Found->second.Info_.Name_;
  State.Members_.erase(Found);
  markLost(State.Roster_, Name);
  chooseCoordinators(Ctx);
  removeInstanceFromPlacer(Ctx, Run);
  stopRunsOfOrigin(Ctx, Run, LastMessage);
  removeInstanceFromCancels(Ctx, Run);
  handleHolderLoss(Ctx, Run, Name);
  choosePlacer(Ctx);
  reviewHolds(Ctx);
}

/// \brief Dispatches an event.
struct FleetEventHandler {
  FleetStepContext &Ctx_;

  void operator()(const FleetTick &E) const { handleTick(Ctx_, E); }
  void operator()(ConfigRead &E) const { applyConfig(Ctx_, std::move(E)); }
  void operator()(const ConfigConfirmed &) const {
    Ctx_.State_.ConfigReadAt_ = Ctx_.Now_;
  }
  void operator()(const EvacuationsRead &E) const {
    applyEvacuationsRead(Ctx_, E);
  }
  void operator()(const WorkersRead &E) const { handleWorkersRead(Ctx_, E); }
  void operator()(const WorkersReadFailed &) const {
    Ctx_.State_.IsListFresh_ = false;
  }
  void operator()(const InstancesRead &E) const { applyInstances(Ctx_, E); }
  void operator()(const CrashesRead &E) const { applyStoredCrashes(Ctx_, E); }
  void operator()(JobSubmission &E) const { submitJob(Ctx_, std::move(E)); }
  void operator()(const JobAbandoned &E) const { abandonJob(Ctx_, E.Token_); }
  void operator()(const JobCancel &E) const { handleCancel(Ctx_, E); }
  void operator()(const InstanceUp &E) const { handleInstanceUp(Ctx_, E); }
  void operator()(const InstanceDown &E) const {
    handleInstanceDown(Ctx_, E.Run_);
  }
  void operator()(MessageReceived &E) const {
    const auto From = Ctx_.State_.Members_.find(E.From_);
    if (From == Ctx_.State_.Members_.end())
      return;
    From->second.HeardAt_ = Ctx_.Now_;
    std::visit(MessageHandler{Ctx_, E.From_}, E.Message_);
  }
  void operator()(const StartAnswered &E) const { handleStartAnswer(Ctx_, E); }
  void operator()(const StopAnswered &E) const { handleStopAnswer(Ctx_, E); }
  void operator()(const PollAnswered &E) const { handlePollAnswer(Ctx_, E); }
  void operator()(const FleetStop &) const {
    Ctx_.State_.IsStopping_ = true;
    Ctx_.State_.StoppingSince_ = Ctx_.Now_;
    log(Ctx_, "stopping", 0,
        {{"jobs", std::to_string(Ctx_.State_.Jobs_.size())},
         {"workers", std::to_string(Ctx_.State_.Holds_.size())}});
    chooseCoordinators(Ctx_);
    sendHeartbeats(Ctx_);
    choosePlacer(Ctx_);
    reviewHolds(Ctx_);
  }
  void operator()(const FleetStopForced &) const {
    giveUpAllJobs(Ctx_, "the instance stops");
  }
};

static void handleSelfMessages(FleetStepContext &Ctx) {
  while (!Ctx.SelfMessages_.empty()) {
    FleetMessage Message = std::move(Ctx.SelfMessages_.front());
    Ctx.SelfMessages_.pop_front();
    std::visit(MessageHandler{Ctx, Ctx.State_.Self_.Run_}, Message);
  }
}

} // namespace internal

FleetInstance makeFleetInstance(FleetOptions Options, uint64_t Seed) {
  FleetInstance State;
  State.Options_ = std::move(Options);
  State.Generator_ = Random(Seed);
  State.Self_ = {.Run_ = makeIncarnation(State.Generator_),
                 .Name_ = State.Options_.Name_,
                 .DataCentre_ = State.Options_.DataCentre_,
                 .CpuShare_ = State.Options_.CpuShare_};
  State.Placer_ = State.Self_.Run_;
  return State;
}

FleetActions step(FleetInstance &State, FleetEvent Event, Milliseconds Now) {
  FleetActions Out;
  internal::FleetStepContext Ctx{State, Now, Out, {}};
  internal::detectPause(Ctx);
  std::visit(internal::FleetEventHandler{Ctx}, Event);
  internal::handleSelfMessages(Ctx);
  while (State.Placing_.IsDirty_ || !State.Placing_.NewJobs_.empty()) {
    internal::placeTasks(Ctx);
    internal::handleSelfMessages(Ctx);
  }
  return Out;
}

bool isReady(const FleetInstance &State) {
  if (State.Config_.Version_ == 0 || State.IsStopping_)
    return false;
  if (State.IsCoordinating_)
    return State.HasWorkerList_;
  return std::any_of(
      State.Members_.begin(), State.Members_.end(), [](const auto &Entry) {
        return internal::isActiveCoordinator(Entry.second.Status_);
      });
}

bool isIdle(const FleetInstance &State) {
  return State.Jobs_.empty() && State.EarlyJobs_.empty() &&
         State.Holds_.empty();
}

JobState stateOf(const FleetInstance &State, uint64_t Id) {
  const auto Found = State.JobById_.find(Id);
  if (Found == State.JobById_.end())
    return JobState::Unknown;
  const OriginJob &Job = State.Jobs_.at(Found->second);
  if (Job.IsAnswered_)
    return JobState::Unknown;
  return mayHaveRun(Job) ? JobState::Active : JobState::Queued;
}

std::size_t countPendingJobs(const FleetInstance &State,
                             std::string_view Name) {
  std::size_t Count = 0;
  for (const auto &[Number, Job] : State.Jobs_) {
    if (Job.Route_.Name_ == Name && !mayHaveRun(Job) && !Job.IsAnswered_)
      ++Count;
  }
  return Count;
}

const Route *findRoute(const FleetConfig &Config, std::string_view Host,
                       std::string_view Path) {
  const Route *Best = nullptr;
  for (const Route &One : Config.Routes_) {
    if (One.Host_ != Host || !Path.starts_with(One.Prefix_))
      continue;
    if (Best == nullptr || One.Prefix_.size() > Best->Prefix_.size())
      Best = &One;
  }
  return Best;
}

} // namespace marjorambend
