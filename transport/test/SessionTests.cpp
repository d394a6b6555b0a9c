#include "TestMain.h"

#include "SlowRelay.h"

#include <marjorambend/Transport>

using namespace marjorambend;

namespace {

InstanceInfo infoOf(uint64_t Run) {
  return {.Run_ = {Run}, .Name_ = "i" + std::to_string(Run)};
}

} // namespace

TEST_GROUP(SessionProtocol) {
  Session A_{.Nonce_ = 11};
  Session B_{.Nonce_ = 21};
  Histogram Times_;

  int process(Session & State, const SessionHello &Hello) {
    return static_cast<int>(processHello(State, Hello, {100}, Times_));
  }

  void establishBoth() {
    LONGS_EQUAL(int(HelloResult::Established),
                process(A_, makeHello(B_, infoOf(2))));
    LONGS_EQUAL(int(HelloResult::Established),
                process(B_, makeHello(A_, infoOf(1))));
  }
};

TEST(SessionProtocol, IsEstablishedByHellos) {
  establishBoth();
  LONGS_EQUAL(21, A_.PeerNonce_);
  LONGS_EQUAL(11, B_.PeerNonce_);
}

TEST(SessionProtocol, ResumesOnNewConnection) {
  establishBoth();
  A_.Unconfirmed_ = {{.Sequence_ = 1, .Message_ = PlaceWithdraw{1}},
                     {.Sequence_ = 2, .Message_ = PlaceWithdraw{2}}};
  A_.Sent_ = 2;
  CHECK(acceptIfNext(B_, 1));
  LONGS_EQUAL(int(HelloResult::Resumed), process(A_, makeHello(B_, infoOf(2))));
  LONGS_EQUAL(1, A_.Unconfirmed_.size());
  LONGS_EQUAL(2, A_.Unconfirmed_.front().Sequence_);
}

TEST(SessionProtocol, RecordsConfirmationTimes) {
  establishBoth();
  A_.Unconfirmed_ = {
      {.Sequence_ = 1, .SentAt_ = {10}, .Message_ = PlaceWithdraw{1}},
      {.Sequence_ = 2, .SentAt_ = {60}, .Message_ = PlaceWithdraw{2}}};
  confirmThrough(A_, 1, {100}, Times_);
  LONGS_EQUAL(1, Times_.Count_);
  LONGS_EQUAL(90, Times_.Sum_);
  confirmThrough(A_, 2, {100}, Times_);
  LONGS_EQUAL(90 + 40, Times_.Sum_);
}

TEST(SessionProtocol, AcceptsEachMessageOnceInOrder) {
  establishBoth();
  CHECK(acceptIfNext(B_, 1));
  CHECK_FALSE(acceptIfNext(B_, 1));
  CHECK_FALSE(acceptIfNext(B_, 3));
  CHECK(acceptIfNext(B_, 2));
}

TEST(SessionProtocol, EndsWhenPeerHasLostIt) {
  establishBoth();
  Session RestartedPeer{.Nonce_ = 22};
  LONGS_EQUAL(int(HelloResult::Ended),
              process(A_, makeHello(RestartedPeer, infoOf(2))));
  Session NewSession{.Nonce_ = 12};
  LONGS_EQUAL(int(HelloResult::Ignored),
              process(RestartedPeer, makeHello(A_, infoOf(1))));
  LONGS_EQUAL(int(HelloResult::Established),
              process(NewSession, makeHello(RestartedPeer, infoOf(2))));
  LONGS_EQUAL(int(HelloResult::Established),
              process(RestartedPeer, makeHello(NewSession, infoOf(1))));
}

namespace {

/// \brief The links of one instance and the events they reported.
struct TestInstance {
  EventLoop &Loop_;
  SessionLinkOptions Options_;
  std::vector<Incarnation> Up_;
  std::vector<Incarnation> Down_;
  std::vector<uint64_t> Received_;
  std::optional<Milliseconds>
      ExpectedSince_; ///< A message of the peer is expected.
  std::unique_ptr<SessionLinks> Links_;

  TestInstance(EventLoop &Loop, uint64_t Run, uint16_t Port) : Loop_(Loop) {
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
            .AwaitedSince_ = [this](Incarnation) { return ExpectedSince_; },
            .OnRejected_ = [](std::string_view) {}});
    CHECK(Links_->listen().has_value());
  }
};

/// \brief Returns a currently unused port.
uint16_t freePort() {
  EventLoop Loop;
  HttpServer Server(Loop, {}, nullptr, nullptr);
  CHECK(Server.listen().has_value());
  return Server.port();
}

} // namespace

TEST_GROUP(InstanceLinks) {
  EventLoop Loop_;
  uint16_t PortA_ = freePort();
  uint16_t PortB_ = freePort();
  TestInstance A_{Loop_, 1, PortA_};
  TestInstance B_{Loop_, 2, PortB_};

  void runFor(int64_t Time) {
    Timer Stop(Loop_, {Time}, Timer::Mode::Once, [this] { Loop_.stop(); });
    Loop_.run();
  }
  template <typename Condition> void runUntil(Condition IsTrue) {
    for (int Round = 0; Round < 300 && !IsTrue(); ++Round)
      runFor(10);
    CHECK(IsTrue());
  }
};

TEST(InstanceLinks, DeliverMessagesInOrder) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  B_.Links_->setPeerEndpoints({{"127.0.0.1", PortA_}});
  runUntil([&] { return A_.Up_.size() == 1 && B_.Up_.size() == 1; });
  for (uint64_t Number = 1; Number <= 100; ++Number)
    A_.Links_->send({2}, PlaceWithdraw{Number});
  runUntil([&] { return B_.Received_.size() == 100; });
  for (uint64_t Number = 1; Number <= 100; ++Number)
    LONGS_EQUAL(Number, B_.Received_[Number - 1]);
}

TEST(InstanceLinks, DetectEndedProcess) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  runUntil([&] { return A_.Up_.size() == 1; });
  B_.Links_.reset();
  runUntil([&] { return A_.Down_.size() == 1; });
}

TEST(InstanceLinks, ConfirmMessageWithoutReply) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  runUntil([&] { return A_.Up_.size() == 1 && B_.Up_.size() == 1; });
  A_.Links_->send({2}, PlaceWithdraw{1});
  runFor(220);
  LONGS_EQUAL(1, A_.Links_->confirmationTimes().Count_);
}

TEST(InstanceLinks, StayUpWhenIdle) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  runUntil([&] { return A_.Up_.size() == 1 && B_.Up_.size() == 1; });
  runFor(1'000);
  CHECK(A_.Down_.empty());
  CHECK(B_.Down_.empty());
}

TEST(InstanceLinks, WorkWhenOneSideDials) {
  A_.Links_->setPeerEndpoints({{"127.0.0.1", PortB_}});
  runUntil([&] { return B_.Up_.size() == 1; });
  B_.Links_->send({1}, PlaceWithdraw{7});
  runUntil([&] { return A_.Received_.size() == 1; });
}

// While the store cannot be read, peers are found through the seeds.
TEST(InstanceLinks, DialSeedsWhileNoPeersAreKnown) {
  A_.Links_->setSeeds({{"127.0.0.1", PortB_}});
  runFor(300);
  CHECK(A_.Up_.empty());
  runUntil([&] { return A_.Up_.size() == 1; });
}

// Guards against an instance that is taken for lost while it sends a large
// configuration to one on a slow link.
TEST(InstanceLinks, StayUpWhileALargeMessageArrives) {
  test::SlowRelay Link(Loop_, PortB_, 1'000'000);
  A_.Links_->setPeerEndpoints({{"127.0.0.1", Link.port()}});
  runUntil([&] { return A_.Up_.size() == 1 && B_.Up_.size() == 1; });
  A_.ExpectedSince_ = B_.ExpectedSince_ = monotonicNow();
  uint64_t Sent = 0;
  const Timer Heartbeats(Loop_, Milliseconds{100}, Timer::Mode::Repeat, [&] {
    A_.Links_->send({2}, PlaceWithdraw{++Sent});
    B_.Links_->send({1}, PlaceWithdraw{Sent});
  });
  A_.Links_->send({2}, ConfigNews{1, std::string(1'500'000, 'x')});
  runUntil([&] { return !B_.Received_.empty(); });
  CHECK(A_.Down_.empty());
  CHECK(B_.Down_.empty());
}
