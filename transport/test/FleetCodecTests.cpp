#include "TestMain.h"

#include <cstring>
#include <marjorambend/Transport>

using namespace marjorambend;

namespace {

/// \brief Decodes a frame that starts with its length, like a connection does.
std::optional<SessionFrame> decodeBytes(const std::string &Bytes) {
  constexpr std::size_t LengthBytes = sizeof(uint32_t);
  std::vector<uint64_t> Aligned(Bytes.size() / sizeof(uint64_t) + 1);
  const std::size_t Size = Bytes.size() - LengthBytes;
  std::memcpy(Aligned.data(), Bytes.data() + LengthBytes, Size);
  return decodeFrame({reinterpret_cast<const uint8_t *>(Aligned.data()), Size});
}

std::string encode(const FleetMessage &Message) {
  return encodeFrame({.Sequence_ = 3, .Received_ = 2, .Body_ = Message});
}

template <typename Message> Message roundTrip(const Message &Sent) {
  const auto Decoded = decodeBytes(encode(Sent));
  CHECK(Decoded.has_value());
  LONGS_EQUAL(3, Decoded->Sequence_);
  LONGS_EQUAL(2, Decoded->Received_);
  return std::get<Message>(std::get<FleetMessage>(Decoded->Body_));
}

CrashNews sampleNews() {
  return {.Crashes_ = {{.Worker_ = {"w-1", 4711},
                        .Tasks_ = {{0xfedcba9876543210, 7}, {2, 0}},
                        .PossibleTasks_ = {{3, 1}},
                        .IsConfirmed_ = true,
                        .Rack_ = "r-1",
                        .RackSize_ = 12,
                        .Age_ = {950}},
                       {.Worker_ = {"w-2", -1}}},
          .Withdrawn_ = {{"w-3", 12}, {"w-4", 0}}};
}

PlaceRequest sampleRequest() {
  return {.Job_ = 5,
          .Id_ = 6,
          .Route_ = "route",
          .Service_ = "service",
          .Tasks_ = {0, 3},
          .Needs_ = {500, 64, 1},
          .Avoid_ = {{9}},
          .IsStarted_ = true,
          .IsSuspect_ = true};
}

PlaceAdopt sampleAdoption() {
  return {.Job_ = 5,
          .Task_ = 3,
          .Worker_ = "w-1",
          .Needs_ = {500, 64, 1},
          .IsSuspect_ = true};
}

} // namespace

TEST_GROUP(FleetMessageCoding){};

TEST(FleetMessageCoding, CrashNewsRoundTrips) {
  const CrashNews Sent = sampleNews();
  const CrashNews Got = roundTrip(Sent);
  CHECK(Got.Withdrawn_ == Sent.Withdrawn_);
  LONGS_EQUAL(Sent.Crashes_.size(), Got.Crashes_.size());
  for (std::size_t Index = 0; Index < Sent.Crashes_.size(); ++Index) {
    const WorkerCrash &Expected = Sent.Crashes_[Index];
    const WorkerCrash &Crash = Got.Crashes_[Index];
    CHECK(Crash.Worker_ == Expected.Worker_);
    CHECK(Crash.Tasks_ == Expected.Tasks_);
    CHECK(Crash.PossibleTasks_ == Expected.PossibleTasks_);
    CHECK_EQUAL(Expected.IsConfirmed_, Crash.IsConfirmed_);
    STRCMP_EQUAL(Expected.Rack_.c_str(), Crash.Rack_.c_str());
    LONGS_EQUAL(Expected.RackSize_, Crash.RackSize_);
    LONGS_EQUAL(Expected.Age_.Count_, Crash.Age_.Count_);
  }
}

TEST(FleetMessageCoding, EmptyCrashNewsRoundTrips) {
  const CrashNews Got = roundTrip(CrashNews{});
  CHECK(Got.Crashes_.empty());
  CHECK(Got.Withdrawn_.empty());
}

TEST(FleetMessageCoding, CrashIsNotInTheFuture) {
  const CrashNews Got =
      roundTrip(CrashNews{.Crashes_ = {{.Worker_ = {"w", 1}, .Age_ = {-5}}}});
  LONGS_EQUAL(0, Got.Crashes_[0].Age_.Count_);
}

TEST(FleetMessageCoding, PlacementOfSuspectRoundTrips) {
  const PlaceRequest Request = roundTrip(sampleRequest());
  CHECK(Request.IsSuspect_);
  CHECK(Request.IsStarted_);
  CHECK((Request.Tasks_ == std::vector<uint32_t>{0, 3}));
  CHECK(Request.Avoid_ == sampleRequest().Avoid_);
  STRCMP_EQUAL(
      "w1",
      roundTrip(PlaceRelease{1, 2, RunEnd::NotStarted, "w1"}).Worker_.c_str());
  CHECK(roundTrip(CancelRequest{7, true}).IsForwarded_);
  CHECK(roundTrip(CancelAnswered{7, CancelResult::NotFound}).Result_ ==
        CancelResult::NotFound);
  LONGS_EQUAL(150, roundTrip(PlaceRelease{.RanPercent_ = 150}).RanPercent_);
  const PlaceAdopt Adoption = roundTrip(sampleAdoption());
  CHECK(Adoption.IsSuspect_);
  LONGS_EQUAL(3, Adoption.Task_);
  STRCMP_EQUAL("w-1", Adoption.Worker_.c_str());
  LONGS_EQUAL(64, Adoption.Needs_.MemoryMb_);
  CHECK_FALSE(roundTrip(PlaceRequest{}).IsSuspect_);
  CHECK_FALSE(roundTrip(PlaceAdopt{}).IsSuspect_);
}

TEST(FleetMessageCoding, EvacuationsRoundTrip) {
  const ConfigFreshness Got =
      roundTrip(ConfigFreshness{{12}, 3, 9'000'000'000, {"north", "south"}});
  LONGS_EQUAL(12, Got.Age_.Count_);
  CHECK_EQUAL(9'000'000'000, Got.EvacuationsVersion_);
  CHECK((Got.Evacuated_ == DataCentreNames{"north", "south"}));
}

TEST(FleetMessageCoding, RejectsTruncatedFrame) {
  const std::string Whole = encode(sampleNews());
  for (std::size_t Size = sizeof(uint32_t); Size < Whole.size(); ++Size)
    (void)decodeBytes(Whole.substr(0, Size));
  CHECK_FALSE(decodeBytes(Whole.substr(0, Whole.size() / 2)).has_value());
}

TEST(FleetMessageCoding, DoesNotCrashOnChangedBytes) {
  for (const FleetMessage &Message :
       {FleetMessage(sampleNews()), FleetMessage(sampleRequest()),
        FleetMessage(sampleAdoption())}) {
    CHECK(rc::check("changed bytes are rejected or read as some frame", [&] {
      std::string Bytes = encode(Message);
      const auto Changes = *rc::gen::inRange<int>(1, 6);
      for (int Change = 0; Change < Changes; ++Change)
        Bytes[*rc::gen::inRange<std::size_t>(sizeof(uint32_t), Bytes.size())] =
            static_cast<char>(*rc::gen::arbitrary<uint8_t>());
      const auto Decoded = decodeBytes(Bytes);
      RC_SUCCEED_IF(!Decoded);
    }));
  }
}
