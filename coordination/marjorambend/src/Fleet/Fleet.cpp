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

void tell(FleetTurn &T, Incarnation To, FleetMessage Message) {
  if (To == T.State_.Self_.Run_) {
    T.ToSelf_.push_back(std::move(Message));
    return;
  }
  const auto Found = T.State_.Members_.find(To);
  if (Found != T.State_.Members_.end())
    Found->second.LastSentAt_ = T.Now_;
  T.Out_.push_back(SendMessage{To, std::move(Message)});
}

void tellCoordinators(FleetTurn &T, const FleetMessage &Message) {
  for (const auto &[Run, Other] : T.State_.Members_) {
    if (Other.Status_.IsCoordinating_)
      tell(T, Run, Message);
  }
  tell(T, T.State_.Self_.Run_, Message);
}

void log(FleetTurn &T, std::string_view What, uint64_t Job,
         std::vector<LogField> Fields, bool IsFinal) {
  T.Out_.push_back(LogDecision{.What_ = What,
                               .Job_ = Job,
                               .IsFinal_ = IsFinal,
                               .Fields_ = std::move(Fields)});
}

/// \brief Hands a message of an instance, possibly this one, to its part.
struct MessageHandler {
  FleetTurn &T_;
  Incarnation From_;

  void operator()(const InstanceStatus &Status) const {
    const auto Found = T_.State_.Members_.find(From_);
    if (Found == T_.State_.Members_.end())
      return;
    const bool IsNew =
        Status.IsCoordinating_ && !Found->second.Status_.IsCoordinating_;
    Found->second.Status_ = Status;
    recordToken(T_.State_, Status.HighestToken_);
    if (IsNew)
      sendHeldWorkers(T_, From_);
  }
  void operator()(const WorkersHeld &M) const { viewWorkers(T_, From_, M); }
  void operator()(const WorkerPaces &M) const { takePaces(T_, From_, M); }
  void operator()(const WorkersDropped &M) const { dropWorkers(T_, From_, M); }
  void operator()(PlaceRequest &M) const {
    requestPlaces(T_, From_, std::move(M));
  }
  void operator()(const PlaceWithdraw &M) const {
    withdrawPlaces(T_, From_, M);
  }
  void operator()(const PlaceRelease &M) const { releasePlace(T_, From_, M); }
  void operator()(const PlaceAdopt &M) const { adoptPlace(T_, From_, M); }
  void operator()(const Placed &M) const { takePlacements(T_, From_, M); }
  void operator()(const PlaceRefused &M) const { takeRefusal(T_, M); }
  void operator()(const StartOrder &M) const { startRuns(T_, From_, M); }
  void operator()(const StopOrder &M) const { stopRun(T_, M); }
  void operator()(const RunEnded &M) const { takeRunEnd(T_, M); }
  void operator()(const ListNews &M) const { applyListNews(T_, M); }
  void operator()(const ConfigNews &M) const { applyConfigNews(T_, M); }
  void operator()(const ConfigFreshness &M) const {
    applyConfigFreshness(T_, M);
  }
  void operator()(const RosterNews &M) const { applyRosterNews(T_, M); }
  void operator()(const RosterQuery &) const { answerRosterQuery(T_, From_); }
};

// Others gave this instance up while it stood still, and may have taken its
// workers and jobs. Whatever event comes first must not act on what was
// believed before.
static void notePause(FleetTurn &T) {
  FleetInstance &State = T.State_;
  const Milliseconds Gap = T.Now_ - State.LastTick_;
  if (!State.HasTicked_ || Gap <= State.Options_.PauseThreshold_)
    return;
  increment(State.Counters_, Counter::PausesDetected);
  log(T, "pause", 0, {{"gap_ms", text(Gap)}});
  State.LastTick_ = T.Now_;
  State.PauseSettledAt_ = T.Now_ + State.Options_.PauseGracePeriod_;
  giveUpAllJobs(T, "pause");
}

static void tick(FleetTurn &T, const FleetTick &Given) {
  FleetInstance &State = T.State_;
  if (!State.HasTicked_)
    State.StartedAt_ = T.Now_;
  // What has arrived since the last tick may not be read yet.
  const bool IsLate = State.HasTicked_ && T.Now_ - State.LastTick_ >
                                              State.Options_.LateTickThreshold_;
  State.HasTicked_ = true;
  State.LastTick_ = T.Now_;
  recordToken(State, static_cast<uint64_t>(Given.SharedClock_.Count_) *
                         FencingTokensPerMs);
  State.TokenBase_ = State.HighestToken_;
  sendHeartbeats(T);
  if (T.Now_ >= State.NextRosterReview_)
    chooseCoordinators(T);
  if (!IsLate)
    choosePlacer(T);
  tickHolds(T);
  expireJobs(T);
  State.Placing_.IsDirty_ = !State.Placing_.Waiting_.empty();
}

static void joinInstance(FleetTurn &T, const InstanceUp &Up) {
  FleetInstance &State = T.State_;
  State.Members_[Up.Info_.Run_] = {.Info_ = Up.Info_, .HeardAt_ = T.Now_};
  addToRoster(State.Roster_, Up.Info_);
  log(T, "instance_up", 0,
      {{"other", Up.Info_.Name_}, {"data_centre", Up.Info_.DataCentre_}});
  sendStatus(T, Up.Info_.Run_);
  if (!State.Roster_.IsRead_)
    tell(T, Up.Info_.Run_, RosterQuery{});
}

static void loseInstance(FleetTurn &T, Incarnation Run) {
  FleetInstance &State = T.State_;
  const auto Found = State.Members_.find(Run);
  if (Found == State.Members_.end())
    return;
  log(T, "instance_down", 0,
      {{"other", Found->second.Info_.Name_},
       {"silent_ms", text(T.Now_ - Found->second.HeardAt_)}});
  Milliseconds &Heard =
      State.DataCentreHeardAt_[Found->second.Info_.DataCentre_];
  Heard = std::max(Heard, Found->second.HeardAt_);
  const std::string Name = Found->second.Info_.Name_;
  State.Members_.erase(Found);
  markLost(State.Roster_, Name);
  chooseCoordinators(T);
  forgetInstance(T, Run);
  stopRunsOfOrigin(T, Run);
  loseHolder(T, Run, Name);
  choosePlacer(T);
  reviewHolds(T);
}

/// \brief Hands an event to its part.
struct FleetEventHandler {
  FleetTurn &T_;

  void operator()(const FleetTick &E) const { tick(T_, E); }
  void operator()(ConfigRead &E) const { applyConfig(T_, std::move(E)); }
  void operator()(const ConfigConfirmed &) const {
    T_.State_.ConfigSeenAt_ = T_.Now_;
  }
  void operator()(const WorkersRead &E) const { handleWorkersRead(T_, E); }
  void operator()(const WorkersReadFailed &) const {
    T_.State_.IsListFresh_ = false;
  }
  void operator()(const InstancesRead &E) const { applyInstances(T_, E); }
  void operator()(JobSubmission &E) const { submitJob(T_, std::move(E)); }
  void operator()(const JobAbandoned &E) const { abandonJob(T_, E.Token_); }
  void operator()(const JobCancel &E) const { cancelJob(T_, E.Id_); }
  void operator()(const InstanceUp &E) const { joinInstance(T_, E); }
  void operator()(const InstanceDown &E) const { loseInstance(T_, E.Run_); }
  void operator()(MessageReceived &E) const {
    const auto From = T_.State_.Members_.find(E.From_);
    if (From == T_.State_.Members_.end())
      return;
    From->second.HeardAt_ = T_.Now_;
    std::visit(MessageHandler{T_, E.From_}, E.Message_);
  }
  void operator()(const StartAnswered &E) const { handleStartAnswer(T_, E); }
  void operator()(const StopAnswered &E) const { handleStopAnswer(T_, E); }
  void operator()(const PollAnswered &E) const { handlePollAnswer(T_, E); }
  void operator()(const FleetStop &) const {
    T_.State_.IsStopping_ = true;
    T_.State_.StoppingSince_ = T_.Now_;
    log(T_, "stopping", 0,
        {{"jobs", std::to_string(T_.State_.Jobs_.size())},
         {"workers", std::to_string(T_.State_.Holds_.size())}});
    chooseCoordinators(T_);
    sendHeartbeats(T_);
    choosePlacer(T_);
    reviewHolds(T_);
  }
  void operator()(const FleetStopForced &) const {
    giveUpAllJobs(T_, "the instance stops");
  }
};

static void handleOwnMessages(FleetTurn &T) {
  while (!T.ToSelf_.empty()) {
    FleetMessage Message = std::move(T.ToSelf_.front());
    T.ToSelf_.pop_front();
    std::visit(MessageHandler{T, T.State_.Self_.Run_}, Message);
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

FleetActions step(FleetInstance &State, FleetEvent Happened, Milliseconds Now) {
  FleetActions Out;
  internal::FleetTurn T{State, Now, Out, {}};
  internal::notePause(T);
  std::visit(internal::FleetEventHandler{T}, Happened);
  internal::handleOwnMessages(T);
  while (State.Placing_.IsDirty_) {
    State.Placing_.IsDirty_ = false;
    internal::placeTasks(T);
    internal::handleOwnMessages(T);
  }
  return Out;
}

bool isReady(const FleetInstance &State) {
  if (State.Config_.Version_ == 0 || State.IsStopping_)
    return false;
  if (State.IsCoordinating_)
    return State.HasList_;
  return std::any_of(
      State.Members_.begin(), State.Members_.end(), [](const auto &Entry) {
        return internal::isActiveCoordinator(Entry.second.Status_);
      });
}

bool isIdle(const FleetInstance &State) {
  return State.Jobs_.empty() && State.Holds_.empty();
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

std::size_t pendingJobs(const FleetInstance &State, std::string_view Name) {
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
