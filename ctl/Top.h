#ifndef MARJORAMBEND_CTL_TOP_H
#define MARJORAMBEND_CTL_TOP_H

#include "OperatorClient.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambend {

/// \brief The metrics of one instance: values by name, including the labels as
/// exported.
using Scrape = std::map<std::string, double, std::less<>>;

/// \brief Parses the Prometheus text format; lines that are not samples are
/// skipped.
Scrape readScrape(std::string_view Text);

/// \brief One instance between two scrapes.
struct TopRow {
  std::string Address_;
  bool IsReached_ = false;
  bool IsReady_ = false;
  bool IsPlacer_ = false;
  uint64_t OpenJobs_ = 0;
  uint64_t WaitingJobs_ = 0;
  uint64_t HeldWorkers_ = 0;
  uint64_t Version_ = 0;   ///< Of the configuration.
  int64_t ListAgeMs_ = 0;  ///< Since the list of workers was confirmed.
  uint64_t Evacuated_ = 0; ///< Data centres in which no task may start.
  double Completed_ = 0;   ///< Answers per second.
  double NotRun_ = 0;      ///< Answers per second.
  double MayHaveRun_ = 0;  ///< Answers per second.
  int64_t P50Ms_ = 0;      ///< Of completed answers; bounds of buckets, or -1
  int64_t P99Ms_ = 0;      ///< beyond the last one.
};

/// \brief Compares two scrapes that lie \p Between apart.
TopRow rowOf(const Scrape &Before, const Scrape &After, Milliseconds Between);

/// \brief The command: `top IP:PORT...`, metrics addresses of instances.
/// \returns an ExitCode.
int runTop(OperatorClient &Client, const std::vector<std::string> &Arguments,
           Milliseconds Between, bool IsJson);

} // namespace marjorambend

#endif // MARJORAMBEND_CTL_TOP_H
