#include "TestMain.h"

#include <marjorambend/Fleet>

using namespace marjorambend;

TEST_GROUP(AWorkerForATask) {
  PlacerState Placer_;
  PlacerJob Job_;
  PlacerOptions Options_;

  void setup() override {
    Job_.Request_.Service_ = "s";
    Job_.Request_.Needs_ = {20'000, 64, 0};
    Job_.Request_.Estimate_ = {100};
    Job_.OriginDataCentre_ = "near";
  }
  PlacerWorker &addWorker(const std::string &Id, double Slowness, int64_t Free,
                          std::string DataCentre = "near") {
    PlacerWorker &Worker = Placer_.Workers_[Id];
    Worker.Held_ = {.Report_ = {.Id_ = Id,
                                .Service_ = "s",
                                .DataCentre_ = std::move(DataCentre),
                                .Capacity_ = {64'000, 1'000, 0}},
                    .IsOpen_ = true,
                    .Slowness_ = Slowness};
    Worker.Reserved_ = {64'000 - Free, 0, 0};
    return Worker;
  }
  std::string choose(std::optional<Milliseconds> EndBefore = std::nullopt) {
    for (auto &[Id, Worker] : Placer_.Workers_)
      updateWorkerIndex(Placer_, Id, Worker);
    const auto Found = chooseWorker(
        Placer_, {.Job_ = Job_, .LatestEnd_ = EndBefore}, Options_, {0});
    return Found == Placer_.Workers_.end() ? "none" : Found->first;
  }
};

TEST(AWorkerForATask, IsTheFastest) {
  addWorker("slow", 2.0, 64'000);
  addWorker("fast", 1.0, 64'000);
  STRCMP_EQUAL("fast", choose().c_str());
}

TEST(AWorkerForATask, IsNotOneThatWouldEndItTooLate) {
  addWorker("slow", 2.0, 64'000);
  STRCMP_EQUAL("slow", choose().c_str());
  STRCMP_EQUAL("none", choose(Milliseconds{150}).c_str());
}

TEST(AWorkerForATask, IsInTheCallersDataCentreIfThatIsAsFast) {
  addWorker("far", 1.0, 21'000, "far");
  addWorker("near", 1.05, 64'000);
  STRCMP_EQUAL("near", choose().c_str());
}

TEST(AWorkerForATask, IsTheOneWithTheTightestFit) {
  addWorker("empty", 1.0, 64'000);
  addWorker("tight", 1.0, 21'000);
  addWorker("full", 1.0, 19'000);
  STRCMP_EQUAL("tight", choose().c_str());
}

TEST(AWorkerForATask, IsOpenAndOfTheServiceAndHasTheLabel) {
  addWorker("closed", 1.0, 64'000).Held_.IsOpen_ = false;
  addWorker("other", 1.0, 64'000).Held_.Report_.Service_ = "t";
  addWorker("busy", 1.0, 64'000).BackOffUntil_ = {10};
  STRCMP_EQUAL("none", choose().c_str());
  addWorker("plain", 1.0, 64'000);
  Job_.Request_.Label_ = "gpu";
  STRCMP_EQUAL("none", choose().c_str());
  addWorker("labelled", 1.0, 64'000).Held_.Report_.Labels_ = {"gpu"};
  STRCMP_EQUAL("labelled", choose().c_str());
}

TEST(AWorkerForATask, HasNoMoreTasksOfItsJobThanAllowed) {
  addWorker("a", 1.0, 64'000);
  Job_.Request_.MaxPerWorker_ = 1;
  Job_.Reservations_ = {{0, "a"}};
  STRCMP_EQUAL("none", choose().c_str());
}

TEST(AWorkerForATask, HoldsItsDataIfThatIsFaster) {
  addWorker("away", 1.0, 64'000);
  addWorker("home", 1.3, 64'000).Held_.Report_.Labels_ = {"r1"};
  Job_.Request_.DataRack_ = "r1";
  STRCMP_EQUAL("home", choose().c_str());
}

// Guards against a fixed factor: at 1.5 the remote worker is faster, at 3 the
// local one is, and the deadline applies to the remote run time.
TEST(AWorkerForATask, IsRemoteOnlyIfFasterByTheConfiguredFactor) {
  addWorker("away", 1.0, 64'000);
  addWorker("home", 2.2, 64'000).Held_.Report_.Labels_ = {"r1"};
  Job_.Request_.DataRack_ = "r1";
  Options_.RunTimeTolerance_ = 0;
  Options_.RemoteFactor_ = 1.5;
  STRCMP_EQUAL("away", choose().c_str());
  STRCMP_EQUAL("away", choose(Milliseconds{150}).c_str());
  Options_.RemoteFactor_ = 3.0;
  STRCMP_EQUAL("home", choose().c_str());
  STRCMP_EQUAL("none", choose(Milliseconds{150}).c_str());
}

// Load pattern: the workers of the rack that holds the data are full, others
// are free. Guards against a remote run that ends later than a local one after
// a short wait, and against a wait that is not forecast or takes too long.
TEST(AWorkerForATask, IsAwaitedNearItsDataIfItEndsEarlierThere) {
  addWorker("away", 1.0, 64'000);
  addWorker("home", 1.0, 0).Held_.Report_.Labels_ = {"r1"};
  Job_.Request_.DataRack_ = "r1";
  Options_.WaitsForData_ = true;
  STRCMP_EQUAL("away", choose().c_str());
  // 20 cores in 50 ms, and a remote run that takes 100 ms longer.
  observeRelease(Placer_.Releases_["r1"], 800'000, {0});
  STRCMP_EQUAL("none", choose().c_str());
  STRCMP_EQUAL("none", choose(Milliseconds{200}).c_str());
  Options_.WaitsForData_ = false;
  STRCMP_EQUAL("away", choose().c_str());
  Options_.WaitsForData_ = true;
  Placer_.Releases_["r1"].MilliCores_ = 300'000;
  STRCMP_EQUAL("away", choose().c_str());
}

TEST(AWorkerForATask, IsNotOneOfAHolderThatItsOriginCannotReach) {
  addWorker("a", 1.0, 64'000).Holder_ = {6};
  Job_.Request_.Avoid_ = {{6}};
  STRCMP_EQUAL("none", choose().c_str());
  addWorker("b", 1.0, 64'000).Holder_ = {7};
  STRCMP_EQUAL("b", choose().c_str());
}

// Load pattern: 1,100 workers of different slowness, most of them full. The
// index must lead to as good a choice as a scan of all workers.
TEST(AWorkerForATask, IsAsGoodAsIfAllWereLookedAt) {
  Random Generator(20261204);
  for (int Round = 0; Round < 50; ++Round) {
    Placer_ = {};
    for (int Index = 0; Index < 60; ++Index)
      addWorker("w" + std::to_string(Index), 0.8 + 2 * uniformUnit(Generator),
                static_cast<int64_t>(uniformBelow(Generator, 64'000)),
                Index % 5 == 0 ? "near" : "far");
    double Fastest = 1e9;
    for (const auto &[Id, Worker] : Placer_.Workers_) {
      if (64'000 - Worker.Reserved_.MilliCores_ >= 20'000)
        Fastest = std::min(Fastest, Worker.Held_.Slowness_);
    }
    const PlacerWorker &Chosen = Placer_.Workers_.at(choose());
    // A slowness bucket is 10% wide.
    CHECK(Chosen.Held_.Slowness_ <=
          Fastest * (1 + Options_.RunTimeTolerance_) * 1.1);
  }
}
