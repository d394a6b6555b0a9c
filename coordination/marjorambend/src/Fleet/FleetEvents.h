#ifndef MARJORAMBEND_FLEET_FLEETEVENTS_H
#define MARJORAMBEND_FLEET_FLEETEVENTS_H

#include "marjorambend/src/Fleet/FleetMessages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjorambend {

/// \brief Time has passed.
struct FleetTick {
  Milliseconds SharedClock_; ///< The store's clock; 0 while it is unknown.
};

/// \brief A configuration was read, from the store or from another instance.
struct ConfigRead {
  FleetConfig Config_;
  std::string Text_; ///< As in the store, to be sent to other instances.
  bool IsFromStore_ = false; ///< Read by this instance itself.
};

/// \brief The store has confirmed that the known configuration is the newest.
struct ConfigConfirmed {};

/// \brief The complete set of evacuated data centres was read in the store, or
/// a change of it.
struct EvacuationsRead {
  uint64_t Version_ = 0; ///< Store version of the read.
  DataCentreNames DataCentres_;
};

/// \brief The platform's whole list of workers was read.
struct WorkersRead {
  std::vector<WorkerReport> Workers_;
};

/// \brief The platform's list could not be read.
struct WorkersReadFailed {};

/// \brief The store's list of instances was read.
struct InstancesRead {
  std::vector<InstanceInfo> Instances_;
};

/// \brief Crashes of workers that the store keeps were read.
struct CrashesRead {
  std::vector<WorkerCrash> Crashes_;
  std::vector<WorkerIncarnation> Withdrawn_; ///< Removed before they expired.
};

/// \brief The caller of a job has closed its connection.
struct JobAbandoned {
  uint64_t Token_ = 0;
};

/// \brief A caller cancels a job.
struct JobCancel {
  uint64_t Id_ = 0;
  uint64_t Token_ = 0; ///< Identifies the caller's request; one AnswerCancel
                       ///< follows.
};

/// \brief A session with another instance has begun.
struct InstanceUp {
  InstanceInfo Info_;
};

/// \brief A session with another instance has ended; no message of it follows.
struct InstanceDown {
  Incarnation Run_;
};

/// \brief Another instance has sent a message.
struct MessageReceived {
  Incarnation From_;
  FleetMessage Message_;
};

/// \brief How a worker answered an order.
enum class OrderResult : uint8_t {
  Accepted,
  Fenced,     ///< The worker has seen a higher token.
  Superseded, ///< This attempt or a later one has already ended there.
  Late,       ///< The lease in the order has ended.
  NoRoom,
  Invalid,
  Unhealthy,        ///< The worker does not work at present.
  OtherIncarnation, ///< Another incarnation of the worker answered.
  NotDelivered,     ///< No connection was made.
  Unknown,          ///< No answer; the order may be carried out, now or later.
};

/// \brief Name of a result in logs.
const char *nameOf(OrderResult Result);

/// \brief A start order was answered, or its call has failed.
struct StartAnswered {
  std::string Worker_;
  RunId Run_;
  OrderResult Result_ = OrderResult::Unknown;
  std::optional<Milliseconds> WorkerClock_;
};

/// \brief A stop order was answered, or its call has failed.
struct StopAnswered {
  std::string Worker_;
  RunId Run_;
  OrderResult Result_ = OrderResult::Unknown;
  std::optional<Milliseconds> WorkerClock_;
};

/// \brief A run that a worker lists.
struct ListedRun {
  RunId Run_;
  double Percent_ = 0; ///< Progress.
};

/// \brief The end of a run, which a worker lists until it is acknowledged.
struct ListedEnd {
  uint64_t Number_ = 0; ///< Increases during an incarnation of the worker.
  RunId Run_;
  RunEnd End_ = RunEnd::Done;
};

/// \brief A worker's lists of runs, or why the poll has failed.
struct PollAnswered {
  std::string Worker_;
  uint64_t Poll_ = 0; ///< Number of the poll.
  OrderResult Result_ = OrderResult::Unknown;
  int64_t Incarnation_ = 0; ///< 0 if unknown.
  std::optional<Milliseconds> WorkerClock_;
  std::vector<ListedRun> Running_;
  std::vector<ListedEnd> Ended_;
};

/// \brief A planned stop of the process begins.
struct FleetStop {};

/// \brief The time for a planned stop is over; the remaining jobs are answered
/// now.
struct FleetStopForced {};

/// \brief All events that an instance of the fleet handles.
using FleetEvent =
    std::variant<FleetTick, ConfigRead, ConfigConfirmed, EvacuationsRead,
                 WorkersRead, WorkersReadFailed, InstancesRead, CrashesRead,
                 JobSubmission, JobAbandoned, JobCancel, InstanceUp,
                 InstanceDown, MessageReceived, StartAnswered, StopAnswered,
                 PollAnswered, FleetStop, FleetStopForced>;

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEETEVENTS_H
