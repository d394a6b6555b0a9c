#include "marjorambend/src/Instance/Step.h"

namespace marjorambend::internal {

// Times after which a write without an answer is retried, and after which its
// result is reported as unknown.
static constexpr Milliseconds WriteRetryInterval{700};
static constexpr Milliseconds WriteTimeout{8'000};

// How long a new instance waits for peers before it relies on the drains in the
// table service alone.
static constexpr Milliseconds DrainGrace{1'500};

static void sendHeartbeatsNow(StepContext &Ctx) {
  for (auto &[Run, Known] : Ctx.State_.Peers_.Peers_)
    Known.HeartbeatDue_ = Ctx.Now_;
  sendHeartbeats(Ctx);
}

void adoptCatalogueFrom(StepContext &Ctx, uint64_t Version,
                        std::string_view Text, std::string_view Source) {
  Instance &State = Ctx.State_;
  switch (adoptCatalogue(State.Config_, Version, Text)) {
  case Adoption::Adopted:
    increment(State.Counters_, Counter::ConfigurationAdopted);
    Ctx.Out_.emplace_back(LogChange{"catalogue version " +
                                    std::to_string(Version) +
                                    " in force, from " + std::string(Source)});
    sendHeartbeatsNow(Ctx);
    return;
  case Adoption::Stale:
    increment(State.Counters_, Counter::ConfigurationStale);
    return;
  case Adoption::Invalid:
    Ctx.Out_.emplace_back(LogChange{"catalogue version " +
                                    std::to_string(Version) +
                                    " fails its checks and is not adopted"});
    return;
  case Adoption::Same:
    return;
  }
}

// Sent without acknowledgement: the fingerprints in heartbeats reveal lost
// updates.
static void sendDrains(StepContext &Ctx) {
  for (const auto &[Run, Known] : Ctx.State_.Peers_.Peers_)
    sendPeer(Ctx, Run, DrainUpdate{Ctx.State_.Drains_});
}

static void applyDrains(StepContext &Ctx) {
  for (Worker &Known : Ctx.State_.Workers_.Workers_)
    Known.IsDrained_ = isDrained(Ctx.State_.Drains_, Known.Spec_.Name_,
                                 Known.Spec_.DataCentre_);
}

void mergeReceivedDrains(StepContext &Ctx, const DrainMap &Received) {
  if (!mergeDrains(Ctx.State_.Drains_, Received))
    return;
  applyDrains(Ctx);
  Ctx.Out_.emplace_back(LogChange{"drains have changed"});
  sendDrains(Ctx);
}

static void storeDrains(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  if (State.Drains_ == State.StoredDrains_)
    return;
  increment(State.Counters_, Counter::StoreRequests);
  Ctx.Out_.emplace_back(SwapRow{.Key_ = std::string(DrainsKey),
                                .ExpectedVersion_ = State.StoredDrainsVersion_,
                                .Value_ = formatDrains(State.Drains_)});
}

// The drains count as known once a peer that knows them has the same ones; see
// onHeartbeat(). The table service may lack orders given during an outage, so
// it is relied on only after DrainGrace without such a peer.
void updateKnowsDrains(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  const bool IsAlone = Ctx.Now_ - State.StartedAt_ >= DrainGrace;
  if (!State.KnowsDrains_ && State.HasReadDrains_ && IsAlone)
    State.KnowsDrains_ = true;
}

// A read may return an older version than an earlier one did; such versions are
// ignored.
static void mergeStoredDrains(StepContext &Ctx, uint64_t Version,
                              std::string_view Value) {
  Instance &State = Ctx.State_;
  if (Version <= State.StoredDrainsVersion_)
    return;
  State.StoredDrainsVersion_ = Version;
  State.StoredDrains_ = parseDrains(Value);
  mergeReceivedDrains(Ctx, State.StoredDrains_);
}

void orderDrain(StepContext &Ctx, const DrainOrdered &Ordered) {
  Instance &State = Ctx.State_;
  marjorambend::orderDrain(State.Drains_, Ordered.Target_, Ordered.IsDrained_,
                           State.Self_);
  applyDrains(Ctx);
  Ctx.Out_.emplace_back(
      LogChange{Ordered.Target_ +
                (Ordered.IsDrained_ ? " drained" : " no longer drained")});
  sendDrains(Ctx);
  storeDrains(Ctx);
}

void handleWorkersListed(StepContext &Ctx, const WorkersListed &Listed) {
  Instance &State = Ctx.State_;
  std::vector<WorkerSpec> Here;
  for (const WorkerSpec &Spec : Listed.Workers_) {
    if (Spec.DataCentre_ == State.Options_.DataCentre_)
      Here.push_back(Spec);
  }
  updateWorkers(State.Workers_, Here);
  applyDrains(Ctx);
  sharePeerUse(State.Peers_, State.Self_, State.Options_.DataCentre_,
               State.Options_.Peers_.SlotHeadroom_, State.Workers_);
}

void handleRowRead(StepContext &Ctx, const RowRead &Row) {
  if (Row.Key_ == DrainsKey) {
    Ctx.State_.HasReadDrains_ = true;
    mergeStoredDrains(Ctx, Row.Version_, Row.Value_);
    storeDrains(Ctx);
    return;
  }
  if (Row.Key_ != CatalogueKey || Row.Version_ == 0)
    return;
  adoptCatalogueFrom(Ctx, Row.Version_, unpackCatalogue(Row.Value_).Text_,
                     "the table service");
}

static void sendWrite(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  const ConfigWrite &Write = *State.ConfigWrite_;
  State.ConfigWriteRetryAt_ = Ctx.Now_ + WriteRetryInterval;
  increment(State.Counters_, Counter::StoreRequests);
  Ctx.Out_.emplace_back(
      SwapRow{.Key_ = std::string(CatalogueKey),
              .ExpectedVersion_ = Write.ExpectedVersion_,
              .Value_ = packCatalogue(Write.Nonce_, Write.Text_)});
}

static void finishWrite(StepContext &Ctx, bool IsAccepted, uint64_t Version,
                        std::vector<std::string> Problems) {
  Ctx.Out_.emplace_back(AnswerOperator{.Token_ = Ctx.State_.ConfigWriteToken_,
                                       .IsAccepted_ = IsAccepted,
                                       .Version_ = Version,
                                       .Problems_ = std::move(Problems)});
  Ctx.State_.ConfigWrite_.reset();
}

void submitCatalogue(StepContext &Ctx, CatalogueSubmitted Submitted) {
  Instance &State = Ctx.State_;
  auto Refuse = [&](std::vector<std::string> Problems) {
    Ctx.Out_.emplace_back(AnswerOperator{.Token_ = Submitted.Token_,
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
  State.ConfigWriteDeadline_ = Ctx.Now_ + WriteTimeout;
  sendWrite(Ctx);
}

static void handleCatalogueSwapped(StepContext &Ctx, const RowSwapped &Row) {
  Instance &State = Ctx.State_;
  adoptCatalogueFrom(Ctx, Row.Version_, unpackCatalogue(Row.Value_).Text_,
                     "the table service");
  if (!State.ConfigWrite_)
    return;
  const std::string Winner = std::to_string(Row.Version_);
  switch (evaluateWrite(*State.ConfigWrite_, Row.Version_, Row.Value_)) {
  case WriteState::Accepted:
    finishWrite(Ctx, true, Row.Version_, {});
    return;
  case WriteState::Lost:
    finishWrite(
        Ctx, false, Row.Version_,
        {"version " + Winner + " is in force; edit that one and try again"});
    return;
  case WriteState::Overtaken:
    finishWrite(Ctx, false, Row.Version_,
                {"the change may have been accepted, but version " + Winner +
                 " is in force since; compare it with your change"});
    return;
  case WriteState::Repeat:
    return;
  }
}

void handleRowSwapped(StepContext &Ctx, const RowSwapped &Row) {
  if (Row.Key_ == DrainsKey)
    mergeStoredDrains(Ctx, Row.Version_, Row.Value_);
  if (Row.Key_ == CatalogueKey)
    handleCatalogueSwapped(Ctx, Row);
}

void retryWrite(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  if (!State.ConfigWrite_)
    return;
  if (Ctx.Now_ >= State.ConfigWriteDeadline_) {
    finishWrite(Ctx, false, State.Config_.Version_,
                {"the table service gives no answer; whether the change was "
                 "accepted is not known"});
    return;
  }
  if (Ctx.Now_ < State.ConfigWriteRetryAt_)
    return;
  State.ConfigWrite_->IsRepeated_ = true;
  sendWrite(Ctx);
}

void pollRows(StepContext &Ctx) {
  Instance &State = Ctx.State_;
  if (Ctx.Now_ < State.NextPoll_)
    return;
  const Milliseconds Poll = State.Options_.ConfigPoll_;
  const auto Spread =
      static_cast<int64_t>(uniformBelow(State.Generator_, Poll.Count_ / 4 + 1));
  State.NextPoll_ = Ctx.Now_ + Poll - Milliseconds{Spread};
  increment(State.Counters_, Counter::StoreRequests, 2);
  Ctx.Out_.emplace_back(ReadRow{.Key_ = std::string(CatalogueKey),
                                .KnownVersion_ = State.Config_.Version_});
  Ctx.Out_.emplace_back(ReadRow{.Key_ = std::string(DrainsKey),
                                .KnownVersion_ = State.StoredDrainsVersion_});
}

} // namespace marjorambend::internal
