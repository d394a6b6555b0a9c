/// \file
/// \brief Cancels jobs whose origin is another instance.
///
/// A caller's connections may reach several instances, and only the origin
/// knows a job. A coordinator has a session with every instance, so it can ask
/// all of them; any other instance lets the placer ask.

#include "marjorambend/src/Fleet/FleetStep.h"

#include <utility>
#include <vector>

namespace marjorambend::internal {

static void answer(FleetStepContext &Ctx, uint64_t Id, PendingCancel &Pending,
                   CancelResult Result) {
  for (const uint64_t Token : std::exchange(Pending.Tokens_, {}))
    Ctx.Out_.push_back(AnswerCancel{Token, Result});
  for (const Incarnation Asker : std::exchange(Pending.Askers_, {}))
    sendMessage(Ctx, Asker, CancelAnswered{Id, Result});
}

// Answers once no instance is awaited any more.
static void reviewCancel(FleetStepContext &Ctx, uint64_t Id) {
  const auto Found = Ctx.State_.Cancels_.find(Id);
  if (Found == Ctx.State_.Cancels_.end() || !Found->second.Awaited_.empty())
    return;
  answer(Ctx, Id, Found->second,
         Found->second.IsUncertain_ ? CancelResult::Unknown
                                    : CancelResult::NotFound);
  Ctx.State_.Cancels_.erase(Found);
}

static void askOthers(FleetStepContext &Ctx, uint64_t Id,
                      PendingCancel &Pending, bool AsksAll) {
  const FleetInstance &State = Ctx.State_;
  Pending.Until_ = Ctx.Now_ + State.Options_.CancelWait_;
  if (!AsksAll && State.Placer_ != State.Self_.Run_) {
    Pending.Awaited_.insert(State.Placer_);
    sendMessage(Ctx, State.Placer_, CancelRequest{Id, false});
    return;
  }
  for (const auto &[Run, Other] : State.Members_) {
    Pending.Awaited_.insert(Run);
    sendMessage(Ctx, Run, CancelRequest{Id, true});
  }
}

// A job that was resubmitted may be open at several instances, so the others
// are asked even if it is open here.
static PendingCancel &beginCancel(FleetStepContext &Ctx, uint64_t Id,
                                  bool AsksAll) {
  const auto [Entry, IsNew] = Ctx.State_.Cancels_.try_emplace(Id);
  if (IsNew)
    askOthers(Ctx, Id, Entry->second, AsksAll);
  return Entry->second;
}

void handleCancel(FleetStepContext &Ctx, const JobCancel &Wanted) {
  const bool WasOpen = cancelJob(Ctx, Wanted.Id_);
  PendingCancel &Pending =
      beginCancel(Ctx, Wanted.Id_, Ctx.State_.IsCoordinating_);
  Pending.Tokens_.push_back(Wanted.Token_);
  if (WasOpen)
    answer(Ctx, Wanted.Id_, Pending, CancelResult::Cancelled);
  reviewCancel(Ctx, Wanted.Id_);
}

void handleCancelRequest(FleetStepContext &Ctx, Incarnation From,
                         const CancelRequest &Wanted) {
  const bool WasOpen = cancelJob(Ctx, Wanted.Id_);
  if (Wanted.IsForwarded_) {
    sendMessage(Ctx, From,
                CancelAnswered{Wanted.Id_, WasOpen ? CancelResult::Cancelled
                                                   : CancelResult::NotFound});
    return;
  }
  PendingCancel &Pending = beginCancel(Ctx, Wanted.Id_, true);
  Pending.Askers_.push_back(From);
  // The asker has looked for the job itself.
  Pending.Awaited_.erase(From);
  if (WasOpen)
    answer(Ctx, Wanted.Id_, Pending, CancelResult::Cancelled);
  reviewCancel(Ctx, Wanted.Id_);
}

void handleCancelAnswered(FleetStepContext &Ctx, Incarnation From,
                          const CancelAnswered &Given) {
  const auto Found = Ctx.State_.Cancels_.find(Given.Id_);
  if (Found == Ctx.State_.Cancels_.end())
    return;
  PendingCancel &Pending = Found->second;
  Pending.Awaited_.erase(From);
  if (Given.Result_ == CancelResult::Cancelled)
    answer(Ctx, Given.Id_, Pending, Given.Result_);
  if (Given.Result_ == CancelResult::Unknown)
    Pending.IsUncertain_ = true;
  reviewCancel(Ctx, Given.Id_);
}

// Leaves the result of the selected cancels uncertain: an answer is missing.
// \p LosesAnswer removes the instances that are not awaited any more.
template <typename Condition>
static void loseAnswers(FleetStepContext &Ctx, Condition LosesAnswer) {
  std::vector<uint64_t> Affected;
  for (auto &[Id, Pending] : Ctx.State_.Cancels_) {
    if (!LosesAnswer(Pending))
      continue;
    Pending.IsUncertain_ = true;
    Affected.push_back(Id);
  }
  for (const uint64_t Id : Affected)
    reviewCancel(Ctx, Id);
}

void removeInstanceFromCancels(FleetStepContext &Ctx, Incarnation Run) {
  loseAnswers(Ctx, [Run](PendingCancel &Pending) {
    return Pending.Awaited_.erase(Run) > 0;
  });
}

void expireCancels(FleetStepContext &Ctx) {
  loseAnswers(Ctx, [Now = Ctx.Now_](PendingCancel &Pending) {
    if (Now < Pending.Until_)
      return false;
    Pending.Awaited_.clear();
    return true;
  });
}

} // namespace marjorambend::internal
