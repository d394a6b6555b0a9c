#ifndef MARJORAMBEND_INSTANCE_EVENTS_H
#define MARJORAMBEND_INSTANCE_EVENTS_H

#include "marjorambend/src/Claims/ClaimBatcher.h"
#include "marjorambend/src/Instance/Messages.h"
#include "marjorambend/src/Routing/RoutingTypes.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marjorambend {

/// \brief Periodic timer event that carries the wall clock.
struct Tick {
  Milliseconds WallClock_; ///< Since the Unix epoch.
};

/// \brief A caller has submitted a job.
struct JobSubmitted {
  uint64_t Token_ = 0; ///< The caller's open request.
  JobRequest Request_;
};

/// \brief A caller wants a job cancelled.
struct JobCancelled {
  JobId Id_;
};

/// \brief A caller has closed its connection; the job continues.
struct CallerGone {
  uint64_t Token_ = 0;
  JobId Id_;
};

/// \brief The table service has answered a claim batch with the rows in force.
struct ClaimsAnswered {
  uint64_t Batch_ = 0;
  std::vector<ClaimRow> Rows_;
};

/// \brief A claim batch had no usable answer; it may have taken effect.
struct ClaimsFailed {
  uint64_t Batch_ = 0;
};

/// \brief How a task that was sent has ended.
enum class TaskResult : uint8_t {
  Succeeded,      ///< Ran; the result is in the event.
  Failed,         ///< Ran; the backend server answered with an error.
  Refused,        ///< The backend server says that it has not run it.
  RefusedLeaving, ///< Like Refused; the backend server is shutting down.
  NotConnected,   ///< No connection was made, so nothing was sent.
  Lost            ///< May have run; no answer.
};

/// \brief A task that was sent has ended.
struct TaskFinished {
  uint64_t Send_ = 0;
  TaskResult Result_ = TaskResult::Lost;
  std::string Body_;
};

/// \brief A link to another instance has been opened.
struct PeerConnected {
  Incarnation Run_;
  std::string Name_;
  std::string DataCentre_;
};

/// \brief A link to another instance is gone.
struct PeerDisconnected {
  Incarnation Run_;
};

/// \brief Another instance has sent a message.
struct PeerReceived {
  Incarnation From_;
  PeerMessage Message_;
};

/// \brief The platform's list of backend servers was read.
struct WorkersListed {
  std::vector<WorkerSpec> Workers_;
};

/// \brief A row of the table service was read; version 0 means no such row.
///
/// The value may be empty if the version equals ReadRow::KnownVersion_.
struct RowRead {
  std::string Key_;
  uint64_t Version_ = 0;
  std::string Value_;
};

/// \brief A read of the table service had no usable answer.
struct RowReadFailed {
  std::string Key_;
};

/// \brief A compare-and-swap was answered with the row in force afterwards.
struct RowSwapped {
  std::string Key_;
  uint64_t Version_ = 0;
  std::string Value_;
};

/// \brief A compare-and-swap had no usable answer; it may have taken effect.
struct RowSwapFailed {
  std::string Key_;
};

/// \brief An operator submits a catalogue.
struct CatalogueSubmitted {
  uint64_t Token_ = 0;
  uint64_t ExpectedVersion_ = 0; ///< The version that the operator edited.
  std::string Text_;
};

/// \brief An operator drains a target, or ends the drain.
struct DrainOrdered {
  std::string Target_;
  bool IsDrained_ = true;
};

/// \brief A graceful stop was ordered.
struct StopOrdered {};

/// \brief A graceful stop has timed out; all open jobs are answered now.
struct StopForced {};

/// \brief Any event that an instance handles.
using Event =
    std::variant<Tick, JobSubmitted, JobCancelled, CallerGone, ClaimsAnswered,
                 ClaimsFailed, TaskFinished, PeerConnected, PeerDisconnected,
                 PeerReceived, WorkersListed, RowRead, RowReadFailed,
                 RowSwapped, RowSwapFailed, CatalogueSubmitted, DrainOrdered,
                 StopOrdered, StopForced>;

} // namespace marjorambend

#endif // MARJORAMBEND_INSTANCE_EVENTS_H
