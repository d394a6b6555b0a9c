#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

#include <fstream>
#include <sstream>

using namespace marjorambend;
using namespace marjorambend::test;

static std::string describe(const RunId &Run) {
  return formatHex(Run.Job_) + '.' + std::to_string(Run.Task_) + '#' +
         std::to_string(Run.Attempt_);
}

/// Describes an action in one line. Polls are omitted, as they are repeated all
/// the time.
struct ActionWriter {
  std::string operator()(const AnswerJob &A) const {
    return "answer " + std::to_string(A.Token_) + ": " + nameOf(A.Outcome_);
  }
  std::string operator()(const AnswerCancel &A) const {
    return "answer cancel " + std::to_string(A.Token_);
  }
  std::string operator()(const StartRun &A) const {
    return "start " + describe(A.Run_) + " on " + A.Worker_.Id_;
  }
  std::string operator()(const StopRun &A) const {
    return "stop " + describe(A.Run_) + " on " + A.Worker_.Id_;
  }
  std::string operator()(const PollWorker &) const { return {}; }
  std::string operator()(const SendMessage &A) const {
    return "tell " + std::to_string(A.To_.Value_) + " message " +
           std::to_string(A.Message_.index());
  }
  std::string operator()(const LinkInstances &A) const {
    return "link " + std::to_string(A.Addresses_.size()) + " instances";
  }
  std::string operator()(const DecodeConfigText &) const {
    return "decode a configuration";
  }
  std::string operator()(const StoreCrash &A) const {
    return "store the crash of " + A.Crash_.Worker_.Worker_ + " under " +
           std::to_string(A.Crash_.Tasks_.size()) + " tasks";
  }
  std::string operator()(const ForgetCrash &A) const {
    return "forget the crash of " + A.Worker_.Worker_;
  }
  std::string operator()(const LogDecision &A) const {
    std::string Text = "log " + std::string(A.What_);
    for (const auto &[Name, Value] : A.Fields_) {
      if (Name != "fence")
        Text.append(" ").append(Name).append("=").append(Value);
    }
    return Text;
  }
};

TEST_GROUP(SessionsOfTheFleet) {
  InstanceFixture Instance_;
  std::string Text_;

  void record(const std::string &What, const FleetActions &Actions) {
    Text_ += What + '\n';
    for (const FleetAction &One : Actions) {
      const std::string Line = std::visit(ActionWriter{}, One);
      if (!Line.empty())
        Text_ += "  " + Line + '\n';
    }
  }
  void compare(const std::string &Name) const {
    const std::string Path =
        std::string(MARJORAMBEND_GOLDEN_FOLDER) + "/fleet-" + Name + ".txt";
    if (std::getenv("MARJORAMBEND_UPDATE_GOLDEN") != nullptr)
      std::ofstream(Path) << Text_;
    std::ostringstream Golden;
    Golden << std::ifstream(Path).rdbuf();
    STRCMP_EQUAL(Golden.str().c_str(), Text_.c_str());
  }
  void setup() override { Instance_.openWorker(); }
};

TEST(SessionsOfTheFleet, AJobIsServed) {
  record("a job of two tasks arrives",
         Instance_.handle(Instance_.job(7, 1, 2)));
  record("the first has started",
         Instance_.answerStart(OrderResult::Accepted, {7, 0, 1}));
  record("the second has started",
         Instance_.answerStart(OrderResult::Accepted, {7, 1, 1}));
  record("the first is done",
         Instance_.listRuns({{7, 1, 1}}, {{1, {7, 0, 1}}}));
  record("the second is done", Instance_.listRuns({}, {{2, {7, 1, 1}}}));
  compare("served");
}

TEST(SessionsOfTheFleet, AStartHasNoAnswer) {
  record("a job arrives", Instance_.handle(Instance_.job()));
  record("its start has no answer",
         Instance_.answerStart(OrderResult::Unknown));
  record("the same order has none",
         Instance_.answerStart(OrderResult::Unknown));
  record("the stop is confirmed",
         Instance_.handle(StopAnswered{
             "w", {7, 0, 1}, OrderResult::Accepted, std::nullopt}));
  record("a look sent before lists nothing", Instance_.listRuns({}));
  record("a look sent after lists nothing", Instance_.listRuns({}));
  compare("no-answer");
}

TEST(SessionsOfTheFleet, ACallerLeaves) {
  record("a job arrives", Instance_.handle(Instance_.job()));
  record("it has started", Instance_.answerStart(OrderResult::Accepted));
  record("its caller leaves", Instance_.handle(JobAbandoned{1}));
  record("the stop is confirmed",
         Instance_.handle(StopAnswered{
             "w", {7, 0, 1}, OrderResult::Accepted, std::nullopt}));
  record("its end is listed",
         Instance_.listRuns({}, {{1, {7, 0, 1}, RunEnd::Stopped}}));
  compare("caller-leaves");
}

TEST(SessionsOfTheFleet, AnotherHolderTakesTheWorker) {
  record("a job arrives", Instance_.handle(Instance_.job()));
  record("it has started", Instance_.answerStart(OrderResult::Accepted));
  record("a look is refused",
         Instance_.handle(PollAnswered{.Worker_ = "w",
                                       .Poll_ = Instance_.LastPoll_.Poll_,
                                       .Result_ = OrderResult::Fenced}));
  record("the lease ends", Instance_.advance(1'200));
  compare("fenced");
}

TEST(SessionsOfTheFleet, TheProcessIsPaused) {
  record("a job arrives", Instance_.handle(Instance_.job()));
  record("it has started", Instance_.answerStart(OrderResult::Accepted));
  Instance_.freeze(2'000);
  record("two seconds later another arrives",
         Instance_.handle(Instance_.job(8, 8)));
  compare("pause");
}

TEST(SessionsOfTheFleet, TheInstanceStops) {
  record("a job arrives", Instance_.handle(Instance_.job()));
  record("it has started", Instance_.answerStart(OrderResult::Accepted));
  record("the order to stop", Instance_.handle(FleetStop{}));
  record("it is done", Instance_.listRuns({}, {{1, {7, 0, 1}}}));
  record("a moment later", Instance_.advance(40));
  compare("stop");
}
