#include "marjorambend/src/Instance/Step.h"

namespace marjorambend::internal {

// A write without answer is repeated after this time, and reported as not
// known after the other.
static constexpr Milliseconds WriteRepeat{700};
static constexpr Milliseconds WriteGiveUp{8'000};

// How long a new instance waits for others before it trusts the table service
// alone about drains.
static constexpr Milliseconds DrainGrace{1'500};

static void beatAllNow(Turn &T) {
  for (auto &[Run, Known] : T.State_.Peers_.Peers_)
    Known.HeartbeatDue_ = T.Now_;
  beatPeers(T);
}

void adoptFrom(Turn &T, uint64_t Version, std::string_view Text,
               std::string_view Source) {
  Instance &State = T.State_;
  switch (adoptCatalogue(State.Config_, Version, Text)) {
  case Adoption::Adopted:
    increment(State.Counters_, Counter::ConfigurationAdopted);
    T.Out_.emplace_back(LogChange{"catalogue version " +
                                  std::to_string(Version) + " in force, from " +
                                  std::string(Source)});
    beatAllNow(T);
    return;
  case Adoption::Stale:
    increment(State.Counters_, Counter::ConfigurationStale);
    return;
  case Adoption::Invalid:
    T.Out_.emplace_back(LogChange{"catalogue version " +
                                  std::to_string(Version) +
                                  " fails its checks and is not adopted"});
    return;
  case Adoption::Same:
    return;
  }
}

// Passed on at once; heartbeats find out what was lost on the way.
static void pushDrains(Turn &T) {
  for (const auto &[Run, Known] : T.State_.Peers_.Peers_)
    sendPeer(T, Run, DrainUpdate{T.State_.Drains_});
}

static void applyDrains(Turn &T) {
  for (Worker &Known : T.State_.Workers_.Workers_)
    Known.IsDrained_ =
        isDrained(T.State_.Drains_, Known.Spec_.Name_, Known.Spec_.DataCentre_);
}

void takeDrains(Turn &T, const DrainMap &Received) {
  if (!mergeDrains(T.State_.Drains_, Received))
    return;
  applyDrains(T);
  T.Out_.emplace_back(LogChange{"drains have changed"});
  pushDrains(T);
}

static void storeDrains(Turn &T) {
  Instance &State = T.State_;
  if (State.Drains_ == State.StoredDrains_)
    return;
  increment(State.Counters_, Counter::StoreRequests);
  T.Out_.emplace_back(SwapRow{.Key_ = std::string(DrainsKey),
                              .ExpectedVersion_ = State.StoredDrainsVersion_,
                              .Value_ = formatDrains(State.Drains_)});
}

// An instance that agrees with another which knows the drains knows them too.
// The table service may lack orders that were given while it was out, so that
// it counts only when no such instance is heard for a while.
void learnDrains(Turn &T) {
  Instance &State = T.State_;
  const bool IsAlone = T.Now_ - State.StartedAt_ >= DrainGrace;
  if (!State.KnowsDrains_ && State.HasReadDrains_ && IsAlone)
    State.KnowsDrains_ = true;
}

// A read may be older than one before; merging makes that harmless.
static void takeStoredDrains(Turn &T, uint64_t Version,
                             std::string_view Value) {
  Instance &State = T.State_;
  if (Version <= State.StoredDrainsVersion_)
    return;
  State.StoredDrainsVersion_ = Version;
  State.StoredDrains_ = parseDrains(Value);
  takeDrains(T, State.StoredDrains_);
}

void orderDrain(Turn &T, const DrainOrdered &Ordered) {
  Instance &State = T.State_;
  marjorambend::orderDrain(State.Drains_, Ordered.Target_, Ordered.IsDrained_,
                           State.Self_);
  applyDrains(T);
  T.Out_.emplace_back(
      LogChange{Ordered.Target_ +
                (Ordered.IsDrained_ ? " drained" : " no longer drained")});
  pushDrains(T);
  storeDrains(T);
}

void listWorkers(Turn &T, const WorkersListed &Listed) {
  Instance &State = T.State_;
  std::vector<WorkerSpec> Here;
  for (const WorkerSpec &Spec : Listed.Workers_) {
    if (Spec.DataCentre_ == State.Options_.DataCentre_)
      Here.push_back(Spec);
  }
  updateWorkers(State.Workers_, Here);
  applyDrains(T);
  sharePeerUse(State.Peers_, State.Self_, State.Options_.DataCentre_,
               State.Options_.Peers_.SlotHeadroom_, State.Workers_);
}

void readRow(Turn &T, const RowRead &Row) {
  if (Row.Key_ == DrainsKey) {
    T.State_.HasReadDrains_ = true;
    takeStoredDrains(T, Row.Version_, Row.Value_);
    storeDrains(T);
    return;
  }
  if (Row.Key_ != CatalogueKey || Row.Version_ == 0)
    return;
  adoptFrom(T, Row.Version_, unpackCatalogue(Row.Value_).Text_,
            "the table service");
}

static void sendWrite(Turn &T) {
  Instance &State = T.State_;
  const ConfigWrite &Write = *State.ConfigWrite_;
  State.ConfigWriteDue_ = T.Now_ + WriteRepeat;
  increment(State.Counters_, Counter::StoreRequests);
  T.Out_.emplace_back(
      SwapRow{.Key_ = std::string(CatalogueKey),
              .ExpectedVersion_ = Write.ExpectedVersion_,
              .Value_ = packCatalogue(Write.Nonce_, Write.Text_)});
}

static void endWrite(Turn &T, bool IsAccepted, uint64_t Version,
                     std::vector<std::string> Problems) {
  T.Out_.emplace_back(AnswerOperator{.Token_ = T.State_.ConfigWriteToken_,
                                     .IsAccepted_ = IsAccepted,
                                     .Version_ = Version,
                                     .Problems_ = std::move(Problems)});
  T.State_.ConfigWrite_.reset();
}

void submitCatalogue(Turn &T, CatalogueSubmitted Submitted) {
  Instance &State = T.State_;
  auto Refuse = [&](std::vector<std::string> Problems) {
    T.Out_.emplace_back(AnswerOperator{.Token_ = Submitted.Token_,
                                       .IsAccepted_ = false,
                                       .Version_ = State.Config_.Version_,
                                       .Problems_ = std::move(Problems)});
  };
  auto Parsed = parseCatalogue(Submitted.Text_);
  if (!Parsed) {
    Refuse(std::move(Parsed.error().Problems_));
    return;
  }
  if (State.ConfigWrite_) {
    Refuse({"another change is being written by this instance; try again"});
    return;
  }
  State.ConfigWrite_ =
      ConfigWrite{.Nonce_ = State.Generator_(),
                  .ExpectedVersion_ = Submitted.ExpectedVersion_,
                  .Text_ = std::move(Submitted.Text_)};
  State.ConfigWriteToken_ = Submitted.Token_;
  State.ConfigWriteEnd_ = T.Now_ + WriteGiveUp;
  sendWrite(T);
}

static void judgeCatalogue(Turn &T, const RowSwapped &Row) {
  Instance &State = T.State_;
  adoptFrom(T, Row.Version_, unpackCatalogue(Row.Value_).Text_,
            "the table service");
  if (!State.ConfigWrite_)
    return;
  const std::string Winner = std::to_string(Row.Version_);
  switch (judgeWrite(*State.ConfigWrite_, Row.Version_, Row.Value_)) {
  case WriteState::Accepted:
    endWrite(T, true, Row.Version_, {});
    return;
  case WriteState::Lost:
    endWrite(
        T, false, Row.Version_,
        {"version " + Winner + " is in force; edit that one and try again"});
    return;
  case WriteState::Overtaken:
    endWrite(T, false, Row.Version_,
             {"the change may have been accepted, but version " + Winner +
              " is in force since; compare it with your change"});
    return;
  case WriteState::Repeat:
    return;
  }
}

void swapRow(Turn &T, const RowSwapped &Row) {
  if (Row.Key_ == DrainsKey)
    takeStoredDrains(T, Row.Version_, Row.Value_);
  if (Row.Key_ == CatalogueKey)
    judgeCatalogue(T, Row);
}

void repeatWrite(Turn &T) {
  Instance &State = T.State_;
  if (!State.ConfigWrite_)
    return;
  if (T.Now_ >= State.ConfigWriteEnd_) {
    endWrite(T, false, State.Config_.Version_,
             {"the table service gives no answer; whether the change was "
              "accepted is not known"});
    return;
  }
  if (T.Now_ < State.ConfigWriteDue_)
    return;
  State.ConfigWrite_->IsRepeated_ = true;
  sendWrite(T);
}

void pollRows(Turn &T) {
  Instance &State = T.State_;
  if (T.Now_ < State.NextPoll_)
    return;
  const Milliseconds Poll = State.Options_.ConfigPoll_;
  const auto Spread =
      static_cast<int64_t>(uniformBelow(State.Generator_, Poll.Count_ / 4 + 1));
  State.NextPoll_ = T.Now_ + Poll - Milliseconds{Spread};
  increment(State.Counters_, Counter::StoreRequests, 2);
  T.Out_.emplace_back(ReadRow{.Key_ = std::string(CatalogueKey),
                              .KnownVersion_ = State.Config_.Version_});
  T.Out_.emplace_back(ReadRow{.Key_ = std::string(DrainsKey),
                              .KnownVersion_ = State.StoredDrainsVersion_});
}

} // namespace marjorambend::internal
