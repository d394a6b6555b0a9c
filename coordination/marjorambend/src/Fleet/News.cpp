/// \file
/// \brief Distributes what one instance of a data centre reads in the
/// platform's store to the others.

#include "marjorambend/src/Fleet/FleetStep.h"
#include "marjorambend/src/Fleet/StableHash.h"

#include <algorithm>
#include <utility>

namespace marjorambend {
namespace internal {

static uint64_t fingerprintOf(const WorkerReport &Report) {
  uint64_t Hash = hashText(Report.Id_);
  const auto Mix = [&Hash](uint64_t Value) { Hash = hashNumber(Hash, Value); };
  Mix(hashText(Report.Service_));
  Mix(hashText(Report.Address_));
  Mix(Report.Port_);
  Mix(hashText(Report.DataCentre_));
  for (const std::string &Label : Report.Labels_)
    Mix(hashText(Label));
  Mix(static_cast<uint64_t>(Report.Capacity_.MilliCores_));
  Mix(static_cast<uint64_t>(Report.Capacity_.MemoryMb_));
  Mix(static_cast<uint64_t>(Report.Capacity_.Accelerators_));
  Mix(Report.IsDraining_ ? 1 : 0);
  Mix(static_cast<uint64_t>(Report.Incarnation_));
  return Hash;
}

// Uses a sum, which does not depend on the order of the entries.
static uint64_t
fingerprintOf(const std::map<std::string, WorkerReport> &Listed) {
  uint64_t Sum = Listed.size();
  for (const auto &[Id, Report] : Listed)
    Sum += fingerprintOf(Report);
  return Sum;
}

enum class Audience : uint8_t { All, Coordinators };

static void sendToDataCentre(FleetStepContext &Ctx, const FleetMessage &Message,
                             Audience To) {
  for (const auto &[Run, Other] : Ctx.State_.Members_) {
    const bool IsRecipient =
        Other.Info_.DataCentre_ == Ctx.State_.Self_.DataCentre_ &&
        (To == Audience::All || Other.Status_.IsCoordinating_);
    if (IsRecipient)
      sendMessage(Ctx, Run, Message);
  }
}

void applyConfig(FleetStepContext &Ctx, ConfigRead Read) {
  FleetInstance &State = Ctx.State_;
  FleetConfig &Known = State.Config_;
  if (Read.IsFromStore_)
    State.ConfigReadAt_ = Ctx.Now_;
  if (Read.Config_.Version_ <= Known.Version_)
    return;
  log(Ctx, "config", 0,
      {{"version", std::to_string(Read.Config_.Version_)},
       {"before", std::to_string(Known.Version_)},
       {"routes", std::to_string(Read.Config_.Routes_.size())},
       {"from", Read.IsFromStore_ ? "store" : "instance"}});
  // Each instance reads its first configuration itself.
  const bool IsChange = Known.Version_ != 0;
  Known = std::move(Read.Config_);
  std::erase_if(State.Times_.ByRoute_, [&Known](const auto &Entry) {
    return std::none_of(
        Known.Routes_.begin(), Known.Routes_.end(),
        [&Entry](const Route &One) { return One.Name_ == Entry.first; });
  });
  if (IsChange && Read.IsFromStore_ && isReader(State, Ctx.Now_))
    sendToDataCentre(Ctx, ConfigNews{Known.Version_, std::move(Read.Text_)},
                     Audience::All);
  reviewEarlyJobs(Ctx);
}

void applyConfigNews(FleetStepContext &Ctx, const ConfigNews &News) {
  FleetInstance &State = Ctx.State_;
  if (News.Version_ <= State.Config_.Version_)
    return;
  State.ReceivedConfigVersion_ = News.Version_;
  Ctx.Out_.push_back(DecodeConfigText{News.Text_});
}

static ConfigFreshness describeConfig(const FleetInstance &State,
                                      Milliseconds Now) {
  const Milliseconds At = std::max(State.ConfigReadAt_, State.ConfigNewsAt_);
  return {.Age_ = Now - At,
          .Version_ = State.Config_.Version_,
          .EvacuationsVersion_ = State.Evacuations_.Version_,
          .Evacuated_ = State.Evacuations_.DataCentres_};
}

void sendConfigFreshness(FleetStepContext &Ctx, Incarnation To) {
  sendMessage(Ctx, To, describeConfig(Ctx.State_, Ctx.Now_));
}

// Also sent if this instance is not the reader: it has read the store because
// the reader is silent or its calls are not answered.
void applyEvacuationsRead(FleetStepContext &Ctx, const EvacuationsRead &Read) {
  if (updateEvacuations(Ctx, Read.Version_, Read.DataCentres_, "store"))
    sendToDataCentre(Ctx, describeConfig(Ctx.State_, Ctx.Now_), Audience::All);
}

void handleWorkersRead(FleetStepContext &Ctx, const WorkersRead &Read) {
  FleetInstance &State = Ctx.State_;
  const std::map<std::string, WorkerReport> Before = State.ListedWorkers_;
  applyWorkerList(Ctx, Read);
  State.ListReadAt_ = Ctx.Now_;
  if (!isReader(State, Ctx.Now_))
    return;
  sendToDataCentre(Ctx, describeConfig(State, Ctx.Now_), Audience::All);
  ListNews News{.Fingerprint_ = fingerprintOf(State.ListedWorkers_)};
  for (const auto &[Id, Report] : State.ListedWorkers_) {
    const auto Known = Before.find(Id);
    if (Known == Before.end() || !(Known->second == Report))
      News.Changed_.push_back(Report);
  }
  for (const auto &[Id, Report] : Before) {
    if (!State.ListedWorkers_.contains(Id))
      News.Removed_.push_back(Id);
  }
  sendToDataCentre(Ctx, News, Audience::Coordinators);
}

// Passes on what an instance of another data centre has sent: the reader here
// may be unable to read it.
static void applyEvacuationNews(FleetStepContext &Ctx, Incarnation From,
                                const ConfigFreshness &Given) {
  const FleetInstance &State = Ctx.State_;
  const bool HasChanged = updateEvacuations(Ctx, Given.EvacuationsVersion_,
                                            Given.Evacuated_, "instance");
  const auto Sender = State.Members_.find(From);
  if (HasChanged && Sender != State.Members_.end() &&
      Sender->second.Info_.DataCentre_ != State.Self_.DataCentre_)
    sendToDataCentre(Ctx, describeConfig(State, Ctx.Now_), Audience::All);
}

void applyConfigFreshness(FleetStepContext &Ctx, Incarnation From,
                          const ConfigFreshness &Given) {
  FleetInstance &State = Ctx.State_;
  const uint64_t Evacuations = Given.EvacuationsVersion_;
  if (Evacuations > 0)
    applyEvacuationNews(Ctx, From, Given);
  // An instance of an earlier version does not read the evacuations, so that it
  // cannot confirm them.
  const bool KnowsEvacuations =
      Evacuations > 0 || State.Evacuations_.Version_ == 0;
  // A configuration that the reader sent before the session began has been
  // missed here; it has to be read from the store. One that is being decoded
  // will be known soon.
  if (Given.Version_ <= State.Config_.Version_ && KnowsEvacuations)
    State.ConfigNewsAt_ = std::max(State.ConfigNewsAt_, Ctx.Now_ - Given.Age_);
  else if (Given.Version_ > State.ReceivedConfigVersion_ || !KnowsEvacuations)
    State.ConfigNewsAt_ = {};
}

void applyListNews(FleetStepContext &Ctx, const ListNews &News) {
  FleetInstance &State = Ctx.State_;
  std::map<std::string, WorkerReport> Listed = State.ListedWorkers_;
  for (const WorkerReport &Report : News.Changed_)
    Listed[Report.Id_] = Report;
  for (const std::string &Id : News.Removed_)
    Listed.erase(Id);
  // If the fingerprint differs, the lists differed before: ignores the changes,
  // so that this instance reads the list itself.
  if (fingerprintOf(Listed) != News.Fingerprint_)
    return;
  State.ListNewsAt_ = Ctx.Now_;
  const bool IsSame = News.Changed_.empty() && News.Removed_.empty();
  if (IsSame && State.IsListFresh_)
    return;
  WorkersRead Read;
  for (auto &[Id, Report] : Listed)
    Read.Workers_.push_back(std::move(Report));
  applyWorkerList(Ctx, Read);
}

} // namespace internal

bool isReader(const FleetInstance &State, Milliseconds Now) {
  if (!State.IsCoordinating_)
    return false;
  for (const auto &[Run, Other] : State.Members_) {
    const bool IsCandidate =
        Other.Info_.DataCentre_ == State.Self_.DataCentre_ &&
        internal::isActiveCoordinator(Other.Status_) &&
        Now - Other.HeardAt_ <= State.Options_.PlacerTimeout_;
    if (IsCandidate && isPreferred(Other.Info_, State.Self_))
      return false;
  }
  return true;
}

bool shouldReadList(const FleetInstance &State, Milliseconds Now) {
  return State.IsCoordinating_ &&
         (!State.HasWorkerList_ || isReader(State, Now) ||
          Now - State.ListNewsAt_ > State.Options_.MaxListAge_);
}

bool shouldFollowConfig(const FleetInstance &State, Milliseconds Now) {
  return State.Config_.Version_ == 0 || isReader(State, Now) ||
         Now - State.ConfigNewsAt_ > State.Options_.MaxConfigAge_;
}

} // namespace marjorambend
