#include "Report.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace marjorambend {
namespace {

using Json = nlohmann::ordered_json;

uint64_t countOf(const std::map<std::string, uint64_t> &Counts,
                 const std::string &Name) {
  const auto Found = Counts.find(Name);
  return Found == Counts.end() ? 0 : Found->second;
}

double round3(double Value) { return std::round(Value * 1000) / 1000; }

double quantile(std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  const auto Rank = static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Sorted.size() - 1)));
  return round3(Sorted[Rank]);
}

Json quantiles(std::vector<double> Values) {
  std::sort(Values.begin(), Values.end());
  return {{"p50", quantile(Values, 0.50)},
          {"p95", quantile(Values, 0.95)},
          {"p99", quantile(Values, 0.99)}};
}

/// \brief Sums over the jobs of a run.
struct Tally {
  uint64_t Jobs_ = 0;
  uint64_t Tasks_ = 0;
  uint64_t Complete_ = 0;
  uint64_t CompleteTasks_ = 0;
  uint64_t TasksInTime_ = 0; ///< Complete before the arrivals ended.
  uint64_t Cancelled_ = 0;
  uint64_t Unanswered_ = 0;
  uint64_t Wrong_ = 0;
  uint64_t Sends_ = 0;
  uint64_t UsefulSends_ = 0;
  uint64_t Broken_ = 0;
  double ValueOffered_ = 0;
  double ValueServed_ = 0;
  std::map<std::string, uint64_t> Failed_;
  std::vector<double> Slowdowns_;
  std::vector<double> Latencies_;
};

void addJob(Tally &Sum, const JobResult &Result, const LoadJob &Job,
            const LoadKind &Kind, double Throughput, Milliseconds ArrivalsEnd) {
  ++Sum.Jobs_;
  Sum.Tasks_ += Job.RunMs_.size();
  Sum.Sends_ += Result.Sends_;
  Sum.Broken_ += Result.Broken_;
  Sum.Wrong_ += Result.IsWrong_ ? 1 : 0;
  Sum.Cancelled_ += Result.WasCancelled_ ? 1 : 0;
  Sum.ValueOffered_ += Kind.Value_;
  if (!Result.IsComplete_) {
    Sum.Unanswered_ += Result.Answers_ == 0 ? 1 : 0;
    ++Sum.Failed_[Result.Outcome_ + '/' + Result.Reason_];
    return;
  }
  ++Sum.Complete_;
  ++Sum.UsefulSends_;
  Sum.CompleteTasks_ += Job.RunMs_.size();
  if (Result.CompleteAt_ <= ArrivalsEnd)
    Sum.TasksInTime_ += Job.RunMs_.size();
  const auto Latency = static_cast<double>(Result.Latency_.Count_);
  const double Ideal = idealMs(Job, Throughput);
  const double Slowdown = std::max(0.0, (Latency - Ideal) / Ideal);
  Sum.Slowdowns_.push_back(Slowdown);
  Sum.Latencies_.push_back(Latency);
  Sum.ValueServed_ += Kind.Value_ / (1.0 + Slowdown);
}

Json wasteOf(const Tally &Sum, const ProcessCounts &Counts) {
  const uint64_t Received = countOf(Counts.Backends_, "received");
  const uint64_t CallerAll = 2 * Sum.Sends_;
  const uint64_t CallerWaste = 2 * (Sum.Sends_ - Sum.UsefulSends_);
  const uint64_t BackendAll = 2 * Received;
  const uint64_t BackendWaste =
      2 * (Received - std::min(Received, Sum.CompleteTasks_));
  const uint64_t ClaimAll =
      2 * countOf(Counts.Instances_, "claim_batches_total");
  const uint64_t ClaimWaste =
      2 * countOf(Counts.Instances_, "claim_retries_total");
  const uint64_t Forwarded =
      2 * countOf(Counts.Instances_, "jobs_forwarded_total");
  const uint64_t PeerAll =
      countOf(Counts.Instances_, "peer_messages_sent_total");
  const uint64_t StoreAll = 2 * (countOf(Counts.Platform_, "reads") +
                                 countOf(Counts.Platform_, "writes") +
                                 countOf(Counts.Platform_, "lists"));
  const uint64_t Control = PeerAll - std::min(PeerAll, Forwarded) + StoreAll -
                           std::min(StoreAll, ClaimAll);
  const uint64_t All = CallerAll + BackendAll + ClaimAll + Forwarded;
  const uint64_t Waste = CallerWaste + BackendWaste + ClaimWaste;
  return {
      {"messages", All},
      {"wasted", Waste},
      {"wasted_share", round3(static_cast<double>(Waste) /
                              static_cast<double>(std::max<uint64_t>(1, All)))},
      {"wasted_callers", CallerWaste},
      {"wasted_backends", BackendWaste},
      {"wasted_claims", ClaimWaste},
      {"control_messages", Control}};
}

Json safetyOf(const Tally &Sum, const ProcessCounts &Counts) {
  const uint64_t Started = countOf(Counts.Backends_, "started");
  const uint64_t Distinct = countOf(Counts.Backends_, "distinct");
  const double PerTask = Distinct == 0 ? 0
                                       : static_cast<double>(Started) /
                                             static_cast<double>(Distinct);
  return {{"tasks_started", Started},
          {"starts_per_task", round3(PerTask)},
          {"tasks_started_twice", countOf(Counts.Backends_, "doubled")},
          {"wrong_answers", Sum.Wrong_},
          {"unanswered", Sum.Unanswered_},
          {"refused_as_not_run_but_started", Counts.FalseRefusals_},
          {"refused_as_not_run_not_judged", Counts.UnverifiedRefusals_}};
}

} // namespace

Json summarise(const Callers &Run, const LoadProfile &Profile,
               const ProcessCounts &Counts, double Throughput) {
  Tally Sum;
  const Milliseconds ArrivalsEnd =
      Run.jobs().empty() ? Milliseconds{1} : Run.jobs().back().At_;
  for (const JobResult &Result : Run.results()) {
    const LoadJob &Job = Run.jobs()[Result.Job_];
    addJob(Sum, Result, Job, Profile.Kinds_[Job.Kind_], Throughput,
           ArrivalsEnd);
  }
  return {{"jobs", Sum.Jobs_},
          {"tasks", Sum.Tasks_},
          {"complete", Sum.Complete_},
          {"complete_tasks", Sum.CompleteTasks_},
          {"good_tasks_per_s",
           round3(1000.0 * static_cast<double>(Sum.TasksInTime_) /
                  static_cast<double>(ArrivalsEnd.Count_))},
          {"cancelled", Sum.Cancelled_},
          {"failed", Sum.Failed_},
          {"broken_connections", Sum.Broken_},
          {"over_ideal", quantiles(Sum.Slowdowns_)},
          {"latency_ms", quantiles(Sum.Latencies_)},
          {"service_per_answer",
           round3(Sum.ValueServed_ / std::max(1.0, Sum.ValueOffered_))},
          {"waste", wasteOf(Sum, Counts)},
          {"safety", safetyOf(Sum, Counts)},
          {"instances", Counts.Instances_},
          {"platform", Counts.Platform_}};
}

Json measureRecovery(const Callers &Run, const std::vector<Fault> &Faults,
                     double Throughput) {
  constexpr Milliseconds ObservationWindow{10'000};
  constexpr double SlowFactor = 2.0;
  constexpr double SlowMs = 500.0;
  Json List = Json::array();
  for (const Fault &One : Faults) {
    int64_t Recovery = 0;
    uint64_t Affected = 0;
    for (const JobResult &Result : Run.results()) {
      const LoadJob &Job = Run.jobs()[Result.Job_];
      const Milliseconds Since = Job.At_ - One.At_;
      if (Since < Milliseconds{} || Since > One.Length_ + ObservationWindow)
        continue;
      const double Bound = SlowFactor * idealMs(Job, Throughput) + SlowMs;
      if (Result.IsComplete_ &&
          static_cast<double>(Result.Latency_.Count_) <= Bound)
        continue;
      ++Affected;
      Recovery = std::max(Recovery, Since.Count_);
    }
    List.push_back({{"fault", One.Name_},
                    {"target", One.Target_},
                    {"at_ms", One.At_.Count_},
                    {"length_ms", One.Length_.Count_},
                    {"recovery_ms", Recovery},
                    {"jobs_failed_or_slow", Affected}});
  }
  return List;
}

std::string renderTable(const Json &S) {
  std::ostringstream Text;
  const auto Line = [&](const std::string &Name, const std::string &Value) {
    Text << "  " << std::left << std::setw(36) << Name << Value << '\n';
  };
  const auto Three = [](const Json &Q) {
    return Q["p50"].dump() + " / " + Q["p95"].dump() + " / " + Q["p99"].dump();
  };
  Line("jobs, tasks", S["jobs"].dump() + ", " + S["tasks"].dump());
  Line("answered complete", S["complete"].dump());
  for (const auto &[Name, Value] : S["failed"].items())
    Line("failed: " + Name, Value.dump());
  Line("cancelled by callers", S["cancelled"].dump());
  Line("connections broken", S["broken_connections"].dump());
  Line("over the ideal, p50 / p95 / p99", Three(S["over_ideal"]));
  Line("latency in ms, p50 / p95 / p99", Three(S["latency_ms"]));
  Line("service per answer, by value", S["service_per_answer"].dump());
  Line("wasted messages, share of all", S["waste"]["wasted_share"].dump());
  Line("control messages", S["waste"]["control_messages"].dump());
  const Json &Safety = S["safety"];
  Line("starts per task", Safety["starts_per_task"].dump());
  Line("tasks started twice", Safety["tasks_started_twice"].dump());
  Line("partial, crossed or unequal answers", Safety["wrong_answers"].dump());
  Line("jobs without any answer", Safety["unanswered"].dump());
  Line("refused as not run, but started",
       Safety["refused_as_not_run_but_started"].dump());
  for (const Json &One : S.value("recovery", Json::array()))
    Line("after " + One["fault"].get<std::string>() + ' ' +
             One["target"].get<std::string>(),
         "recovered in " + One["recovery_ms"].dump() + " ms, " +
             One["jobs_failed_or_slow"].dump() + " jobs failed or slow");
  return Text.str();
}

bool isSound(const Json &Summary) {
  const Json &Safety = Summary["safety"];
  return Safety["tasks_started_twice"] == 0 && Safety["wrong_answers"] == 0 &&
         Safety["unanswered"] == 0 &&
         Safety["refused_as_not_run_but_started"] == 0;
}

} // namespace marjorambend
