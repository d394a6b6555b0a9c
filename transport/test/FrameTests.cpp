#include "TestMain.h"

#include <marjorambend/Transport>

using namespace marjorambend;

namespace {

std::vector<uint8_t> bytesOf(const std::string &Text) {
  return {Text.begin(), Text.end()};
}

constexpr std::size_t MaxBytes = 1'000;

} // namespace

TEST_GROUP(AFrame) {
  FrameSeal Sender_{.Key_ = "a shared key", .Nonce_ = 5};
  FrameSeal Receiver_{.Key_ = "a shared key", .Nonce_ = 5};
  const std::vector<uint8_t> Content_ = bytesOf("content");
};

TEST(AFrame, ArrivesAsItWasSent) {
  const auto Sent = bytesOf(sealFrame(Sender_, Content_));
  const auto Cut = cutFrame(Receiver_, Sent, MaxBytes);
  CHECK(Cut && *Cut);
  CHECK_EQUAL(Sent.size(), (*Cut)->Bytes_);
  CHECK(std::equal(Content_.begin(), Content_.end(), (*Cut)->Content_.begin()));
}

TEST(AFrame, IsAwaitedUntilItIsWhole) {
  const auto Sent = bytesOf(sealFrame(Sender_, Content_));
  for (std::size_t Bytes = 0; Bytes < Sent.size(); ++Bytes) {
    const auto Cut = cutFrame(Receiver_, {Sent.data(), Bytes}, MaxBytes);
    CHECK(Cut && !*Cut);
  }
}

TEST(AFrame, IsRejectedUnderAnotherKey) {
  Receiver_.Key_ = "another key";
  const auto Sent = bytesOf(sealFrame(Sender_, Content_));
  CHECK(cutFrame(Receiver_, Sent, MaxBytes).error() == FrameError::NotGenuine);
}

TEST(AFrame, IsRejectedWhenItIsReplayed) {
  const auto Sent = bytesOf(sealFrame(Sender_, Content_));
  CHECK(cutFrame(Receiver_, Sent, MaxBytes).has_value());
  CHECK(cutFrame(Receiver_, Sent, MaxBytes).error() == FrameError::NotGenuine);
}

TEST(AFrame, IsRejectedWhenItIsTooLarge) {
  const auto Sent =
      bytesOf(sealFrame(Sender_, std::vector<uint8_t>(MaxBytes + 1)));
  CHECK(cutFrame(Receiver_, Sent, MaxBytes).error() == FrameError::TooLarge);
}

TEST(AFrame, WithAnyByteChangedIsNeverAccepted) {
  CHECK(rc::check("a changed frame is rejected or awaited", [] {
    const auto Content = *rc::gen::arbitrary<std::vector<uint8_t>>();
    FrameSeal Sender{.Key_ = "key", .Nonce_ = 1};
    FrameSeal Receiver = Sender;
    auto Sent = bytesOf(sealFrame(Sender, Content));
    const auto Place = *rc::gen::inRange<std::size_t>(0, Sent.size());
    const auto Flip = *rc::gen::inRange<int>(1, 256);
    Sent[Place] ^= static_cast<uint8_t>(Flip);
    const auto Cut = cutFrame(Receiver, Sent, MaxBytes);
    const bool IsAccepted = Cut.has_value() && Cut->has_value();
    RC_ASSERT(!IsAccepted);
  }));
}
