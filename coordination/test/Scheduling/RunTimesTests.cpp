#include "TestMain.h"

#include <algorithm>
#include <cmath>
#include <marjorambend/Scheduling>
#include <vector>

using namespace marjorambend;

TEST_GROUP(TheExpectedRatio) {
  RunTimes Learned_;
  RunTimesOptions Options_;

  double expected(const char *Route = "r") {
    return expectedRatio(Learned_, Route, Options_);
  }
  // One sample per millisecond.
  void observeMany(int Count, double Ratio, int64_t From = 0) {
    for (int Index = 0; Index < Count; ++Index)
      observeRatio(Learned_, "r", Ratio, Options_, {From + Index});
  }
};

// Guards against a forecast from one or two jobs, as by a new placer.
TEST(TheExpectedRatio, IsOneUntilEnoughIsKnown) {
  DOUBLES_EQUAL(1.0, expected(), 1e-9);
  observeMany(19, 3.0);
  DOUBLES_EQUAL(1.0, expected(), 1e-9);
  observeMany(1, 3.0);
  DOUBLES_EQUAL(3.0, expected(), 1e-9);
  DOUBLES_EQUAL(1.0, expected("other"), 1e-9);
}

// Load pattern: declared run times are off by 40%. Guards against a quantile
// that is off by more than the width of a bucket.
TEST(TheExpectedRatio, IsTheQuantileOfWhatIsSeen) {
  Random Generator(20261206);
  std::vector<double> Ratios;
  for (int Index = 0; Index < 2'000; ++Index) {
    Ratios.push_back(std::exp(
        0.4 * (uniformUnit(Generator) + uniformUnit(Generator) - 1.0)));
    observeRatio(Learned_, "r", Ratios.back(), Options_, {Index});
  }
  std::sort(Ratios.begin(), Ratios.end());
  const double True = Ratios[1'800];
  CHECK(expected() >= True * 0.97);
  CHECK(expected() <= True * 1.1);
}

// Load pattern: 3% of the tasks take seven times as long as declared. Guards
// against a forecast that follows the mean or the longest task.
TEST(TheExpectedRatio, IgnoresAFewMuchLongerTasks) {
  for (int Index = 0; Index < 1'000; ++Index)
    observeRatio(Learned_, "r", Index % 33 == 0 ? 7.0 : 1.2, Options_, {Index});
  DOUBLES_EQUAL(1.2, expected(), 0.12);
}

TEST(TheExpectedRatio, IsAtLeastOneAndAtMostTheLargestSeen) {
  observeMany(100, 0.5);
  DOUBLES_EQUAL(1.0, expected(), 1e-9);
  observeMany(900, 1.3);
  DOUBLES_EQUAL(1.3, expected(), 1e-9);
  observeMany(9'000, 1'000.0);
  CHECK(std::isfinite(expected()));
  CHECK(expected() <= 1'000.0);
}

// Load pattern: the declared run times of a route change. Guards against old
// samples that outweigh new ones.
TEST(TheExpectedRatio, FollowsAChangeWithinSeconds) {
  observeMany(5'000, 4.0);
  observeMany(300, 1.5, 40'000);
  DOUBLES_EQUAL(4.0, expected(), 1e-9);
  observeMany(3'000, 1.5, 60'000);
  CHECK(expected() < 1.7);
}

TEST(TheExpectedRatio, IgnoresInvalidSamplesAndBoundsItsMemory) {
  for (const double Ratio : {0.0, -1.0, std::nan(""), HUGE_VAL})
    observeRatio(Learned_, "r", Ratio, Options_, {0});
  observeRatio(Learned_, "", 1.0, Options_, {0});
  LONGS_EQUAL(0, Learned_.size());
  for (int Index = 0; Index < 1'000; ++Index)
    observeRatio(Learned_, "r" + std::to_string(Index), 1.0, Options_, {Index});
  CHECK(Learned_.size() <= 64);
  CHECK(Learned_.contains("r999"));
}
