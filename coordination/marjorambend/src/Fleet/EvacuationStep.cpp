/// \file
/// \brief Applies the operator's requests to evacuate data centres.

#include "marjorambend/src/Fleet/Placement.h"
#include "marjorambend/src/Fleet/PlacerStep.h"

namespace marjorambend::internal {

static void logChange(FleetStepContext &Ctx, const std::string &DataCentre,
                      bool IsEvacuated, std::string_view From) {
  log(Ctx, "evacuation", 0,
      {{"data_centre", DataCentre},
       {"is_evacuated", IsEvacuated ? "true" : "false"},
       {"version", std::to_string(Ctx.State_.Evacuations_.Version_)},
       {"from", std::string(From)}});
}

// Compares each worker's report with its admission, and makes it open or closed
// for the placer.
static void updateAdmission(FleetStepContext &Ctx) {
  PlacerState &Placer = Ctx.State_.Placing_;
  for (auto &[Id, Worker] : Placer.Workers_) {
    const bool IsOpen =
        Worker.IsReportedOpen_ && isAdmitted(Ctx, Worker.Held_.Report_);
    if (IsOpen == Worker.Held_.IsOpen_)
      continue;
    Worker.Held_.IsOpen_ = IsOpen;
    updateWorkerIndex(Placer, Id, Worker);
    Placer.IsDirty_ = Placer.IsDirty_ || IsOpen;
  }
}

bool isAdmitted(const FleetStepContext &Ctx, const WorkerReport &Worker) {
  return isAdmitted(Ctx.State_.Evacuations_, Ctx.State_.Options_.Evacuation_,
                    Worker, Ctx.Now_);
}

bool updateEvacuations(FleetStepContext &Ctx, uint64_t Version,
                       const DataCentreNames &DataCentres,
                       std::string_view From) {
  const EvacuationChange Change =
      applyEvacuations(Ctx.State_.Evacuations_, Version, DataCentres, Ctx.Now_);
  if (Change.isEmpty())
    return false;
  for (const std::string &Name : Change.Begun_)
    logChange(Ctx, Name, true, From);
  for (const std::string &Name : Change.Ended_)
    logChange(Ctx, Name, false, From);
  updateAdmission(Ctx);
  return true;
}

void admitReturningWorkers(FleetStepContext &Ctx) {
  FleetInstance &State = Ctx.State_;
  if (State.Evacuations_.Returning_.empty() ||
      Ctx.Now_ - State.Placing_.SummarizedAt_ <
          State.Options_.Placer_.SummaryInterval_)
    return;
  expireReturns(State.Evacuations_, State.Options_.Evacuation_, Ctx.Now_);
  updateAdmission(Ctx);
}

} // namespace marjorambend::internal
