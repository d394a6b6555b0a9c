#include "InstanceSimulation.h"

#include <marjorambend/Configuration>

namespace marjorambend::test {

static constexpr Milliseconds HastyDecision{100};

// Returns whether the table service is passed by.
bool World::plantInsert(std::size_t Index, const InsertClaims &Wanted) {
  const bool IsPassedBy =
      Options_.Plant_ == Plant::StartWithoutClaim ||
      (Options_.Plant_ == Plant::AssumeHeldInOutage && isStoreDown(Index));
  if (!IsPassedBy)
    return false;
  const Node &Claimant = Nodes_[Index];
  const uint64_t Generation = Claimant.Generation_;
  after(HastyDecision, [this, Index, Generation,
                        Rows = ownRows(Claimant, Wanted.Batch_.Number_)] {
    deliver(Index, Generation, Rows);
  });
  return true;
}

void World::plantClaims(std::size_t Index, ClaimsAnswered &Answered) {
  const Instance &State = Nodes_[Index].State_;
  for (ClaimRow &Row : Answered.Rows_) {
    const auto Record = State.Jobs_.find(Row.Id_);
    if (Record == State.Jobs_.end())
      continue;
    const bool IsOwn = Row.Holder_ == State.Self_;
    const bool IsReachable = State.Peers_.Peers_.count(Row.Holder_) > 0;
    const bool IsTaken =
        Options_.Plant_ == Plant::TakeOverClaim && !IsOwn && !IsReachable;
    const bool IsTrusted =
        IsOwn && (Options_.Plant_ == Plant::IgnoreNonce ||
                  Options_.Plant_ == Plant::ReuseIncarnation);
    if (!IsTaken && !IsTrusted)
      continue;
    Row.Holder_ = State.Self_;
    Row.Nonce_ = Record->second.ClaimNonce_;
  }
}

void World::plantOperators(std::size_t Index, Event &Happened) {
  Instance &State = Nodes_[Index].State_;
  if (Options_.Plant_ == Plant::StepBack &&
      std::holds_alternative<RowRead>(Happened))
    State.Config_.Version_ = 0;
  auto *Swapped = std::get_if<RowSwapped>(&Happened);
  if (Options_.Plant_ == Plant::ClaimEveryWrite && Swapped != nullptr &&
      Swapped->Key_ == CatalogueKey && State.ConfigWrite_)
    State.ConfigWrite_->Nonce_ = unpackCatalogue(Swapped->Value_).Nonce_;
  const auto *Received = std::get_if<PeerReceived>(&Happened);
  if (Options_.Plant_ == Plant::KeepDrainsToItself && Received != nullptr &&
      std::holds_alternative<DrainUpdate>(Received->Message_))
    Happened = PeerReceived{Received->From_, Heartbeat{}};
}

void World::plantEvent(std::size_t Index, Event &Happened) {
  Node &To = Nodes_[Index];
  if (auto *Answered = std::get_if<ClaimsAnswered>(&Happened))
    plantClaims(Index, *Answered);
  if (const auto *Failed = std::get_if<ClaimsFailed>(&Happened);
      Failed != nullptr && Options_.Plant_ == Plant::AssumeLostClaimHeld) {
    Happened = ownRows(To, Failed->Batch_);
    return;
  }
  plantOperators(Index, Happened);
  auto *Finished = std::get_if<TaskFinished>(&Happened);
  if (Finished == nullptr)
    return;
  if (Options_.Plant_ == Plant::RetryLostTask &&
      Finished->Result_ == TaskResult::Lost)
    Finished->Result_ = TaskResult::Refused;
  if (Options_.Plant_ != Plant::CrossAnswers)
    return;
  if (To.Held_)
    std::swap(To.Held_->Body_, Finished->Body_);
  To.Held_ = *Finished;
}

} // namespace marjorambend::test
