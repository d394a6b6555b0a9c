#ifndef MARJORAMBEND_CONFIGURATION_CONFIGSTATE_H
#define MARJORAMBEND_CONFIGURATION_CONFIGSTATE_H

#include "marjorambend/src/Configuration/Catalogue.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief Key of the catalogue's row in the table service.
inline constexpr std::string_view CatalogueKey = "catalogue";

/// \brief The catalogue in force at one instance; its version only grows.
struct ConfigState {
  uint64_t Version_ = 0; ///< 0 until a catalogue is in force.
  std::string Text_;
  Catalogue Catalogue_;
};

/// \brief Result of adoptCatalogue().
enum class Adoption : uint8_t {
  Adopted, ///< It is newer and now in force.
  Same,    ///< It is the one in force.
  Stale,   ///< It is older than the one in force and was ignored.
  Invalid  ///< It is newer but fails its checks; the one in force stays.
};

/// \brief Brings a catalogue into force if its version is newer.
Adoption adoptCatalogue(ConfigState &State, uint64_t Version,
                        std::string_view Text);

/// \brief Row value of a catalogue: the writer's nonce and the text.
///
/// The nonce lets a writer whose answer was lost recognise its own write.
std::string packCatalogue(uint64_t Nonce, std::string_view Text);

/// \brief The parts of a row value.
struct PackedCatalogue {
  uint64_t Nonce_ = 0;
  std::string_view Text_;
};

/// \brief Inverse of packCatalogue; a malformed value yields an empty text.
PackedCatalogue unpackCatalogue(std::string_view Value);

/// \brief A compare-and-swap of the catalogue that is under way.
struct ConfigWrite {
  uint64_t Nonce_ = 0;
  uint64_t ExpectedVersion_ = 0;
  std::string Text_;
  bool IsRepeated_ = false; ///< An earlier answer was lost.
};

/// \brief State of a write after an answer of the table service.
enum class WriteState : uint8_t {
  Accepted,  ///< The write took effect.
  Lost,      ///< Another write won.
  Overtaken, ///< It may have taken effect, but later versions exist.
  Repeat     ///< Unknown; the same write is sent again.
};

/// \brief Evaluates the row that the table service answered with.
///
/// The answer to a compare-and-swap is the row in force afterwards, whoever
/// wrote it. A write whose answer was lost is repeated unchanged: it then
/// finds its own nonce, or the winner's row.
WriteState evaluateWrite(const ConfigWrite &Write, uint64_t RowVersion,
                         std::string_view RowValue);

} // namespace marjorambend

#endif // MARJORAMBEND_CONFIGURATION_CONFIGSTATE_H
