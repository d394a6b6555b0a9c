#include "TestMain.h"

#include <marjorambend/Claims>

using namespace marjorambend;
using namespace marjorambend::literals;

TEST_GROUP(ClaimBatching) {
  ClaimBatcher Batcher_;
  ClaimOptions Options_{.RowsPerBatch_ = 3, .MaxWaiting_ = 4};

  bool enqueue(uint64_t Number, Milliseconds Now = 0_ms) {
    return enqueueClaim(Batcher_, Options_, {.Id_ = {0, Number}}, Now);
  }
};

TEST(ClaimBatching, SendsTheFirstClaimAtOnceAndGathersTheOthers) {
  enqueue(1);
  const auto First = nextBatch(Batcher_, Options_, 0_ms);
  CHECK_EQUAL(1, First->Claims_.size());
  enqueue(2);
  enqueue(3);
  CHECK_FALSE(nextBatch(Batcher_, Options_, 5_ms).has_value());
  finishBatch(Batcher_, First->Number_);
  CHECK_FALSE(nextBatch(Batcher_, Options_, 19_ms).has_value());
  CHECK_EQUAL(2, nextBatch(Batcher_, Options_, 20_ms)->Claims_.size());
}

TEST(ClaimBatching, IsBoundedInRowsAndInWaitingClaims) {
  for (uint64_t Number = 0; Number < 4; ++Number)
    CHECK_TRUE(enqueue(Number));
  CHECK_FALSE(enqueue(5));
  CHECK_EQUAL(3, nextBatch(Batcher_, Options_, 0_ms)->Claims_.size());
}

TEST(ClaimBatching, RepeatsABatchWithoutAnswerUnderANewNumber) {
  enqueue(1);
  const auto First = nextBatch(Batcher_, Options_, 0_ms);
  CHECK_FALSE(nextBatch(Batcher_, Options_, 799_ms).has_value());
  const auto Second = nextBatch(Batcher_, Options_, 800_ms);
  CHECK_EQUAL(1, Second->Claims_.size());
  CHECK(Second->Number_ != First->Number_);
  CHECK_FALSE(finishBatch(Batcher_, First->Number_));
  CHECK_TRUE(finishBatch(Batcher_, Second->Number_));
}

TEST(ClaimBatching, ExpiresClaimsThatHaveWaitedTooLong) {
  enqueue(1, 0_ms);
  enqueue(2, 1'500_ms);
  const auto Expired = expireClaims(Batcher_, Options_, 2'000_ms);
  CHECK_EQUAL(1, Expired.size());
  CHECK(Expired.front() == (JobId{0, 1}));
}

TEST(ClaimBatching, KeepsTheRowsOfOneIntervalUnderOnePrefix) {
  Random Generator(1);
  const JobId Id = makeJobId({1'796'000'000'000}, Generator);
  const std::string Prefix = claimPrefix(createdAt(Id));
  CHECK_EQUAL(0, claimKey(Id).find(Prefix));
  CHECK(claimPrefix(createdAt(Id) + 600'000_ms) != Prefix);
}
