#ifndef MARJORAMBEND_CLAIMS_CLAIMBATCHER_H
#define MARJORAMBEND_CLAIMS_CLAIMBATCHER_H

#include "marjorambend/src/Support/Identity.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief Bounds of the group commit of claims.
struct ClaimOptions {
  std::size_t RowsPerBatch_ = 400;
  std::size_t MaxWaiting_ = 20'000; ///< Claims waiting for a batch.
  Milliseconds Spacing_{20};        ///< Least time between two batches.
  Milliseconds Timeout_{800};       ///< A batch without answer is ambiguous.
  Milliseconds MaxAge_{2'000};      ///< Age at which a claim expires.
};

/// \brief A claim that an instance wants to make.
struct Claim {
  JobId Id_;
  uint64_t Nonce_ = 0; ///< Identifies the claiming record.
};

/// \brief A claim row as the table service has it.
struct ClaimRow {
  JobId Id_;
  Incarnation Holder_; ///< The incarnation whose insert took effect.
  uint64_t Nonce_ = 0; ///< Of that incarnation's record.
};

/// \brief One insert-if-absent request, to be sent to the table service.
struct ClaimBatch {
  uint64_t Number_ = 0;
  std::vector<Claim> Claims_;
};

/// \brief Group commit of claim rows: at most one batch is in flight.
///
/// An insert-if-absent answers with the row in force. Repeating a batch whose
/// answer was lost therefore resolves it: the row has this record's nonce if
/// the first try took effect, and otherwise names the holder whose insert came
/// first. A row that names this incarnation with another nonce belongs to a
/// record that has been evicted.
struct ClaimBatcher {
  struct Entry {
    Claim Claim_;
    Milliseconds EnqueuedAt_;
  };
  std::deque<Entry> Waiting_;
  std::vector<Entry> InFlight_;
  uint64_t NextNumber_ = 1;
  uint64_t InFlightNumber_ = 0; ///< 0 if no batch is in flight.
  Milliseconds SentAt_{-1'000'000};
};

/// \brief Queues a claim.
/// \returns false if too many claims wait.
bool enqueueClaim(ClaimBatcher &Batcher, const ClaimOptions &Options,
                  const Claim &NewClaim, Milliseconds Now);

/// \brief The batch to send now, if any.
///
/// A batch that has timed out is queued again first.
std::optional<ClaimBatch>
nextBatch(ClaimBatcher &Batcher, const ClaimOptions &Options, Milliseconds Now);

/// \brief Marks batch \p Number as answered.
/// \returns false if the answer belongs to no batch in flight. Its rows are in
/// force nevertheless.
bool finishBatch(ClaimBatcher &Batcher, uint64_t Number);

/// \brief Queues a batch again that failed or may have failed.
void failBatch(ClaimBatcher &Batcher, uint64_t Number);

/// \brief Removes claims older than ClaimOptions::MaxAge_; whether they took
/// effect remains unknown.
std::vector<JobId> expireClaims(ClaimBatcher &Batcher,
                                const ClaimOptions &Options, Milliseconds Now);

/// \brief Key of the claim row of \p Id in the table service.
std::string claimKey(const JobId &Id);

/// \brief Common prefix of the keys of all claims created near \p WallClock.
///
/// Rows are removed by prefix, one request for each ClaimBucket.
std::string claimPrefix(Milliseconds WallClock);

} // namespace marjorambend

#endif // MARJORAMBEND_CLAIMS_CLAIMBATCHER_H
