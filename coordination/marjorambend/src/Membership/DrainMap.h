#ifndef MARJORAMBEND_MEMBERSHIP_DRAINMAP_H
#define MARJORAMBEND_MEMBERSHIP_DRAINMAP_H

#include "marjorambend/src/Support/Identity.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Key of the drains' row in the table service.
inline constexpr std::string_view DrainsKey = "drains";

/// \brief Whether a target is drained, as of the latest order known.
struct DrainEntry {
  bool IsDrained_ = false;
  uint64_t Stamp_ = 0; ///< Grows with each order for the target.
  Incarnation Writer_; ///< Breaks ties between equal stamps.
  friend bool operator==(const DrainEntry &, const DrainEntry &) = default;
};

/// \brief Operators' drains: a last-writer-wins map from target to entry.
///
/// A target is `worker/NAME` or `data-centre/NAME`. Merging is commutative,
/// associative and idempotent, so that instances converge in whatever order
/// updates reach them, with or without the table service.
struct DrainMap {
  std::map<std::string, DrainEntry, std::less<>> Entries_;
  friend bool operator==(const DrainMap &, const DrainMap &) = default;
};

/// \brief Records an operator's order.
void orderDrain(DrainMap &Map, std::string_view Target, bool IsDrained,
                Incarnation Writer);

/// \brief Copies every newer entry of \p Other.
/// \returns whether \p Map has changed.
bool mergeDrains(DrainMap &Map, const DrainMap &Other);

/// \brief Whether the worker or its data centre is drained.
bool isDrained(const DrainMap &Map, std::string_view Worker,
               std::string_view DataCentre);

/// \brief Fingerprint that is equal for equal maps.
uint64_t fingerprint(const DrainMap &Map);

/// \brief Text for the table service, a line for each entry.
std::string formatDrains(const DrainMap &Map);

/// \brief Parses the text of formatDrains; stops at the first malformed line.
DrainMap parseDrains(std::string_view Text);

/// \brief Target of a worker.
std::string workerTarget(std::string_view Worker);

/// \brief Target of a data centre.
std::string dataCentreTarget(std::string_view DataCentre);

} // namespace marjorambend

#endif // MARJORAMBEND_MEMBERSHIP_DRAINMAP_H
