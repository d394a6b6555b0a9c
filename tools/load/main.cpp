/// \file
/// \brief Load generator with a balancer and fault injection, driven by one
/// seed; prints a table and writes a JSON result.

#include "Callers.h"
#include "Faults.h"
#include "Report.h"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(profile, "agencia", "mix of kinds: agencia or fascia");
DEFINE_uint64(seed, 1, "seed of arrivals, sizes, run times and choices");
DEFINE_double(jobs_per_s, 25, "arrival rate of jobs");
DEFINE_int64(length_ms, 20000, "length of the arrivals");
DEFINE_int64(burst_at_ms, 0, "start of a burst");
DEFINE_int64(burst_length_ms, 0, "length of the burst");
DEFINE_double(burst_factor, 1, "arrival rate in the burst, as a multiple");
DEFINE_uint64(max_tasks, 1000, "most tasks in a job");
DEFINE_double(resubmit_share, 0.05, "share of jobs that are sent twice");
DEFINE_double(reserved_share, 0.5, "share of jobs with reserved identities");
DEFINE_double(cancel_share, 0, "share of jobs that are cancelled");
DEFINE_double(trace_share, 0, "share of jobs whose trace is sampled");
DEFINE_int64(timeout_ms, 10000, "timeout of a job");
DEFINE_string(instances, "",
              "NAME=IP:CALLER_PORT:OPERATOR_PORT[:PROCESS], by commas");
DEFINE_string(backends, "", "IP:PORT of each backend stand-in, by commas");
DEFINE_string(platform, "127.0.0.1:9000",
              "IP:PORT[:PROCESS] of the platform stand-in");
DEFINE_double(throughput, 100,
              "slots divided by slowness, summed over one data centre");
DEFINE_string(faults, "", "faults, by semicolons; see tools/load/Faults.h");
DEFINE_string(result, "", "file for the machine-readable result");
DEFINE_double(declared_factor, 1, "declared run times, as a multiple");
DEFINE_bool(print_catalogue, false, "print the profile's catalogue and exit");

namespace marjorambend {
namespace {

using Json = nlohmann::json;

constexpr Milliseconds CollectDelay{500};

Endpoint toEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  return {Text.substr(0, Colon),
          static_cast<uint16_t>(std::stoi(Text.substr(Colon + 1)))};
}

std::vector<std::string> split(const std::string &Text, char Mark) {
  std::vector<std::string> Parts;
  std::istringstream List(Text);
  std::string Part;
  while (std::getline(List, Part, Mark))
    Parts.push_back(Part);
  return Parts;
}

LoadTarget toTarget(const std::string &Text) {
  const std::size_t Equals = Text.find('=');
  const auto Parts = split(Text.substr(Equals + 1), ':');
  LoadTarget Target{.Name_ = Text.substr(0, Equals)};
  Target.Callers_ = toEndpoint(Parts.at(0) + ':' + Parts.at(1));
  Target.Operators_ = toEndpoint(Parts.at(0) + ':' + Parts.at(2));
  if (Parts.size() > 3)
    Target.Process_ = std::stoi(Parts[3]);
  return Target;
}

/// \brief One run: load, then the counters of all processes, then the report.
class Run {
public:
  explicit Run(EventLoop &Loop)
      : Loop_(Loop), Client_(Loop), Profile_(makeProfile(FLAGS_profile)) {}

  bool begin() {
    auto Faults = parseFaults(FLAGS_faults);
    if (!Faults) {
      std::cerr << "loadtool: " << Faults.error().What_ << '\n';
      return false;
    }
    std::vector<LoadTarget> Targets;
    FaultTargets FaultedProcesses{.Platform_ = toEndpoint(FLAGS_platform)};
    const auto Platform = split(FLAGS_platform, ':');
    if (Platform.size() > 2)
      FaultedProcesses.Processes_["platform"] = std::stoi(Platform[2]);
    for (const std::string &Text : split(FLAGS_instances, ',')) {
      Targets.push_back(toTarget(Text));
      FaultedProcesses.Processes_[Targets.back().Name_] =
          Targets.back().Process_;
    }
    if (Targets.empty()) {
      std::cerr << "loadtool: --instances names no instance\n";
      return false;
    }
    Callers_ = std::make_unique<Callers>(
        Loop_, Client_, callerOptions(), Profile_,
        makeJobs(Profile_, workloadOptions()), std::move(Targets));
    Schedule_ = std::make_unique<FaultSchedule>(Loop_, Client_,
                                                std::move(FaultedProcesses));
    Schedule_->begin(*Faults);
    Faults_ = std::move(*Faults);
    Callers_->begin([this] {
      CollectTimer_ = std::make_unique<Timer>(
          Loop_, CollectDelay, Timer::Mode::Once, [this] { collect(); });
    });
    return true;
  }

  bool isSoundRun() const { return IsSound_; }

private:
  static CallerOptions callerOptions() {
    return {.Seed_ = FLAGS_seed + 1,
            .ResubmitShare_ = FLAGS_resubmit_share,
            .ReservedShare_ = FLAGS_reserved_share,
            .CancelShare_ = FLAGS_cancel_share,
            .TraceShare_ = FLAGS_trace_share,
            .Timeout_ = {FLAGS_timeout_ms}};
  }

  static WorkloadOptions workloadOptions() {
    return {.Seed_ = FLAGS_seed,
            .JobsPerSecond_ = FLAGS_jobs_per_s,
            .Length_ = {FLAGS_length_ms},
            .BurstAt_ = {FLAGS_burst_at_ms},
            .BurstLength_ = {FLAGS_burst_length_ms},
            .BurstFactor_ = FLAGS_burst_factor,
            .MaxTasks_ = FLAGS_max_tasks};
  }

  void fetch(HttpCall Call,
             const std::function<void(const std::string &)> &OnBody) {
    ++PendingCalls_;
    Call.Timeout_ = Milliseconds{3'000};
    Client_.send(Call, [this, OnBody](const HttpResult &Result) {
      if (Result && Result->Status_ == 200)
        OnBody(Result->Body_);
      if (--PendingCalls_ == 0)
        report();
    });
  }

  static void addJson(std::map<std::string, uint64_t> &Sum,
                      const std::string &Body) {
    const Json Counts = Json::parse(Body, nullptr, false);
    for (const auto &[Name, Value] : Counts.items())
      Sum[Name] += Value.get<uint64_t>();
  }

  void addMetrics(const std::string &Body) {
    constexpr std::string_view Prefix = "marjorambend_";
    for (const std::string &Line : split(Body, '\n')) {
      const std::size_t Space = Line.find(' ');
      if (Line.rfind(Prefix, 0) != 0 || Space == std::string::npos)
        continue;
      const std::string Name =
          Line.substr(Prefix.size(), Space - Prefix.size());
      Counts_.Instances_[Name] += std::stoull(Line.substr(Space + 1));
    }
  }

  void collect() {
    Json NotRun = Json::array();
    for (const JobResult &Result : Callers_->results()) {
      if (!Result.HasOnlyNotRun_ || Result.Answers_ == 0)
        continue;
      // A send without an answer may have run the job after a correct refusal.
      if (Result.Answers_ == Result.Sends_)
        NotRun.push_back(Result.Id_);
      else
        ++Counts_.UnverifiedRefusals_;
    }
    for (const LoadTarget &Target : Callers_->targets())
      fetch({.To_ = Target.Operators_, .Target_ = "/metrics"},
            [this](const std::string &Body) { addMetrics(Body); });
    for (const std::string &Text : split(FLAGS_backends, ',')) {
      fetch({.To_ = toEndpoint(Text), .Target_ = "/stats"},
            [this](const std::string &Body) {
              addJson(Counts_.Backends_, Body);
            });
      fetch({.To_ = toEndpoint(Text),
             .Method_ = "POST",
             .Target_ = "/started",
             .Body_ = NotRun.dump()},
            [this](const std::string &Body) {
              Counts_.FalseRefusals_ +=
                  Json::parse(Body, nullptr, false).size();
            });
    }
    fetch(
        {.To_ = toEndpoint(FLAGS_platform), .Target_ = "/stats"},
        [this](const std::string &Body) { addJson(Counts_.Platform_, Body); });
  }

  void report() {
    nlohmann::ordered_json Summary =
        summarise(*Callers_, Profile_, Counts_, FLAGS_throughput);
    Summary["seed"] = FLAGS_seed;
    Summary["profile"] = FLAGS_profile;
    Summary["faults"] = FLAGS_faults;
    Summary["recovery"] = measureRecovery(*Callers_, Faults_, FLAGS_throughput);
    IsSound_ = isSound(Summary);
    std::cout << "profile " << FLAGS_profile << ", seed " << FLAGS_seed
              << (FLAGS_faults.empty() ? "" : ", faults " + FLAGS_faults)
              << '\n'
              << renderTable(Summary);
    if (!FLAGS_result.empty())
      std::ofstream(FLAGS_result) << Summary.dump(2) << '\n';
    Loop_.stop();
  }

  EventLoop &Loop_;
  HttpClient Client_;
  LoadProfile Profile_;
  std::unique_ptr<Callers> Callers_;
  std::vector<Fault> Faults_;
  std::unique_ptr<FaultSchedule> Schedule_;
  std::unique_ptr<Timer> CollectTimer_;
  ProcessCounts Counts_;
  std::size_t PendingCalls_ = 0;
  bool IsSound_ = false;
};

} // namespace
} // namespace marjorambend

int main(int Count, char **Arguments) {
  gflags::SetUsageMessage("load generator with a balancer and fault injection");
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  signal(SIGPIPE, SIG_IGN);
  if (FLAGS_print_catalogue) {
    std::cout << marjorambend::makeCatalogue(
                     marjorambend::makeProfile(FLAGS_profile),
                     FLAGS_declared_factor)
              << '\n';
    return 0;
  }
  marjorambend::EventLoop Loop;
  marjorambend::Run Experiment(Loop);
  if (!Experiment.begin())
    return 2;
  Loop.run();
  return Experiment.isSoundRun() ? 0 : 1;
}
