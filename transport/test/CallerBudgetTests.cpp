#include "TestMain.h"

#include "marjorambend/src/Transport/CallerBudget.h"

using namespace marjorambend;

static constexpr std::size_t Mb = 1U << 20U;

TEST_GROUP(CallerBudgets){
    static std::vector<uint64_t> close(const std::vector<HeldConnection> &Held,
                                       Excess Excess){
        return chooseClosed(Held, Excess, Milliseconds{10'000});
}
}
;

// Guards against closing ordinary callers before those that fill the memory.
TEST(CallerBudgets, CloseWhatHasHeldMostForLongestFirst) {
  const std::vector<HeldConnection> Held{
      {.Id_ = 1, .Bytes_ = 4'000, .Since_ = {9'900}},
      {.Id_ = 2, .Bytes_ = 200'000, .Since_ = {9'000}},
      {.Id_ = 3, .Bytes_ = 200'000, .Since_ = {2'000}}};
  CHECK(close(Held, {.Bytes_ = 300'000}) == std::vector<uint64_t>({3, 2}));
  CHECK(close(Held, {.Connections_ = 1}) == std::vector<uint64_t>({3}));
  CHECK(close(Held, {}).empty());
}

// Guards against ending a job that has begun, and against an untrue refusal.
TEST(CallerBudgets, NeverCloseOpenRequests) {
  const std::vector<HeldConnection> Held{
      {.Id_ = 1, .Bytes_ = Mb, .HasOpenRequest_ = true},
      {.Id_ = 2, .Bytes_ = 5'000}};
  CHECK(close(Held, {.Bytes_ = 10 * Mb, .Connections_ = 2}) ==
        std::vector<uint64_t>({2}));
}

// Guards against closing a connection over a request that has arrived while
// others are idle.
TEST(CallerBudgets, CloseUnreadRequestsLast) {
  const std::vector<HeldConnection> Held{
      {.Id_ = 1, .Bytes_ = 6'000, .Since_ = {1'000}, .HasUnreadRequest_ = true},
      {.Id_ = 2, .Bytes_ = 6'000, .Since_ = {9'900}},
      {.Id_ = 3, .Bytes_ = 200'000, .Since_ = {9'000}}};
  CHECK(close(Held, {.Connections_ = 2}) == std::vector<uint64_t>({3, 2}));
  CHECK(close(Held, {.Connections_ = 3}) == std::vector<uint64_t>({3, 2, 1}));
}

// Guards against a budget that a single request within the limits exceeds.
TEST(CallerBudgets, FollowTheMachine) {
  const CallerBudget Smallest = budgetOf(120 * Mb, 3'075);
  LONGS_EQUAL(30 * Mb, Smallest.MaxBytes_);
  LONGS_EQUAL(1'537, Smallest.MaxConnections_);
  LONGS_EQUAL(256, maxStrangersOf(3'074));
  LONGS_EQUAL(64, maxStrangersOf(512));
  LONGS_EQUAL(256, maxStrangersOf(0));
  LONGS_EQUAL(Mb, budgetOf(Mb, 0).MaxBytes_);
  LONGS_EQUAL(0, excessOver(budgetOf(0, 0), 99 * Mb, 99'999).Bytes_);
  LONGS_EQUAL(0, excessOver(budgetOf(0, 0), 99 * Mb, 99'999).Connections_);
  LONGS_EQUAL(0, excessOver(Smallest, 30 * Mb, 1'537).Bytes_);
  CHECK(excessOver(Smallest, 30 * Mb + 1, 0).Bytes_ > 3 * Mb);
  CHECK(excessOver(Smallest, 0, 1'538).Connections_ > 0);
}

// Guards against single bytes that keep a request open.
TEST(CallerBudgets, ExtendTheTimeOnlyAtTheMinimumRate) {
  const Milliseconds Timeout{3'000};
  LONGS_EQUAL(3'100, receiveDeadline({100}, Timeout, 0).Count_);
  LONGS_EQUAL(3'100, receiveDeadline({100}, Timeout, 15).Count_);
  LONGS_EQUAL(3'100 + 16'384, receiveDeadline({100}, Timeout, 262'144).Count_);
}
