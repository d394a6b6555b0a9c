#include "marjorambend/src/Claims/ClaimBatcher.h"

#include "marjorambend/src/Support/Constants.h"

#include <algorithm>

namespace marjorambend {
namespace internal {

static void requeue(ClaimBatcher &Batcher) {
  Batcher.Waiting_.insert(Batcher.Waiting_.begin(), Batcher.InFlight_.begin(),
                          Batcher.InFlight_.end());
  Batcher.InFlight_.clear();
  Batcher.InFlightNumber_ = 0;
}

} // namespace internal

bool enqueueClaim(ClaimBatcher &Batcher, const ClaimOptions &Options,
                  const Claim &NewClaim, Milliseconds Now) {
  if (Batcher.Waiting_.size() >= Options.MaxWaiting_)
    return false;
  Batcher.Waiting_.push_back({.Claim_ = NewClaim, .EnqueuedAt_ = Now});
  return true;
}

std::optional<ClaimBatch> nextBatch(ClaimBatcher &Batcher,
                                    const ClaimOptions &Options,
                                    Milliseconds Now) {
  const Milliseconds Age = Now - Batcher.SentAt_;
  if (Batcher.InFlightNumber_ != 0) {
    if (Age < Options.Timeout_)
      return std::nullopt;
    internal::requeue(Batcher);
  }
  if (Batcher.Waiting_.empty() || Age < Options.Spacing_)
    return std::nullopt;
  const std::size_t Rows =
      std::min(Batcher.Waiting_.size(), Options.RowsPerBatch_);
  ClaimBatch Batch{.Number_ = Batcher.NextNumber_++, .Claims_ = {}};
  for (std::size_t Row = 0; Row < Rows; ++Row) {
    Batch.Claims_.push_back(Batcher.Waiting_.front().Claim_);
    Batcher.InFlight_.push_back(Batcher.Waiting_.front());
    Batcher.Waiting_.pop_front();
  }
  Batcher.InFlightNumber_ = Batch.Number_;
  Batcher.SentAt_ = Now;
  return Batch;
}

bool finishBatch(ClaimBatcher &Batcher, uint64_t Number) {
  if (Number != Batcher.InFlightNumber_)
    return false;
  Batcher.InFlight_.clear();
  Batcher.InFlightNumber_ = 0;
  return true;
}

void failBatch(ClaimBatcher &Batcher, uint64_t Number) {
  if (Number == Batcher.InFlightNumber_)
    internal::requeue(Batcher);
}

std::vector<JobId> expireClaims(ClaimBatcher &Batcher,
                                const ClaimOptions &Options, Milliseconds Now) {
  std::vector<JobId> Expired;
  auto IsTooOld = [&](const ClaimBatcher::Entry &Old) {
    if (Now - Old.EnqueuedAt_ < Options.MaxAge_)
      return false;
    Expired.push_back(Old.Claim_.Id_);
    return true;
  };
  std::erase_if(Batcher.Waiting_, IsTooOld);
  std::erase_if(Batcher.InFlight_, IsTooOld);
  return Expired;
}

std::string claimPrefix(Milliseconds WallClock) {
  const int64_t Bucket = WallClock.Count_ / ClaimBucket.Count_;
  return "claims/" + std::to_string(Bucket) + '/';
}

std::string claimKey(const JobId &Id) {
  return claimPrefix(createdAt(Id)) + formatJobId(Id);
}

} // namespace marjorambend
