#include "InstanceSimulation.h"

#include <marjorambend/Configuration>

namespace marjorambend::test {

static constexpr Milliseconds SkippedClaimDelay{100};

// Returns whether the request bypasses the table service.
bool InstanceSimulation::injectIntoInsert(std::size_t Index,
                                          const InsertClaims &Requested) {
  const bool SkipsStore =
      Options_.InjectedBug_ == InjectedBug::StartWithoutClaim ||
      (Options_.InjectedBug_ == InjectedBug::AssumeHeldInOutage &&
       isStoreDown(Index));
  if (!SkipsStore)
    return false;
  const Node &Claimant = Nodes_[Index];
  const uint64_t Generation = Claimant.Generation_;
  after(SkippedClaimDelay,
        [this, Index, Generation,
         Rows = makeOwnRows(Claimant, Requested.Batch_.Number_)] {
          deliver(Index, Generation, Rows);
        });
  return true;
}

void InstanceSimulation::injectIntoClaims(std::size_t Index,
                                          ClaimsAnswered &Answered) {
  const Instance &State = Nodes_[Index].State_;
  for (ClaimRow &Row : Answered.Rows_) {
    const auto Record = State.Jobs_.find(Row.Id_);
    if (Record == State.Jobs_.end())
      continue;
    const bool IsOwn = Row.Holder_ == State.Self_;
    const bool IsReachable = State.Peers_.Peers_.count(Row.Holder_) > 0;
    const bool IsTaken = Options_.InjectedBug_ == InjectedBug::TakeOverClaim &&
                         !IsOwn && !IsReachable;
    const bool IsTrusted =
        IsOwn && (Options_.InjectedBug_ == InjectedBug::IgnoreNonce ||
                  Options_.InjectedBug_ == InjectedBug::ReuseIncarnation);
    if (!IsTaken && !IsTrusted)
      continue;
    Row.Holder_ = State.Self_;
    Row.Nonce_ = Record->second.ClaimNonce_;
  }
}

void InstanceSimulation::injectIntoOperatorEvent(std::size_t Index,
                                                 Event &NewEvent) {
  Instance &State = Nodes_[Index].State_;
  if (Options_.InjectedBug_ == InjectedBug::AdoptOlderCatalogue &&
      std::holds_alternative<RowRead>(NewEvent))
    State.Config_.Version_ = 0;
  auto *Swapped = std::get_if<RowSwapped>(&NewEvent);
  if (Options_.InjectedBug_ == InjectedBug::AcceptLostWrites &&
      Swapped != nullptr && Swapped->Key_ == CatalogueKey && State.ConfigWrite_)
    State.ConfigWrite_->Nonce_ = unpackCatalogue(Swapped->Value_).Nonce_;
  const auto *Received = std::get_if<PeerReceived>(&NewEvent);
  if (Options_.InjectedBug_ == InjectedBug::DropDrainUpdates &&
      Received != nullptr &&
      std::holds_alternative<DrainUpdate>(Received->Message_))
    NewEvent = PeerReceived{Received->From_, Heartbeat{}};
}

void InstanceSimulation::injectIntoEvent(std::size_t Index, Event &NewEvent) {
  Node &To = Nodes_[Index];
  if (auto *Answered = std::get_if<ClaimsAnswered>(&NewEvent))
    injectIntoClaims(Index, *Answered);
  if (const auto *Failed = std::get_if<ClaimsFailed>(&NewEvent);
      Failed != nullptr &&
      Options_.InjectedBug_ == InjectedBug::AssumeUnansweredClaimHeld) {
    NewEvent = makeOwnRows(To, Failed->Batch_);
    return;
  }
  injectIntoOperatorEvent(Index, NewEvent);
  auto *Finished = std::get_if<TaskFinished>(&NewEvent);
  if (Finished == nullptr)
    return;
  if (Options_.InjectedBug_ == InjectedBug::RetryLostTask &&
      Finished->Result_ == TaskResult::Lost)
    Finished->Result_ = TaskResult::Refused;
  if (Options_.InjectedBug_ != InjectedBug::SwapAnswers)
    return;
  if (To.PreviousResult_)
    std::swap(To.PreviousResult_->Body_, Finished->Body_);
  To.PreviousResult_ = *Finished;
}

} // namespace marjorambend::test
