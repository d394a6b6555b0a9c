#include "TestMain.h"

#include <marjorambend/Support>

using namespace marjorambend;

TEST_GROUP(AnIdentity) { Random Generator_{7}; };

TEST(AnIdentity, OfACallerKeepsItsTimeAndHasNoOwner) {
  const JobId Id = makeJobId({1'796'000'000'123}, Generator_);
  CHECK_EQUAL(1'796'000'000'123, createdAt(Id).Count_);
  CHECK_FALSE(reservedBy(Id).has_value());
}

TEST(AnIdentity, ThatIsReservedNamesItsOwner) {
  CHECK(rc::check("a reserved identity names its owner", [] {
    Random Drawn(*rc::gen::arbitrary<uint64_t>());
    const Incarnation Owner = makeIncarnation(Drawn);
    const auto Sequence = *rc::gen::inRange<uint32_t>(0, 1U << 24U);
    const JobId Id = reserveJobId({1'796'000'000'123}, Owner, Sequence);
    RC_ASSERT(reservedBy(Id) == Owner);
    RC_ASSERT(createdAt(Id) == Milliseconds{1'796'000'000'123});
    RC_ASSERT(parseJobId(formatJobId(Id)) == Id);
  }));
}

TEST(AnIdentity, IsReadFromItsText) {
  const JobId Id = makeJobId({1}, Generator_);
  CHECK(parseJobId(formatJobId(Id)) == Id);
  for (const char *Wrong : {"", "0193a3c8-7c00-7000-8000-00000000000",
                            "0193a3c8-7c00-4000-8000-000000000001",
                            "0193a3c8-7c00-7000-0000-000000000001",
                            "0193a3c87c00-7000-8000-0000000000001",
                            "0193a3c8-7c00-7000-8000-00000000000g"})
    CHECK_FALSE(parseJobId(Wrong).has_value());
}

TEST_GROUP(ATrace) { Random Generator_{7}; };

TEST(ATrace, IsPropagatedToChildSpans) {
  const std::string Given =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const TraceContext Context = startSpan(Given, Generator_);
  CHECK(Context.IsSampled_);
  const std::string Next = formatTraceParent(childOf(Context, Generator_));
  CHECK_EQUAL(0, Next.compare(0, 35, Given, 0, 35));
  CHECK(Next.substr(36, 16) != Given.substr(36, 16));
}

TEST(ATrace, IsStartedWhenTheHeaderIsMalformed) {
  for (const char *Wrong : {"", "nonsense", "00-x-y-01"})
    CHECK_FALSE(startSpan(Wrong, Generator_).IsSampled_);
}

TEST_GROUP(TheCounters){};

TEST(TheCounters, AreExportedWithNameAndMeaning) {
  Counters All;
  increment(All, Counter::JobsSubmitted, 3);
  const std::string Text = renderCounters(All);
  CHECK(Text.find("marjorambend_jobs_submitted_total 3\n") !=
        std::string::npos);
  CHECK(Text.find("# TYPE marjorambend_jobs_submitted_total counter") !=
        std::string::npos);
}
