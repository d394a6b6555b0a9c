#ifndef MARJORAMBEND_FLEET_EVACUATION_H
#define MARJORAMBEND_FLEET_EVACUATION_H

#include "marjorambend/src/Fleet/FleetTypes.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambend {

/// \brief Names of data centres.
using DataCentreNames = std::set<std::string, std::less<>>;

/// \brief Options for the return of evacuated data centres.
struct EvacuationOptions {
  /// Time in which the placer admits the workers of a data centre after its
  /// evacuation; 0 admits all at once. The workers may be cold, as they had no
  /// work.
  Milliseconds ReturnTime_{5'000};
  /// Share of the workers that the placer admits at the start of that time.
  double FirstShare_ = 0.1;
};

/// \brief The evacuated data centres, as in the newest known read of the store.
struct Evacuations {
  uint64_t Version_ = 0; ///< Store version of that read; 0: none yet.
  DataCentreNames DataCentres_;
  /// When this instance learnt that an evacuation is over, by data centre;
  /// removed after EvacuationOptions::ReturnTime_.
  std::map<std::string, Milliseconds, std::less<>> Returning_;
};

/// \brief Difference between two sets of evacuated data centres.
struct EvacuationChange {
  std::vector<std::string> Begun_;
  std::vector<std::string> Ended_;

  bool isEmpty() const { return Begun_.empty() && Ended_.empty(); }
};

/// \brief Applies the evacuated data centres of one complete state of the
/// store; ignores a state that is older than the known one.
EvacuationChange applyEvacuations(Evacuations &Known, uint64_t Version,
                                  const DataCentreNames &DataCentres,
                                  Milliseconds Now);

/// \brief Whether no task may start in the data centre.
bool isEvacuated(const Evacuations &Known, std::string_view DataCentre);

/// \brief Share of the data centre's workers that may be given tasks: 0 during
/// an evacuation, then rising to 1.
///
/// Load pattern: a data centre returns, and all waiting tasks would go to its
/// idle workers at once, which may be cold.
double admittedShare(const Evacuations &Known, const EvacuationOptions &Options,
                     std::string_view DataCentre, Milliseconds Now);

/// \brief Whether the worker may be given tasks. Once admitted, a worker
/// remains so until the next evacuation.
bool isAdmitted(const Evacuations &Known, const EvacuationOptions &Options,
                const WorkerReport &Worker, Milliseconds Now);

/// \brief Forgets the returns that are complete.
void expireReturns(Evacuations &Known, const EvacuationOptions &Options,
                   Milliseconds Now);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_EVACUATION_H
