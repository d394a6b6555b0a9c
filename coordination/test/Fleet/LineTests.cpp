#include "TestMain.h"

#include "Fleet/Story.h"

using namespace marjorambend;
using namespace marjorambend::test;

/// What was known, and how old it was, when a job was decided on.
TEST_GROUP(TheLinesOfAJob) {
  Story S_;
  void setup() override { S_.prepare(); }

  static std::string fieldOf(const FleetActions &Wanted, std::string_view Event,
                             std::string_view Field) {
    for (const LogDecision &Line : only<LogDecision>(Wanted)) {
      for (const auto &[Name, Value] : Line.Fields_) {
        if (Line.What_ == Event && Name == Field)
          return Value;
      }
    }
    return "no such line";
  }

  /// Another instance holds a larger worker than ours.
  void meetHolder() {
    S_.meet(9);
    WorkerReport Theirs = Story::worker("theirs");
    Theirs.Capacity_ = {90'000, 100'000, 0};
    S_.give(MessageReceived{
        {9}, WorkersHeld{{{.Report_ = Theirs, .IsOpen_ = true}}}});
  }
};

TEST(TheLinesOfAJob, SayHowOldTheWordOfTheHolderIs) {
  meetHolder();
  S_.pass(60);
  JobSubmission Wide = S_.job();
  Wide.Needs_.MilliCores_ = 70'000;
  const FleetActions Wanted = S_.give(Wide);
  STRCMP_EQUAL("theirs", fieldOf(Wanted, "placed", "worker").c_str());
  STRCMP_EQUAL("90000", fieldOf(Wanted, "placed", "free_m").c_str());
  STRCMP_EQUAL("60", fieldOf(Wanted, "placed", "view_age_ms").c_str());
}

TEST(TheLinesOfAJob, SayWhatIsLeftOfTheLeaseAndWhenTheWorkerAnswered) {
  STRCMP_EQUAL(
      "0",
      fieldOf(S_.give(S_.job(7, 1)), "run_start", "lease_left_ms").c_str());
  S_.startAnswered(OrderResult::Accepted);
  const Milliseconds Answered = S_.Now_;
  S_.pass(40);
  const Milliseconds Renewed = S_.State_.Holds_.at("w").LeaseSentAt_;
  const FleetActions Wanted = S_.give(S_.job(8, 2));
  STRCMP_EQUAL(std::to_string((S_.Now_ - Answered).Count_).c_str(),
               fieldOf(Wanted, "run_start", "answer_age_ms").c_str());
  STRCMP_EQUAL(std::to_string(800 - (S_.Now_ - Renewed).Count_).c_str(),
               fieldOf(Wanted, "run_start", "lease_left_ms").c_str());
}

TEST(TheLinesOfAJob, SayHowOldTheOldestViewIsWhereItIsRefused) {
  meetHolder();
  S_.pass(60);
  JobSubmission Long = S_.job();
  Long.Estimate_ = {5'000}; // longer than the caller's patience
  const FleetActions Wanted = S_.give(Long);
  STRCMP_EQUAL("60", fieldOf(Wanted, "place_refused", "view_age_ms").c_str());
}
