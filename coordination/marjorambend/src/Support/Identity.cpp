#include "marjorambend/src/Support/Identity.h"

#include <array>

namespace marjorambend {
namespace internal {

// Layout (RFC 9562): 48 bits of time, 4 of version, 12 free; 2 of variant, 62
// free.
constexpr unsigned TimeShift = 16;
constexpr unsigned VersionShift = 12;
constexpr uint64_t VersionMask = 0xF;
constexpr uint64_t HighFreeMask = 0xFFF;
constexpr uint64_t VariantBits = 0x8000000000000000ULL;
constexpr uint64_t LowFreeMask = 0x3FFFFFFFFFFFFFFFULL;
constexpr unsigned SequenceBits = 24;
constexpr uint64_t SequenceMask = (1ULL << SequenceBits) - 1;
constexpr unsigned IncarnationLowBits = 38;
constexpr uint64_t IncarnationLowMask = (1ULL << IncarnationLowBits) - 1;
constexpr uint64_t IncarnationMask = (1ULL << 50U) - 1;
constexpr uint64_t CallerVersion = 7;
constexpr uint64_t ReservedVersion = 8;

constexpr std::size_t TextBytes = 36;

static uint64_t versionOf(const JobId &Id) {
  return (Id.High_ >> VersionShift) & VersionMask;
}

static bool isDashPosition(std::size_t Position) {
  return Position == 8 || Position == 13 || Position == 18 || Position == 23;
}

static std::optional<uint64_t> hexDigit(char Character) {
  if (Character >= '0' && Character <= '9')
    return Character - '0';
  if (Character >= 'a' && Character <= 'f')
    return Character - 'a' + 10;
  if (Character >= 'A' && Character <= 'F')
    return Character - 'A' + 10;
  return std::nullopt;
}

static uint64_t highWord(Milliseconds WallClock, uint64_t Version,
                         uint64_t Free) {
  return (static_cast<uint64_t>(WallClock.Count_) << TimeShift) |
         (Version << VersionShift) | (Free & HighFreeMask);
}

} // namespace internal

using namespace internal;

Incarnation makeIncarnation(Random &Generator) {
  return {(Generator() & IncarnationMask) | 1U};
}

JobId makeJobId(Milliseconds WallClock, Random &Generator) {
  return {highWord(WallClock, CallerVersion, Generator()),
          VariantBits | (Generator() & LowFreeMask)};
}

JobId reserveJobId(Milliseconds WallClock, Incarnation Owner,
                   uint32_t Sequence) {
  const uint64_t OwnerLow = Owner.Value_ & IncarnationLowMask;
  return {
      highWord(WallClock, ReservedVersion, Owner.Value_ >> IncarnationLowBits),
      VariantBits | (OwnerLow << SequenceBits) | (Sequence & SequenceMask)};
}

std::optional<JobId> parseJobId(std::string_view Text) {
  if (Text.size() != TextBytes)
    return std::nullopt;
  std::array<uint64_t, 2> Words{};
  std::size_t Digits = 0;
  for (std::size_t Position = 0; Position < TextBytes; ++Position) {
    if (isDashPosition(Position)) {
      if (Text[Position] != '-')
        return std::nullopt;
      continue;
    }
    const auto Digit = hexDigit(Text[Position]);
    if (!Digit)
      return std::nullopt;
    uint64_t &Word = Words[Digits / 16];
    Word = (Word << 4U) | *Digit;
    ++Digits;
  }
  const JobId Id{Words[0], Words[1]};
  const bool HasVariant = (Id.Low_ & ~LowFreeMask) == VariantBits;
  const bool HasVersion =
      versionOf(Id) == CallerVersion || versionOf(Id) == ReservedVersion;
  if (!HasVariant || !HasVersion)
    return std::nullopt;
  return Id;
}

std::string formatHex(uint64_t Value) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(16, '0');
  for (std::size_t Position = 16; Position > 0; --Position) {
    Text[Position - 1] = Digits[Value & 0xFU];
    Value >>= 4U;
  }
  return Text;
}

std::string formatJobId(const JobId &Id) {
  const std::string High = formatHex(Id.High_);
  const std::string Low = formatHex(Id.Low_);
  return High.substr(0, 8) + '-' + High.substr(8, 4) + '-' + High.substr(12) +
         '-' + Low.substr(0, 4) + '-' + Low.substr(4);
}

Milliseconds createdAt(const JobId &Id) {
  return {static_cast<int64_t>(Id.High_ >> TimeShift)};
}

std::optional<Incarnation> reservedBy(const JobId &Id) {
  if (versionOf(Id) != ReservedVersion)
    return std::nullopt;
  const uint64_t OwnerHigh = (Id.High_ & HighFreeMask) << IncarnationLowBits;
  return Incarnation{OwnerHigh |
                     ((Id.Low_ >> SequenceBits) & IncarnationLowMask)};
}

} // namespace marjorambend
