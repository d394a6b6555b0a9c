#include "marjorambend/src/Transport/FleetCodec.h"

#include "fleet_generated.h"

#include <cstring>
#include <string_view>

namespace marjorambend {
namespace internal {

using flatbuffers::FlatBufferBuilder;

struct FleetBody {
  fleetwire::Body Type_;
  flatbuffers::Offset<void> Offset_;
};

static fleetwire::Room toWire(const Room &Given) {
  return {Given.MilliCores_, Given.MemoryMb_, Given.Accelerators_};
}
static fleetwire::Run toWire(const RunId &Given) {
  return {Given.Job_, Given.Task_, Given.Attempt_};
}
static Room fromWire(const fleetwire::Room *Given) {
  if (Given == nullptr)
    return {};
  return {Given->milli_cores(), Given->memory_mb(), Given->accelerators()};
}
static RunId fromWire(const fleetwire::Run *Given) {
  if (Given == nullptr)
    return {};
  return {Given->job(), Given->task(), Given->attempt()};
}
static std::string fromWire(const flatbuffers::String *Given) {
  return Given == nullptr ? std::string() : Given->str();
}

struct FleetEncoder {
  FlatBufferBuilder &B_;

  auto text(const std::string &Given) const { return B_.CreateString(Given); }

  FleetBody operator()(const SessionHello &M) const {
    const auto Name = text(M.Info_.Name_);
    const auto DataCentre = text(M.Info_.DataCentre_);
    const auto Address = text(M.Info_.Address_);
    return {fleetwire::Body::Hello,
            fleetwire::CreateHello(B_, M.Info_.Run_.Value_, Name, DataCentre,
                                   M.Info_.CpuShare_, Address, M.Info_.Port_,
                                   M.Nonce_, M.PeerNonce_, M.Received_)
                .Union()};
  }
  FleetBody operator()(const InstanceStatus &M) const {
    return {fleetwire::Body::Status,
            fleetwire::CreateStatus(B_, M.IsReady_, M.IsStopping_,
                                    M.HighestToken_, M.IsCoordinating_)
                .Union()};
  }
  auto worker(const WorkerReport &R, bool IsOpen, double Slowness) const {
    const auto Id = text(R.Id_);
    const auto Service = text(R.Service_);
    const auto Address = text(R.Address_);
    const auto DataCentre = text(R.DataCentre_);
    const auto Labels = B_.CreateVectorOfStrings(R.Labels_);
    const fleetwire::Room Capacity = toWire(R.Capacity_);
    return fleetwire::CreateWorker(B_, Id, Service, Address, R.Port_,
                                   DataCentre, Labels, &Capacity, R.IsDraining_,
                                   R.Incarnation_, IsOpen, Slowness);
  }
  FleetBody operator()(const WorkersHeld &M) const {
    std::vector<flatbuffers::Offset<fleetwire::Worker>> Workers;
    for (const HeldWorker &One : M.Workers_)
      Workers.push_back(worker(One.Report_, One.IsOpen_, One.Slowness_));
    const auto All = B_.CreateVector(Workers);
    return {fleetwire::Body::WorkersHeld,
            fleetwire::CreateWorkersHeld(B_, All, M.HighestToken_).Union()};
  }
  FleetBody operator()(const ListNews &M) const {
    std::vector<flatbuffers::Offset<fleetwire::Worker>> Changed;
    for (const WorkerReport &One : M.Changed_)
      Changed.push_back(worker(One, false, 1.0));
    const auto All = B_.CreateVector(Changed);
    const auto Removed = B_.CreateVectorOfStrings(M.Removed_);
    return {
        fleetwire::Body::ListNews,
        fleetwire::CreateListNews(B_, All, Removed, M.Fingerprint_).Union()};
  }
  FleetBody operator()(const ConfigNews &M) const {
    const auto Text = text(M.Text_);
    return {fleetwire::Body::ConfigNews,
            fleetwire::CreateConfigNews(B_, M.Version_, Text).Union()};
  }
  FleetBody operator()(const WorkersDropped &M) const {
    const auto Ids = B_.CreateVectorOfStrings(M.Ids_);
    return {fleetwire::Body::WorkersDropped,
            fleetwire::CreateWorkersDropped(B_, Ids).Union()};
  }
  FleetBody operator()(const PlaceRequest &M) const {
    const auto Route = text(M.Route_);
    const auto Service = text(M.Service_);
    const auto Tasks = B_.CreateVector(M.Tasks_);
    const fleetwire::Room Needs = toWire(M.Needs_);
    const auto Label = text(M.Label_);
    const auto Rack = text(M.DataRack_);
    std::vector<uint64_t> Runs;
    for (const Incarnation One : M.Avoid_)
      Runs.push_back(One.Value_);
    const auto Avoid = Runs.empty() ? 0 : B_.CreateVector(Runs);
    return {fleetwire::Body::PlaceRequest,
            fleetwire::CreatePlaceRequest(B_, M.Job_, M.Id_, Route, Service,
                                          Tasks, &Needs, M.Estimate_.Count_,
                                          M.Priority_, M.ObjectiveIn_.Count_,
                                          M.GiveUpIn_.Count_, Label, Rack,
                                          M.MaxPerWorker_, Avoid, M.IsStarted_)
                .Union()};
  }
  FleetBody operator()(const PlaceWithdraw &M) const {
    return {fleetwire::Body::PlaceWithdraw,
            fleetwire::CreatePlaceWithdraw(B_, M.Job_).Union()};
  }
  FleetBody operator()(const PlaceRelease &M) const {
    return {fleetwire::Body::PlaceRelease,
            fleetwire::CreatePlaceRelease(B_, M.Job_, M.Task_,
                                          static_cast<uint8_t>(M.End_))
                .Union()};
  }
  FleetBody operator()(const PlaceAdopt &M) const {
    const auto Worker = text(M.Worker_);
    const fleetwire::Room Needs = toWire(M.Needs_);
    return {fleetwire::Body::PlaceAdopt,
            fleetwire::CreatePlaceAdopt(B_, M.Job_, M.Task_, Worker, &Needs)
                .Union()};
  }
  FleetBody operator()(const Placed &M) const {
    std::vector<flatbuffers::Offset<fleetwire::Placement>> Tasks;
    for (const Placement &One : M.Tasks_)
      Tasks.push_back(fleetwire::CreatePlacement(
          B_, One.Task_, text(One.Worker_), One.Holder_.Value_,
          One.FreeMilliCores_, One.ViewAge_.Count_));
    const auto All = B_.CreateVector(Tasks);
    return {fleetwire::Body::Placed,
            fleetwire::CreatePlaced(B_, M.Job_, All).Union()};
  }
  FleetBody operator()(const PlaceRefused &M) const {
    return {fleetwire::Body::PlaceRefused,
            fleetwire::CreatePlaceRefused(B_, M.Job_, M.RetryAfter_.Count_)
                .Union()};
  }
  FleetBody operator()(const StartOrder &M) const {
    std::vector<flatbuffers::Offset<fleetwire::OrderedRun>> Runs;
    for (const OrderedRun &One : M.Runs_) {
      const auto Worker = text(One.Worker_);
      const fleetwire::Run Run = toWire(One.Run_);
      Runs.push_back(fleetwire::CreateOrderedRun(B_, &Run, Worker));
    }
    const auto All = B_.CreateVector(Runs);
    const auto Spec = text(M.Spec_);
    const fleetwire::Room Needs = toWire(M.Needs_);
    return {fleetwire::Body::StartOrder,
            fleetwire::CreateStartOrder(B_, M.Job_, &Needs, M.Estimate_.Count_,
                                        Spec, All)
                .Union()};
  }
  FleetBody operator()(const ConfigFreshness &M) const {
    return {fleetwire::Body::ConfigFreshness,
            fleetwire::CreateConfigFreshness(B_, M.Age_.Count_, M.Version_)
                .Union()};
  }
  FleetBody operator()(const RosterNews &M) const {
    std::vector<flatbuffers::Offset<fleetwire::Instance>> Instances;
    for (const InstanceInfo &One : M.Instances_)
      Instances.push_back(fleetwire::CreateInstance(
          B_, text(One.Name_), text(One.DataCentre_), One.CpuShare_,
          text(One.Address_), One.Port_));
    const auto All = B_.CreateVector(Instances);
    return {fleetwire::Body::RosterNews,
            fleetwire::CreateRosterNews(B_, All).Union()};
  }
  FleetBody operator()(const WorkerPaces &M) const {
    std::vector<flatbuffers::Offset<fleetwire::WorkerPace>> Workers;
    for (const WorkerPace &One : M.Workers_)
      Workers.push_back(
          fleetwire::CreateWorkerPace(B_, text(One.Id_), One.Slowness_));
    const auto All = B_.CreateVector(Workers);
    return {fleetwire::Body::WorkerPaces,
            fleetwire::CreateWorkerPaces(B_, All).Union()};
  }
  FleetBody operator()(const RosterQuery &) const {
    return {fleetwire::Body::RosterQuery,
            fleetwire::CreateRosterQuery(B_).Union()};
  }
  FleetBody operator()(const SessionConfirmation &) const {
    return {fleetwire::Body::Confirmation,
            fleetwire::CreateConfirmation(B_).Union()};
  }
  FleetBody operator()(const StopOrder &M) const {
    const auto Worker = text(M.Worker_);
    const fleetwire::Run Run = toWire(M.Run_);
    return {fleetwire::Body::StopOrder,
            fleetwire::CreateStopOrder(B_, &Run, Worker).Union()};
  }
  FleetBody operator()(const RunEnded &M) const {
    const auto Worker = text(M.Worker_);
    const fleetwire::Run Run = toWire(M.Run_);
    return {fleetwire::Body::RunEnded,
            fleetwire::CreateRunEnded(B_, M.Job_, &Run, Worker,
                                      static_cast<uint8_t>(M.End_),
                                      M.Ran_.Count_)
                .Union()};
  }
  FleetBody operator()(const FleetMessage &M) const {
    return std::visit(*this, M);
  }
};

static RunEnd toEnd(uint8_t Value) {
  return Value <= static_cast<uint8_t>(RunEnd::Superseded)
             ? static_cast<RunEnd>(Value)
             : RunEnd::Lost;
}

static std::vector<std::string>
toStdStrings(const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>
                 *Given) {
  std::vector<std::string> Texts;
  if (Given == nullptr)
    return Texts;
  for (const auto *One : *Given)
    Texts.push_back(One->str());
  return Texts;
}

static HeldWorker toWorker(const fleetwire::Worker &W) {
  return {.Report_ = {.Id_ = fromWire(W.id()),
                      .Service_ = fromWire(W.service()),
                      .Address_ = fromWire(W.address()),
                      .Port_ = W.port(),
                      .DataCentre_ = fromWire(W.data_centre()),
                      .Labels_ = toStdStrings(W.labels()),
                      .Capacity_ = fromWire(W.capacity()),
                      .IsDraining_ = W.is_draining(),
                      .Incarnation_ = W.life()},
          .IsOpen_ = W.is_open(),
          .Slowness_ = W.slowness()};
}

static SessionHello toHello(const fleetwire::Hello &M) {
  return {.Info_ = {.Run_ = {M.run()},
                    .Name_ = fromWire(M.name()),
                    .DataCentre_ = fromWire(M.data_centre()),
                    .CpuShare_ = M.cpu_share(),
                    .Address_ = fromWire(M.address()),
                    .Port_ = M.port()},
          .Nonce_ = M.nonce(),
          .PeerNonce_ = M.peer_nonce(),
          .Received_ = M.received()};
}

static PlaceRequest toRequest(const fleetwire::PlaceRequest &M) {
  PlaceRequest Given{.Job_ = M.job(),
                     .Id_ = M.id(),
                     .Route_ = fromWire(M.route()),
                     .Service_ = fromWire(M.service()),
                     .Needs_ = fromWire(M.needs()),
                     .Estimate_ = {M.estimate_ms()},
                     .Priority_ = M.priority(),
                     .ObjectiveIn_ = {M.objective_in_ms()},
                     .GiveUpIn_ = {M.give_up_in_ms()},
                     .Label_ = fromWire(M.label()),
                     .DataRack_ = fromWire(M.data_rack()),
                     .MaxPerWorker_ = M.max_per_worker(),
                     .IsStarted_ = M.is_started()};
  if (M.tasks() != nullptr)
    Given.Tasks_.assign(M.tasks()->begin(), M.tasks()->end());
  if (M.avoid() != nullptr) {
    for (const uint64_t Run : *M.avoid())
      Given.Avoid_.push_back({Run});
  }
  return Given;
}

static Placed toPlaced(const fleetwire::Placed &M) {
  Placed Given{.Job_ = M.job()};
  if (M.tasks() == nullptr)
    return Given;
  for (const auto *One : *M.tasks())
    Given.Tasks_.push_back({.Task_ = One->task(),
                            .Worker_ = fromWire(One->worker()),
                            .Holder_ = {One->holder()},
                            .FreeMilliCores_ = One->free_milli_cores(),
                            .ViewAge_ = {One->view_age_ms()}});
  return Given;
}

static WorkersHeld toHeld(const fleetwire::WorkersHeld &M) {
  WorkersHeld Given{.HighestToken_ = M.highest_token()};
  if (M.workers() == nullptr)
    return Given;
  for (const auto *One : *M.workers())
    Given.Workers_.push_back(toWorker(*One));
  return Given;
}

static ListNews toNews(const fleetwire::ListNews &M) {
  ListNews Given{.Removed_ = toStdStrings(M.removed()),
                 .Fingerprint_ = M.fingerprint()};
  if (M.changed() == nullptr)
    return Given;
  for (const auto *One : *M.changed())
    Given.Changed_.push_back(toWorker(*One).Report_);
  return Given;
}

static StartOrder toOrder(const fleetwire::StartOrder &M) {
  StartOrder Given{.Job_ = M.job(),
                   .Needs_ = fromWire(M.needs()),
                   .Estimate_ = {M.estimate_ms()},
                   .Spec_ = fromWire(M.spec())};
  if (M.runs() == nullptr)
    return Given;
  for (const auto *One : *M.runs())
    Given.Runs_.push_back({fromWire(One->run()), fromWire(One->worker())});
  return Given;
}

static WorkerPaces toPaces(const fleetwire::WorkerPaces &M) {
  WorkerPaces Given;
  if (M.workers() == nullptr)
    return Given;
  for (const auto *One : *M.workers())
    Given.Workers_.push_back({fromWire(One->id()), One->slowness()});
  return Given;
}

static RosterNews toRoster(const fleetwire::RosterNews &M) {
  RosterNews Given;
  if (M.instances() == nullptr)
    return Given;
  for (const auto *One : *M.instances())
    Given.Instances_.push_back({.Name_ = fromWire(One->name()),
                                .DataCentre_ = fromWire(One->data_centre()),
                                .CpuShare_ = One->cpu_share(),
                                .Address_ = fromWire(One->address()),
                                .Port_ = One->port()});
  return Given;
}

static std::optional<
    std::variant<SessionHello, SessionConfirmation, FleetMessage>>
toBody(const fleetwire::Frame &Frame) {
  switch (Frame.body_type()) {
  case fleetwire::Body::Hello:
    return toHello(*Frame.body_as_Hello());
  case fleetwire::Body::Status: {
    const auto &M = *Frame.body_as_Status();
    return InstanceStatus{.IsReady_ = M.is_ready(),
                          .IsStopping_ = M.is_stopping(),
                          .IsCoordinating_ = M.is_coordinating(),
                          .HighestToken_ = M.highest_token()};
  }
  case fleetwire::Body::WorkersHeld:
    return toHeld(*Frame.body_as_WorkersHeld());
  case fleetwire::Body::WorkersDropped:
    return WorkersDropped{toStdStrings(Frame.body_as_WorkersDropped()->ids())};
  case fleetwire::Body::PlaceRequest:
    return toRequest(*Frame.body_as_PlaceRequest());
  case fleetwire::Body::PlaceWithdraw:
    return PlaceWithdraw{Frame.body_as_PlaceWithdraw()->job()};
  case fleetwire::Body::PlaceRelease: {
    const auto &M = *Frame.body_as_PlaceRelease();
    return PlaceRelease{M.job(), M.task(), toEnd(M.end())};
  }
  case fleetwire::Body::PlaceAdopt: {
    const auto &M = *Frame.body_as_PlaceAdopt();
    return PlaceAdopt{M.job(), M.task(), fromWire(M.worker()),
                      fromWire(M.needs())};
  }
  case fleetwire::Body::Placed:
    return toPlaced(*Frame.body_as_Placed());
  case fleetwire::Body::PlaceRefused: {
    const auto &M = *Frame.body_as_PlaceRefused();
    return PlaceRefused{M.job(), {M.retry_after_ms()}};
  }
  case fleetwire::Body::StartOrder:
    return toOrder(*Frame.body_as_StartOrder());
  case fleetwire::Body::ConfigFreshness: {
    const auto &M = *Frame.body_as_ConfigFreshness();
    return ConfigFreshness{{M.age_ms()}, M.version()};
  }
  case fleetwire::Body::RosterNews:
    return toRoster(*Frame.body_as_RosterNews());
  case fleetwire::Body::WorkerPaces:
    return toPaces(*Frame.body_as_WorkerPaces());
  case fleetwire::Body::RosterQuery:
    return RosterQuery{};
  case fleetwire::Body::Confirmation:
    return SessionConfirmation{};
  case fleetwire::Body::StopOrder: {
    const auto &M = *Frame.body_as_StopOrder();
    return StopOrder{fromWire(M.run()), fromWire(M.worker())};
  }
  case fleetwire::Body::RunEnded: {
    const auto &M = *Frame.body_as_RunEnded();
    return RunEnded{.Job_ = M.job(),
                    .Run_ = fromWire(M.run()),
                    .Worker_ = fromWire(M.worker()),
                    .End_ = toEnd(M.end()),
                    .Ran_ = {M.ran_ms()}};
  }
  case fleetwire::Body::ListNews:
    return toNews(*Frame.body_as_ListNews());
  case fleetwire::Body::ConfigNews: {
    const auto &M = *Frame.body_as_ConfigNews();
    return ConfigNews{M.version(), fromWire(M.text())};
  }
  case fleetwire::Body::NONE:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace internal

std::string encodeFrame(const SessionFrame &Frame) {
  flatbuffers::FlatBufferBuilder Builder(512);
  const internal::FleetEncoder Encoder{Builder};
  const internal::FleetBody Body = std::visit(Encoder, Frame.Body_);
  fleetwire::FinishFrameBuffer(
      Builder, fleetwire::CreateFrame(Builder, Frame.Sequence_, Frame.Received_,
                                      Body.Type_, Body.Offset_));
  const uint32_t Length = Builder.GetSize();
  std::string Bytes(sizeof(Length) + Length, '\0');
  std::memcpy(Bytes.data(), &Length, sizeof(Length));
  std::memcpy(Bytes.data() + sizeof(Length), Builder.GetBufferPointer(),
              Length);
  return Bytes;
}

std::optional<SessionFrame> decodeFrame(std::span<const uint8_t> Content) {
  flatbuffers::Verifier Verifier(Content.data(), Content.size());
  if (!fleetwire::VerifyFrameBuffer(Verifier))
    return std::nullopt;
  const fleetwire::Frame &Frame = *fleetwire::GetFrame(Content.data());
  auto Body = internal::toBody(Frame);
  if (!Body)
    return std::nullopt;
  return SessionFrame{.Sequence_ = Frame.sequence(),
                      .Received_ = Frame.received(),
                      .Body_ = std::move(*Body)};
}

} // namespace marjorambend
