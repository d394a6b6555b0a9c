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

/// \brief What a caller is told of its job.
enum class JobOutcome : uint8_t {
  Completed,    ///< All tasks are done.
  Failed,       ///< A task has failed as often as its route allows.
  Cancelled,    ///< The caller has cancelled it.
  NotRun,       ///< Refused; nothing of it has run or will run.
  MayHaveRun,   ///< Given up after a task may have run.
  NoSuchRoute,  ///< The configuration has no such route.
  NotSupported, ///< Of a form that is not served.
};

inline constexpr std::size_t JobOutcomeCount = 7;

/// \brief Name of an outcome in logs and metrics.
const char *nameOf(JobOutcome Outcome);

/// \brief Give a caller its final answer.
struct AnswerJob {
  uint64_t Token_ = 0;
  JobOutcome Outcome_ = JobOutcome::NotRun;
  Milliseconds RetryAfter_; ///< With NotRun: when to come back.
};

/// \brief Where and as whom a worker is spoken to.
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

/// \brief Ask a worker for its lists; one WorkerListed follows.
struct PollWorker {
  WorkerTarget Worker_;
  uint64_t Poll_ = 0;
  uint64_t AckedThrough_ = 0; ///< Ends up to this number may be forgotten.
  Milliseconds LeaseEnd_{0};  ///< On the worker's clock; 0: no renewal.
  Milliseconds Wait_{0};      ///< Longest wait for an end.
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

/// \brief Keep sessions with the instances at these addresses; others may
/// remain.
struct LinkInstances {
  std::set<LinkAddress> Addresses_;
};

/// \brief One field of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// \brief Write a line on a decision.
struct LogDecision {
  std::string_view What_; ///< One of the events in LogLines.def.
  uint64_t Job_ = 0;      ///< The caller's identity; 0: about no job.
  bool IsFinal_ = false;  ///< The last line of a job that was not served.
  std::vector<LogField> Fields_;
};

/// \brief Everything that an instance of the fleet can want done.
using FleetAction =
    std::variant<AnswerJob, StartRun, StopRun, PollWorker, SendMessage,
                 DecodeConfigText, LinkInstances, LogDecision>;

/// \brief Actions in the order in which they are to be done.
using FleetActions = std::vector<FleetAction>;

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEETACTIONS_H
