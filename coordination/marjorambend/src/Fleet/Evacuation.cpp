#include "marjorambend/src/Fleet/Evacuation.h"

#include "marjorambend/src/Fleet/StableHash.h"

#include <algorithm>
#include <iterator>

namespace marjorambend {

EvacuationChange applyEvacuations(Evacuations &Known, uint64_t Version,
                                  const DataCentreNames &DataCentres,
                                  Milliseconds Now) {
  EvacuationChange Change;
  if (Version < Known.Version_)
    return Change;
  const DataCentreNames &Before = Known.DataCentres_;
  std::set_difference(DataCentres.begin(), DataCentres.end(), Before.begin(),
                      Before.end(), std::back_inserter(Change.Begun_));
  std::set_difference(Before.begin(), Before.end(), DataCentres.begin(),
                      DataCentres.end(), std::back_inserter(Change.Ended_));
  for (const std::string &Name : Change.Begun_)
    Known.Returning_.erase(Name);
  for (const std::string &Name : Change.Ended_)
    Known.Returning_[Name] = Now;
  Known.Version_ = Version;
  Known.DataCentres_ = DataCentres;
  return Change;
}

bool isEvacuated(const Evacuations &Known, std::string_view DataCentre) {
  return Known.DataCentres_.contains(DataCentre);
}

double admittedShare(const Evacuations &Known, const EvacuationOptions &Options,
                     std::string_view DataCentre, Milliseconds Now) {
  if (isEvacuated(Known, DataCentre))
    return 0;
  const auto Return = Known.Returning_.find(DataCentre);
  if (Return == Known.Returning_.end())
    return 1;
  const Milliseconds Since = Now - Return->second;
  if (Since >= Options.ReturnTime_)
    return 1;
  const double Progress = static_cast<double>(Since.Count_) /
                          static_cast<double>(Options.ReturnTime_.Count_);
  return Options.FirstShare_ + (1 - Options.FirstShare_) * Progress;
}

// Position of a worker in the order of admission, in [0, 1): the same on all
// instances, and spread over machine types and racks.
static double admissionRank(std::string_view Worker) {
  static constexpr uint64_t Ranks = 1U << 20U;
  const uint64_t Hash = internal::hashNumber(internal::hashText(Worker), 1);
  return static_cast<double>(Hash % Ranks) / static_cast<double>(Ranks);
}

bool isAdmitted(const Evacuations &Known, const EvacuationOptions &Options,
                const WorkerReport &Worker, Milliseconds Now) {
  const double Share = admittedShare(Known, Options, Worker.DataCentre_, Now);
  return Share >= 1 || (Share > 0 && admissionRank(Worker.Id_) < Share);
}

void expireReturns(Evacuations &Known, const EvacuationOptions &Options,
                   Milliseconds Now) {
  std::erase_if(Known.Returning_, [&](const auto &Entry) {
    return Now - Entry.second >= Options.ReturnTime_;
  });
}

} // namespace marjorambend
