#ifndef MARJORAMBEND_TOOLS_LOAD_WORKLOAD_H
#define MARJORAMBEND_TOOLS_LOAD_WORKLOAD_H

#include <cstdint>
#include <marjorambend/Support>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambend {

/// \brief One task kind of a user, with the run times that its tasks have.
struct LoadKind {
  std::string Name_;
  bool IsIdempotent_ = false;
  double Value_ = 1;      ///< Weight of an answer in the user's objective.
  double Share_ = 1;      ///< Of all jobs, relative to the other kinds.
  double MedianMs_ = 100; ///< Run time of a task on a worker of slowness 1.
  double Sigma_ = 0.5;    ///< Standard deviation of its logarithm.
};

/// \brief The mix of task kinds of one user.
struct LoadProfile {
  std::string Team_;
  std::vector<LoadKind> Kinds_;
};

/// \brief One job to be submitted.
struct LoadJob {
  Milliseconds At_; ///< Since the start of the run.
  std::size_t Kind_ = 0;
  std::vector<int64_t> RunMs_; ///< One for each task.
};

/// \brief Parameters of a workload.
struct WorkloadOptions {
  uint64_t Seed_ = 1;
  double JobsPerSecond_ = 20;
  Milliseconds Length_{20'000};
  Milliseconds BurstAt_;
  Milliseconds BurstLength_;
  double BurstFactor_ = 1;
  std::size_t MaxTasks_ = 1000;
};

/// \brief The mix of "agencia" or "fascia".
LoadProfile makeProfile(std::string_view Name);

/// \brief The catalogue that the profile needs, as JSON text.
///
/// \param DeclaredFactor multiplies the declared run times.
std::string makeCatalogue(const LoadProfile &Profile, double DeclaredFactor);

/// \brief All jobs of a run in order of arrival, as a Poisson process.
std::vector<LoadJob> makeJobs(const LoadProfile &Profile,
                              const WorkloadOptions &Options);

/// \brief Payload of a task for the backend stand-in.
std::string makePayload(int64_t RunMs, std::size_t Task);

/// \brief Lower bound of the time of a job on an idle data centre, in
/// milliseconds.
/// \param Throughput sum of slots divided by slowness over its workers.
double idealMs(const LoadJob &Job, double Throughput);

} // namespace marjorambend

#endif // MARJORAMBEND_TOOLS_LOAD_WORKLOAD_H
