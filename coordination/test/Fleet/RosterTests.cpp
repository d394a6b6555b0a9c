#include "TestMain.h"

#include "Fleet/InstanceFixture.h"

#include <map>

using namespace marjorambend;
using namespace marjorambend::test;

static InstanceInfo instance(const std::string &Name, const std::string &Centre,
                             uint32_t CpuShare) {
  return {.Name_ = Name,
          .DataCentre_ = Centre,
          .CpuShare_ = CpuShare,
          .Address_ = Name,
          .Port_ = 1};
}

/// Two data centres of three strong and four weak instances each.
TEST_GROUP(ARoster) {
  Roster Known_;
  RosterOptions Options_;
  std::map<std::string, Presence> Seen_;
  Milliseconds Now_{1'000};

  void setup() override {
    std::vector<InstanceInfo> All;
    for (const char *Centre : {"a", "b"}) {
      for (int Index = 0; Index < 7; ++Index)
        All.push_back(instance(Centre + std::to_string(Index), Centre,
                               Index < 3 ? 500 : 90));
    }
    setRoster(Known_, All, instance("a3", "a", 90));
  }
  void review(const std::string &Self) {
    reviewRoster(Known_, Options_, instance(Self, Self.substr(0, 1), 90), Now_,
                 [this](const InstanceInfo &Info) {
                   const auto Found = Seen_.find(Info.Name_);
                   return Found == Seen_.end() ? Presence::Absent
                                               : Found->second;
                 });
  }
  void reach(const std::vector<std::string> &Names) {
    for (const std::string &Name : Names)
      Seen_[Name] = Presence::Present;
  }
  void lose(const std::string &Name) {
    Seen_.erase(Name);
    markLost(Known_, Name);
  }
  std::string wanted() const {
    std::string Names;
    for (const auto &[Address, Port] : Known_.Wanted_)
      Names += Address + ' ';
    return Names;
  }
};

TEST(ARoster, KnowsWhetherAllCoordinatorsOfADataCentreArePresent) {
  const auto IsPresent = [this](const std::string &Self) {
    review(Self);
    return areCoordinatorsPresent(Known_, Options_, instance(Self, "a", 500),
                                  [this](const InstanceInfo &Info) {
                                    return Seen_.contains(Info.Name_);
                                  });
  };
  reach({"a1", "b0"});
  CHECK_FALSE(IsPresent("a0"));
  reach({"a2"});
  CHECK(IsPresent("a0"));
  // At the first start of a deployment few instances are listed.
  setRoster(Known_, std::vector{instance("a1", "a", 500)},
            instance("a0", "a", 500));
  CHECK_FALSE(IsPresent("a0"));
}

TEST(ARoster, HasTheStrongestOfEachDataCentreCoordinate) {
  review("a3");
  STRCMP_EQUAL("a0 a1 a2 b0 b1 b2 ", wanted().c_str());
  CHECK_FALSE(Known_.IsChosen_);
  review("a1");
  STRCMP_EQUAL("a0 a2 b0 b1 b2 ", wanted().c_str());
  CHECK(Known_.IsChosen_);
}

TEST(ARoster, HasMoreCoordinateIfTheyAreAsStrong) {
  std::vector<InstanceInfo> All;
  for (int Index = 0; Index < 9; ++Index)
    All.push_back(instance("a" + std::to_string(Index), "a", 120));
  setRoster(Known_, All, instance("a8", "a", 120));
  review("a8");
  STRCMP_EQUAL("a0 a1 a2 a3 a4 a5 ", wanted().c_str());
  CHECK_FALSE(Known_.IsChosen_);
}

TEST(ARoster, CountsUnreachedInstancesForTheGracePeriod) {
  reach({"a1", "a2"});
  review("a3");
  CHECK_FALSE(Known_.IsChosen_);
  Now_ = Now_ + Options_.ConnectGracePeriod_;
  review("a3");
  CHECK(Known_.IsChosen_);
}

TEST(ARoster, ReplacesLostInstancesAtOnce) {
  reach({"a0", "a1", "a2", "b0", "b1", "b2"});
  review("a3");
  CHECK_FALSE(Known_.IsChosen_);
  lose("a0");
  lose("b2");
  review("a3");
  CHECK(Known_.IsChosen_);
  STRCMP_EQUAL("a0 a1 a2 b0 b1 b2 b3 ", wanted().c_str());
}

TEST(ARoster, ReplacesStoppingInstances) {
  reach({"a0", "a1", "a2"});
  Seen_["a1"] = Presence::Leaving;
  review("a3");
  CHECK(Known_.IsChosen_);
}

TEST(ARoster, KeepsAReplacementForTheDemotionDelay) {
  reach({"a0", "a1", "a2"});
  lose("a0");
  review("a3");
  reach({"a0"});
  Now_ = Now_ + Options_.DemotionDelay_ - Milliseconds{1};
  review("a3");
  CHECK(Known_.IsChosen_);
  Now_ = Now_ + Milliseconds{1};
  review("a3");
  CHECK_FALSE(Known_.IsChosen_);
}

TEST(ARoster, KeepsTheStateOfRemainingInstances) {
  reach({"a0", "a1"});
  lose("a2");
  setRoster(Known_,
            std::vector<InstanceInfo>{instance("a0", "a", 500),
                                      instance("a1", "a", 500),
                                      instance("a2", "a", 500)},
            instance("a3", "a", 90));
  review("a3");
  CHECK(Known_.IsChosen_);
}

// A replaced machine has the same name at another address.
TEST(ARoster, ResetsTheStateForAnotherAddress) {
  lose("a0");
  InstanceInfo Moved = instance("a0", "a", 500);
  Moved.Address_ = "elsewhere";
  setRoster(Known_,
            std::vector<InstanceInfo>{Moved, instance("a1", "a", 500),
                                      instance("a2", "a", 500)},
            instance("a3", "a", 90));
  review("a3");
  CHECK_FALSE(Known_.IsChosen_);
}

/// A weak instance with three coordinators in its data centre.
TEST_GROUP(AnInstanceAmongOthers) {
  InstanceFixture Weak_{{.Name_ = "w", .DataCentre_ = "dc", .CpuShare_ = 90},
                        InstanceFixture::InstanceList::Unread};
  std::vector<InstanceInfo> All_;

  void setup() override {
    for (uint64_t Run : {1, 2, 3}) {
      All_.push_back(instance("s" + std::to_string(Run), "dc", 500));
      All_.back().Run_ = {Run};
    }
  }
  void meetAll() {
    Weak_.handle(InstancesRead{All_});
    for (const InstanceInfo &Info : All_) {
      Weak_.handle(InstanceUp{Info});
      hear(Info.Run_);
    }
  }
  void hear(Incarnation Run) {
    Weak_.handle(MessageReceived{
        Run, InstanceStatus{.IsReady_ = true, .IsCoordinating_ = true}});
  }
  static std::size_t countHeartbeats(uint64_t Run, const FleetActions &Wanted) {
    const auto Sent = actionsOf<SendMessage>(Wanted);
    return static_cast<std::size_t>(
        std::count_if(Sent.begin(), Sent.end(), [Run](const SendMessage &One) {
          return One.To_ == Incarnation{Run} &&
                 std::holds_alternative<InstanceStatus>(One.Message_);
        }));
  }
};

TEST(AnInstanceAmongOthers, LinksItselfToCoordinatorsAndHoldsNothing) {
  const auto Links =
      actionsOf<LinkInstances>(Weak_.handle(InstancesRead{All_}));
  LONGS_EQUAL(1, Links.size());
  LONGS_EQUAL(3, Links[0].Addresses_.size());
  meetAll();
  Weak_.handle(WorkersRead{{InstanceFixture::worker()}});
  Weak_.advance(3'000);
  CHECK(Weak_.State_.Holds_.empty());
  CHECK_FALSE(shouldReadList(Weak_.State_, Weak_.Now_));
}

TEST(AnInstanceAmongOthers, IsReadyOnceACoordinatorIs) {
  Weak_.handle(InstancesRead{All_});
  Weak_.handle(ConfigRead{.Config_ = {.Version_ = 1}});
  CHECK_FALSE(isReady(Weak_.State_));
  meetAll();
  CHECK(isReady(Weak_.State_));
}

TEST(AnInstanceAmongOthers, SendsFewHeartbeatsWhereNoWorkIsShared) {
  meetAll();
  Weak_.advance(100);
  CHECK(countHeartbeats(2, Weak_.advance(3'000)) <= 3);
}

TEST(AnInstanceAmongOthers, SendsFrequentHeartbeatsToItsPlacer) {
  meetAll();
  Weak_.handle(ConfigRead{.Config_ = {.Version_ = 1,
                                      .Routes_ = {{.Name_ = "r",
                                                   .Host_ = "h",
                                                   .Prefix_ = "/p/",
                                                   .Service_ = "service"}}}});
  Weak_.advance(20);
  Weak_.handle(Weak_.job());
  CHECK(Weak_.State_.Placer_ == Incarnation{1});
  CHECK(countHeartbeats(1, Weak_.advance(980)) >= 6);
  CHECK(workSharedSince(Weak_.State_, {1}).has_value());
  CHECK_FALSE(workSharedSince(Weak_.State_, {2}).has_value());
}

TEST(AnInstanceAmongOthers, AsksAnotherOneWhereTheStoreCannotBeRead) {
  InstanceFixture New({.Name_ = "n", .DataCentre_ = "dc", .CpuShare_ = 90},
                      InstanceFixture::InstanceList::Unread);
  const auto Sent = actionsOf<SendMessage>(New.handle(InstanceUp{All_[0]}));
  CHECK(std::any_of(Sent.begin(), Sent.end(), [](const SendMessage &One) {
    return std::holds_alternative<RosterQuery>(One.Message_);
  }));
  const auto Links = actionsOf<LinkInstances>(
      New.handle(MessageReceived{All_[0].Run_, RosterNews{All_}}));
  LONGS_EQUAL(1, Links.size());
  LONGS_EQUAL(3, Links[0].Addresses_.size());
}

TEST(AnInstanceAmongOthers, TellsWhichInstancesItKnows) {
  meetAll();
  const auto Sent = actionsOf<SendMessage>(
      Weak_.handle(MessageReceived{All_[1].Run_, RosterQuery{}}));
  LONGS_EQUAL(1, Sent.size());
  LONGS_EQUAL(4, std::get<RosterNews>(Sent[0].Message_).Instances_.size());
}

// Load pattern: a slow machine reads received messages only after its ticks.
TEST(AnInstanceAmongOthers, DetectsNoTimeoutsAfterALateTick) {
  meetAll();
  Weak_.advance(20);
  CHECK(Weak_.State_.Placer_ == Incarnation{1});
  Weak_.handle(ConfigRead{.Config_ = {.Version_ = 1}});
  Weak_.advance(2'260);
  Weak_.freeze(300);
  Weak_.handle(FleetTick{});
  CHECK(Weak_.State_.Placer_ == Incarnation{1});
  for (const InstanceInfo &Info : All_)
    hear(Info.Run_);
  Weak_.advance(40);
  CHECK(Weak_.State_.Placer_ == Incarnation{1});
}

TEST(AnInstanceAmongOthers, TellsANewCoordinatorWhatItHolds) {
  InstanceFixture Strong{{.Name_ = "s", .DataCentre_ = "dc", .CpuShare_ = 500}};
  Strong.openWorker();
  Strong.handle(InstanceUp{All_[0]});
  const auto Sent = actionsOf<SendMessage>(Strong.handle(
      MessageReceived{All_[0].Run_, InstanceStatus{.IsReady_ = true,
                                                   .IsCoordinating_ = true}}));
  CHECK(std::any_of(Sent.begin(), Sent.end(), [](const SendMessage &One) {
    const auto *Held = std::get_if<WorkersHeld>(&One.Message_);
    return Held != nullptr && Held->Workers_.size() == 1;
  }));
}
