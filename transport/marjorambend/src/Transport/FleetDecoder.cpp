#include "marjorambend/src/Transport/FleetCodec.h"

#include "fleet_generated.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace marjorambend {
namespace internal {

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

static CancelResult toCancelResult(uint8_t Value) {
  return Value <= static_cast<uint8_t>(CancelResult::Cancelled)
             ? static_cast<CancelResult>(Value)
             : CancelResult::Unknown;
}

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
                     .IsStarted_ = M.is_started(),
                     .IsSuspect_ = M.is_suspect()};
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
                   .Spec_ = fromWire(M.spec()),
                   .MaxPerWorker_ = M.max_per_worker()};
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

static ConfigFreshness toFreshness(const fleetwire::ConfigFreshness &M) {
  const std::vector<std::string> Evacuated = toStdStrings(M.evacuated());
  return {.Age_ = {M.age_ms()},
          .Version_ = M.version(),
          .EvacuationsVersion_ = M.evacuations_version(),
          .Evacuated_ = {Evacuated.begin(), Evacuated.end()}};
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

static WorkerIncarnation fromWire(const fleetwire::WorkerIncarnation *Given) {
  if (Given == nullptr)
    return {};
  return {.Worker_ = fromWire(Given->worker()),
          .Incarnation_ = Given->incarnation()};
}

static std::vector<TaskId>
toTaskIds(const flatbuffers::Vector<const fleetwire::TaskId *> *Given) {
  std::vector<TaskId> Tasks;
  if (Given == nullptr)
    return Tasks;
  for (const auto *One : *Given)
    Tasks.push_back({One->job(), One->task()});
  return Tasks;
}

static WorkerCrash toCrash(const fleetwire::WorkerCrash &M) {
  return {.Worker_ = fromWire(M.worker()),
          .Tasks_ = toTaskIds(M.tasks()),
          .PossibleTasks_ = toTaskIds(M.possible_tasks()),
          .IsConfirmed_ = M.is_confirmed(),
          .Rack_ = fromWire(M.rack()),
          .RackSize_ = M.rack_size(),
          .Age_ = {std::max<int64_t>(0, M.age_ms())}};
}

static CrashNews toCrashNews(const fleetwire::CrashNews &M) {
  CrashNews Given;
  if (M.crashes() != nullptr) {
    for (const auto *One : *M.crashes())
      Given.Crashes_.push_back(toCrash(*One));
  }
  if (M.withdrawn() != nullptr) {
    for (const auto *One : *M.withdrawn())
      Given.Withdrawn_.push_back(fromWire(One));
  }
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
    return PlaceRelease{M.job(), M.task(), toEnd(M.end()), fromWire(M.worker()),
                        M.ran_percent()};
  }
  case fleetwire::Body::PlaceAdopt: {
    const auto &M = *Frame.body_as_PlaceAdopt();
    return PlaceAdopt{.Job_ = M.job(),
                      .Task_ = M.task(),
                      .Worker_ = fromWire(M.worker()),
                      .Needs_ = fromWire(M.needs()),
                      .IsSuspect_ = M.is_suspect()};
  }
  case fleetwire::Body::Placed:
    return toPlaced(*Frame.body_as_Placed());
  case fleetwire::Body::PlaceRefused: {
    const auto &M = *Frame.body_as_PlaceRefused();
    return PlaceRefused{M.job(), {M.retry_after_ms()}};
  }
  case fleetwire::Body::StartOrder:
    return toOrder(*Frame.body_as_StartOrder());
  case fleetwire::Body::ConfigFreshness:
    return toFreshness(*Frame.body_as_ConfigFreshness());
  case fleetwire::Body::RosterNews:
    return toRoster(*Frame.body_as_RosterNews());
  case fleetwire::Body::WorkerPaces:
    return toPaces(*Frame.body_as_WorkerPaces());
  case fleetwire::Body::CrashNews:
    return toCrashNews(*Frame.body_as_CrashNews());
  case fleetwire::Body::CancelRequest: {
    const auto &M = *Frame.body_as_CancelRequest();
    return CancelRequest{M.id(), M.is_forwarded()};
  }
  case fleetwire::Body::CancelAnswered: {
    const auto &M = *Frame.body_as_CancelAnswered();
    return CancelAnswered{M.id(), toCancelResult(M.result())};
  }
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
