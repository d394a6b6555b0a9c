#ifndef MARJORAMBEND_TEST_TESTMAIN_H
#define MARJORAMBEND_TEST_TESTMAIN_H

// CppUTest's memory macros break the standard headers, so they come last.
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

/// \brief Seed of all random tests: MARJORAMBEND_SEED, or a fixed one.
inline uint64_t baseSeed() {
  const char *Text = std::getenv("MARJORAMBEND_SEED");
  return Text == nullptr ? 20261204 : std::strtoull(Text, nullptr, 10);
}

/// \brief Number of random orders: MARJORAMBEND_ORDERS, or \p Default.
inline uint64_t orderCount(uint64_t Default) {
  const char *Text = std::getenv("MARJORAMBEND_ORDERS");
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

/// \brief Makes RapidCheck use the seed and the count.
inline void configureProperties(uint64_t DefaultOrders) {
  const std::string Parameters =
      "seed=" + std::to_string(baseSeed()) +
      " max_success=" + std::to_string(orderCount(DefaultOrders));
  setenv("RC_PARAMS", Parameters.c_str(), 1);
  std::cout << "properties: " << Parameters << std::endl;
}

/// \brief Runs all tests of the program.
///
/// CppUTest's leak detection is off: it counts RapidCheck's own statics. The
/// sanitizer build looks for leaks instead.
inline int runTests(int Count, char **Arguments, uint64_t DefaultOrders) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  configureProperties(DefaultOrders);
  return CommandLineTestRunner::RunAllTests(Count, Arguments);
}

} // namespace marjorambend::test

#endif // MARJORAMBEND_TEST_TESTMAIN_H
