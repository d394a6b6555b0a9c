#ifndef MARJORAMBEND_TEST_TESTMAIN_H
#define MARJORAMBEND_TEST_TESTMAIN_H

// CppUTest's memory macros break the standard headers; include CppUTest last.
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <vector>

#define CPPUTEST_MEM_LEAK_DETECTION_DISABLED
#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestHarness.h>

namespace marjorambend::test {

/// \brief Seed of all random tests: MARJORAMBEND_SEED, or a default.
inline uint64_t baseSeed() {
  const char *Text = std::getenv("MARJORAMBEND_SEED");
  return Text == nullptr ? 20261204 : std::strtoull(Text, nullptr, 10);
}

/// \brief Number of cases of each property: MARJORAMBEND_ORDERS, or \p Default.
inline uint64_t caseCount(uint64_t Default) {
  const char *Text = std::getenv("MARJORAMBEND_ORDERS");
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

/// \brief Configures the seed and the number of cases of RapidCheck.
inline void configureProperties(uint64_t DefaultCases) {
  const std::string Parameters =
      "seed=" + std::to_string(baseSeed()) +
      " max_success=" + std::to_string(caseCount(DefaultCases));
  setenv("RC_PARAMS", Parameters.c_str(), 1);
  std::cout << "properties: " << Parameters << std::endl;
}

/// \brief Runs all tests of the executable.
///
/// CppUTest's leak detection is disabled, as it reports the static objects of
/// RapidCheck. The sanitizer build detects leaks instead.
inline int runTests(int Count, char **Arguments, uint64_t DefaultCases) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  configureProperties(DefaultCases);
  return CommandLineTestRunner::RunAllTests(Count, Arguments);
}

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_TESTMAIN_H
