#include "TestMain.h"

#include <marjorambend/Transport>

using namespace marjorambend;

namespace {

std::vector<uint8_t> bytesOf(const std::string &Text) {
  return {Text.begin(), Text.end()};
}

constexpr std::size_t MaxBytes = 1'000;

} // namespace

TEST_GROUP(AuthenticatedFrame) {
  FrameAuthState Sender_{.Key_ = "a shared key", .Nonce_ = 5};
  FrameAuthState Receiver_{.Key_ = "a shared key", .Nonce_ = 5};
  const std::vector<uint8_t> Content_ = bytesOf("content");
};

TEST(AuthenticatedFrame, RoundTrips) {
  const auto Sent = bytesOf(signFrame(Sender_, Content_));
  const auto Extracted = extractFrame(Receiver_, Sent, MaxBytes);
  CHECK(Extracted && *Extracted);
  CHECK_EQUAL(Sent.size(), (*Extracted)->Bytes_);
  CHECK(std::equal(Content_.begin(), Content_.end(),
                   (*Extracted)->Content_.begin()));
}

TEST(AuthenticatedFrame, IsNotReturnedUntilComplete) {
  const auto Sent = bytesOf(signFrame(Sender_, Content_));
  for (std::size_t Bytes = 0; Bytes < Sent.size(); ++Bytes) {
    const auto Extracted =
        extractFrame(Receiver_, {Sent.data(), Bytes}, MaxBytes);
    CHECK(Extracted && !*Extracted);
  }
}

TEST(AuthenticatedFrame, IsRejectedWithAnotherKey) {
  Receiver_.Key_ = "another key";
  const auto Sent = bytesOf(signFrame(Sender_, Content_));
  CHECK(extractFrame(Receiver_, Sent, MaxBytes).error() ==
        FrameError::DigestMismatch);
}

TEST(AuthenticatedFrame, IsRejectedWhenReplayed) {
  const auto Sent = bytesOf(signFrame(Sender_, Content_));
  CHECK(extractFrame(Receiver_, Sent, MaxBytes).has_value());
  CHECK(extractFrame(Receiver_, Sent, MaxBytes).error() ==
        FrameError::DigestMismatch);
}

TEST(AuthenticatedFrame, IsRejectedWhenTooLarge) {
  const auto Sent =
      bytesOf(signFrame(Sender_, std::vector<uint8_t>(MaxBytes + 1)));
  CHECK(extractFrame(Receiver_, Sent, MaxBytes).error() ==
        FrameError::TooLarge);
}

TEST(AuthenticatedFrame, WithAnyByteChangedIsNeverAccepted) {
  CHECK(rc::check("a changed frame is rejected or awaited", [] {
    const auto Content = *rc::gen::arbitrary<std::vector<uint8_t>>();
    FrameAuthState Sender{.Key_ = "key", .Nonce_ = 1};
    FrameAuthState Receiver = Sender;
    auto Sent = bytesOf(signFrame(Sender, Content));
    const auto Position = *rc::gen::inRange<std::size_t>(0, Sent.size());
    const auto Flip = *rc::gen::inRange<int>(1, 256);
    Sent[Position] ^= static_cast<uint8_t>(Flip);
    const auto Extracted = extractFrame(Receiver, Sent, MaxBytes);
    const bool IsAccepted = Extracted.has_value() && Extracted->has_value();
    RC_ASSERT(!IsAccepted);
  }));
}
