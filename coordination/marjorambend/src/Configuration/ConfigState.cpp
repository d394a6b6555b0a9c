#include "marjorambend/src/Configuration/ConfigState.h"

#include "marjorambend/src/Support/Identity.h"

#include <charconv>

namespace marjorambend {

// A row value is 16 hexadecimal digits of nonce, a line break and the text.
static constexpr std::size_t NonceBytes = 16;

Adoption adoptCatalogue(ConfigState &State, uint64_t Version,
                        std::string_view Text) {
  if (Version < State.Version_)
    return Adoption::Stale;
  if (Version == State.Version_)
    return Adoption::Same;
  auto Parsed = parseCatalogue(Text);
  if (!Parsed)
    return Adoption::Invalid;
  State.Version_ = Version;
  State.Text_ = Text;
  State.Catalogue_ = std::move(*Parsed);
  return Adoption::Adopted;
}

std::string packCatalogue(uint64_t Nonce, std::string_view Text) {
  return formatHex(Nonce) + '\n' + std::string(Text);
}

PackedCatalogue unpackCatalogue(std::string_view Value) {
  if (Value.size() <= NonceBytes || Value[NonceBytes] != '\n')
    return {};
  PackedCatalogue Packed;
  const auto [End, Error] = std::from_chars(
      Value.data(), Value.data() + NonceBytes, Packed.Nonce_, 16);
  if (Error != std::errc{} || End != Value.data() + NonceBytes)
    return {};
  Packed.Text_ = Value.substr(NonceBytes + 1);
  return Packed;
}

WriteState evaluateWrite(const ConfigWrite &Write, uint64_t RowVersion,
                         std::string_view RowValue) {
  if (unpackCatalogue(RowValue).Nonce_ == Write.Nonce_)
    return WriteState::Accepted;
  if (RowVersion > Write.ExpectedVersion_ + 1 && Write.IsRepeated_)
    return WriteState::Overtaken;
  if (RowVersion != Write.ExpectedVersion_)
    return WriteState::Lost;
  return WriteState::Repeat;
}

} // namespace marjorambend
