#ifndef MARJORAMBEND_INSTANCE_INSTANCE_H
#define MARJORAMBEND_INSTANCE_INSTANCE_H

#include "marjorambend/src/Admission/Admission.h"
#include "marjorambend/src/Admission/RetryBudget.h"
#include "marjorambend/src/Claims/ClaimBatcher.h"
#include "marjorambend/src/Configuration/ConfigState.h"
#include "marjorambend/src/Instance/Actions.h"
#include "marjorambend/src/Instance/Events.h"
#include "marjorambend/src/Jobs/FairQueue.h"
#include "marjorambend/src/Jobs/JobRecord.h"
#include "marjorambend/src/Membership/DrainMap.h"
#include "marjorambend/src/Membership/PeerTable.h"
#include "marjorambend/src/Routing/Estimator.h"
#include "marjorambend/src/Routing/WorkerTable.h"
#include "marjorambend/src/Support/Counters.h"
#include "marjorambend/src/Support/Random.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorambend {

/// \brief Parameters of one instance.
struct InstanceOptions {
  std::string Name_ = "instance";
  std::string DataCentre_ = "data-centre";
  RoutingOptions Routing_;
  AdmissionOptions Admission_;
  RetryOptions Retry_;
  ClaimOptions Claims_;
  PeerOptions Peers_;
  Milliseconds IdentityWindow_{600'000}; ///< Age at which an identity expires.
  Milliseconds ClaimRetention_{7'200'000}; ///< Age at which rows are removed.
  Milliseconds ConfigPoll_{2'000};
  Milliseconds PauseThreshold_{500}; ///< A larger gap between ticks is a pause.
  std::size_t MaxRecords_ = 200'000;
  std::size_t MaxAnswerBytes_ = 32U << 20U; ///< Kept for resubmissions.
  uint32_t MaxWaiters_ = 64;                ///< Submissions that join one job.
};

/// \brief A task under way at a backend server.
struct SendRecord {
  JobId Id_;
  uint32_t Task_ = 0;
  uint32_t Worker_ = 0;
  Milliseconds SentAt_;
  Milliseconds ExpiresAt_;
  TraceContext Trace_;
};

/// \brief The complete decision state of one instance.
///
/// step() is deterministic: it reads no clock, opens no socket and draws random
/// numbers only from \c Generator_, so that a simulation can run thousands of
/// instances in one process.
struct Instance {
  InstanceOptions Options_;
  Incarnation Self_;
  Random Generator_;
  Counters Counters_;

  std::unordered_map<JobId, JobRecord> Jobs_;
  std::set<std::pair<Milliseconds, JobId>> Deadlines_;
  std::deque<std::pair<Milliseconds, JobId>> Finished_; ///< Oldest first.
  std::size_t AnswerBytes_ = 0;
  uint64_t NextAttempt_ = 1;
  uint32_t NextReserved_ = 0;

  ClaimBatcher Claims_;
  FairQueue Queue_;
  Admission Admission_;
  RetryBudget RetryBudget_;
  WorkerTable Workers_;
  Estimator Estimator_;
  std::unordered_map<uint64_t, SendRecord> Sends_;
  std::set<std::pair<Milliseconds, uint64_t>> SendExpiry_;
  uint64_t NextSend_ = 1;

  PeerTable Peers_;
  bool HadBacklog_ = false; ///< Whether jobs were queued after the last step.
  /// Disconnected peers, each with the time until which jobs held there wait
  /// for its reconnection.
  std::vector<std::pair<Milliseconds, Incarnation>> LostPeers_;

  ConfigState Config_;
  std::optional<ConfigWrite> ConfigWrite_;
  uint64_t ConfigWriteToken_ = 0;
  Milliseconds ConfigWriteRetryAt_;
  Milliseconds ConfigWriteDeadline_;
  DrainMap Drains_;
  bool KnowsDrains_ =
      false; ///< Confirmed since the start; see updateKnowsDrains.
  bool HasReadDrains_ = false; ///< From the table service.
  Milliseconds StartedAt_;     ///< Time of the first tick.
  DrainMap StoredDrains_;      ///< As last read from the table service.
  uint64_t StoredDrainsVersion_ = 0;
  Milliseconds NextPoll_;
  Milliseconds NextSweep_;
  Milliseconds LastTick_;
  Milliseconds WallClock_; ///< Never decreases.
  bool HasTicked_ = false;
  bool IsStopping_ = false;
};

/// \brief Creates an instance without any configuration, peers or workers.
Instance makeInstance(InstanceOptions Options, uint64_t Seed);

/// \brief Handles one event and returns the actions that follow from it.
Actions step(Instance &State, Event Happened, Milliseconds Now);

/// \brief Reserves identities that only this instance may start.
///
/// Jobs with such an identity need no write to the table service. An instance
/// that is stopping reserves none.
std::vector<JobId> reserveJobIds(Instance &State, std::size_t Count);

/// \brief Whether callers may be sent here: a catalogue is in force, the drains
/// are known, and the instance is not stopping.
bool isReady(const Instance &State);

/// \brief Whether no job is open, so that a graceful stop is complete.
bool isIdle(const Instance &State);

/// \brief What an instance knows of one job, for operators.
struct JobStatus {
  JobPhase Phase_ = JobPhase::Finished;
  uint32_t Tasks_ = 0;
  uint32_t Done_ = 0;
  uint32_t PossiblyRun_ = 0;
  AnswerPtr Answer_;
};

/// \brief What the instance knows of \p Id, if anything.
std::optional<JobStatus> jobStatus(const Instance &State, const JobId &Id);

} // namespace marjorambend

#endif // MARJORAMBEND_INSTANCE_INSTANCE_H
