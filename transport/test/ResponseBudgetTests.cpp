#include "TestMain.h"

#include <marjorambend/Transport>

using namespace marjorambend;

TEST_GROUP(ResponseBudget){};

TEST(ResponseBudget, IsAShareOfTheMemory) {
  LONGS_EQUAL(0, responseBudgetOf(0));
  LONGS_EQUAL(4U << 20U, responseBudgetOf(16U << 20U));
  LONGS_EQUAL(15U << 20U, responseBudgetOf(120U << 20U));
}

TEST(ResponseBudget, KeepsAllWithinTheBound) {
  CHECK(chooseAbandoned({}, 0).empty());
  CHECK(chooseAbandoned({{1, 60}, {2, 40}}, 100).empty());
}

TEST(ResponseBudget, AbandonsTheLargestFirst) {
  const std::vector<HeldResponse> Held{{1, 10}, {2, 70}, {3, 20}, {4, 60}};
  CHECK((chooseAbandoned(Held, 100) == std::vector<uint64_t>{2}));
  CHECK((chooseAbandoned(Held, 89) == std::vector<uint64_t>{2, 4}));
  CHECK((chooseAbandoned(Held, 0) == std::vector<uint64_t>{2, 4, 3, 1}));
}

// A response that began earlier is closer to its end.
TEST(ResponseBudget, AbandonsTheLatestOfEqualOnes) {
  CHECK((chooseAbandoned({{7, 50}, {9, 50}, {8, 50}}, 100) ==
         std::vector<uint64_t>{9}));
}
