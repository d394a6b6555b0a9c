/// \file
/// \brief Sends heartbeats and chooses coordinators and sessions.

#include "marjorambend/src/Fleet/FleetStep.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marjorambend::internal {

static bool isStatusChanged(const InstanceStatus &A, const InstanceStatus &B) {
  return A.IsReady_ != B.IsReady_ || A.IsStopping_ != B.IsStopping_ ||
         A.IsCoordinating_ != B.IsCoordinating_;
}

static InstanceStatus statusOf(const FleetInstance &State) {
  return {.IsReady_ = isReady(State),
          .IsStopping_ = State.IsStopping_,
          .IsCoordinating_ = State.IsCoordinating_,
          .HighestToken_ = State.HighestToken_};
}

void sendStatus(FleetStepContext &Ctx, Incarnation To) {
  sendMessage(Ctx, To, statusOf(Ctx.State_));
  const auto Found = Ctx.State_.Members_.find(To);
  if (Found != Ctx.State_.Members_.end())
    Found->second.StatusSentAt_ = Ctx.Now_;
}

// Returns the instances whose loss has to be noticed soon: holders of this
// instance's tasks, origins of runs on its workers, origins of jobs that it
// places, its placers, and holders of workers that it may choose.
static std::set<Incarnation> instancesSharingWork(const FleetInstance &State) {
  std::set<Incarnation> Sharing;
  for (const auto &[Number, Job] : State.Jobs_) {
    for (const OriginTask &Task : Job.Tasks_) {
      if (Task.Phase_ == OriginTaskPhase::Waiting)
        Sharing.insert(Job.Placer_);
      if (Task.Phase_ == OriginTaskPhase::Dispatched) {
        Sharing.insert(Task.Holder_);
        Sharing.insert(Task.Placer_);
      }
    }
  }
  for (const auto &[Id, Hold] : State.Holds_) {
    for (const auto &[Run, Held] : Hold.Runs_)
      Sharing.insert(Held.Origin_);
  }
  for (const auto &[Key, Job] : State.Placing_.Jobs_)
    Sharing.insert(Key.first);
  for (const auto &[Id, Run] : State.HeldByOthers_)
    Sharing.insert(Run);
  return Sharing;
}

// Whether \p Other is a coordinator while this instance coordinates or still
// holds workers: these instances need each other's tokens and workers.
static bool isAmongHolders(const FleetInstance &State,
                           const FleetMember &Other) {
  return Other.Status_.IsCoordinating_ &&
         (State.IsCoordinating_ || !State.Holds_.empty());
}

static void updateWorkSharing(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  const std::set<Incarnation> Sharing = instancesSharingWork(State);
  for (auto &[Run, Other] : State.Members_) {
    if (!isAmongHolders(State, Other) && !Sharing.contains(Run))
      Other.WorkSharedSince_.reset();
    else if (!Other.WorkSharedSince_)
      Other.WorkSharedSince_ = Ctx.Now_;
  }
}

void sendHeartbeats(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  updateWorkSharing(Ctx);
  const FleetOptions &Options = State.Options_;
  const InstanceStatus Now = statusOf(State);
  const bool HasChanged = isStatusChanged(Now, State.SentStatus_);
  State.SentStatus_ = Now;
  const auto Sharing = std::count_if(
      State.Members_.begin(), State.Members_.end(), [](const auto &Entry) {
        return Entry.second.WorkSharedSince_.has_value();
      });
  const Milliseconds Interval =
      std::clamp(Options.HeartbeatPerInstance_ * Sharing, Options.MinHeartbeat_,
                 Options.MaxHeartbeat_);
  for (const auto &[Run, Other] : State.Members_) {
    // Any message serves as a heartbeat, but holders also need the newest
    // token, so only the status counts for them.
    const Milliseconds Since =
        isAmongHolders(State, Other)
            ? Other.StatusSentAt_
            : std::max(Other.StatusSentAt_, Other.LastSentAt_);
    const bool IsDue =
        Other.WorkSharedSince_
            ? Ctx.Now_ - Since >= Interval
            : Ctx.Now_ - Other.StatusSentAt_ >= Options.IdleHeartbeat_;
    if (HasChanged || IsDue)
      sendStatus(Ctx, Run);
  }
}

bool isAlive(const FleetInstance &State, const FleetMember &Other,
             Milliseconds Now) {
  const FleetOptions &Options = State.Options_;
  if (!Other.WorkSharedSince_)
    return Now - Other.HeardAt_ <= Options.IdleTimeout_;
  return Now - std::max(Other.HeardAt_, *Other.WorkSharedSince_) <=
         Options.PlacerTimeout_;
}

static void requestLinks(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  if (State.Roster_.Wanted_ == State.RequestedLinks_)
    return;
  State.RequestedLinks_ = State.Roster_.Wanted_;
  Ctx.Out_.push_back(LinkInstances{State.RequestedLinks_});
}

void chooseCoordinators(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  State.NextRosterReview_ = Ctx.Now_ + State.Options_.RosterReviewInterval_;
  if (!State.Roster_.IsRead_)
    return;
  std::map<std::string_view, const FleetMember *> ByName;
  for (const auto &[Run, Other] : State.Members_)
    ByName[Other.Info_.Name_] = &Other;
  reviewRoster(State.Roster_, State.Options_.Roster_, State.Self_, Ctx.Now_,
               [&ByName](const InstanceInfo &Info) {
                 const auto Found = ByName.find(Info.Name_);
                 if (Found == ByName.end())
                   return Presence::Absent;
                 return Found->second->Status_.IsStopping_ ? Presence::Leaving
                                                           : Presence::Present;
               });
  requestLinks(Ctx);
  const bool IsCoordinating = State.Roster_.IsChosen_ && !State.IsStopping_;
  if (IsCoordinating == State.IsCoordinating_)
    return;
  State.IsCoordinating_ = IsCoordinating;
  State.CoordinatingChangedAt_ = Ctx.Now_;
  log(Ctx, "coordinating", 0,
      {{"is_coordinating", IsCoordinating ? "true" : "false"},
       {"instances", std::to_string(State.Roster_.Ranked_.size())},
       {"linked", std::to_string(State.Members_.size())}});
  sendHeartbeats(Ctx);
}

void applyInstances(FleetStepContext &Ctx, const InstancesRead &Read) {
  FleetInstance &State = Ctx.State_;
  setRoster(State.Roster_, Read.Instances_, State.Self_);
  State.Roster_.IsRead_ = true;
  // The list may lack instances with an open session.
  for (const auto &[Run, Other] : State.Members_)
    addToRoster(State.Roster_, Other.Info_);
  chooseCoordinators(Ctx);
}

void applyRosterNews(FleetStepContext &Ctx, const RosterNews &News) {
  for (const InstanceInfo &Info : News.Instances_) {
    if (Info.Name_ != Ctx.State_.Self_.Name_)
      addToRoster(Ctx.State_.Roster_, Info);
  }
  addToRoster(Ctx.State_.Roster_, Ctx.State_.Self_);
  Ctx.State_.Roster_.IsRead_ = true;
  chooseCoordinators(Ctx);
}

void answerRosterQuery(FleetStepContext &Ctx, Incarnation To) {
  if (!Ctx.State_.Roster_.IsRead_)
    return;
  RosterNews News;
  for (const RosterEntry &One : Ctx.State_.Roster_.Ranked_)
    News.Instances_.push_back(One.Info_);
  sendMessage(Ctx, To, std::move(News));
}

} // namespace marjorambend::internal

namespace marjorambend {

std::optional<Milliseconds> workSharedSince(const FleetInstance &State,
                                            Incarnation Run) {
  const auto Found = State.Members_.find(Run);
  return Found == State.Members_.end() ? std::nullopt
                                       : Found->second.WorkSharedSince_;
}

} // namespace marjorambend
