#ifndef MARJORAMBEND_FLEET_ROSTER_H
#define MARJORAMBEND_FLEET_ROSTER_H

#include "marjorambend/src/Fleet/FleetOptions.h"
#include "marjorambend/src/Fleet/FleetTypes.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief Address on which an instance accepts sessions with others.
using LinkAddress = std::pair<std::string, uint16_t>;

inline LinkAddress linkAddressOf(const InstanceInfo &Info) {
  return {Info.Address_, Info.Port_};
}

/// \brief An instance that is known from the store or from a session.
struct RosterEntry {
  InstanceInfo Info_;
  /// Since when a wanted session has been missing.
  std::optional<Milliseconds> MissingSince_;
  bool WasLost_ = false; ///< Its last session has ended.
};

/// \brief All known instances, and which of them should coordinate.
///
/// Coordinators hold workers, place tasks and read the store for others. Each
/// instance keeps sessions only with the coordinators of all data centres, so
/// the cost of membership grows with the number of instances times
/// coordinators, not with the square of the number of instances.
struct Roster {
  /// Sorted by data centre, then by isPreferred().
  std::vector<RosterEntry> Ranked_;
  bool IsRead_ = false;          ///< From the store, or from another instance.
  std::set<LinkAddress> Wanted_; ///< Addresses of the wanted sessions.
  bool IsChosen_ = false;        ///< This instance should coordinate.
  Milliseconds LastChosenAt_;    ///< When it was last among the preferred ones.
};

/// \brief Whether \p A rather than \p B coordinates, places or reads for
/// others: the one with more processor time or, if equal, the lower name.
bool isPreferred(const InstanceInfo &A, const InstanceInfo &B);

/// \brief Replaces the known instances, but keeps the state of those that
/// remain at the same address. \p Self is always among them.
void setRoster(Roster &Known, std::span<const InstanceInfo> All,
               const InstanceInfo &Self);

/// \brief Adds an instance, or updates its entry.
void addToRoster(Roster &Known, const InstanceInfo &Info);

/// \brief State of an instance according to its session.
enum class Presence : uint8_t {
  Absent,  ///< There is no session.
  Present, ///< There is a session.
  Leaving  ///< There is a session; the instance is stopping.
};

/// \brief Updates the set of wanted sessions and whether this instance should
/// coordinate.
///
/// In each data centre the instances with the most processor time coordinate:
/// RosterOptions::MinCoordinators_ of them, and more if they have about as
/// much. An instance without a session counts for
/// RosterOptions::ConnectGracePeriod_, unless its last session has ended.
void reviewRoster(
    Roster &Known, const RosterOptions &Options, const InstanceInfo &Self,
    Milliseconds Now,
    const std::function<Presence(const InstanceInfo &)> &PresenceOf);

/// \brief Whether all instances that should coordinate in the data centre of
/// \p Self do so, and are at least RosterOptions::MinCoordinators_ with it.
///
/// If they do, they agree on who claims which worker. While instances still
/// join the roster, as at the first start of a deployment, there are fewer.
bool areCoordinatorsPresent(
    const Roster &Known, const RosterOptions &Options, const InstanceInfo &Self,
    const std::function<bool(const InstanceInfo &)> &IsCoordinating);

/// \brief Records that the session with the instance of that name has ended.
void markLost(Roster &Known, const std::string &Name);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_ROSTER_H
