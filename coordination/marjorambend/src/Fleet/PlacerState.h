#ifndef MARJORAMBEND_FLEET_PLACERSTATE_H
#define MARJORAMBEND_FLEET_PLACERSTATE_H

#include "marjorambend/src/Fleet/FleetMessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace marjorambend {

/// \brief A worker as the placing instance sees it.
struct PlacerWorker {
  HeldWorker Held_;
  Incarnation Holder_;
  Room Reserved_; ///< By placements that were not released.
  Milliseconds BackOffUntil_;
};

/// \brief Room that a placed task takes.
struct Reservation {
  uint32_t Task_ = 0;
  std::string Worker_;
};

/// \brief A job at the placing instance.
struct PlacerJob {
  PlaceRequest Request_; ///< Its tasks are those that wait.
  Incarnation Origin_;
  std::string OriginDataCentre_;
  Milliseconds ArrivedAt_;
  Milliseconds ObjectiveAt_;
  Milliseconds GiveUpAt_;
  std::vector<Reservation> Reservations_;
};

/// \brief Names a job among those of all instances.
using PlacerJobKey = std::pair<Incarnation, uint64_t>;

/// \brief The whole fleet's workers and waiting tasks.
///
/// All of it is soft: it is built anew from what holders and origins tell.
struct PlacerState {
  std::map<std::string, PlacerWorker> Workers_;
  std::map<PlacerJobKey, PlacerJob> Jobs_;
  std::set<PlacerJobKey> Waiting_; ///< Jobs with tasks that wait.
  double UsualSlowness_ = 1.0;     ///< Of the open workers' middle.
  Milliseconds UsualAt_;           ///< When it was computed.
  bool IsDirty_ = false; ///< Something may be placeable that was not.
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_PLACERSTATE_H
