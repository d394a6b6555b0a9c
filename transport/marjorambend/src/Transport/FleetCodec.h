#ifndef MARJORAMBEND_TRANSPORT_FLEETCODEC_H
#define MARJORAMBEND_TRANSPORT_FLEETCODEC_H

#include "marjorambend/src/Fleet/FleetMessages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

namespace marjorambend {

/// \brief The first message on a connection between two instances.
struct SessionHello {
  InstanceInfo Info_;
  uint64_t Nonce_ = 0;     ///< The sender's session number; 0 if none yet.
  uint64_t PeerNonce_ = 0; ///< The receiver's session number; 0 if unknown.
  uint64_t Received_ = 0;  ///< Last sequence number the sender has received.
};

/// \brief Confirms received messages when there is no message to send.
struct SessionConfirmation {};

/// \brief One frame between two instances.
struct SessionFrame {
  uint64_t Sequence_ = 0; ///< 0 if unsequenced; such frames are not resent.
  uint64_t Received_ = 0; ///< Last sequence number the sender has received.
  std::variant<SessionHello, SessionConfirmation, FleetMessage> Body_;
};

/// \brief Encodes a frame, prefixed by its length.
std::string encodeFrame(const SessionFrame &Frame);

/// \brief Decodes a frame without its length prefix; \p Content must be aligned
/// to eight bytes.
///
/// \returns nullopt if the content is not a valid frame.
std::optional<SessionFrame> decodeFrame(std::span<const uint8_t> Content);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_FLEETCODEC_H
