#include "TestMain.h"

#include <marjorambend/Fleet>

using namespace marjorambend;

TEST_GROUP(AWorkerForATask) {
  PlacerState Placing_;
  PlacerJob Job_;
  PlacerOptions Options_;

  void setup() override {
    Job_.Request_.Service_ = "s";
    Job_.Request_.Needs_ = {20'000, 64, 0};
    Job_.Request_.Estimate_ = {100};
    Job_.OriginDataCentre_ = "near";
  }
  PlacerWorker &add(const std::string &Id, double Slowness, int64_t Free,
                    std::string DataCentre = "near") {
    PlacerWorker &Worker = Placing_.Workers_[Id];
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
    for (auto &[Id, Worker] : Placing_.Workers_)
      updateWorkerIndex(Placing_, Id, Worker);
    const auto Found = chooseWorker(
        Placing_, {.Job_ = Job_, .LatestEnd_ = EndBefore}, Options_, {0});
    return Found == Placing_.Workers_.end() ? "none" : Found->first;
  }
};

TEST(AWorkerForATask, IsTheFastest) {
  add("slow", 2.0, 64'000);
  add("fast", 1.0, 64'000);
  STRCMP_EQUAL("fast", choose().c_str());
}

TEST(AWorkerForATask, IsNotOneThatWouldEndItTooLate) {
  add("slow", 2.0, 64'000);
  STRCMP_EQUAL("slow", choose().c_str());
  STRCMP_EQUAL("none", choose(Milliseconds{150}).c_str());
}

TEST(AWorkerForATask, IsInTheCallersDataCentreIfThatIsAsFast) {
  add("far", 1.0, 21'000, "far");
  add("near", 1.05, 64'000);
  STRCMP_EQUAL("near", choose().c_str());
}

TEST(AWorkerForATask, IsTheOneWithTheTightestFit) {
  add("empty", 1.0, 64'000);
  add("tight", 1.0, 21'000);
  add("full", 1.0, 19'000);
  STRCMP_EQUAL("tight", choose().c_str());
}

TEST(AWorkerForATask, IsOpenAndOfTheServiceAndHasTheLabel) {
  add("closed", 1.0, 64'000).Held_.IsOpen_ = false;
  add("other", 1.0, 64'000).Held_.Report_.Service_ = "t";
  add("busy", 1.0, 64'000).BackOffUntil_ = {10};
  STRCMP_EQUAL("none", choose().c_str());
  add("plain", 1.0, 64'000);
  Job_.Request_.Label_ = "gpu";
  STRCMP_EQUAL("none", choose().c_str());
  add("labelled", 1.0, 64'000).Held_.Report_.Labels_ = {"gpu"};
  STRCMP_EQUAL("labelled", choose().c_str());
}

TEST(AWorkerForATask, HasNoMoreTasksOfItsJobThanAllowed) {
  add("a", 1.0, 64'000);
  Job_.Request_.MaxPerWorker_ = 1;
  Job_.Reservations_ = {{0, "a"}};
  STRCMP_EQUAL("none", choose().c_str());
}

TEST(AWorkerForATask, HoldsItsDataIfThatIsFaster) {
  add("away", 1.0, 64'000);
  add("home", 1.3, 64'000).Held_.Report_.Labels_ = {"r1"};
  Job_.Request_.DataRack_ = "r1";
  STRCMP_EQUAL("home", choose().c_str());
}

TEST(AWorkerForATask, IsNotOneOfAHolderThatItsOriginCannotReach) {
  add("a", 1.0, 64'000).Holder_ = {6};
  Job_.Request_.Avoid_ = {{6}};
  STRCMP_EQUAL("none", choose().c_str());
  add("b", 1.0, 64'000).Holder_ = {7};
  STRCMP_EQUAL("b", choose().c_str());
}

// Load pattern: 1,100 workers, most of them full, of paces that differ.
TEST(AWorkerForATask, IsAsGoodAsIfAllWereLookedAt) {
  Random Generator(20261204);
  for (int Round = 0; Round < 50; ++Round) {
    Placing_ = {};
    for (int Index = 0; Index < 60; ++Index)
      add("w" + std::to_string(Index), 0.8 + 2 * uniformUnit(Generator),
          static_cast<int64_t>(uniformBelow(Generator, 64'000)),
          Index % 5 == 0 ? "near" : "far");
    double Fastest = 1e9;
    for (const auto &[Id, Worker] : Placing_.Workers_) {
      if (64'000 - Worker.Reserved_.MilliCores_ >= 20'000)
        Fastest = std::min(Fastest, Worker.Held_.Slowness_);
    }
    const PlacerWorker &Chosen = Placing_.Workers_.at(choose());
    // A class of pace is 10% wide.
    CHECK(Chosen.Held_.Slowness_ <=
          Fastest * (1 + Options_.RunTimeTolerance_) * 1.1);
  }
}
