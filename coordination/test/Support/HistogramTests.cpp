#include "TestMain.h"

#include <marjorambend/Fleet>

using namespace marjorambend;

TEST_GROUP(AHistogram) { Histogram Times_; };

TEST(AHistogram, CountsEachTimeInTheFirstBucketThatHoldsIt) {
  observe(Times_, {1});
  observe(Times_, {5});
  observe(Times_, {100'000});
  LONGS_EQUAL(1, Times_.Buckets_.front());
  LONGS_EQUAL(1, Times_.Buckets_[4]);
  LONGS_EQUAL(1, Times_.Buckets_.back());
  LONGS_EQUAL(100'006, Times_.Sum_);
}

TEST(AHistogram, IsRenderedWithGrowingCounts) {
  observe(Times_, {5});
  const std::string Text = renderHistogram(Times_, "x", "kind=\"k\"");
  CHECK(Text.find("marjorambend_x_bucket{kind=\"k\",le=\"4\"} 0\n") !=
        std::string::npos);
  CHECK(Text.find("marjorambend_x_bucket{kind=\"k\",le=\"6\"} 1\n") !=
        std::string::npos);
  CHECK(Text.find("marjorambend_x_bucket{kind=\"k\",le=\"+Inf\"} 1\n") !=
        std::string::npos);
  CHECK(Text.find("marjorambend_x_count{kind=\"k\"} 1\n") != std::string::npos);
}

TEST(AHistogram, EscapesLabelValues) {
  STRCMP_EQUAL(R"(route="plain")", renderLabel("route", "plain").c_str());
  STRCMP_EQUAL(R"(route="a\"b\\c\nd")",
               renderLabel("route", "a\"b\\c\nd").c_str());
}

TEST_GROUP(ALogLine){};

TEST(ALogLine, HasAnEventAndFieldsOfTheDefinition) {
  CHECK(isDeclaredLogLine({.What_ = "pause", .Fields_ = {{"gap_ms", "1"}}}));
  CHECK_FALSE(isDeclaredLogLine({.What_ = "pause", .Fields_ = {{"gap", "1"}}}));
  CHECK_FALSE(isDeclaredLogLine({.What_ = "paus"}));
}
