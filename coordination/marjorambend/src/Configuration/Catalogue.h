#ifndef MARJORAMBEND_CONFIGURATION_CATALOGUE_H
#define MARJORAMBEND_CONFIGURATION_CATALOGUE_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace marjorambend {

/// \brief One task kind of the catalogue.
struct KindSpec {
  std::string Name_;
  std::string Owner_;   ///< The team that may submit it.
  uint8_t Urgency_ = 1; ///< Class of urgency; 0 is the most urgent.
  bool IsIdempotent_ =
      false;         ///< Whether repeating it under a new identity is harmless.
  double Value_ = 1; ///< Weight of an answer in the users' measure.
  Milliseconds DeclaredRun_{100}; ///< A hint, until the kind is observed.
  Milliseconds MaxRun_{10'000};   ///< A task without answer is lost after it.
  uint32_t MaxTasks_ = 1000;      ///< Most tasks in one job.
  std::size_t MaxTaskBytes_ = 64U << 10U; ///< Most bytes in one payload.
};

/// \brief One team of the catalogue.
struct TeamSpec {
  std::string Name_;
  double Weight_ = 1; ///< Share of work in its class, relative to others.
  uint32_t MaxTasks_ =
      0; ///< Most unfinished tasks over all instances; 0: no quota.
};

/// \brief A catalogue that has been checked.
struct Catalogue {
  std::map<std::string, KindSpec, std::less<>> Kinds_;
  std::map<std::string, TeamSpec, std::less<>> Teams_;
};

/// \brief Everything that is wrong with a catalogue's text, one entry each.
struct CatalogueError {
  std::vector<std::string> Problems_;
};

/// \brief Reads and checks the JSON text of a catalogue.
///
/// Every problem is reported, with the place and what would be right.
tl::expected<Catalogue, CatalogueError> parseCatalogue(std::string_view Text);

/// \brief The kind with that name, or nullptr.
const KindSpec *findKind(const Catalogue &All, std::string_view Name);

/// \brief The differences between two catalogues, a line each.
std::vector<std::string> diffCatalogues(const Catalogue &Before,
                                        const Catalogue &After);

} // namespace marjorambend

#endif // MARJORAMBEND_CONFIGURATION_CATALOGUE_H
