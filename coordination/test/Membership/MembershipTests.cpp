#include "TestMain.h"

#include <marjorambend/Membership>

using namespace marjorambend;

namespace {

DrainMap randomMap(Random &Generator) {
  DrainMap Map;
  for (int Order = 0; Order < 6; ++Order)
    orderDrain(Map,
               workerTarget("w" + std::to_string(uniformBelow(Generator, 3))),
               uniformBelow(Generator, 2) == 0, {uniformBelow(Generator, 3)});
  return Map;
}

DrainMap merged(DrainMap Map, const DrainMap &Other) {
  mergeDrains(Map, Other);
  return Map;
}

} // namespace

TEST_GROUP(Drains){};

TEST(Drains, ConvergeInAnyMergeOrder) {
  CHECK(rc::check("merging commutes, associates and repeats", [] {
    Random Generator(*rc::gen::arbitrary<uint64_t>());
    const DrainMap A = randomMap(Generator);
    const DrainMap B = randomMap(Generator);
    const DrainMap C = randomMap(Generator);
    // In production, equal stamps of one writer have equal values.
    RC_PRE(merged(A, B).Entries_.size() > 0);
    const auto Stamps = [](const DrainMap &Map) {
      std::string Text;
      for (const auto &[Target, Entry] : Map.Entries_)
        Text += Target + std::to_string(Entry.Stamp_) + '/' +
                std::to_string(Entry.Writer_.Value_) + ' ';
      return Text;
    };
    RC_ASSERT(Stamps(merged(A, B)) == Stamps(merged(B, A)));
    RC_ASSERT(Stamps(merged(merged(A, B), C)) ==
              Stamps(merged(A, merged(B, C))));
    RC_ASSERT(merged(merged(A, B), B) == merged(A, B));
    RC_ASSERT(parseDrains(formatDrains(A)) == A);
  }));
}

TEST(Drains, CoverAWorkerByItsNameOrItsDataCentre) {
  DrainMap Map;
  orderDrain(Map, dataCentreTarget("a"), true, {1});
  CHECK_TRUE(isDrained(Map, "w1", "a"));
  CHECK_FALSE(isDrained(Map, "w1", "b"));
  orderDrain(Map, dataCentreTarget("a"), false, {2});
  CHECK_FALSE(isDrained(Map, "w1", "a"));
}

TEST_GROUP(SlotSharing) {
  WorkerTable Workers_;
  PeerTable Peers_;
  static constexpr Incarnation Self_{5};
  uint32_t Headroom_ = 0;

  void setup() override {
    updateWorkers(Workers_,
                  std::vector<WorkerSpec>{{.Name_ = "w0", .Slots_ = 8},
                                          {.Name_ = "w1", .Slots_ = 8}});
  }
  void addPeer(uint64_t Run, bool HasBacklog, uint16_t Uses) {
    Peers_.Peers_[{Run}] = {.Run_ = {Run},
                            .DataCentre_ = "a",
                            .HasBacklog_ = HasBacklog,
                            .Uses_ = {{hashName("w0"), Uses}}};
  }
  uint32_t limit(std::size_t Worker) {
    sharePeerUse(Peers_, Self_, "a", Headroom_, Workers_);
    return slotLimit(Workers_.Workers_[Worker]);
  }
};

TEST(SlotSharing, LeavesAllSlotsToASingleInstance) { CHECK_EQUAL(8, limit(0)); }

TEST(SlotSharing, LendsWhatAnIdleInstanceDoesNotUse) {
  addPeer(7, false, 3);
  CHECK_EQUAL(5, limit(0));
  CHECK_EQUAL(8, limit(1));
}

TEST(SlotSharing, KeepsAHeadroomForAnIdleInstance) {
  Headroom_ = 1;
  addPeer(7, false, 3);
  CHECK_EQUAL(4, limit(0));
  CHECK_EQUAL(7, limit(1));
}

TEST(SlotSharing, KeepsTheShareOfAnInstanceWithBacklog) {
  addPeer(7, true, 3);
  CHECK_EQUAL(4, limit(0));
  CHECK_EQUAL(4, limit(1));
}

TEST(SlotSharing, GivesEachSlotToOneInstanceOnly) {
  CHECK(rc::check("shares add up to the slots", [] {
    const auto Members = *rc::gen::inRange<uint64_t>(1, 7);
    const auto Slots = *rc::gen::inRange<uint32_t>(0, 20);
    const auto Name = *rc::gen::arbitrary<std::string>();
    uint32_t Sum = 0;
    for (uint64_t Self = 1; Self <= Members; ++Self) {
      WorkerTable Workers;
      updateWorkers(Workers,
                    std::vector<WorkerSpec>{{.Name_ = Name, .Slots_ = Slots}});
      PeerTable Peers;
      for (uint64_t Other = 1; Other <= Members; ++Other) {
        if (Other != Self)
          Peers.Peers_[{Other}] = {
              .Run_ = {Other}, .DataCentre_ = "a", .HasBacklog_ = true};
      }
      sharePeerUse(Peers, {Self}, "a", 1, Workers);
      Sum += slotLimit(Workers.Workers_[0]);
      RC_ASSERT(Workers.Workers_[0].Share_ == slotLimit(Workers.Workers_[0]));
    }
    RC_ASSERT(Sum == Slots);
  }));
}
