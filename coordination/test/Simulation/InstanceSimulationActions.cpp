#include "InstanceSimulation.h"

#include <marjorambend/Configuration>

namespace marjorambend::test {

static constexpr Milliseconds StoreTimeout{800};

void World::perform(std::size_t Index, const Action &Wanted) {
  if (const auto *Given = std::get_if<AnswerCaller>(&Wanted)) {
    AnswerCaller Checked = *Given;
    if (Options_.Plant_ == Plant::SayNotRun &&
        Checked.Answer_->Outcome_ == Outcome::MayHaveRun) {
      Answer Lie = *Checked.Answer_;
      Lie.Outcome_ = Outcome::NotRun;
      Checked.Answer_ = std::make_shared<const Answer>(Lie);
    }
    checkAnswer(Index, Checked);
  }
  if (const auto *Peer = std::get_if<SendPeer>(&Wanted))
    performPeer(Index, *Peer);
  if (const auto *Insert = std::get_if<InsertClaims>(&Wanted))
    performInsert(Index, *Insert);
  if (const auto *Send = std::get_if<SendTask>(&Wanted)) {
    checkDrained(Index, *Send);
    performSend(Index, *Send);
  }
  if (const auto *Answered = std::get_if<AnswerOperator>(&Wanted))
    checkOperator(*Answered);
  if (const auto *Read = std::get_if<ReadRow>(&Wanted))
    performRead(Index, *Read);
  if (const auto *Swap = std::get_if<SwapRow>(&Wanted))
    performSwap(Index, *Swap);
  if (const auto *Replace = std::get_if<ReplaceLink>(&Wanted))
    Linked_.erase({Index, Replace->To_});
}

void World::performPeer(std::size_t Index, const SendPeer &Wanted) {
  const auto To = nodeOf(Wanted.To_);
  if (!To || isCut(Index, *To) || chance(Options_.LoseMessage_))
    return;
  const int Copies = chance(Options_.DoubleMessage_) ? 2 : 1;
  const uint64_t Generation = Nodes_[*To].Generation_;
  const Incarnation From = Nodes_[Index].State_.Self_;
  for (int Copy = 0; Copy < Copies; ++Copy)
    after(between(0, chance(0.1) ? 300 : 4),
          [this, To = *To, Generation, From, Message = Wanted.Message_] {
            deliver(To, Generation, PeerReceived{From, Message});
          });
}

bool World::isStoreDown(std::size_t Index) const {
  return Now_ < OutageUntil_ || Now_ < Nodes_[Index].StoreCutUntil_;
}

ClaimRow World::insertRow(const Claim &Wanted, Incarnation Holder) {
  const ClaimRow New{
      .Id_ = Wanted.Id_, .Holder_ = Holder, .Nonce_ = Wanted.Nonce_};
  const auto [Place, IsNew] = Claims_.emplace(Wanted.Id_, New);
  if (!IsNew && Options_.Plant_ == Plant::OverwriteClaim)
    Place->second = New;
  return Place->second;
}

ClaimsAnswered World::ownRows(const Node &Claimant, uint64_t Batch) const {
  ClaimsAnswered Answered{.Batch_ = Batch, .Rows_ = {}};
  const auto Found = Claimant.Batches_.find(Batch);
  if (Found == Claimant.Batches_.end())
    return Answered;
  for (const Claim &Wanted : Found->second.Claims_)
    Answered.Rows_.push_back({.Id_ = Wanted.Id_,
                              .Holder_ = Claimant.State_.Self_,
                              .Nonce_ = Wanted.Nonce_});
  return Answered;
}

// A request may be lost before it takes effect, take effect late, or take
// effect without an answer.
void World::performInsert(std::size_t Index, const InsertClaims &Wanted) {
  Node &Claimant = Nodes_[Index];
  Claimant.Batches_[Wanted.Batch_.Number_] = Wanted.Batch_;
  if (plantInsert(Index, Wanted))
    return;
  const uint64_t Generation = Claimant.Generation_;
  const Incarnation Holder = Claimant.State_.Self_;
  const bool IsLost = chance(Options_.LoseStoreRequest_);
  const bool IsUnanswered = chance(Options_.LoseStoreAnswer_);
  if (IsLost || IsUnanswered || isStoreDown(Index))
    after(StoreTimeout,
          [this, Index, Generation, Number = Wanted.Batch_.Number_] {
            deliver(Index, Generation, ClaimsFailed{Number});
          });
  if (IsLost || isStoreDown(Index))
    return;
  const Milliseconds Delay = between(2, chance(0.05) ? 1'500 : 12);
  after(Delay,
        [this, Index, Generation, Holder, IsUnanswered, Batch = Wanted.Batch_] {
          ClaimsAnswered Answered{.Batch_ = Batch.Number_, .Rows_ = {}};
          for (const Claim &One : Batch.Claims_)
            Answered.Rows_.push_back(insertRow(One, Holder));
          if (IsUnanswered)
            return;
          after(between(1, 5), [this, Index, Generation, Answered] {
            deliver(Index, Generation, Answered);
          });
        });
}

void World::performRead(std::size_t Index, const ReadRow &Wanted) {
  const uint64_t Generation = Nodes_[Index].Generation_;
  if (isStoreDown(Index)) {
    after(StoreTimeout, [this, Index, Generation, Key = Wanted.Key_] {
      deliver(Index, Generation, RowReadFailed{Key});
    });
    return;
  }
  Row Found = chance(Options_.StaleRead_) ? OlderRows_[Wanted.Key_]
                                          : Rows_[Wanted.Key_];
  if (Found.Version_ == Wanted.KnownVersion_)
    Found.Value_.clear();
  after(between(1, 8), [this, Index, Generation, Key = Wanted.Key_, Found] {
    deliver(Index, Generation, RowRead{Key, Found.Version_, Found.Value_});
  });
}

void World::performSwap(std::size_t Index, const SwapRow &Wanted) {
  const uint64_t Generation = Nodes_[Index].Generation_;
  const bool IsLost = chance(Options_.LoseStoreRequest_);
  const bool IsUnanswered = chance(Options_.LoseStoreAnswer_);
  if (IsLost || isStoreDown(Index))
    return;
  after(between(2, 12), [this, Index, Generation, IsUnanswered, Wanted] {
    Row &Entry = Rows_[Wanted.Key_];
    if (Entry.Version_ == Wanted.ExpectedVersion_) {
      OlderRows_[Wanted.Key_] = Entry;
      Entry = {.Version_ = Entry.Version_ + 1, .Value_ = Wanted.Value_};
      if (Wanted.Key_ == CatalogueKey)
        History_[Entry.Version_] = unpackCatalogue(Entry.Value_).Text_;
    }
    if (IsUnanswered)
      return;
    after(between(1, 5), [this, Index, Generation, Key = Wanted.Key_, Entry] {
      deliver(Index, Generation, RowSwapped{Key, Entry.Version_, Entry.Value_});
    });
  });
}

// Between the decision and the socket the process may be paused, or die: then
// the task may have left or not.
void World::performSend(std::size_t Index, const SendTask &Wanted) {
  const uint64_t Generation = Nodes_[Index].Generation_;
  ++OnTheWay_[Wanted.Id_];
  const bool IsDelayed = chance(Options_.DelaySend_);
  const bool LeavesDespiteDeath = chance(0.5);
  after(between(0, IsDelayed ? 1'500 : 2),
        [this, Index, Generation, LeavesDespiteDeath, Wanted] {
          --OnTheWay_[Wanted.Id_];
          const bool IsDead = Nodes_[Index].Generation_ != Generation;
          if (!IsDead || LeavesDespiteDeath)
            arriveTask(Index, Generation, Wanted);
        });
}

void World::arriveTask(std::size_t Index, uint64_t Generation,
                       const SendTask &Task) {
  TaskFinished Finished{.Send_ = Task.Send_};
  if (chance(Options_.RefuseTask_)) {
    Finished.Result_ =
        chance(0.5) ? TaskResult::Refused : TaskResult::NotConnected;
    after(between(0, 3), [this, Index, Generation, Finished] {
      deliver(Index, Generation, Finished);
    });
    return;
  }
  ++Report_.Starts_;
  Started_.insert(Task.Id_);
  if (++Starts_[{Task.Id_, Task.Task_}] > 1)
    violate("task " + std::to_string(Task.Task_) + " of " +
            formatJobId(Task.Id_) + " started twice");
  const bool IsLost = chance(Options_.LoseTaskAnswer_);
  if (IsLost && chance(0.5))
    return; // The connection goes silent.
  Finished.Result_ = TaskResult::Succeeded;
  if (chance(Options_.FailTask_))
    Finished.Result_ = TaskResult::Failed;
  if (IsLost)
    Finished.Result_ = TaskResult::Lost;
  Finished.Body_ = formatJobId(Task.Id_) + '/' + std::to_string(Task.Task_);
  const int Copies = chance(Options_.DoubleMessage_) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy)
    after(between(20, 150), [this, Index, Generation, Finished] {
      deliver(Index, Generation, Finished);
    });
}

} // namespace marjorambend::test
