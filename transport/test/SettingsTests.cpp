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
        "--routing_policy=earliest-completion", "--claim_spacing_ms=20",
        "--admission_policy=latest_start", "--worker_choice=fastest"});
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

// `marjorambend platform` has its settings from the platform's file; a flag
// that it would ignore, or an unknown policy, must not go unnoticed.
TEST(SettingsReading, AfterPlatformAreOnlyTheAllowedFlags) {
  const auto Read = [](std::vector<std::string> Given) {
    Given.insert(Given.begin(), {"marjorambend", "platform"});
    std::vector<char *> Arguments;
    for (std::string &One : Given)
      Arguments.push_back(One.data());
    return readPlatformFlags(static_cast<int>(Arguments.size()),
                             Arguments.data(),
                             {"admission_policy", "worker_choice"});
  };
  STRCMP_EQUAL(
      "least_cost",
      Read({"--admission_policy=least_cost"})->admission_policy.c_str());
  const auto Unknown = Read({"--admission_policy", "cheapest"});
  STRCMP_EQUAL("--admission_policy: \"cheapest\" is not one of "
               "latest_start,least_cost",
               Unknown.error().Problems_.front().c_str());
  // gflags keeps the unknown policy, so it has to be given again.
  const auto Default = Read({"--admission_policy=latest_start"});
  CHECK(Default.has_value());
  STRCMP_EQUAL("fastest", Default->worker_choice.c_str());
  const auto Both =
      Read({"--worker_choice=earliest_end", "--admission_policy=least_cost"});
  CHECK(Both.has_value());
  STRCMP_EQUAL("earliest_end", Both->worker_choice.c_str());
  STRCMP_EQUAL("least_cost", Both->admission_policy.c_str());
  const auto Wrong = Read({"--worker_choice=best", "--caller_port=80"});
  CHECK_FALSE(Wrong.has_value());
  CHECK(isReported(
      Wrong.error(),
      "--worker_choice: \"best\" is not one of fastest,earliest_end"));
  CHECK(
      isReported(Wrong.error(), "--caller_port=80: there is no such setting"));
  Read({"--worker_choice=fastest", "--admission_policy=latest_start"});
  CHECK_FALSE(Read({"--caller_port=8090"}));
  STRCMP_EQUAL(
      "latest_start",
      Read({"--admission_policy=latest_start"})->admission_policy.c_str());
}
