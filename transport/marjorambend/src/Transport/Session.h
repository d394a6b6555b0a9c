#ifndef MARJORAMBEND_TRANSPORT_SESSION_H
#define MARJORAMBEND_TRANSPORT_SESSION_H

#include "marjorambend/src/Support/Histogram.h"
#include "marjorambend/src/Support/Milliseconds.h"
#include "marjorambend/src/Transport/FleetCodec.h"

#include <cstdint>
#include <deque>

namespace marjorambend {

/// \brief A message that the other side may not have received yet.
struct SentMessage {
  uint64_t Sequence_ = 0;
  Milliseconds SentAt_; ///< First time.
  FleetMessage Message_;
};

/// \brief A conversation with one run of another instance.
///
/// It outlives its connections: what the other side has not received is sent
/// again on the next one, so that every message arrives once and in order, or
/// the session ends on both sides.
struct Session {
  InstanceInfo Peer_;
  uint64_t Nonce_ = 0;      ///< Our number of it.
  uint64_t PeerNonce_ = 0;  ///< The peer's number; 0 until it is established.
  uint64_t Sent_ = 0;       ///< Sequence of the last message sent.
  uint64_t Received_ = 0;   ///< Sequence of the last message received.
  uint64_t Confirmed_ = 0;  ///< Of the last message whose receipt was told.
  Milliseconds ReceivedAt_; ///< Of the first one since.
  std::deque<SentMessage> Unconfirmed_;
  Milliseconds HeardAt_;
};

/// \brief What a hello makes of a session.
enum class HelloResult : uint8_t {
  Established, ///< It has begun.
  Resumed,     ///< It goes on; unconfirmed messages are to be sent again.
  Ended,       ///< The peer has forgotten it; it is to be begun anew.
  Ignored      ///< The hello belongs to an earlier session.
};

/// \brief Takes the peer's hello; what it confirms is counted in \p Times.
HelloResult takeHello(Session &State, const SessionHello &Hello,
                      Milliseconds Now, Histogram &Times);

/// \brief Our hello for \p State.
SessionHello helloFor(const Session &State, const InstanceInfo &Self);

/// \brief Forgets messages that the peer has received, and counts in \p Times
/// how long each was under way.
void confirmThrough(Session &State, uint64_t Received, Milliseconds Now,
                    Histogram &Times);

/// \brief Whether a received message is the next one; it is counted if so.
bool isNext(Session &State, uint64_t Sequence);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_SESSION_H
