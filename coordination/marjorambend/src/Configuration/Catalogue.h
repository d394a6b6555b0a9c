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
  std::string Owner_;         ///< The team that may submit it.
  uint8_t Urgency_ = 1;       ///< Class of urgency; 0 is the most urgent.
  bool IsIdempotent_ = false; ///< Safe to repeat under a new identity.
  double Value_ = 1;          ///< Weight of an answer in the users' objective.
  Milliseconds DeclaredRun_{100}; ///< Estimate until run times are observed.
  Milliseconds MaxRun_{10'000};   ///< Without an answer by then it is lost.
  uint32_t MaxTasks_ = 1000;      ///< Most tasks in one job.
  std::size_t MaxTaskBytes_ = 64U << 10U; ///< Most bytes in one payload.
};

/// \brief One team of the catalogue.
struct TeamSpec {
  std::string Name_;
  double Weight_ = 1;     ///< Share of work in its class, relative to others.
  uint32_t MaxTasks_ = 0; ///< Unfinished, over all instances; 0: no quota.
};

/// \brief A validated catalogue.
struct Catalogue {
  std::map<std::string, KindSpec, std::less<>> Kinds_;
  std::map<std::string, TeamSpec, std::less<>> Teams_;
};

/// \brief All problems found in a catalogue's text.
struct CatalogueError {
  std::vector<std::string> Problems_;
};

/// \brief Parses and validates the JSON text of a catalogue.
///
/// Every problem is reported with its path and the values allowed there.
tl::expected<Catalogue, CatalogueError> parseCatalogue(std::string_view Text);

/// \brief The kind with that name, or nullptr.
const KindSpec *findKind(const Catalogue &All, std::string_view Name);

/// \brief The differences between two catalogues, a line each.
std::vector<std::string> diffCatalogues(const Catalogue &Before,
                                        const Catalogue &After);

} // namespace marjorambend

#endif // MARJORAMBEND_CONFIGURATION_CATALOGUE_H
