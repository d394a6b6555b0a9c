#ifndef MARJORAMBEND_TRANSPORT_PEERCODEC_H
#define MARJORAMBEND_TRANSPORT_PEERCODEC_H

#include "marjorambend/src/Instance/Messages.h"
#include "marjorambend/src/Transport/Frame.h"

#include <cstdint>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace marjorambend {

/// \brief The first message on a link, sent by both sides.
struct PeerHello {
  Incarnation Run_;
  std::string Name_;
  std::string DataCentre_;
  uint64_t Nonce_ = 0; ///< Used in the digests of later frames to the sender.
};

/// \brief Possible contents of a frame.
using PeerContent = std::variant<PeerHello, PeerMessage>;

/// \brief Encode the content of a frame.
std::vector<uint8_t> encodeHello(const PeerHello &Hello);
std::vector<uint8_t> encodeMessage(const PeerMessage &Message);

/// \brief Verifies and decodes the content of a frame.
/// \returns the message, or FrameError::Malformed.
tl::expected<PeerContent, FrameError>
decodeContent(std::span<const uint8_t> Content);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_PEERCODEC_H
