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

TEST_GROUP(TheStoryOfAJob) {
  JobStory Story_;
  void read(const std::string &Text) {
    std::istringstream From(Text);
    collectStory(From, "00000000000000aa", Story_);
  }
};

TEST(TheStoryOfAJob, HasItsLinesOfAllInstancesInOrder) {
  read(Log);
  read(End);
  concludeStory(Story_);
  LONGS_EQUAL(3, Story_.Lines_.size());
  STRCMP_EQUAL("taken", Story_.Lines_[0].Event_.c_str());
  STRCMP_EQUAL("b", Story_.Lines_[1].Instance_.c_str());
  STRCMP_EQUAL("answer", Story_.Lines_[2].Event_.c_str());
}

TEST(TheStoryOfAJob, NamesTheCauseAndWhatCameBefore) {
  read(std::string(Log) + End);
  concludeStory(Story_);
  STRCMP_EQUAL("may_have_run", Story_.Outcome_.c_str());
  STRCMP_EQUAL("the time is over; before that: start_rejected at b: "
               "result=no_answer worker=w",
               Story_.Cause_.c_str());
}

TEST(TheStoryOfAJob, SaysThatAnAnswerIsMissing) {
  read(Log);
  concludeStory(Story_);
  CHECK(Story_.Outcome_.empty());
  CHECK(Story_.Cause_.rfind("no answer is in the logs", 0) == 0);
}

int main(int Count, char **Arguments) {
  return marjorambend::test::runTests(Count, Arguments, 10);
}
