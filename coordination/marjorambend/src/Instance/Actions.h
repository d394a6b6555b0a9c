#ifndef MARJORAMBEND_INSTANCE_ACTIONS_H
#define MARJORAMBEND_INSTANCE_ACTIONS_H

#include "marjorambend/src/Claims/ClaimBatcher.h"
#include "marjorambend/src/Instance/Messages.h"
#include "marjorambend/src/Support/Trace.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marjorambend {

/// \brief Give a caller its final answer.
struct AnswerCaller {
  uint64_t Token_ = 0;
  AnswerPtr Answer_;
  bool IsIdempotent_ = false; ///< Whether a new identity would be harmless.
};

/// \brief Send an insert-if-absent batch to the table service.
struct InsertClaims {
  ClaimBatch Batch_;
};

/// \brief Send a task to a backend server.
///
/// Exactly one TaskFinished follows, unless an AbortTask does.
struct SendTask {
  uint64_t Send_ = 0;
  uint32_t Worker_ = 0; ///< Index in the worker table.
  JobId Id_;
  uint32_t Task_ = 0; ///< Index of the task in its job.
  std::string Kind_;
  std::string Payload_;
  std::string TraceParent_;
};

/// \brief Stop waiting for a task and close its connection.
struct AbortTask {
  uint64_t Send_ = 0;
};

/// \brief Send a message to another instance, if a link is open.
struct SendPeer {
  Incarnation To_;
  PeerMessage Message_;
};

/// \brief Replace the link to another instance, which has gone silent.
struct ReplaceLink {
  Incarnation To_;
};

/// \brief Read a row of the table service.
struct ReadRow {
  std::string Key_;
  uint64_t KnownVersion_ = 0; ///< Its value is needed only if it is newer.
};

/// \brief Compare-and-swap a row of the table service.
struct SwapRow {
  std::string Key_;
  uint64_t ExpectedVersion_ = 0; ///< 0: the row must not exist.
  std::string Value_;
};

/// \brief Remove the rows whose key starts with \p Prefix_.
struct DeleteRows {
  std::string Prefix_;
};

/// \brief Tell an operator what became of its catalogue.
struct AnswerOperator {
  uint64_t Token_ = 0;
  bool IsAccepted_ = false;
  uint64_t Version_ = 0; ///< The version in force in the table service.
  std::vector<std::string> Problems_;
};

/// \brief Write a finished hop to the trace.
struct RecordSpan {
  Span Span_;
};

/// \brief Write a line to the log: a state has changed.
struct LogChange {
  std::string Text_;
};

/// \brief Everything that an instance can want done.
using Action = std::variant<AnswerCaller, InsertClaims, SendTask, AbortTask,
                            SendPeer, ReplaceLink, ReadRow, SwapRow, DeleteRows,
                            AnswerOperator, RecordSpan, LogChange>;

/// \brief Actions in the order in which they are to be done.
using Actions = std::vector<Action>;

} // namespace marjorambend

#endif // MARJORAMBEND_INSTANCE_ACTIONS_H
