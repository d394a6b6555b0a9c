#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

/// The caller of a job has moved to another instance, which does not know the
/// job. Guards against an answer that there is no such job while it runs on.
TEST_GROUP(ACancelAtAnotherInstance) {
  InstanceFixture Instance_;

  static constexpr Incarnation Other{70};
  static constexpr Incarnation Third{71};
  static constexpr uint64_t Token = 5;
  static constexpr uint64_t Job = 7;

  void setup() override {
    Instance_.openWorker();
    Instance_.connectPeer(Other.Value_);
    Instance_.connectPeer(Third.Value_);
  }
  FleetActions cancel() { return Instance_.handle(JobCancel{Job, Token}); }
  FleetActions receive(Incarnation From, FleetMessage Message) {
    return Instance_.handle(MessageReceived{From, std::move(Message)});
  }
  /// Results given to callers.
  static std::vector<CancelResult> resultsIn(const FleetActions &All) {
    std::vector<CancelResult> Results;
    for (const AnswerCancel &One : actionsOf<AnswerCancel>(All))
      Results.push_back(One.Result_);
    return Results;
  }
  /// Messages of one type to another instance.
  template <typename MessageType>
  static std::vector<MessageType> sentTo(Incarnation To,
                                         const FleetActions &All) {
    std::vector<MessageType> Sent;
    for (const SendMessage &One : actionsOf<SendMessage>(All)) {
      if (One.To_ == To && std::holds_alternative<MessageType>(One.Message_))
        Sent.push_back(std::get<MessageType>(One.Message_));
    }
    return Sent;
  }
  static void expectResult(CancelResult Expected, const FleetActions &All) {
    const std::vector<CancelResult> Results = resultsIn(All);
    LONGS_EQUAL(1, Results.size());
    CHECK(Results.front() == Expected);
  }
};

TEST(ACancelAtAnotherInstance, IsConfirmedByTheOrigin) {
  const FleetActions Asked = cancel();
  CHECK(resultsIn(Asked).empty());
  LONGS_EQUAL(1, sentTo<CancelRequest>(Other, Asked).size());
  LONGS_EQUAL(1, sentTo<CancelRequest>(Third, Asked).size());
  expectResult(CancelResult::Cancelled,
               receive(Third, CancelAnswered{Job, CancelResult::Cancelled}));
}

TEST(ACancelAtAnotherInstance, FindsNoJobOnlyIfNoInstanceHasIt) {
  cancel();
  CHECK(resultsIn(receive(Other, CancelAnswered{Job, CancelResult::NotFound}))
            .empty());
  expectResult(CancelResult::NotFound,
               receive(Third, CancelAnswered{Job, CancelResult::NotFound}));
}

TEST(ACancelAtAnotherInstance, IsUncertainIfAnInstanceDoesNotAnswer) {
  cancel();
  receive(Other, CancelAnswered{Job, CancelResult::NotFound});
  expectResult(CancelResult::Unknown, Instance_.advance(1'000));
}

TEST(ACancelAtAnotherInstance, IsUncertainIfAnInstanceIsLost) {
  cancel();
  receive(Other, CancelAnswered{Job, CancelResult::NotFound});
  expectResult(CancelResult::Unknown, Instance_.handle(InstanceDown{Third}));
}

TEST(ACancelAtAnotherInstance, StopsTheRunsAtTheOrigin) {
  Instance_.handle(Instance_.job(Job));
  Instance_.answerStart(OrderResult::Accepted);
  const FleetActions Actions = receive(Other, CancelRequest{Job, true});
  expectCount<StopRun>(1, Actions);
  const auto Answers = sentTo<CancelAnswered>(Other, Actions);
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers.front().Result_ == CancelResult::Cancelled);
}

// An instance that does not coordinate has no sessions with most others.
TEST(ACancelAtAnotherInstance, IsAskedForByThePlacer) {
  const FleetActions Asked = receive(Other, CancelRequest{Job, false});
  LONGS_EQUAL(1, sentTo<CancelRequest>(Third, Asked).size());
  CHECK(sentTo<CancelRequest>(Third, Asked).front().IsForwarded_);
  const auto Answers = sentTo<CancelAnswered>(
      Other, receive(Third, CancelAnswered{Job, CancelResult::NotFound}));
  LONGS_EQUAL(1, Answers.size());
  CHECK(Answers.front().Result_ == CancelResult::NotFound);
}

// A job that was resubmitted may be open at two instances.
TEST(ACancelAtAnotherInstance, AlsoReachesTheOthersIfTheJobIsOpenHere) {
  Instance_.handle(Instance_.job(Job));
  const FleetActions Actions = cancel();
  expectResult(CancelResult::Cancelled, Actions);
  LONGS_EQUAL(1, sentTo<CancelRequest>(Other, Actions).size());
}
