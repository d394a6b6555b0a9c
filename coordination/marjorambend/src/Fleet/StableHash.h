#ifndef MARJORAMBEND_FLEET_STABLEHASH_H
#define MARJORAMBEND_FLEET_STABLEHASH_H

#include <cstdint>
#include <string_view>

namespace marjorambend::internal {

/// \brief FNV-1a hash; independent of process and standard library.
inline uint64_t hashText(std::string_view Text,
                         uint64_t Hash = 14695981039346656037ULL) {
  for (const char Byte : Text)
    Hash = (Hash ^ static_cast<uint8_t>(Byte)) * 1099511628211ULL;
  return Hash;
}

/// \brief Mixes a number into a hash.
inline uint64_t hashNumber(uint64_t Hash, uint64_t Value) {
  Hash = (Hash ^ Value) * 0x9E3779B97F4A7C15ULL;
  return Hash ^ (Hash >> 32U);
}

} // namespace marjorambend::internal

#endif // MARJORAMBEND_FLEET_STABLEHASH_H
