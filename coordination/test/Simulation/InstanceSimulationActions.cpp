#include "InstanceSimulation.h"

#include <marjorambend/Configuration>

namespace marjorambend::test {

static constexpr Milliseconds StoreTimeout{800};

void InstanceSimulation::perform(std::size_t Index, const Action &Requested) {
  if (const auto *Reply = std::get_if<AnswerCaller>(&Requested)) {
    AnswerCaller Checked = *Reply;
    if (Options_.InjectedBug_ == InjectedBug::ReportAllAsNotRun &&
        Checked.Answer_->Outcome_ == Outcome::MayHaveRun) {
      Answer Falsified = *Checked.Answer_;
      Falsified.Outcome_ = Outcome::NotRun;
      Checked.Answer_ = std::make_shared<const Answer>(Falsified);
    }
    checkAnswer(Index, Checked);
  }
  if (const auto *Peer = std::get_if<SendPeer>(&Requested))
    performPeer(Index, *Peer);
  if (const auto *Insert = std::get_if<InsertClaims>(&Requested))
    performInsert(Index, *Insert);
  if (const auto *Send = std::get_if<SendTask>(&Requested)) {
    checkDrained(Index, *Send);
    performSend(Index, *Send);
  }
  if (const auto *Answered = std::get_if<AnswerOperator>(&Requested))
    checkOperatorAnswer(*Answered);
  if (const auto *Read = std::get_if<ReadRow>(&Requested))
    performRead(Index, *Read);
  if (const auto *Swap = std::get_if<SwapRow>(&Requested))
    performSwap(Index, *Swap);
  if (const auto *Replace = std::get_if<ReplaceLink>(&Requested))
    Links_.erase({Index, Replace->To_});
}

void InstanceSimulation::performPeer(std::size_t Index,
                                     const SendPeer &Requested) {
  const auto To = findNode(Requested.To_);
  if (!To || isPartitioned(Index, *To) || chance(Options_.LoseMessage_))
    return;
  const int Copies = chance(Options_.DuplicateMessage_) ? 2 : 1;
  const uint64_t Generation = Nodes_[*To].Generation_;
  const Incarnation From = Nodes_[Index].State_.Self_;
  for (int Copy = 0; Copy < Copies; ++Copy)
    after(randomBetween(0, chance(0.1) ? 300 : 4),
          [this, To = *To, Generation, From, Message = Requested.Message_] {
            deliver(To, Generation, PeerReceived{From, Message});
          });
}

bool InstanceSimulation::isStoreDown(std::size_t Index) const {
  return Now_ < OutageUntil_ || Now_ < Nodes_[Index].StorePartitionedUntil_;
}

ClaimRow InstanceSimulation::insertRow(const Claim &Requested,
                                       Incarnation Holder) {
  const ClaimRow New{
      .Id_ = Requested.Id_, .Holder_ = Holder, .Nonce_ = Requested.Nonce_};
  const auto [Place, IsNew] = Claims_.emplace(Requested.Id_, New);
  if (!IsNew && Options_.InjectedBug_ == InjectedBug::OverwriteClaim)
    Place->second = New;
  return Place->second;
}

ClaimsAnswered InstanceSimulation::makeOwnRows(const Node &Claimant,
                                               uint64_t Batch) const {
  ClaimsAnswered Answered{.Batch_ = Batch, .Rows_ = {}};
  const auto Found = Claimant.Batches_.find(Batch);
  if (Found == Claimant.Batches_.end())
    return Answered;
  for (const Claim &Requested : Found->second.Claims_)
    Answered.Rows_.push_back({.Id_ = Requested.Id_,
                              .Holder_ = Claimant.State_.Self_,
                              .Nonce_ = Requested.Nonce_});
  return Answered;
}

// A request may be lost, take effect late, or take effect without an answer.
void InstanceSimulation::performInsert(std::size_t Index,
                                       const InsertClaims &Requested) {
  Node &Claimant = Nodes_[Index];
  Claimant.Batches_[Requested.Batch_.Number_] = Requested.Batch_;
  if (injectIntoInsert(Index, Requested))
    return;
  const uint64_t Generation = Claimant.Generation_;
  const Incarnation Holder = Claimant.State_.Self_;
  const bool IsLost = chance(Options_.LoseStoreRequest_);
  const bool IsUnanswered = chance(Options_.LoseStoreAnswer_);
  if (IsLost || IsUnanswered || isStoreDown(Index))
    after(StoreTimeout,
          [this, Index, Generation, Number = Requested.Batch_.Number_] {
            deliver(Index, Generation, ClaimsFailed{Number});
          });
  if (IsLost || isStoreDown(Index))
    return;
  const Milliseconds Delay = randomBetween(2, chance(0.05) ? 1'500 : 12);
  after(Delay, [this, Index, Generation, Holder, IsUnanswered,
                Batch = Requested.Batch_] {
    ClaimsAnswered Answered{.Batch_ = Batch.Number_, .Rows_ = {}};
    for (const Claim &One : Batch.Claims_)
      Answered.Rows_.push_back(insertRow(One, Holder));
    if (IsUnanswered)
      return;
    after(randomBetween(1, 5), [this, Index, Generation, Answered] {
      deliver(Index, Generation, Answered);
    });
  });
}

void InstanceSimulation::performRead(std::size_t Index,
                                     const ReadRow &Requested) {
  const uint64_t Generation = Nodes_[Index].Generation_;
  if (isStoreDown(Index)) {
    after(StoreTimeout, [this, Index, Generation, Key = Requested.Key_] {
      deliver(Index, Generation, RowReadFailed{Key});
    });
    return;
  }
  Row Found = chance(Options_.StaleRead_) ? PreviousRows_[Requested.Key_]
                                          : Rows_[Requested.Key_];
  if (Found.Version_ == Requested.KnownVersion_)
    Found.Value_.clear();
  after(randomBetween(1, 8), [this, Index, Generation, Key = Requested.Key_,
                              Found] {
    deliver(Index, Generation, RowRead{Key, Found.Version_, Found.Value_});
  });
}

void InstanceSimulation::performSwap(std::size_t Index,
                                     const SwapRow &Requested) {
  const uint64_t Generation = Nodes_[Index].Generation_;
  const bool IsLost = chance(Options_.LoseStoreRequest_);
  const bool IsUnanswered = chance(Options_.LoseStoreAnswer_);
  if (IsLost || isStoreDown(Index))
    return;
  after(randomBetween(2, 12), [this, Index, Generation, IsUnanswered,
                               Requested] {
    Row &Stored = Rows_[Requested.Key_];
    if (Stored.Version_ == Requested.ExpectedVersion_) {
      PreviousRows_[Requested.Key_] = Stored;
      Stored = {.Version_ = Stored.Version_ + 1, .Value_ = Requested.Value_};
      if (Requested.Key_ == CatalogueKey)
        CatalogueVersions_[Stored.Version_] =
            unpackCatalogue(Stored.Value_).Text_;
    }
    if (IsUnanswered)
      return;
    after(randomBetween(1, 5),
          [this, Index, Generation, Key = Requested.Key_, Stored] {
            deliver(Index, Generation,
                    RowSwapped{Key, Stored.Version_, Stored.Value_});
          });
  });
}

// The process may be paused or killed between the decision and the socket
// write. If it is killed, the task may or may not have been sent.
void InstanceSimulation::performSend(std::size_t Index,
                                     const SendTask &Requested) {
  const uint64_t Generation = Nodes_[Index].Generation_;
  ++PendingSends_[Requested.Id_];
  const bool IsDelayed = chance(Options_.DelaySend_);
  const bool SendsDespiteKill = chance(0.5);
  after(randomBetween(0, IsDelayed ? 1'500 : 2),
        [this, Index, Generation, SendsDespiteKill, Requested] {
          --PendingSends_[Requested.Id_];
          const bool IsDead = Nodes_[Index].Generation_ != Generation;
          if (!IsDead || SendsDespiteKill)
            receiveTask(Index, Generation, Requested);
        });
}

void InstanceSimulation::receiveTask(std::size_t Index, uint64_t Generation,
                                     const SendTask &Task) {
  TaskFinished Finished{.Send_ = Task.Send_};
  if (chance(Options_.RefuseTask_)) {
    Finished.Result_ =
        chance(0.5) ? TaskResult::Refused : TaskResult::NotConnected;
    after(randomBetween(0, 3), [this, Index, Generation, Finished] {
      deliver(Index, Generation, Finished);
    });
    return;
  }
  ++Report_.Starts_;
  Started_.insert(Task.Id_);
  if (++Starts_[{Task.Id_, Task.Task_}] > 1)
    reportViolation("task " + std::to_string(Task.Task_) + " of " +
                    formatJobId(Task.Id_) + " started twice");
  const bool IsLost = chance(Options_.LoseTaskAnswer_);
  if (IsLost && chance(0.5))
    return; // No answer and no error.
  Finished.Result_ = TaskResult::Succeeded;
  if (chance(Options_.FailTask_))
    Finished.Result_ = TaskResult::Failed;
  if (IsLost)
    Finished.Result_ = TaskResult::Lost;
  Finished.Body_ = formatJobId(Task.Id_) + '/' + std::to_string(Task.Task_);
  const int Copies = chance(Options_.DuplicateMessage_) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy)
    after(randomBetween(20, 150), [this, Index, Generation, Finished] {
      deliver(Index, Generation, Finished);
    });
}

} // namespace marjorambend::test
