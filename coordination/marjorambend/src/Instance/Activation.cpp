#include "marjorambend/src/Instance/Step.h"

#include <algorithm>
#include <cmath>

namespace marjorambend::internal {

// A job may wait this multiple of its ideal time before jobs that came later
// and are shorter stop overtaking it.
static constexpr double OrderStretch = 5.0;

static std::size_t payloadBytes(const JobRequest &Request) {
  std::size_t Bytes = 0;
  for (const std::string &Task : Request.Tasks_)
    Bytes += Task.size();
  return Bytes;
}

static Reason checkKind(const KindSpec *Kind, const JobRequest &Request) {
  if (Kind == nullptr)
    return Reason::UnknownKind;
  if (Kind->Owner_ != Request.Team_)
    return Reason::WrongTeam;
  if (Request.Tasks_.size() > Kind->MaxTasks_)
    return Reason::NeverRunnable;
  const auto IsTooLarge = [&](const std::string &Task) {
    return Task.size() > Kind->MaxTaskBytes_;
  };
  const bool HasTooLarge =
      std::any_of(Request.Tasks_.begin(), Request.Tasks_.end(), IsTooLarge);
  return HasTooLarge ? Reason::NeverRunnable : Reason::None;
}

static const TeamSpec *findTeam(const Instance &State, std::string_view Name) {
  const auto Found = State.Config_.Catalogue_.Teams_.find(Name);
  return Found == State.Config_.Catalogue_.Teams_.end() ? nullptr
                                                        : &Found->second;
}

// A team's quota holds over all instances; each applies an equal part of it.
static uint32_t quotaHere(const Instance &State, std::string_view Team) {
  const TeamSpec *Spec = findTeam(State, Team);
  if (Spec == nullptr || Spec->MaxTasks_ == 0)
    return 0;
  const auto Instances = static_cast<uint32_t>(State.Peers_.Peers_.size() + 1);
  return (Spec->MaxTasks_ + Instances - 1) / Instances;
}

QueuedJob queuedJob(const JobRecord &Record) {
  return {.Id_ = Record.Request_.Id_,
          .Class_ = Record.Class_,
          .OrderKey_ = Record.OrderKey_};
}

void enqueueJob(Turn &T, const JobRecord &Record) {
  const TeamSpec *Team = findTeam(T.State_, Record.Request_.Team_);
  pushJob(T.State_.Queue_, Record.Request_.Team_,
          Team == nullptr ? 1.0 : Team->Weight_, queuedJob(Record));
}

// Jobs with little work overtake those with much, up to a bound.
static Milliseconds orderKey(const JobRecord &Record, uint32_t Slots) {
  const double Rounds = std::ceil(
      static_cast<double>(Record.Request_.Tasks_.size()) / std::max(1U, Slots));
  const double IdealMs = Rounds * Record.TaskMs_;
  return Record.ReceivedAt_ +
         Milliseconds{static_cast<int64_t>(OrderStretch * IdealMs)};
}

// Work of the jobs that are served before a job with that class and key.
static double workAhead(const Instance &State, uint8_t Class,
                        Milliseconds Key) {
  double SumMs = 0;
  for (uint8_t Ahead = 0; Ahead <= Class; ++Ahead) {
    for (const auto &[Name, Team] : State.Queue_.Classes_[Ahead].Teams_) {
      for (const auto &[JobKey, Id] : Team.Jobs_) {
        if (Ahead == Class && JobKey > Key)
          break;
        const JobRecord &Record = State.Jobs_.at(Id);
        SumMs += Record.TaskMs_ * static_cast<double>(Record.Ready_.size());
      }
    }
  }
  return SumMs;
}

static void queueTasks(Turn &T, JobRecord &Record) {
  const auto Count = static_cast<uint32_t>(Record.Request_.Tasks_.size());
  Record.Tasks_.assign(Count, TaskRecord{});
  Record.Results_.assign(Count, std::string{});
  Record.Done_ = 0;
  Record.Ready_.resize(Count);
  for (uint32_t Index = 0; Index < Count; ++Index)
    Record.Ready_[Index] = Count - 1 - Index;
  enqueueJob(T, Record);
}

static JobDemand demandOf(const Instance &State, const JobRecord &Record,
                          Milliseconds Now) {
  const JobRequest &Request = Record.Request_;
  return {.Team_ = Request.Team_,
          .Class_ = Record.Class_,
          .Tasks_ = Request.Tasks_.size(),
          .Bytes_ = payloadBytes(Request),
          .TaskMs_ = Record.TaskMs_,
          .AheadMs_ = workAhead(State, Record.Class_, Record.OrderKey_),
          .Remaining_ = Record.Deadline_ - Now,
          .TeamQuota_ = quotaHere(State, Request.Team_)};
}

// Why the job cannot run here at all, whatever the load.
static tl::expected<void, Refusal> checkJob(Turn &T, const JobRecord &Record,
                                            const KindSpec *Kind) {
  Instance &State = T.State_;
  if (State.Config_.Version_ == 0 || !State.KnowsDrains_)
    return tl::unexpected(Refusal{Reason::NotReady, comeBackTime(T)});
  if (const Reason Why = checkKind(Kind, Record.Request_); Why != Reason::None)
    return tl::unexpected(Refusal{Why, {}});
  if (Record.Deadline_ <= T.Now_)
    return tl::unexpected(Refusal{Reason::DeadlinePassed, comeBackTime(T)});
  return {};
}

static tl::expected<void, Refusal> admitJob(Turn &T, JobRecord &Record,
                                            const KindSpec &Kind) {
  Instance &State = T.State_;
  Record.Class_ = Kind.Urgency_;
  Record.TaskMs_ =
      expectedRunMs(State.Estimator_, Kind.Name_, Kind.DeclaredRun_);
  const uint32_t Slots = capacityOf(State.Workers_, T.Now_).Slots_;
  Record.OrderKey_ = orderKey(Record, Slots);
  const JobDemand Demand = demandOf(State, Record, T.Now_);
  auto Verdict = admit(State.Admission_, State.Options_.Admission_, Demand,
                       Slots, State.Generator_);
  if (Verdict)
    noteAdmitted(State.Admission_, Demand);
  return Verdict;
}

void activateJob(Turn &T, JobRecord &Record) {
  Record.Phase_ = JobPhase::Active;
  Record.ActiveAt_ = T.Now_;
  const KindSpec *Kind =
      findKind(T.State_.Config_.Catalogue_, Record.Request_.Kind_);
  auto Verdict = checkJob(T, Record, Kind);
  if (Verdict)
    Verdict = admitJob(T, Record, *Kind);
  if (Verdict) {
    queueTasks(T, Record);
    return;
  }
  failByState(T, Record, Verdict.error().Reason_, Verdict.error().RetryAfter_);
}

} // namespace marjorambend::internal
