#include "TestMain.h"

#include <marjorambend/Jobs>

using namespace marjorambend;
using namespace marjorambend::literals;

TEST_GROUP(TheQueue) {
  FairQueue Queue_;

  void push(const char *Team, uint64_t Job, Milliseconds Key, uint8_t Class = 0,
            double Weight = 1) {
    pushJob(Queue_, Team, Weight,
            {.Id_ = {0, Job}, .Class_ = Class, .OrderKey_ = Key});
  }
  uint64_t front() const { return frontJob(Queue_)->Low_; }
};

TEST(TheQueue, ServesTheMostUrgentClassFirst) {
  push("a", 1, 0_ms, 2);
  push("a", 2, 100_ms, 0);
  CHECK_EQUAL(2, front());
}

TEST(TheQueue, ServesTheJobsOfATeamByTheirKeys) {
  push("a", 1, 200_ms);
  push("a", 2, 100_ms);
  CHECK_EQUAL(2, front());
  removeJob(Queue_, "a", {.Id_ = {0, 2}, .OrderKey_ = 100_ms});
  CHECK_EQUAL(1, front());
}

TEST(TheQueue, SharesWorkBetweenTeamsByWeight) {
  push("light", 1, 0_ms, 0, 1);
  push("heavy", 2, 0_ms, 0, 3);
  std::map<uint64_t, int> Served;
  for (int Turn = 0; Turn < 400; ++Turn) {
    const uint64_t Job = front();
    ++Served[Job];
    chargeTeam(Queue_, Job == 1 ? "light" : "heavy", 0, 100_ms);
  }
  CHECK(Served[1] >= 99 && Served[1] <= 101);
}

TEST(TheQueue, GivesAnIdleTeamNoCredit) {
  push("busy", 1, 0_ms);
  for (int Turn = 0; Turn < 100; ++Turn)
    chargeTeam(Queue_, "busy", 0, 100_ms);
  push("new", 2, 0_ms);
  std::map<uint64_t, int> Served;
  for (int Turn = 0; Turn < 20; ++Turn) {
    const uint64_t Job = front();
    ++Served[Job];
    chargeTeam(Queue_, Job == 1 ? "busy" : "new", 0, 100_ms);
  }
  CHECK(Served[1] >= 9);
}

TEST(TheQueue, IsEmptyAfterEverythingWasRemoved) {
  CHECK(rc::check("what is pushed can be removed, in any order", [] {
    FairQueue Queue;
    Random Generator(*rc::gen::arbitrary<uint64_t>());
    std::vector<std::pair<std::string, QueuedJob>> Jobs;
    for (uint64_t Job = 0; Job < 30; ++Job) {
      const std::string Team(
          1, static_cast<char>('a' + uniformBelow(Generator, 4)));
      const QueuedJob Queued{
          .Id_ = {0, Job},
          .Class_ = static_cast<uint8_t>(uniformBelow(Generator, 3)),
          .OrderKey_ = {static_cast<int64_t>(uniformBelow(Generator, 9))}};
      pushJob(Queue, Team, 1, Queued);
      pushJob(Queue, Team, 1, Queued);
      chargeTeam(Queue, Team, Queued.Class_, {50});
      Jobs.emplace_back(Team, Queued);
    }
    RC_ASSERT(Queue.Jobs_ == Jobs.size());
    while (!Jobs.empty()) {
      const std::size_t Place = uniformBelow(Generator, Jobs.size());
      removeJob(Queue, Jobs[Place].first, Jobs[Place].second);
      Jobs.erase(Jobs.begin() + static_cast<std::ptrdiff_t>(Place));
    }
    RC_ASSERT(Queue.Jobs_ == 0);
    RC_ASSERT(!frontJob(Queue).has_value());
  }));
}
