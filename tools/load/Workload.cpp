#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <numbers>
#include <numeric>

namespace marjorambend {

static constexpr int64_t MinRunMs = 50;
static constexpr int64_t MaxRunMs = 3'000;
static constexpr int64_t DeclaredRunMs = 150;
static constexpr int64_t LostAfterMs = 8'000;

/// \brief Share of the jobs whose number of tasks is in a range.
struct SizeClass {
  double Share_;
  std::size_t Least_;
  std::size_t Most_;
};

static constexpr SizeClass SizeClasses[] = {
    {0.60, 1, 4}, {0.30, 5, 30}, {0.09, 30, 150}, {0.01, 200, 1000}};

LoadProfile makeProfile(std::string_view Name) {
  if (Name == "fascia")
    return {.Team_ = "banco-prestiti",
            .Kinds_ = {{"availability-check", true, 1, 0.6, 80, 0.4},
                       {"loan-booking", false, 5, 0.25, 150, 0.5},
                       {"fitting-hold", false, 3, 0.15, 120, 0.5}}};
  return {.Team_ = "liquida",
          .Kinds_ = {{"lot-pricing", true, 1, 0.5, 90, 0.4},
                     {"harvest-payout", false, 4, 0.3, 180, 0.6},
                     {"weight-certification", false, 2, 0.2, 140, 0.5}}};
}

std::string makeCatalogue(const LoadProfile &Profile, double DeclaredFactor) {
  const auto Declared = std::max<int64_t>(
      1, std::lround(DeclaredFactor * static_cast<double>(DeclaredRunMs)));
  nlohmann::ordered_json Kinds = nlohmann::ordered_json::array();
  for (const LoadKind &Kind : Profile.Kinds_)
    Kinds.push_back({{"name", Kind.Name_},
                     {"owner", Profile.Team_},
                     {"urgency", 0},
                     {"idempotent", Kind.IsIdempotent_},
                     {"value", Kind.Value_},
                     {"declared_run_ms", Declared},
                     {"max_run_ms", LostAfterMs}});
  const nlohmann::ordered_json Catalogue{{"teams", {{{"name", Profile.Team_}}}},
                                         {"kinds", Kinds}};
  return Catalogue.dump(2);
}

// Box-Muller transform: gives the same values with every standard library,
// which std::normal_distribution does not.
static double standardNormal(Random &Generator) {
  const double Radius =
      std::sqrt(-2.0 * std::log(1.0 - uniformUnit(Generator)));
  return Radius * std::cos(2.0 * std::numbers::pi * uniformUnit(Generator));
}

static int64_t drawRunMs(const LoadKind &Kind, Random &Generator) {
  const double Drawn =
      Kind.MedianMs_ * std::exp(Kind.Sigma_ * standardNormal(Generator));
  return std::clamp(static_cast<int64_t>(Drawn), MinRunMs, MaxRunMs);
}

static std::size_t drawSize(Random &Generator) {
  double Drawn = uniformUnit(Generator);
  for (const SizeClass &Class : SizeClasses) {
    if (Drawn < Class.Share_)
      return Class.Least_ +
             uniformBelow(Generator, Class.Most_ - Class.Least_ + 1);
    Drawn -= Class.Share_;
  }
  return 1;
}

static std::size_t drawKind(const LoadProfile &Profile, Random &Generator) {
  double Drawn = uniformUnit(Generator);
  for (std::size_t Kind = 0; Kind < Profile.Kinds_.size(); ++Kind) {
    if (Drawn < Profile.Kinds_[Kind].Share_)
      return Kind;
    Drawn -= Profile.Kinds_[Kind].Share_;
  }
  return 0;
}

static double rateAt(const WorkloadOptions &Options, double AtMs) {
  const double BurstStart = static_cast<double>(Options.BurstAt_.Count_);
  const double BurstEnd =
      BurstStart + static_cast<double>(Options.BurstLength_.Count_);
  const bool IsBurst = AtMs >= BurstStart && AtMs < BurstEnd;
  return Options.JobsPerSecond_ * (IsBurst ? Options.BurstFactor_ : 1.0);
}

std::vector<LoadJob> makeJobs(const LoadProfile &Profile,
                              const WorkloadOptions &Options) {
  Random Generator(Options.Seed_);
  std::vector<LoadJob> Jobs;
  double AtMs = 0;
  while (true) {
    const double MeanGapMs = 1000.0 / rateAt(Options, AtMs);
    AtMs += -std::log(1.0 - uniformUnit(Generator)) * MeanGapMs;
    if (AtMs >= static_cast<double>(Options.Length_.Count_))
      return Jobs;
    LoadJob Job{.At_ = {static_cast<int64_t>(AtMs)},
                .Kind_ = drawKind(Profile, Generator),
                .RunMs_ = {}};
    const std::size_t Size = std::min(drawSize(Generator), Options.MaxTasks_);
    for (std::size_t Task = 0; Task < Size; ++Task)
      Job.RunMs_.push_back(drawRunMs(Profile.Kinds_[Job.Kind_], Generator));
    Jobs.push_back(std::move(Job));
  }
}

std::string makePayload(int64_t RunMs, std::size_t Task) {
  return "run=" + std::to_string(RunMs) + " task " + std::to_string(Task);
}

double idealMs(const LoadJob &Job, double Throughput) {
  const auto Longest = static_cast<double>(
      *std::max_element(Job.RunMs_.begin(), Job.RunMs_.end()));
  const auto Sum = static_cast<double>(
      std::accumulate(Job.RunMs_.begin(), Job.RunMs_.end(), int64_t{0}));
  return std::max(Longest, Sum / Throughput);
}

} // namespace marjorambend
