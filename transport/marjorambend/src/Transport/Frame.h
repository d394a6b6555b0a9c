#ifndef MARJORAMBEND_TRANSPORT_FRAME_H
#define MARJORAMBEND_TRANSPORT_FRAME_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace marjorambend {

/// \brief Authentication state of one direction of a link.
///
/// Each frame carries an HMAC-SHA-256, truncated to 16 bytes, of the receiver's
/// nonce, the frame's sequence number and its content. Forged, replayed and
/// missing frames are therefore detected.
struct FrameAuthState {
  std::string Key_;
  uint64_t Nonce_ = 0; ///< The receiver's nonce; 0 for the first frame.
  uint64_t Sequence_ = 0;
};

/// \brief Why received bytes are rejected.
enum class FrameError : uint8_t {
  TooLarge,       ///< The length exceeds the bound.
  DigestMismatch, ///< The digest does not match.
  Malformed       ///< The content fails verification.
};

inline constexpr std::size_t FrameHeaderBytes = 20;

/// \brief Builds an authenticated frame and advances the sequence number.
std::string signFrame(FrameAuthState &Auth, std::span<const uint8_t> Content);

/// \brief The first frame of the received bytes.
struct ExtractedFrame {
  std::size_t Bytes_ = 0; ///< Size of the frame with its header.
  std::span<const uint8_t> Content_;
};

/// \brief Verifies the first frame of \p Received; nullopt if it is incomplete.
///
/// Each valid frame advances the sequence number.
tl::expected<std::optional<ExtractedFrame>, FrameError>
extractFrame(FrameAuthState &Auth, std::span<const uint8_t> Received,
             std::size_t MaxBytes);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_FRAME_H
