#include "TestMain.h"

#include "Explain.h"

#include <sstream>

using namespace marjorambend;

static const char *const Log =
    "{\"time_ms\":30,\"instance\":\"b\",\"event\":\"start_rejected\","
    "\"job\":\"00000000000000aa\",\"worker\":\"w\",\"result\":\"no_answer\"}\n"
    "no line of the log\n"
    "{\"time_ms\":10,\"instance\":\"a\",\"event\":\"taken\","
    "\"job\":\"00000000000000aa\",\"route\":\"r\"}\n"
    "{\"time_ms\":12,\"instance\":\"a\",\"event\":\"taken\","
    "\"job\":\"00000000000000bb\"}\n"
    "{broken 00000000000000aa\n";
static const char *const End =
    "  3.2 a {\"time_ms\":40,\"instance\":\"a\",\"event\":\"answer\","
    "\"job\":\"00000000000000aa\",\"outcome\":\"may_have_run\","
    "\"why\":\"the time is over\"}\n";

TEST_GROUP(AJobHistory) {
  JobHistory History_;
  void read(const std::string &Text) {
    std::istringstream From(Text);
    collectLines(From, "00000000000000aa", History_);
  }
};

TEST(AJobHistory, MergesTheLinesOfAllInstancesInOrder) {
  read(Log);
  read(End);
  summariseHistory(History_);
  LONGS_EQUAL(3, History_.Lines_.size());
  STRCMP_EQUAL("taken", History_.Lines_[0].Event_.c_str());
  STRCMP_EQUAL("b", History_.Lines_[1].Instance_.c_str());
  STRCMP_EQUAL("answer", History_.Lines_[2].Event_.c_str());
}

TEST(AJobHistory, NamesTheCauseAndWhatCameBefore) {
  read(std::string(Log) + End);
  summariseHistory(History_);
  STRCMP_EQUAL("may_have_run", History_.Outcome_.c_str());
  STRCMP_EQUAL("the time is over; before that: start_rejected at b: "
               "result=no_answer worker=w",
               History_.Cause_.c_str());
}

TEST(AJobHistory, SaysThatAnAnswerIsMissing) {
  read(Log);
  summariseHistory(History_);
  CHECK(History_.Outcome_.empty());
  CHECK(History_.Cause_.rfind("no answer is in the logs", 0) == 0);
}

int main(int Count, char **Arguments) {
  return marjorambend::test::runTests(Count, Arguments, 10);
}
