#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

#include <marjorambend/Scheduling>
#include <vector>

using namespace marjorambend;
using namespace marjorambend::test;

TEST_GROUP(AWaitingQueue) {
  WaitingQueue Queue_;

  void add(int64_t Rank, int64_t MilliCores) {
    addToQueue(Queue_, {.Rank_ = {Rank},
                        .Key_ = {Incarnation{1}, Queue_.Size_ + 1},
                        .MilliCores_ = MilliCores});
  }
};

TEST(AWaitingQueue, ReturnsTheFirstJobThatFits) {
  add(10, 20'000);
  add(20, 9'000);
  add(30, 8'990);
  LONGS_EQUAL(20, nextThatFits(Queue_, 9'000)->Rank_.Count_);
  LONGS_EQUAL(30, nextThatFits(Queue_, 8'995)->Rank_.Count_);
  LONGS_EQUAL(10, nextThatFits(Queue_, 64'000)->Rank_.Count_);
  CHECK_FALSE(nextThatFits(Queue_, 100));
}

TEST(AWaitingQueue, ReturnsEachJobOnceByRank) {
  Random Generator(20261204);
  for (int Index = 0; Index < 300; ++Index)
    add(static_cast<int64_t>(uniformBelow(Generator, 100)),
        static_cast<int64_t>(1 + uniformBelow(Generator, 32'000)));
  std::size_t Count = 0;
  auto Next = nextThatFits(Queue_, 32'000);
  while (Next) {
    ++Count;
    const auto Later = nextThatFits(Queue_, 32'000, Next);
    CHECK(!Later || *Next < *Later);
    Next = Later;
  }
  LONGS_EQUAL(300, Count);
}

TEST(AWaitingQueue, ForgetsRemovedJobs) {
  add(10, 5'000);
  removeFromQueue(Queue_, *nextThatFits(Queue_, 5'000));
  LONGS_EQUAL(0, Queue_.Size_);
  CHECK_FALSE(nextThatFits(Queue_, 64'000));
}

TEST_GROUP(AnOverloadedPlacer) {
  InstanceFixture Instance_;

  uint64_t placementsTried() const {
    return Instance_.State_.Counters_
        .Values_[static_cast<std::size_t>(Counter::PlacementsTried)];
  }
  void setup() override {
    Instance_.openWorker();
    for (uint64_t Id = 1; Id <= 400; ++Id) {
      JobSubmission Job = Instance_.job(Id, Id);
      Job.Estimate_ = {1'000};
      Job.CallerTimeout_ = {60'000};
      Instance_.handle(Job);
    }
  }
};

// Load pattern: 2.6 times the load for ten seconds. If each message led to a
// scan of all waiting jobs, the placer would be silent for seconds, and its
// work would go to another instance, which would be silent in turn.
TEST(AnOverloadedPlacer, ExaminesFewJobsForEachMessage) {
  const uint64_t Before = placementsTried();
  Instance_.listRuns({{1, 0, 1}, {2, 0, 1}});
  for (uint64_t End = 1; End <= 50; ++End)
    Instance_.listRuns({{End + 1, 0, 1}}, {{End, {End, 0, 1}, RunEnd::Done}});
  CHECK(placementsTried() - Before <= 100);
  const uint64_t AtNewJobs = placementsTried();
  for (uint64_t Id = 1'001; Id <= 1'050; ++Id)
    Instance_.handle(Instance_.job(Id, Id));
  CHECK(placementsTried() - AtNewJobs <= 50);
}

TEST(AnOverloadedPlacer, RefusesAtOnceWhatWouldEndAfterItsCallerHasLeft) {
  JobSubmission Job = Instance_.job(2'000, 2'000);
  Job.Estimate_ = {3'000};
  const auto Answers = actionsOf<AnswerJob>(Instance_.handle(Job));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers.front().Outcome_ == JobOutcome::NotRun);
}
