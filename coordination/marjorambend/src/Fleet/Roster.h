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

/// \brief Address on which an instance listens for others.
using LinkAddress = std::pair<std::string, uint16_t>;

inline LinkAddress linkAddressOf(const InstanceInfo &Info) {
  return {Info.Address_, Info.Port_};
}

/// \brief An instance that is known from the store or from a session.
struct RosterEntry {
  InstanceInfo Info_;
  /// Since when a session is wanted and not there.
  std::optional<Milliseconds> MissingSince_;
  bool WasLost_ = false; ///< Its last session has ended.
};

/// \brief All known instances, and which of them coordinate.
///
/// Coordinators hold workers, place tasks and read the store for others; each
/// instance keeps sessions with the coordinators of all data centres, and with
/// no one else. So the cost of membership grows with instances times
/// coordinators, not with the square of the instances.
struct Roster {
  /// By data centre, there by preference.
  std::vector<RosterEntry> Ranked_;
  bool IsRead_ = false; ///< From the store, or from another instance.
  std::set<LinkAddress> Wanted_;
  bool IsChosen_ = false;     ///< This instance is to coordinate.
  Milliseconds LastChosenAt_; ///< When it last was.
};

/// \brief Whether \p A rather than \p B coordinates, places or reads for
/// others: the one with more processor time, then by name.
bool isPreferred(const InstanceInfo &A, const InstanceInfo &B);

/// \brief Replaces the known instances; what is known of those that stay is
/// kept. \p Self is always among them.
void setRoster(Roster &Known, std::span<const InstanceInfo> All,
               const InstanceInfo &Self);

/// \brief Adds an instance, or changes what is known of it.
void addToRoster(Roster &Known, const InstanceInfo &Info);

/// \brief What sessions tell of an instance.
enum class Presence : uint8_t {
  Absent,  ///< There is no session.
  Present, ///< Heard of, and it stays.
  Leaving  ///< It is stopping.
};

/// \brief Chooses anew with whom sessions are wanted, and whether this
/// instance is to coordinate.
///
/// Of each data centre those with the most processor time coordinate:
/// RosterOptions::Least_, and more if they are about as strong. An instance
/// that has not been reached yet counts for a while, one that was lost does
/// not.
void reviewRoster(Roster &Known, const RosterOptions &Options,
                  const InstanceInfo &Self, Milliseconds Now,
                  const std::function<Presence(const InstanceInfo &)> &See);

/// \brief Notes that the session with the instance of that name has ended.
void markLost(Roster &Known, const std::string &Name);

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_ROSTER_H
