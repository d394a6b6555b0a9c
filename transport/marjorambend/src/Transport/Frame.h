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

/// \brief What makes the frames of one direction of a link genuine.
///
/// Each frame carries a keyed digest (HMAC-SHA-256, shortened to 16 bytes) of
/// the receiver's nonce, the frame's place in the sequence and its content. A
/// frame can therefore be neither forged nor replayed, nor left out unseen.
struct FrameSeal {
  std::string Key_;
  uint64_t Nonce_ = 0; ///< The receiver's; 0 for the first frame.
  uint64_t Sequence_ = 0;
};

/// \brief Why bytes are not an acceptable frame.
enum class FrameError : uint8_t {
  TooLarge,   ///< Its length exceeds the bound.
  NotGenuine, ///< Its digest is wrong.
  Malformed   ///< Its content fails verification.
};

inline constexpr std::size_t FrameHeaderBytes = 20;

/// \brief The frame of a message, ready to be sent; the sequence moves on.
std::string sealFrame(FrameSeal &Seal, std::span<const uint8_t> Content);

/// \brief A frame cut from the front of received bytes.
struct CutFrame {
  std::size_t Bytes_ = 0; ///< To be removed from the front.
  std::span<const uint8_t> Content_;
};

/// \brief Cuts the first frame from \p Received; nothing if it is not whole.
///
/// The sequence moves on with each genuine frame.
tl::expected<std::optional<CutFrame>, FrameError>
cutFrame(FrameSeal &Seal, std::span<const uint8_t> Received,
         std::size_t MaxBytes);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_FRAME_H
