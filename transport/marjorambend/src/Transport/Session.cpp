#include "marjorambend/src/Transport/Session.h"

namespace marjorambend {

HelloResult processHello(Session &State, const SessionHello &Hello,
                         Milliseconds Now, Histogram &Times) {
  State.Peer_ = Hello.Info_;
  if (State.PeerNonce_ == 0) {
    if (Hello.PeerNonce_ != 0 && Hello.PeerNonce_ != State.Nonce_)
      return HelloResult::Ignored;
    State.PeerNonce_ = Hello.Nonce_;
    return HelloResult::Established;
  }
  if (Hello.Nonce_ != State.PeerNonce_)
    return HelloResult::Ended;
  if (Hello.PeerNonce_ != 0 && Hello.PeerNonce_ != State.Nonce_)
    return HelloResult::Ended;
  confirmThrough(State, Hello.Received_, Now, Times);
  return HelloResult::Resumed;
}

SessionHello makeHello(const Session &State, const InstanceInfo &Self) {
  return {.Info_ = Self,
          .Nonce_ = State.Nonce_,
          .PeerNonce_ = State.PeerNonce_,
          .Received_ = State.Received_};
}

void confirmThrough(Session &State, uint64_t Received, Milliseconds Now,
                    Histogram &Times) {
  while (!State.Unconfirmed_.empty() &&
         State.Unconfirmed_.front().Sequence_ <= Received) {
    observe(Times, Now - State.Unconfirmed_.front().SentAt_);
    State.Unconfirmed_.pop_front();
  }
}

bool acceptIfNext(Session &State, uint64_t Sequence) {
  if (Sequence != State.Received_ + 1)
    return false;
  ++State.Received_;
  return true;
}

} // namespace marjorambend
