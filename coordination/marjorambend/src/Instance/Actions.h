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

/// \brief Send a caller its final answer.
struct AnswerCaller {
  uint64_t Token_ = 0;
  AnswerPtr Answer_;
  bool IsIdempotent_ = false; ///< Whether a retry under a new identity is safe.
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

/// \brief Replace the link to an instance that has become silent.
struct ReplaceLink {
  Incarnation To_;
};

/// \brief Read a row of the table service.
struct ReadRow {
  std::string Key_;
  uint64_t KnownVersion_ = 0; ///< The value is needed only if the row is newer.
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

/// \brief Answer an operator that has submitted a catalogue.
struct AnswerOperator {
  uint64_t Token_ = 0;
  bool IsAccepted_ = false;
  uint64_t Version_ = 0; ///< The version in force in the table service.
  std::vector<std::string> Problems_;
};

/// \brief Write a finished span to the trace.
struct RecordSpan {
  Span Span_;
};

/// \brief Log a change of state.
struct LogChange {
  std::string Text_;
};

/// \brief Any action that a step can request.
using Action = std::variant<AnswerCaller, InsertClaims, SendTask, AbortTask,
                            SendPeer, ReplaceLink, ReadRow, SwapRow, DeleteRows,
                            AnswerOperator, RecordSpan, LogChange>;

/// \brief Actions in the order of execution.
using Actions = std::vector<Action>;

} // namespace marjorambend

#endif // MARJORAMBEND_INSTANCE_ACTIONS_H
