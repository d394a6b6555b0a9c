#include "Top.h"

#include "Commands.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <iostream>

namespace marjorambend {

using Json = nlohmann::json;

static const std::string Prefix = "marjorambend_";

Scrape readScrape(std::string_view Text) {
  Scrape Read;
  while (!Text.empty()) {
    const std::size_t End = Text.find('\n');
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
    const std::size_t Space = Line.rfind(' ');
    if (Line.empty() || Line.front() == '#' || Space == std::string_view::npos)
      continue;
    const std::string Value(Line.substr(Space + 1));
    char *Last = nullptr;
    const double Number = std::strtod(Value.c_str(), &Last);
    if (Last != Value.c_str() && *Last == '\0')
      Read.emplace(Line.substr(0, Space), Number);
  }
  return Read;
}

static double valueIn(const Scrape &From, const std::string &Name) {
  const auto Found = From.find(Prefix + Name);
  return Found == From.end() ? 0 : Found->second;
}

static uint64_t countIn(const Scrape &From, const std::string &Name) {
  return static_cast<uint64_t>(valueIn(From, Name));
}

// Upper bound of the bucket that contains the quantile Share of the samples
// between the two scrapes; -1 if it is beyond the last bound.
static int64_t quantileOf(const Scrape &Before, const Scrape &After,
                          const std::string &Name, const std::string &Labels,
                          double Share) {
  const auto Grown = [&](const std::string &Bound) {
    const std::string Whole =
        Name + "_bucket{" + Labels + ",le=\"" + Bound + "\"}";
    return valueIn(After, Whole) - valueIn(Before, Whole);
  };
  const double Wanted = std::ceil(Grown("+Inf") * Share);
  if (Wanted <= 0)
    return 0;
  for (const int64_t Bound : HistogramBounds) {
    if (Grown(std::to_string(Bound)) >= Wanted)
      return Bound;
  }
  return -1;
}

TopRow rowOf(const Scrape &Before, const Scrape &After, Milliseconds Between) {
  const auto RateOf = [&](const std::string &Outcome) {
    const std::string Name =
        "answer_milliseconds_count{outcome=\"" + Outcome + "\"}";
    return (valueIn(After, Name) - valueIn(Before, Name)) * 1'000.0 /
           static_cast<double>(Between.Count_);
  };
  const std::string Served = "outcome=\"completed\"";
  return {
      .IsReached_ = true,
      .IsReady_ = valueIn(After, "ready") != 0,
      .IsPlacer_ = valueIn(After, "is_placer") != 0,
      .OpenJobs_ = countIn(After, "jobs_open"),
      .WaitingJobs_ = countIn(After, "jobs_waiting"),
      .HeldWorkers_ = countIn(After, "workers_held"),
      .Version_ = countIn(After, "configuration_version"),
      .ListAgeMs_ =
          static_cast<int64_t>(valueIn(After, "list_age_milliseconds")),
      .Evacuated_ = countIn(After, "data_centres_evacuated"),
      .Completed_ = RateOf("completed"),
      .NotRun_ = RateOf("not_run"),
      .MayHaveRun_ = RateOf("may_have_run"),
      .P50Ms_ = quantileOf(Before, After, "answer_milliseconds", Served, 0.50),
      .P99Ms_ = quantileOf(Before, After, "answer_milliseconds", Served, 0.99)};
}

static Json jsonOf(const TopRow &Row) {
  if (!Row.IsReached_)
    return {{"address", Row.Address_}, {"reached", false}};
  return {{"address", Row.Address_},
          {"reached", true},
          {"ready", Row.IsReady_},
          {"placer", Row.IsPlacer_},
          {"jobs_open", Row.OpenJobs_},
          {"jobs_waiting", Row.WaitingJobs_},
          {"workers_held", Row.HeldWorkers_},
          {"configuration_version", Row.Version_},
          {"list_age_ms", Row.ListAgeMs_},
          {"data_centres_evacuated", Row.Evacuated_},
          {"completed_per_s", Row.Completed_},
          {"not_run_per_s", Row.NotRun_},
          {"may_have_run_per_s", Row.MayHaveRun_},
          {"p50_ms", Row.P50Ms_},
          {"p99_ms", Row.P99Ms_}};
}

static void printRow(const TopRow &Row) {
  if (!Row.IsReached_) {
    std::printf("%-21s not reached\n", Row.Address_.c_str());
    return;
  }
  std::printf(
      "%-21s %-5s %-6s %6llu %7llu %7llu %7llu %6lld %5llu %7.1f %7.1f %7.1f "
      "%6lld %6lld\n",
      Row.Address_.c_str(), Row.IsReady_ ? "yes" : "no",
      Row.IsPlacer_ ? "yes" : "-",
      static_cast<unsigned long long>(Row.OpenJobs_),
      static_cast<unsigned long long>(Row.WaitingJobs_),
      static_cast<unsigned long long>(Row.HeldWorkers_),
      static_cast<unsigned long long>(Row.Version_),
      static_cast<long long>(Row.ListAgeMs_),
      static_cast<unsigned long long>(Row.Evacuated_), Row.Completed_,
      Row.NotRun_, Row.MayHaveRun_, static_cast<long long>(Row.P50Ms_),
      static_cast<long long>(Row.P99Ms_));
}

static void printTable(const std::vector<TopRow> &Rows) {
  std::printf("%-21s %-5s %-6s %6s %7s %7s %7s %6s %5s %7s %7s %7s %6s %6s\n",
              "instance", "ready", "placer", "open", "waiting", "workers",
              "config", "list", "evac", "done/s", "not/s", "may/s", "p50",
              "p99");
  for (const TopRow &Row : Rows)
    printRow(Row);
}

static void printJson(const std::vector<TopRow> &Rows) {
  Json All = Json::array();
  for (const TopRow &Row : Rows)
    All.push_back(jsonOf(Row));
  std::cout << All.dump() << '\n';
}

// Scrapes each instance twice, one interval apart.
static std::vector<TopRow> readRows(OperatorClient &Client,
                                    const std::vector<Endpoint> &Endpoints,
                                    Milliseconds Between) {
  const auto ScrapeOf = [&Client](const Endpoint &At) {
    return Client.call(At, "GET", "/metrics").map([](const OperatorAnswer &A) {
      return readScrape(A.Text_);
    });
  };
  std::vector<tl::expected<Scrape, OperatorFailure>> Before;
  Before.reserve(Endpoints.size());
  for (const Endpoint &At : Endpoints)
    Before.push_back(ScrapeOf(At));
  const Milliseconds Start = monotonicNow();
  Client.pause(Between);
  std::vector<TopRow> Rows(Endpoints.size());
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index) {
    const auto After = ScrapeOf(Endpoints[Index]);
    if (Before[Index] && After)
      Rows[Index] = rowOf(*Before[Index], *After, monotonicNow() - Start);
  }
  return Rows;
}

int runTop(OperatorClient &Client, const std::vector<std::string> &Arguments,
           Milliseconds Between, bool IsJson) {
  std::vector<Endpoint> Endpoints;
  for (std::size_t Index = 1; Index < Arguments.size(); ++Index) {
    const auto At = parseEndpoint(Arguments[Index]);
    if (!At) {
      std::cerr << "marjorambendctl: " << Arguments[Index]
                << " is not IP:PORT\n";
      return ExitUsage;
    }
    Endpoints.push_back(*At);
  }
  if (Endpoints.empty() || Between.Count_ <= 0) {
    std::cerr << "marjorambendctl: use: top IP:PORT... with the metrics "
                 "addresses of instances, and --interval_ms above 0\n";
    return ExitUsage;
  }
  std::vector<TopRow> Rows = readRows(Client, Endpoints, Between);
  for (std::size_t Index = 0; Index < Rows.size(); ++Index)
    Rows[Index].Address_ = Arguments[Index + 1];
  if (IsJson)
    printJson(Rows);
  else
    printTable(Rows);
  const bool IsAllReached =
      std::all_of(Rows.begin(), Rows.end(),
                  [](const TopRow &Row) { return Row.IsReached_; });
  return IsAllReached ? ExitDone : ExitUnreachable;
}

} // namespace marjorambend
