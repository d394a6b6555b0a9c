#include "TestMain.h"

#include <marjorambend/Transport>

using namespace marjorambend;

namespace {

auto read(std::vector<std::string> Words) {
  Words.insert(Words.begin(), "marjorambend");
  std::vector<char *> Arguments;
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  return readSettings(static_cast<int>(Arguments.size()), Arguments.data());
}

bool isReported(const SettingsError &Error, const std::string &Text) {
  for (const std::string &Problem : Error.Problems_) {
    if (Problem.find(Text) != std::string::npos)
      return true;
  }
  return false;
}

} // namespace

TEST_GROUP(SettingsReading){void setup() override{
    setenv("MARJORAMBEND_OPERATOR_SECRET", "operators", 1);
setenv("MARJORAMBEND_PEER_KEY", "instances", 1);
}
void teardown() override {
  for (const char *Name : {"OPERATOR_SECRET", "PEER_KEY", "CALLER_PORT"})
    unsetenv((std::string("MARJORAMBEND_") + Name).c_str());
  // gflags keeps flag values between reads in one process; restore the
  // defaults.
  read({"--caller_port=8080", "--address=127.0.0.1",
        "--routing_policy=earliest-completion", "--claim_spacing_ms=20"});
}
}
;

TEST(SettingsReading, PreferFlagsOverEnvironment) {
  setenv("MARJORAMBEND_CALLER_PORT", "7001", 1);
  CHECK_EQUAL(7001, read({})->Settings_.caller_port);
  CHECK_EQUAL(7002, read({"--caller_port=7002"})->Settings_.caller_port);
  CHECK_EQUAL(7003, read({"--caller_port", "7003"})->Settings_.caller_port);
}

TEST(SettingsReading, ReportAllProblemsTogether) {
  setenv("MARJORAMBEND_PEER_KEY", "short", 1);
  const auto Line =
      read({"--caller_port=70000", "--address=localhost", "--nonsense=1",
            "--routing_policy=best", "--claim_spacing_ms=abc"});
  CHECK_FALSE(Line.has_value());
  for (const char *Name :
       {"--caller_port: 70000 is not from 1 to 65535",
        "\"localhost\" is not an IP number", "--nonsense",
        "\"best\" is not one of", "--peer_key", "--claim_spacing_ms: \"abc\""})
    CHECK_TRUE_TEXT(isReported(Line.error(), Name), Name);
}

TEST(SettingsReading, PrintHelp) {
  CHECK(read({"--help"})->IsHelp_);
  CHECK(settingsHelp().find("--identity_window_ms") != std::string::npos);
}

// Guards against a flag of `marjorambend platform` that is ignored, or that
// takes any value.
TEST(SettingsReading, OnThePlatformHasFewFlags) {
  const auto ReadFlags = [](std::vector<std::string> Words) {
    Words.insert(Words.begin(), "platform");
    std::vector<char *> Arguments;
    for (std::string &Word : Words)
      Arguments.push_back(Word.data());
    return readPlatformFlags(static_cast<int>(Arguments.size()),
                             Arguments.data());
  };
  STRCMP_EQUAL("fastest", ReadFlags({})->worker_choice.c_str());
  STRCMP_EQUAL(
      "earliest_end",
      ReadFlags({"--worker_choice=earliest_end"})->worker_choice.c_str());
  const auto Wrong = ReadFlags({"--worker_choice=best", "--caller_port=80"});
  CHECK_FALSE(Wrong.has_value());
  CHECK(isReported(
      Wrong.error(),
      "--worker_choice: \"best\" is not one of fastest,earliest_end"));
  CHECK(isReported(Wrong.error(), "--caller_port=80: is not a flag"));
  ReadFlags({"--worker_choice=fastest"});
}
