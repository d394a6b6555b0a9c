#include "marjorambend/src/Instance/Step.h"

#include <algorithm>
#include <cmath>

namespace marjorambend::internal {

// Shorter jobs that arrive later may overtake a job until it has waited for
// this multiple of its ideal run time.
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

// A team's quota spans all instances; each enforces an equal part of it.
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

void enqueueJob(StepContext &Ctx, const JobRecord &Record) {
  const TeamSpec *Team = findTeam(Ctx.State_, Record.Request_.Team_);
  pushJob(Ctx.State_.Queue_, Record.Request_.Team_,
          Team == nullptr ? 1.0 : Team->Weight_, queuedJob(Record));
}

// Jobs with less work go first, but overtaking is bounded: the key is the
// arrival time plus a multiple of the ideal run time.
static Milliseconds orderKey(const JobRecord &Record, uint32_t Slots) {
  const double Rounds = std::ceil(
      static_cast<double>(Record.Request_.Tasks_.size()) / std::max(1U, Slots));
  const double IdealMs = Rounds * Record.TaskMs_;
  return Record.ReceivedAt_ +
         Milliseconds{static_cast<int64_t>(OrderStretch * IdealMs)};
}

// Expected work of the queued jobs that precede a job of this class and key.
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

static void queueTasks(StepContext &Ctx, JobRecord &Record) {
  const auto Count = static_cast<uint32_t>(Record.Request_.Tasks_.size());
  Record.Tasks_.assign(Count, TaskRecord{});
  Record.Results_.assign(Count, std::string{});
  Record.Done_ = 0;
  Record.Ready_.resize(Count);
  for (uint32_t Index = 0; Index < Count; ++Index)
    Record.Ready_[Index] = Count - 1 - Index;
  enqueueJob(Ctx, Record);
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

// Checks that do not depend on the load.
static tl::expected<void, Refusal>
checkJob(StepContext &Ctx, const JobRecord &Record, const KindSpec *Kind) {
  Instance &State = Ctx.State_;
  if (State.Config_.Version_ == 0 || !State.KnowsDrains_)
    return tl::unexpected(Refusal{Reason::NotReady, computeRetryAfter(Ctx)});
  if (const Reason Cause = checkKind(Kind, Record.Request_);
      Cause != Reason::None)
    return tl::unexpected(Refusal{Cause, {}});
  if (Record.Deadline_ <= Ctx.Now_)
    return tl::unexpected(
        Refusal{Reason::DeadlinePassed, computeRetryAfter(Ctx)});
  return {};
}

static tl::expected<void, Refusal> admitJob(StepContext &Ctx, JobRecord &Record,
                                            const KindSpec &Kind) {
  Instance &State = Ctx.State_;
  Record.Class_ = Kind.Urgency_;
  Record.TaskMs_ =
      expectedRunMs(State.Estimator_, Kind.Name_, Kind.DeclaredRun_);
  const uint32_t Slots = capacityOf(State.Workers_, Ctx.Now_).Slots_;
  Record.OrderKey_ = orderKey(Record, Slots);
  const JobDemand Demand = demandOf(State, Record, Ctx.Now_);
  auto Admitted = admit(State.Admission_, State.Options_.Admission_, Demand,
                        Slots, State.Generator_);
  if (Admitted)
    recordAdmitted(State.Admission_, Demand);
  return Admitted;
}

void activateJob(StepContext &Ctx, JobRecord &Record) {
  Record.Phase_ = JobPhase::Active;
  Record.ActiveAt_ = Ctx.Now_;
  const KindSpec *Kind =
      findKind(Ctx.State_.Config_.Catalogue_, Record.Request_.Kind_);
  auto Admitted = checkJob(Ctx, Record, Kind);
  if (Admitted)
    Admitted = admitJob(Ctx, Record, *Kind);
  if (Admitted) {
    queueTasks(Ctx, Record);
    return;
  }
  failByState(Ctx, Record, Admitted.error().Reason_,
              Admitted.error().RetryAfter_);
}

} // namespace marjorambend::internal
