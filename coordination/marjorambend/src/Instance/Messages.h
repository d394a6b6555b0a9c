#ifndef MARJORAMBEND_INSTANCE_MESSAGES_H
#define MARJORAMBEND_INSTANCE_MESSAGES_H

#include "marjorambend/src/Jobs/JobTypes.h"
#include "marjorambend/src/Membership/DrainMap.h"
#include "marjorambend/src/Membership/PeerTable.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marjorambend {

/// \brief Periodic message with the sender's versions, state and slot use.
struct Heartbeat {
  uint64_t CatalogueVersion_ = 0;
  uint64_t DrainFingerprint_ = 0;
  bool HasBacklog_ = false;
  bool IsStopping_ = false;
  bool KnowsDrains_ = false;    ///< The sender's drains are confirmed.
  std::vector<WorkerUse> Uses_; ///< Only between instances of a data centre.
};

/// \brief A submission, for the instance that holds the job.
struct ForwardedJob {
  uint64_t Token_ = 0; ///< Returned with the answer.
  JobRequest Request_;
};

/// \brief The answer to a ForwardedJob.
struct ForwardedAnswer {
  uint64_t Token_ = 0;
  AnswerPtr Answer_;
};

/// \brief A cancellation, for the instance that holds the job.
struct ForwardedCancel {
  JobId Id_;
};

/// \brief Asks for the catalogue in force at the receiver.
struct CatalogueRequest {};

/// \brief The catalogue in force at the sender.
struct CatalogueUpdate {
  uint64_t Version_ = 0;
  std::string Text_;
};

/// \brief The drains known to the sender.
struct DrainUpdate {
  DrainMap Map_;
};

/// \brief Every message between two instances.
using PeerMessage =
    std::variant<Heartbeat, ForwardedJob, ForwardedAnswer, ForwardedCancel,
                 CatalogueRequest, CatalogueUpdate, DrainUpdate>;

} // namespace marjorambend

#endif // MARJORAMBEND_INSTANCE_MESSAGES_H
