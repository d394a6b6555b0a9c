#include "TestMain.h"

#include <marjorambend/Transport>

using namespace marjorambend;

namespace {

template <typename Message> Message roundTrip(const Message &Sent) {
  const auto Decoded = decodeContent(encodeMessage(PeerMessage(Sent)));
  CHECK(Decoded.has_value());
  return std::get<Message>(std::get<PeerMessage>(*Decoded));
}

ForwardedJob sampleJob() {
  return {.Token_ = 7,
          .Request_ = {.Id_ = {1, 2},
                       .Team_ = "team",
                       .Kind_ = "payout",
                       .Tasks_ = {"a", "", std::string("\0b", 2)},
                       .Timeout_ = {1500},
                       .TraceParent_ = "00-1-2-01"}};
}

} // namespace

TEST_GROUP(PeerMessageCoding){};

TEST(PeerMessageCoding, ForwardedJobRoundTrips) {
  const ForwardedJob Sent = sampleJob();
  const ForwardedJob Got = roundTrip(Sent);
  CHECK_EQUAL(7, Got.Token_);
  CHECK(Got.Request_.Id_ == Sent.Request_.Id_);
  CHECK(Got.Request_.Tasks_ == Sent.Request_.Tasks_);
  CHECK_EQUAL(1500, Got.Request_.Timeout_.Count_);
  CHECK(fingerprint(Got.Request_) == fingerprint(Sent.Request_));
}

TEST(PeerMessageCoding, AnswerRoundTrips) {
  const auto Given =
      std::make_shared<const Answer>(Answer{.Id_ = {3, 4},
                                            .Outcome_ = Outcome::NotRun,
                                            .Reason_ = Reason::QueueFull,
                                            .RetryAfter_ = {250},
                                            .Results_ = {"x", "y"}});
  const ForwardedAnswer Got = roundTrip(ForwardedAnswer{9, Given});
  CHECK(Got.Answer_->Outcome_ == Outcome::NotRun);
  CHECK(Got.Answer_->Reason_ == Reason::QueueFull);
  CHECK_EQUAL(250, Got.Answer_->RetryAfter_.Count_);
  CHECK(Got.Answer_->Results_ == Given->Results_);
}

TEST(PeerMessageCoding, ControlMessagesRoundTrip) {
  const Heartbeat Beat = roundTrip(Heartbeat{.CatalogueVersion_ = 5,
                                             .DrainFingerprint_ = 6,
                                             .HasBacklog_ = true,
                                             .Uses_ = {{1, 2}, {3, 4}}});
  CHECK_EQUAL(5, Beat.CatalogueVersion_);
  CHECK_EQUAL(2, Beat.Uses_.size());
  CHECK_EQUAL(4, Beat.Uses_[1].Outstanding_);
  DrainMap Map;
  orderDrain(Map, "worker/w1", true, {8});
  CHECK(roundTrip(DrainUpdate{Map}).Map_ == Map);
  CHECK_EQUAL(3, roundTrip(CatalogueUpdate{3, "text"}).Version_);
  CHECK(roundTrip(ForwardedCancel{{5, 6}}).Id_ == (JobId{5, 6}));
}

TEST(PeerMessageCoding, RejectsInvalidContent) {
  CHECK(rc::check("random bytes are rejected without harm", [] {
    const auto Bytes = *rc::gen::arbitrary<std::vector<uint8_t>>();
    RC_ASSERT(!decodeContent(Bytes).has_value());
  }));
}

TEST(PeerMessageCoding, DoesNotCrashOnChangedBytes) {
  CHECK(rc::check("changed bytes are rejected or read as some message", [] {
    auto Bytes = encodeMessage(PeerMessage(sampleJob()));
    const auto Changes = *rc::gen::inRange<int>(1, 6);
    for (int Change = 0; Change < Changes; ++Change)
      Bytes[*rc::gen::inRange<std::size_t>(0, Bytes.size())] =
          *rc::gen::arbitrary<uint8_t>();
    const auto Decoded = decodeContent(Bytes);
    RC_SUCCEED_IF(!Decoded);
  }));
}
