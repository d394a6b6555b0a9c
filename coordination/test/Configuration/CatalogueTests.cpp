#include "TestMain.h"

#include <marjorambend/Configuration>

using namespace marjorambend;

namespace {

const std::string Good =
    R"({"teams":[{"name":"t","max_tasks":9}],)"
    R"("kinds":[{"name":"k","owner":"t","urgency":2,"value":4}]})";

} // namespace

TEST_GROUP(CatalogueText){};

TEST(CatalogueText, IsParsedWithDefaults) {
  const auto All = parseCatalogue(Good);
  CHECK(All.has_value());
  const KindSpec *Kind = findKind(*All, "k");
  CHECK_EQUAL(2, Kind->Urgency_);
  CHECK_EQUAL(1000, Kind->MaxTasks_);
  CHECK_FALSE(Kind->IsIdempotent_);
  CHECK_EQUAL(9, All->Teams_.at("t").MaxTasks_);
}

TEST(CatalogueText, ReportsAllProblems) {
  const auto All = parseCatalogue(
      R"({"teams":[{"name":"t","weight":0},{"name":"t"}],)"
      R"("kinds":[{"name":"k","owner":"x","urgency":7,"speed":1},3],"more":1})");
  CHECK_FALSE(All.has_value());
  std::string Text;
  for (const std::string &Problem : All.error().Problems_)
    Text += Problem + '\n';
  for (const char *Place :
       {"teams[0].weight", "teams[1]: \"t\" stands twice", "kinds[0].urgency",
        "kinds[0].speed: no such member", "kinds[1]: an object", "more",
        "owner \"x\" is not among the teams"})
    CHECK_TRUE_TEXT(Text.find(Place) != std::string::npos, Place);
}

TEST(CatalogueText, ToleratesArbitraryInput) {
  CHECK(rc::check("any change of the text is read or refused", [] {
    std::string Text = Good;
    Text[*rc::gen::inRange<std::size_t>(0, Text.size())] =
        *rc::gen::arbitrary<char>();
    const auto All = parseCatalogue(Text);
    const bool IsExplained = All.has_value() || !All.error().Problems_.empty();
    RC_ASSERT(IsExplained);
  }));
}

TEST(CatalogueText, CanBeCompared) {
  const auto Before = parseCatalogue(Good);
  const auto After = parseCatalogue(
      R"({"teams":[{"name":"t"},{"name":"u"}],)"
      R"("kinds":[{"name":"k","owner":"t","urgency":1,"value":4}]})");
  const auto Lines = diffCatalogues(*Before, *After);
  CHECK_EQUAL(3, Lines.size());
  STRCMP_EQUAL("~ team t max_tasks: 9 -> 0", Lines[0].c_str());
  STRCMP_EQUAL("~ kind k urgency: 2 -> 1", Lines[2].c_str());
}

TEST_GROUP(CatalogueVersion) { ConfigState State_; };

TEST(CatalogueVersion, OnlyGrows) {
  CHECK(rc::check("whatever arrives, the version never falls", [] {
    ConfigState State;
    const auto Versions = *rc::gen::container<std::vector<uint8_t>>(
        rc::gen::arbitrary<uint8_t>());
    for (const uint8_t Version : Versions) {
      const uint64_t Before = State.Version_;
      adoptCatalogue(State, Version, Version % 3 == 0 ? "wrong" : Good);
      RC_ASSERT(State.Version_ >= Before);
      const bool IsSound = State.Version_ % 3 != 0 || State.Version_ == 0;
      RC_ASSERT(IsSound);
    }
  }));
}

TEST(CatalogueVersion, RecognisesOwnWriteByNonce) {
  const ConfigWrite Write{.Nonce_ = 5, .ExpectedVersion_ = 3};
  CHECK(evaluateWrite(Write, 4, packCatalogue(5, Good)) ==
        WriteState::Accepted);
  CHECK(evaluateWrite(Write, 4, packCatalogue(6, Good)) == WriteState::Lost);
  CHECK(evaluateWrite(Write, 3, packCatalogue(6, Good)) == WriteState::Repeat);
  const ConfigWrite Repeated{
      .Nonce_ = 5, .ExpectedVersion_ = 3, .IsRepeated_ = true};
  CHECK(evaluateWrite(Repeated, 5, packCatalogue(6, Good)) ==
        WriteState::Overtaken);
}
