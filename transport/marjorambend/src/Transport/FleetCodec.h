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
  uint64_t Nonce_ = 0;     ///< The sender's number of the session; 0: none yet.
  uint64_t PeerNonce_ = 0; ///< The receiver's number, if the sender knows it.
  uint64_t Received_ = 0;  ///< Sequence up to which the sender has received.
};

/// \brief Confirms what was received where there is nothing else to say.
struct SessionConfirmation {};

/// \brief One frame between two instances.
struct SessionFrame {
  uint64_t Sequence_ = 0; ///< 0: outside the sequence, not repeated.
  uint64_t Received_ = 0;
  std::variant<SessionHello, SessionConfirmation, FleetMessage> Body_;
};

/// \brief The frame's bytes, with their length before them.
std::string encodeFrame(const SessionFrame &Frame);

/// \brief Reads a frame's content, without its length; it is to be aligned to
/// eight bytes.
///
/// \returns nothing if the content is no valid frame.
std::optional<SessionFrame> decodeFrame(std::span<const uint8_t> Content);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_FLEETCODEC_H
