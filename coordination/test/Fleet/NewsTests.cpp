#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

using namespace marjorambend;
using namespace marjorambend::test;

TEST_GROUP(TheReaderOfADataCentre) {
  InstanceFixture Reader_{
      {.Name_ = "a", .DataCentre_ = "dc", .CpuShare_ = 500}};
  InstanceFixture Other_{{.Name_ = "b", .DataCentre_ = "dc", .CpuShare_ = 100}};

  void setup() override {
    Reader_.openWorker();
    Other_.openWorker();
    connectPeer(Reader_, Other_);
    connectPeer(Other_, Reader_);
  }
  static void connectPeer(InstanceFixture & One, InstanceFixture & Another) {
    One.handle(InstanceUp{Another.State_.Self_});
    One.handle(MessageReceived{
        Another.State_.Self_.Run_,
        InstanceStatus{.IsReady_ = true, .IsCoordinating_ = true}});
  }
  /// Delivers the reader's messages to the other instance.
  void deliver(const FleetActions &Wanted) {
    for (const SendMessage &One : actionsOf<SendMessage>(Wanted))
      Other_.handle(MessageReceived{Reader_.State_.Self_.Run_, One.Message_});
  }
  static WorkerReport draining() {
    WorkerReport Report = InstanceFixture::worker();
    Report.IsDraining_ = true;
    return Report;
  }
};

TEST(TheReaderOfADataCentre, IsTheOneWithMostProcessorTime) {
  CHECK(isReader(Reader_.State_, Reader_.Now_));
  CHECK_FALSE(isReader(Other_.State_, Other_.Now_));
}

TEST(TheReaderOfADataCentre, TellsTheOthersWhatHasChanged) {
  deliver(
      Reader_.handle(WorkersRead{{draining(), InstanceFixture::worker("w2")}}));
  CHECK(Other_.State_.ListedWorkers_.at("w").IsDraining_);
  CHECK(Other_.State_.ListedWorkers_.contains("w2"));
  CHECK_FALSE(shouldReadList(Other_.State_, Other_.Now_));
}

TEST(TheReaderOfADataCentre, IsNotNeededOnceItIsSilent) {
  deliver(Reader_.handle(WorkersRead{{InstanceFixture::worker()}}));
  CHECK_FALSE(shouldReadList(Other_.State_, Other_.Now_));
  CHECK(shouldReadList(Other_.State_, Other_.Now_ + Milliseconds{1'100}));
}

TEST(TheReaderOfADataCentre, IsIgnoredIfTheListsDifferedBefore) {
  Other_.handle(WorkersRead{
      {InstanceFixture::worker("w"), InstanceFixture::worker("w3")}});
  deliver(Reader_.handle(WorkersRead{{draining()}}));
  CHECK_FALSE(Other_.State_.ListedWorkers_.at("w").IsDraining_);
  CHECK(shouldReadList(Other_.State_, Other_.Now_));
}

TEST(TheReaderOfADataCentre, PassesANewConfigurationOn) {
  const FleetActions Wanted = Reader_.handle(ConfigRead{
      .Config_ = {.Version_ = 9}, .Text_ = "text", .IsFromStore_ = true});
  FleetActions Taken;
  for (const SendMessage &One : actionsOf<SendMessage>(Wanted))
    Taken =
        Other_.handle(MessageReceived{Reader_.State_.Self_.Run_, One.Message_});
  const auto Decodes = actionsOf<DecodeConfigText>(Taken);
  LONGS_EQUAL(1, Decodes.size());
  STRCMP_EQUAL("text", Decodes[0].Text_.c_str());
}

// The other instance's session began after the configuration had been sent.
TEST(TheReaderOfADataCentre, IsNotTrustedWithAConfigurationThatItHasNotSent) {
  Reader_.handle(ConfigConfirmed{});
  deliver(Reader_.handle(WorkersRead{{InstanceFixture::worker()}}));
  CHECK_FALSE(shouldFollowConfig(Other_.State_, Other_.Now_));
  Reader_.handle(ConfigRead{.Config_ = {.Version_ = 9}, .IsFromStore_ = true});
  deliver(Reader_.handle(WorkersRead{{InstanceFixture::worker()}}));
  CHECK(shouldFollowConfig(Other_.State_, Other_.Now_));
}

// Guards against each instance reading a large configuration from the store
// while it decodes what the reader has sent.
TEST(TheReaderOfADataCentre, IsTrustedWhileItsConfigurationIsDecoded) {
  Reader_.handle(ConfigConfirmed{});
  deliver(Reader_.handle(WorkersRead{{InstanceFixture::worker()}}));
  deliver(Reader_.handle(ConfigRead{
      .Config_ = {.Version_ = 9}, .Text_ = "text", .IsFromStore_ = true}));
  deliver(Reader_.handle(WorkersRead{{InstanceFixture::worker()}}));
  CHECK_FALSE(shouldFollowConfig(Other_.State_, Other_.Now_));
  CHECK(shouldFollowConfig(Other_.State_, Other_.Now_ + Milliseconds{1'300}));
}

TEST(TheReaderOfADataCentre, NeverBringsAnOlderConfiguration) {
  Other_.handle(ConfigRead{.Config_ = {.Version_ = 5}});
  Other_.handle(ConfigRead{.Config_ = {.Version_ = 4}, .IsFromStore_ = true});
  LONGS_EQUAL(5, Other_.State_.Config_.Version_);
}

TEST(TheReaderOfADataCentre, ShowsTheAgeOfItsViews) {
  Reader_.handle(WorkersRead{{InstanceFixture::worker()}});
  const std::string Text =
      renderMetrics(Reader_.State_, Reader_.Now_ + Milliseconds{500});
  CHECK(Text.find("\nmarjorambend_list_age_milliseconds 500\n") !=
        std::string::npos);
}

TEST_GROUP(ThePlatformsList) {
  InstanceFixture Instance_;
  void setup() override { Instance_.openWorker(); }
};

TEST(ThePlatformsList, KeepsWorkersThatExpiredDuringAnOutage) {
  Instance_.handle(WorkersReadFailed{});
  Instance_.handle(WorkersRead{{}});
  CHECK(Instance_.State_.ListedWorkers_.contains("w"));
  Instance_.advance(2'600);
  Instance_.handle(WorkersRead{{}});
  CHECK_FALSE(Instance_.State_.ListedWorkers_.contains("w"));
}
