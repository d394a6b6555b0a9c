#include "TestMain.h"

#include "Losses.h"

#include <sstream>

using namespace marjorambend;

TEST_GROUP(ATableOfLosses) {
  LossTable Table_;

  void read(const std::string &Text) {
    std::istringstream From(Text);
    collectLosses(From, 2'000, Table_);
  }
  static std::string answer(const char *Job, const char *Outcome,
                            const char *Took) {
    return std::string("  1.5 a {\"time_ms\":5100,\"instance\":\"a\",\"event\":"
                       "\"answer\",\"job\":\"") +
           Job + "\",\"outcome\":\"" + Outcome +
           "\",\"why\":\"its own\",\"route\":\"r\",\"took_ms\":\"" + Took +
           "\",\"objective_ms\":\"100\"}\n";
  }
};

TEST(ATableOfLosses, CountsAnswersThatWereLateOrNotServed) {
  read(answer("1", "completed", "100") + answer("2", "completed", "101") +
       answer("3", "may_have_run", "90") + answer("4", "cancelled", "9") +
       "no line of the log\n{broken\n");
  LONGS_EQUAL(3, Table_.Answers_);
  LONGS_EQUAL(1, Table_.ByRoute_.at("r").Late_);
  LONGS_EQUAL(1, Table_.ByRoute_.at("r").Started_);
  LONGS_EQUAL(1, Table_.ByWindow_.at(4'000).Late_);
  LONGS_EQUAL(1, Table_.ByInstance_.at("a").Late_);
}

TEST(ATableOfLosses, NamesThePlacersReason) {
  read("{\"time_ms\":1,\"instance\":\"b\",\"event\":\"place_refused\","
       "\"job\":\"7\",\"why\":\"late\"}\n" +
       answer("7", "not_run", "50") + answer("8", "not_run", "50"));
  LONGS_EQUAL(1, Table_.ByReason_.at("late").NotRun_);
  LONGS_EQUAL(1, Table_.ByReason_.at("its own").NotRun_);
}

TEST(ATableOfLosses, IsPrintedAsText) {
  read(answer("1", "not_run", "50"));
  std::ostringstream To;
  printLosses(Table_, To);
  CHECK(To.str().starts_with("answers 1\nreason "));
}
