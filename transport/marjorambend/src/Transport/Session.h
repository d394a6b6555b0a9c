#ifndef MARJORAMBEND_TRANSPORT_SESSION_H
#define MARJORAMBEND_TRANSPORT_SESSION_H

#include "marjorambend/src/Support/Histogram.h"
#include "marjorambend/src/Support/Milliseconds.h"
#include "marjorambend/src/Transport/FleetCodec.h"

#include <cstdint>
#include <deque>

namespace marjorambend {

/// \brief A message whose receipt the peer has not confirmed yet.
struct SentMessage {
  uint64_t Sequence_ = 0;
  Milliseconds SentAt_; ///< Time of the first transmission.
  FleetMessage Message_;
};

/// \brief A session with one incarnation of another instance.
///
/// A session can span several connections: messages that the peer has not
/// received are resent on the next one. Every message arrives exactly once and
/// in order, or the session ends on both sides.
struct Session {
  InstanceInfo Peer_;
  uint64_t Nonce_ = 0;     ///< Own session number.
  uint64_t PeerNonce_ = 0; ///< The peer's session number; 0 until established.
  uint64_t Sent_ = 0;      ///< Sequence of the last message sent.
  uint64_t Received_ = 0;  ///< Sequence of the last message received.
  uint64_t LastConfirmed_ = 0; ///< Last received sequence that was confirmed.
  Milliseconds UnconfirmedSince_; ///< Arrival of the first unconfirmed message.
  std::deque<SentMessage> Unconfirmed_;
  Milliseconds HeardAt_; ///< Arrival of the last frame.
};

/// \brief Effect of a hello on a session.
enum class HelloResult : uint8_t {
  Established, ///< The session is established.
  Resumed,     ///< The session continues; resend unconfirmed messages.
  Ended,       ///< The peer has lost the session; start a new one.
  Ignored      ///< The hello belongs to an earlier session.
};

/// \brief Processes the peer's hello; records the delays of the messages it
/// confirms in \p Times.
HelloResult processHello(Session &State, const SessionHello &Hello,
                         Milliseconds Now, Histogram &Times);

/// \brief The hello to send for \p State.
SessionHello makeHello(const Session &State, const InstanceInfo &Self);

/// \brief Removes messages that the peer has received and records in \p Times
/// the delay from sending to confirmation.
void confirmThrough(Session &State, uint64_t Received, Milliseconds Now,
                    Histogram &Times);

/// \brief If \p Sequence is the next one, advances Received_ and returns true.
bool acceptIfNext(Session &State, uint64_t Sequence);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_SESSION_H
