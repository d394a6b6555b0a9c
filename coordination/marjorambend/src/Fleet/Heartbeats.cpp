/// \file
/// \brief Whom this instance keeps sessions with, and how often it speaks up.

#include "marjorambend/src/Fleet/FleetStep.h"

#include <algorithm>
#include <set>
#include <utility>

namespace marjorambend::internal {

static bool hasChanged(const InstanceStatus &A, const InstanceStatus &B) {
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

// Those whose silence has to be noticed soon: who runs tasks of ours, whose
// tasks run here, who waits for a place here or places for us, who holds
// workers that may be chosen here.
static std::set<Incarnation> sharers(const FleetInstance &State) {
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

// Coordinators, and whoever still holds workers, among themselves: their tokens
// and workers must not be missed.
static bool isAmongHolders(const FleetInstance &State,
                           const FleetMember &Other) {
  return Other.Status_.IsCoordinating_ &&
         (State.IsCoordinating_ || !State.Holds_.empty());
}

static void noteSharers(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  const std::set<Incarnation> Sharing = sharers(State);
  for (auto &[Run, Other] : State.Members_) {
    if (!isAmongHolders(State, Other) && !Sharing.contains(Run))
      Other.WorkSharedSince_.reset();
    else if (!Other.WorkSharedSince_)
      Other.WorkSharedSince_ = Ctx.Now_;
  }
}

void sendHeartbeats(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  noteSharers(Ctx);
  const FleetOptions &Options = State.Options_;
  const InstanceStatus Now = statusOf(State);
  const bool IsNews = hasChanged(Now, State.SentStatus_);
  State.SentStatus_ = Now;
  const auto Sharing = std::count_if(
      State.Members_.begin(), State.Members_.end(), [](const auto &Entry) {
        return Entry.second.WorkSharedSince_.has_value();
      });
  const Milliseconds Often =
      std::clamp(Options.HeartbeatPerInstance_ * Sharing, Options.MinHeartbeat_,
                 Options.MaxHeartbeat_);
  for (const auto &[Run, Other] : State.Members_) {
    // Any message says that this instance is there. Holders need the newest
    // token as well.
    const Milliseconds Since =
        isAmongHolders(State, Other)
            ? Other.StatusSentAt_
            : std::max(Other.StatusSentAt_, Other.LastSentAt_);
    const bool IsDue =
        Other.WorkSharedSince_
            ? Ctx.Now_ - Since >= Often
            : Ctx.Now_ - Other.StatusSentAt_ >= Options.IdleHeartbeat_;
    if (IsNews || IsDue)
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

static void linkWanted(FleetStepContext &Ctx) {
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
  linkWanted(Ctx);
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
  // Sessions tell of instances that the list may lack.
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
