#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

/// The log lines show the data behind a decision on a job, and its age.
TEST_GROUP(TheLinesOfAJob) {
  InstanceFixture Instance_;
  void setup() override { Instance_.openWorker(); }

  static std::string fieldOf(const FleetActions &Wanted, std::string_view Event,
                             std::string_view Field) {
    for (const LogDecision &Line : actionsOf<LogDecision>(Wanted)) {
      for (const auto &[Name, Value] : Line.Fields_) {
        if (Line.What_ == Event && Name == Field)
          return Value;
      }
    }
    return "no such line";
  }

  /// Adds another instance that holds a larger worker.
  void meetHolder() {
    Instance_.connectPeer(9);
    WorkerReport Theirs = InstanceFixture::worker("theirs");
    Theirs.Capacity_ = {90'000, 100'000, 0};
    Instance_.handle(MessageReceived{
        {9}, WorkersHeld{{{.Report_ = Theirs, .IsOpen_ = true}}}});
  }
};

TEST(TheLinesOfAJob, SayHowOldTheWordOfTheHolderIs) {
  meetHolder();
  Instance_.advance(60);
  JobSubmission Wide = Instance_.job();
  Wide.Needs_.MilliCores_ = 70'000;
  const FleetActions Wanted = Instance_.handle(Wide);
  STRCMP_EQUAL("theirs", fieldOf(Wanted, "placed", "worker").c_str());
  STRCMP_EQUAL("90000", fieldOf(Wanted, "placed", "free_m").c_str());
  STRCMP_EQUAL("60", fieldOf(Wanted, "placed", "view_age_ms").c_str());
}

TEST(TheLinesOfAJob, SayWhatIsLeftOfTheLeaseAndWhenTheWorkerAnswered) {
  STRCMP_EQUAL("0", fieldOf(Instance_.handle(Instance_.job(7, 1)), "run_start",
                            "lease_left_ms")
                        .c_str());
  Instance_.answerStart(OrderResult::Accepted);
  const Milliseconds Answered = Instance_.Now_;
  Instance_.advance(40);
  const Milliseconds Renewed = Instance_.State_.Holds_.at("w").LeaseSentAt_;
  const FleetActions Wanted = Instance_.handle(Instance_.job(8, 2));
  STRCMP_EQUAL(std::to_string((Instance_.Now_ - Answered).Count_).c_str(),
               fieldOf(Wanted, "run_start", "answer_age_ms").c_str());
  STRCMP_EQUAL(std::to_string(800 - (Instance_.Now_ - Renewed).Count_).c_str(),
               fieldOf(Wanted, "run_start", "lease_left_ms").c_str());
}

TEST(TheLinesOfAJob, SayHowLongAStopHasNotBeenConfirmed) {
  Instance_.handle(Instance_.job(7, 1));
  Instance_.answerStart(OrderResult::Accepted);
  Instance_.handle(JobAbandoned{1});
  Instance_.advance(80);
  const FleetActions Lost = Instance_.handle(
      StopAnswered{"w", {7, 0, 1}, OrderResult::Unknown, std::nullopt});
  STRCMP_EQUAL("80", fieldOf(Lost, "stop_unconfirmed", "after_ms").c_str());
  STRCMP_EQUAL("no_answer",
               fieldOf(Lost, "stop_unconfirmed", "result").c_str());
}

TEST(TheLinesOfAJob, SayHowOldTheOldestViewIsWhereItIsRefused) {
  meetHolder();
  Instance_.advance(60);
  JobSubmission Long = Instance_.job();
  Long.Estimate_ = {5'000}; // longer than the caller's timeout
  const FleetActions Wanted = Instance_.handle(Long);
  STRCMP_EQUAL("60", fieldOf(Wanted, "place_refused", "view_age_ms").c_str());
}
