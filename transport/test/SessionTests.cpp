#include "TestMain.h"

#include <marjorambend/Transport>

using namespace marjorambend;

namespace {

InstanceInfo infoOf(uint64_t Run) {
  return {.Run_ = {Run}, .Name_ = "i" + std::to_string(Run)};
}

} // namespace

TEST_GROUP(ASession) {
  Session A_{.Nonce_ = 11};
  Session B_{.Nonce_ = 21};
  Histogram Times_;

  int greet(Session & State, const SessionHello &Hello) {
    return static_cast<int>(takeHello(State, Hello, {100}, Times_));
  }

  void greetBoth() {
    LONGS_EQUAL(int(HelloResult::Established),
                greet(A_, helloFor(B_, infoOf(2))));
    LONGS_EQUAL(int(HelloResult::Established),
                greet(B_, helloFor(A_, infoOf(1))));
  }
};

TEST(ASession, BeginsWithAHelloOfEachSide) {
  greetBoth();
  LONGS_EQUAL(21, A_.PeerNonce_);
  LONGS_EQUAL(11, B_.PeerNonce_);
}

TEST(ASession, GoesOnOverANewConnection) {
  greetBoth();
  A_.Unconfirmed_ = {{.Sequence_ = 1, .Message_ = PlaceWithdraw{1}},
                     {.Sequence_ = 2, .Message_ = PlaceWithdraw{2}}};
  A_.Sent_ = 2;
  CHECK(isNext(B_, 1));
  LONGS_EQUAL(int(HelloResult::Resumed), greet(A_, helloFor(B_, infoOf(2))));
  LONGS_EQUAL(1, A_.Unconfirmed_.size());
  LONGS_EQUAL(2, A_.Unconfirmed_.front().Sequence_);
}

TEST(ASession, CountsHowLongEachMessageWasUnderWay) {
  greetBoth();
  A_.Unconfirmed_ = {
      {.Sequence_ = 1, .SentAt_ = {10}, .Message_ = PlaceWithdraw{1}},
      {.Sequence_ = 2, .SentAt_ = {60}, .Message_ = PlaceWithdraw{2}}};
  confirmThrough(A_, 1, {100}, Times_);
  LONGS_EQUAL(1, Times_.Count_);
  LONGS_EQUAL(90, Times_.Sum_);
  confirmThrough(A_, 2, {100}, Times_);
  LONGS_EQUAL(90 + 40, Times_.Sum_);
}

TEST(ASession, TakesEachMessageOnceAndInOrder) {
  greetBoth();
  CHECK(isNext(B_, 1));
  CHECK_FALSE(isNext(B_, 1));
  CHECK_FALSE(isNext(B_, 3));
  CHECK(isNext(B_, 2));
}

TEST(ASession, EndsWhenTheOtherSideHasForgottenIt) {
  greetBoth();
  Session Anew{.Nonce_ = 22};
  LONGS_EQUAL(int(HelloResult::Ended), greet(A_, helloFor(Anew, infoOf(2))));
  Session Next{.Nonce_ = 12};
  LONGS_EQUAL(int(HelloResult::Ignored), greet(Anew, helloFor(A_, infoOf(1))));
  LONGS_EQUAL(int(HelloResult::Established),
              greet(Next, helloFor(Anew, infoOf(2))));
  LONGS_EQUAL(int(HelloResult::Established),
              greet(Anew, helloFor(Next, infoOf(1))));
}

namespace {

/// \brief An instance's links, and what they have told.
struct Linked {
  EventLoop &Loop_;
  SessionLinkOptions Options_;
  std::vector<Incarnation> Up_;
  std::vector<Incarnation> Down_;
  std::vector<uint64_t> Received_;
  std::optional<Milliseconds> Awaited_; ///< Words of the other side.
  std::unique_ptr<SessionLinks> Links_;

  Linked(EventLoop &Loop, uint64_t Run, uint16_t Port) : Loop_(Loop) {
    Options_.Self_ = infoOf(Run);
    Options_.Self_.Address_ = "127.0.0.1";
    Options_.Self_.Port_ = Port;
    open();
  }
  void open() {
    Links_ = std::make_unique<SessionLinks>(
        Loop_, Options_,
        SessionLinkEvents{
            .OnUp_ = [this](const InstanceInfo &I) { Up_.push_back(I.Run_); },
            .OnDown_ = [this](Incarnation Run) { Down_.push_back(Run); },
            .OnMessage_ =
                [this](Incarnation, FleetMessage Message) {
                  if (auto *M = std::get_if<PlaceWithdraw>(&Message))
                    Received_.push_back(M->Job_);
                },
            .AwaitedSince_ = [this](Incarnation) { return Awaited_; },
            .OnRejected_ = [](std::string_view) {}});
    CHECK(Links_->listen().has_value());
  }
};

/// \brief A port that is free at the moment.
uint16_t freePort() {
  EventLoop Loop;
  HttpServer Server(Loop, {}, nullptr, nullptr);
  CHECK(Server.listen().has_value());
  return Server.port();
}

} // namespace

TEST_GROUP(LinksBetweenInstances) {
  EventLoop Loop_;
  uint16_t PortA_ = freePort();
  uint16_t PortB_ = freePort();
  Linked A_{Loop_, 1, PortA_};
  Linked B_{Loop_, 2, PortB_};

  void pass(int64_t Time) {
    Timer Stop(Loop_, {Time}, Timer::Mode::Once, [this] { Loop_.stop(); });
    Loop_.run();
  }
  template <typename Condition> void until(Condition IsTrue) {
    for (int Round = 0; Round < 300 && !IsTrue(); ++Round)
      pass(10);
    CHECK(IsTrue());
  }
};

TEST(LinksBetweenInstances, CarryMessagesInOrder) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  B_.Links_->setPeerEndpoints({{"127.0.0.1", PortA_}});
  until([&] { return A_.Up_.size() == 1 && B_.Up_.size() == 1; });
  for (uint64_t Number = 1; Number <= 100; ++Number)
    A_.Links_->send({2}, PlaceWithdraw{Number});
  until([&] { return B_.Received_.size() == 100; });
  for (uint64_t Number = 1; Number <= 100; ++Number)
    LONGS_EQUAL(Number, B_.Received_[Number - 1]);
}

TEST(LinksBetweenInstances, NoticeAnEndedProcessAtOnce) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  until([&] { return A_.Up_.size() == 1; });
  B_.Links_.reset();
  until([&] { return A_.Down_.size() == 1; });
}

TEST(LinksBetweenInstances, ConfirmAMessageWithoutAnAnswerToIt) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  until([&] { return A_.Up_.size() == 1 && B_.Up_.size() == 1; });
  A_.Links_->send({2}, PlaceWithdraw{1});
  pass(220);
  LONGS_EQUAL(1, A_.Links_->confirmationTimes().Count_);
}

TEST(LinksBetweenInstances, AreKeptWhereNothingIsSaidForAWhile) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  until([&] { return A_.Up_.size() == 1 && B_.Up_.size() == 1; });
  pass(1'000);
  CHECK(A_.Down_.empty());
  CHECK(B_.Down_.empty());
}

TEST(LinksBetweenInstances, AreOpenedByOneSideOnly) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  until([&] { return B_.Up_.size() == 1; });
  B_.Links_->send({1}, PlaceWithdraw{7});
  until([&] { return A_.Received_.size() == 1; });
}

// The store is not readable: the seeds tell who else there is.
TEST(LinksBetweenInstances, TurnToSeedsWhileNoOthersAreKnown) {
  A_.Links_->setSeeds({{"127.0.0.1", PortB_}});
  pass(300);
  CHECK(A_.Up_.empty());
  until([&] { return A_.Up_.size() == 1; });
}
