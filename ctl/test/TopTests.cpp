#include "TestMain.h"

#include "Top.h"

using namespace marjorambend;

static std::string scrape(int Done, int Fast) {
  return "# TYPE marjorambend_ready gauge\nmarjorambend_ready 1\n"
         "marjorambend_is_placer 0\nmarjorambend_jobs_open 7\n"
         "marjorambend_list_age_milliseconds 240\nno sample\n"
         "marjorambend_answer_milliseconds_bucket{outcome=\"completed\","
         "le=\"64\"} " +
         std::to_string(Fast) +
         "\nmarjorambend_answer_milliseconds_bucket{outcome=\"completed\","
         "le=\"128\"} " +
         std::to_string(Done) +
         "\nmarjorambend_answer_milliseconds_bucket{outcome=\"completed\","
         "le=\"+Inf\"} " +
         std::to_string(Done) +
         "\nmarjorambend_answer_milliseconds_count{outcome=\"completed\"} " +
         std::to_string(Done) + "\n";
}

TEST_GROUP(ARowOfTop){TopRow between(const std::string &Before,
                                     const std::string &After){
    return rowOf(readScrape(Before), readScrape(After), Milliseconds{2'000});
}
}
;

TEST(ARowOfTop, HasTheValuesOfTheSecondScrape) {
  const TopRow Row = between(scrape(0, 0), scrape(0, 0));
  CHECK(Row.IsReady_);
  CHECK_FALSE(Row.IsPlacer_);
  LONGS_EQUAL(7, Row.OpenJobs_);
  LONGS_EQUAL(240, Row.ListAgeMs_);
  LONGS_EQUAL(
      2, between({}, "marjorambend_data_centres_evacuated 2\n").Evacuated_);
}

TEST(ARowOfTop, CountsAnswersASecond) {
  DOUBLES_EQUAL(50, between(scrape(100, 100), scrape(200, 150)).Completed_,
                1e-9);
}

TEST(ARowOfTop, TakesQuantilesOfNewSamples) {
  const TopRow Row = between(scrape(1'000, 0), scrape(1'100, 60));
  LONGS_EQUAL(64, Row.P50Ms_);
  LONGS_EQUAL(128, Row.P99Ms_);
}

TEST(ARowOfTop, IsEmptyWithoutAnswers) {
  const TopRow Row = between({}, {});
  LONGS_EQUAL(0, Row.P99Ms_);
  DOUBLES_EQUAL(0, Row.NotRun_, 1e-9);
}
