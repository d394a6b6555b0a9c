#include "marjorambend/src/Admission/Admission.h"

#include <algorithm>
#include <cmath>

namespace marjorambend {
namespace internal {

static uint32_t teamTasks(const Admission &State, std::string_view Team) {
  const auto Found = State.TeamTasks_.find(Team);
  return Found == State.TeamTasks_.end() ? 0 : Found->second;
}

static Milliseconds idealJobTime(const JobDemand &Demand, uint32_t Slots) {
  const double Rounds =
      std::ceil(static_cast<double>(Demand.Tasks_) / std::max(1U, Slots));
  return {static_cast<int64_t>(Rounds * Demand.TaskMs_)};
}

} // namespace internal

Milliseconds expectedWait(const Admission &State, uint8_t Class,
                          uint32_t Slots) {
  double AheadMs = 0;
  for (uint8_t Ahead = 0; Ahead <= Class; ++Ahead)
    AheadMs += State.QueuedWorkMs_[Ahead];
  return {static_cast<int64_t>(AheadMs / std::max(1U, Slots))};
}

Milliseconds spreadRetryAfter(const AdmissionOptions &Options,
                              Milliseconds Base, Random &Generator) {
  const Milliseconds Least =
      std::clamp(Base, Options.MinRetryAfter_, Options.MaxRetryAfter_);
  const uint64_t Spread = uniformBelow(Generator, Least.Count_ + 1);
  return Least + Milliseconds{static_cast<int64_t>(Spread)};
}

tl::expected<void, Refusal> admit(const Admission &State,
                                  const AdmissionOptions &Options,
                                  const JobDemand &Demand, uint32_t Slots,
                                  Random &Generator) {
  const Milliseconds Wait{
      static_cast<int64_t>(Demand.AheadMs_ / std::max(1U, Slots))};
  const Milliseconds JobTime = internal::idealJobTime(Demand, Slots);
  const Milliseconds Bound = std::max(Options.MaxWait_, JobTime);
  const Milliseconds Excess = std::max(Milliseconds{}, Wait - Bound);
  auto Refuse = [&](Reason Why) {
    return tl::unexpected(
        Refusal{.Reason_ = Why,
                .RetryAfter_ = spreadRetryAfter(Options, Excess, Generator)});
  };
  const uint32_t InUse = internal::teamTasks(State, Demand.Team_);
  if (Demand.TeamQuota_ != 0 && InUse + Demand.Tasks_ > Demand.TeamQuota_)
    return Refuse(Reason::QuotaExceeded);
  if (State.QueuedTasks_ + Demand.Tasks_ > Options.MaxQueuedTasks_)
    return Refuse(Reason::QueueFull);
  if (State.QueuedBytes_ + Demand.Bytes_ > Options.MaxQueuedBytes_)
    return Refuse(Reason::QueueFull);
  if (Slots == 0)
    return Refuse(Reason::NoWorker);
  if (Wait > Bound)
    return Refuse(Reason::QueueFull);
  const Milliseconds Needed = Wait + JobTime;
  const double Usable =
      static_cast<double>(Demand.Remaining_.Count_) * Options.DeadlineMargin_;
  if (static_cast<double>(Needed.Count_) > Usable)
    return Refuse(Reason::DeadlineTooShort);
  return {};
}

void recordAdmitted(Admission &State, const JobDemand &Demand) {
  State.QueuedTasks_ += Demand.Tasks_;
  State.QueuedBytes_ += Demand.Bytes_;
  State.QueuedWorkMs_[Demand.Class_] +=
      Demand.TaskMs_ * static_cast<double>(Demand.Tasks_);
  State.TeamTasks_[std::string(Demand.Team_)] +=
      static_cast<uint32_t>(Demand.Tasks_);
}

void recordDequeued(Admission &State, uint8_t Class, std::size_t Tasks,
                    std::size_t Bytes, double TaskMs) {
  State.QueuedTasks_ -= Tasks;
  State.QueuedBytes_ -= Bytes;
  double &Work = State.QueuedWorkMs_[Class];
  Work = std::max(0.0, Work - TaskMs * static_cast<double>(Tasks));
  if (State.QueuedTasks_ == 0)
    State.QueuedWorkMs_.fill(0.0);
}

void recordRequeued(Admission &State, uint8_t Class, std::size_t Bytes,
                    double TaskMs) {
  ++State.QueuedTasks_;
  State.QueuedBytes_ += Bytes;
  State.QueuedWorkMs_[Class] += TaskMs;
}

void recordDone(Admission &State, std::string_view Team, std::size_t Tasks) {
  const auto Found = State.TeamTasks_.find(Team);
  if (Found == State.TeamTasks_.end())
    return;
  Found->second -= static_cast<uint32_t>(Tasks);
  if (Found->second == 0)
    State.TeamTasks_.erase(Found);
}

} // namespace marjorambend
