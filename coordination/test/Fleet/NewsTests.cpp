#include "TestMain.h"

#include "Fleet/Story.h"

using namespace marjorambend;
using namespace marjorambend::test;

TEST_GROUP(TheReaderOfADataCentre) {
  Story Reader_{{.Name_ = "a", .DataCentre_ = "dc", .CpuShare_ = 500}};
  Story Other_{{.Name_ = "b", .DataCentre_ = "dc", .CpuShare_ = 100}};

  void setup() override {
    Reader_.prepare();
    Other_.prepare();
    meet(Reader_, Other_);
    meet(Other_, Reader_);
  }
  static void meet(Story & One, Story & Another) {
    One.give(InstanceUp{Another.State_.Self_});
    One.give(MessageReceived{
        Another.State_.Self_.Run_,
        InstanceStatus{.IsReady_ = true, .IsCoordinating_ = true}});
  }
  /// Hands on what the reader tells.
  void carry(const FleetActions &Wanted) {
    for (const SendMessage &One : only<SendMessage>(Wanted))
      Other_.give(MessageReceived{Reader_.State_.Self_.Run_, One.Message_});
  }
  static WorkerReport draining() {
    WorkerReport Report = Story::worker();
    Report.IsDraining_ = true;
    return Report;
  }
};

TEST(TheReaderOfADataCentre, IsTheOneWithMostProcessorTime) {
  CHECK(isReader(Reader_.State_, Reader_.Now_));
  CHECK_FALSE(isReader(Other_.State_, Other_.Now_));
}

TEST(TheReaderOfADataCentre, TellsTheOthersWhatHasChanged) {
  carry(Reader_.give(WorkersRead{{draining(), Story::worker("w2")}}));
  CHECK(Other_.State_.Listed_.at("w").IsDraining_);
  CHECK(Other_.State_.Listed_.contains("w2"));
  CHECK_FALSE(shouldReadList(Other_.State_, Other_.Now_));
}

TEST(TheReaderOfADataCentre, IsNotNeededOnceItIsSilent) {
  carry(Reader_.give(WorkersRead{{Story::worker()}}));
  CHECK_FALSE(shouldReadList(Other_.State_, Other_.Now_));
  CHECK(shouldReadList(Other_.State_, Other_.Now_ + Milliseconds{1'100}));
}

TEST(TheReaderOfADataCentre, IsNotBelievedWithoutTheSameListToBeginWith) {
  Other_.give(WorkersRead{{Story::worker("w"), Story::worker("w3")}});
  carry(Reader_.give(WorkersRead{{draining()}}));
  CHECK_FALSE(Other_.State_.Listed_.at("w").IsDraining_);
  CHECK(shouldReadList(Other_.State_, Other_.Now_));
}

TEST(TheReaderOfADataCentre, PassesANewConfigurationOn) {
  const FleetActions Wanted = Reader_.give(ConfigRead{
      .Config_ = {.Version_ = 9}, .Text_ = "text", .IsFromStore_ = true});
  FleetActions Taken;
  for (const SendMessage &One : only<SendMessage>(Wanted))
    Taken =
        Other_.give(MessageReceived{Reader_.State_.Self_.Run_, One.Message_});
  const auto Decodes = only<DecodeConfigText>(Taken);
  LONGS_EQUAL(1, Decodes.size());
  STRCMP_EQUAL("text", Decodes[0].Text_.c_str());
}

// The other's session began after the configuration had been told.
TEST(TheReaderOfADataCentre, IsNotTrustedWithAConfigurationThatItHasNotTold) {
  Reader_.give(ConfigConfirmed{});
  carry(Reader_.give(WorkersRead{{Story::worker()}}));
  CHECK_FALSE(shouldFollowConfig(Other_.State_, Other_.Now_));
  Reader_.give(ConfigRead{.Config_ = {.Version_ = 9}, .IsFromStore_ = true});
  carry(Reader_.give(WorkersRead{{Story::worker()}}));
  CHECK(shouldFollowConfig(Other_.State_, Other_.Now_));
}

TEST(TheReaderOfADataCentre, NeverBringsAnOlderConfiguration) {
  Other_.give(ConfigRead{.Config_ = {.Version_ = 5}});
  Other_.give(ConfigRead{.Config_ = {.Version_ = 4}, .IsFromStore_ = true});
  LONGS_EQUAL(5, Other_.State_.Config_.Version_);
}

TEST(TheReaderOfADataCentre, ShowsTheAgeOfItsViews) {
  Reader_.give(WorkersRead{{Story::worker()}});
  const std::string Text =
      renderMetrics(Reader_.State_, Reader_.Now_ + Milliseconds{500});
  CHECK(Text.find("\nmarjorambend_list_age_milliseconds 500\n") !=
        std::string::npos);
}

TEST_GROUP(ThePlatformsList) {
  Story S_;
  void setup() override { S_.prepare(); }
};

TEST(ThePlatformsList, KeepsWorkersThatLapsedWhileItWasAway) {
  S_.give(WorkersReadFailed{});
  S_.give(WorkersRead{{}});
  CHECK(S_.State_.Listed_.contains("w"));
  S_.pass(2'600);
  S_.give(WorkersRead{{}});
  CHECK_FALSE(S_.State_.Listed_.contains("w"));
}
