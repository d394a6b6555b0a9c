#ifndef MARJORAMBEND_FLEET_FLEETACTIONS_H
#define MARJORAMBEND_FLEET_FLEETACTIONS_H

#include "marjorambend/src/Fleet/FleetMessages.h"
#include "marjorambend/src/Fleet/Roster.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace marjorambend {

/// \brief Outcome of a job as its caller sees it.
enum class JobOutcome : uint8_t {
  Completed,    ///< All tasks are done.
  Failed,       ///< A task has failed as often as its route allows.
  Cancelled,    ///< The caller has cancelled it.
  NotRun,       ///< Refused; nothing of it has run or will run.
  MayHaveRun,   ///< Given up when a task may already have run.
  NoSuchRoute,  ///< The configuration has no such route.
  NotSupported, ///< The job's form is not supported.
};

inline constexpr std::size_t JobOutcomeCount = 7;

/// \brief Name of an outcome in logs and metrics.
const char *nameOf(JobOutcome Outcome);

/// \brief Give a caller its final answer.
struct AnswerJob {
  uint64_t Token_ = 0;
  JobOutcome Outcome_ = JobOutcome::NotRun;
  Milliseconds RetryAfter_; ///< With NotRun: delay before a retry.
};

/// \brief Address, incarnation and fencing token for an order to a worker.
struct WorkerTarget {
  std::string Id_;
  std::string Address_;
  uint16_t Port_ = 0;
  int64_t Incarnation_ = 0;
  uint64_t FencingToken_ = 0; ///< Fencing token of the holder.
};

/// \brief Tell a worker to start a run; one StartAnswered follows.
struct StartRun {
  WorkerTarget Worker_;
  RunId Run_;
  std::string Spec_;
  Milliseconds LeaseEnd_; ///< On the worker's clock.
};

/// \brief Tell a worker to stop a run; one StopAnswered follows.
struct StopRun {
  WorkerTarget Worker_;
  RunId Run_;
};

/// \brief Answer a caller's request to cancel a job.
struct AnswerCancel {
  uint64_t Token_ = 0;
  CancelResult Result_ = CancelResult::Unknown;
};

/// \brief Ask a worker for its lists; one PollAnswered follows.
struct PollWorker {
  WorkerTarget Worker_;
  uint64_t Poll_ = 0;
  uint64_t AckedThrough_ = 0; ///< The worker may discard ends up to here.
  Milliseconds LeaseEnd_{0};  ///< On the worker's clock; 0: no renewal.
  /// Longest time that the worker waits for an end before it answers.
  Milliseconds Wait_{0};
};

/// \brief Send a message to another instance.
struct SendMessage {
  Incarnation To_;
  FleetMessage Message_;
};

/// \brief Decode a configuration that another instance has sent; one
/// ConfigRead follows if it can be read.
struct DecodeConfigText {
  std::string Text_;
};

/// \brief Keep sessions with the instances at these addresses; other sessions
/// may stay open.
struct LinkInstances {
  std::set<LinkAddress> Addresses_;
};

/// \brief Keep a crash in the platform's store, so that it outlasts all
/// instances.
struct StoreCrash {
  WorkerCrash Crash_;
};

/// \brief Remove a crash from the platform's store: the worker was only silent.
struct ForgetCrash {
  WorkerIncarnation Worker_;
};

/// \brief One field of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// \brief Write a log line about a decision.
struct LogDecision {
  std::string_view What_; ///< One of the events in LogLines.def.
  uint64_t Job_ = 0;      ///< The caller's identity of the job; 0: none.
  bool IsFinal_ = false;  ///< The last line of a job that was not served.
  std::vector<LogField> Fields_;
};

/// \brief All actions that an instance of the fleet can request.
using FleetAction =
    std::variant<AnswerJob, StartRun, StopRun, PollWorker, SendMessage,
                 DecodeConfigText, LinkInstances, StoreCrash, ForgetCrash,
                 LogDecision, AnswerCancel>;

/// \brief Actions in the order in which they are to be done.
using FleetActions = std::vector<FleetAction>;

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEETACTIONS_H
