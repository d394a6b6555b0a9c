#include "marjorambend/src/Transport/FleetCodec.h"

#include "fleet_generated.h"

#include <cstring>
#include <vector>

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
            fleetwire::CreatePlaceRequest(
                B_, M.Job_, M.Id_, Route, Service, Tasks, &Needs,
                M.Estimate_.Count_, M.Priority_, M.ObjectiveIn_.Count_,
                M.GiveUpIn_.Count_, Label, Rack, M.MaxPerWorker_, Avoid,
                M.IsStarted_, M.IsSuspect_)
                .Union()};
  }
  FleetBody operator()(const PlaceWithdraw &M) const {
    return {fleetwire::Body::PlaceWithdraw,
            fleetwire::CreatePlaceWithdraw(B_, M.Job_).Union()};
  }
  FleetBody operator()(const PlaceRelease &M) const {
    const auto Worker = M.Worker_.empty()
                            ? flatbuffers::Offset<flatbuffers::String>()
                            : text(M.Worker_);
    return {fleetwire::Body::PlaceRelease,
            fleetwire::CreatePlaceRelease(B_, M.Job_, M.Task_,
                                          static_cast<uint8_t>(M.End_), Worker,
                                          M.RanPercent_)
                .Union()};
  }
  FleetBody operator()(const CancelRequest &M) const {
    return {fleetwire::Body::CancelRequest,
            fleetwire::CreateCancelRequest(B_, M.Id_, M.IsForwarded_).Union()};
  }
  FleetBody operator()(const CancelAnswered &M) const {
    return {fleetwire::Body::CancelAnswered,
            fleetwire::CreateCancelAnswered(B_, M.Id_,
                                            static_cast<uint8_t>(M.Result_))
                .Union()};
  }
  FleetBody operator()(const PlaceAdopt &M) const {
    const auto Worker = text(M.Worker_);
    const fleetwire::Room Needs = toWire(M.Needs_);
    return {fleetwire::Body::PlaceAdopt,
            fleetwire::CreatePlaceAdopt(B_, M.Job_, M.Task_, Worker, &Needs,
                                        M.IsSuspect_)
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
                                        Spec, All, M.MaxPerWorker_)
                .Union()};
  }
  FleetBody operator()(const ConfigFreshness &M) const {
    const auto Evacuated = B_.CreateVectorOfStrings(
        std::vector<std::string>(M.Evacuated_.begin(), M.Evacuated_.end()));
    return {fleetwire::Body::ConfigFreshness,
            fleetwire::CreateConfigFreshness(B_, M.Age_.Count_, M.Version_,
                                             M.EvacuationsVersion_, Evacuated)
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
  auto incarnation(const WorkerIncarnation &Given) const {
    return fleetwire::CreateWorkerIncarnation(B_, text(Given.Worker_),
                                              Given.Incarnation_);
  }
  auto taskIds(const std::vector<TaskId> &Given) const {
    std::vector<fleetwire::TaskId> Ids;
    Ids.reserve(Given.size());
    for (const TaskId &One : Given)
      Ids.emplace_back(One.Job_, One.Task_);
    return B_.CreateVectorOfStructs(Ids);
  }
  auto crash(const WorkerCrash &Given) const {
    const auto Worker = incarnation(Given.Worker_);
    const auto Tasks = taskIds(Given.Tasks_);
    const auto Possible = taskIds(Given.PossibleTasks_);
    const auto Rack = text(Given.Rack_);
    return fleetwire::CreateWorkerCrash(B_, Worker, Tasks, Rack,
                                        Given.RackSize_, Given.Age_.Count_,
                                        Possible, Given.IsConfirmed_);
  }
  FleetBody operator()(const CrashNews &M) const {
    std::vector<flatbuffers::Offset<fleetwire::WorkerCrash>> Crashes;
    for (const WorkerCrash &One : M.Crashes_)
      Crashes.push_back(crash(One));
    std::vector<flatbuffers::Offset<fleetwire::WorkerIncarnation>> Withdrawn;
    for (const WorkerIncarnation &One : M.Withdrawn_)
      Withdrawn.push_back(incarnation(One));
    const auto All = B_.CreateVector(Crashes);
    const auto Gone = B_.CreateVector(Withdrawn);
    return {fleetwire::Body::CrashNews,
            fleetwire::CreateCrashNews(B_, All, Gone).Union()};
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

} // namespace marjorambend
