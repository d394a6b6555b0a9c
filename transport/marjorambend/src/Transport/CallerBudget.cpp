#include "marjorambend/src/Transport/CallerBudget.h"

#include <algorithm>

namespace marjorambend {

// Jobs, sessions and store rows need the rest.
static constexpr std::size_t MemoryShare = 4;
// Peers, workers and the store need the rest.
static constexpr std::size_t DescriptorShare = 2;
// Several requests of the largest size that a configuration allows by default.
static constexpr std::size_t MinBytes = 1U << 20U;
static constexpr std::size_t MinConnections = 16;
// All instances of a large fleet may dial at once.
static constexpr std::size_t MaxStrangers = 256;
static constexpr std::size_t StrangerShare = 8;
static constexpr std::size_t FreedShare = 8;
static constexpr std::size_t MinBodyBytesPerMs = 16;

CallerBudget budgetOf(std::size_t MemoryBytes, std::size_t MaxDescriptors) {
  CallerBudget Budget;
  if (MemoryBytes > 0)
    Budget.MaxBytes_ = std::max(MemoryBytes / MemoryShare, MinBytes);
  if (MaxDescriptors > 0)
    Budget.MaxConnections_ =
        std::max(MaxDescriptors / DescriptorShare, MinConnections);
  return Budget;
}

std::size_t maxStrangersOf(std::size_t MaxDescriptors) {
  if (MaxDescriptors == 0)
    return MaxStrangers;
  return std::min(MaxDescriptors / StrangerShare, MaxStrangers);
}

Excess excessOver(const CallerBudget &Budget, std::size_t Bytes,
                  std::size_t Connections) {
  Excess Found;
  if (Budget.MaxBytes_ > 0 && Bytes > Budget.MaxBytes_)
    Found.Bytes_ = Bytes - Budget.MaxBytes_ + Budget.MaxBytes_ / FreedShare;
  if (Budget.MaxConnections_ > 0 && Connections > Budget.MaxConnections_)
    Found.Connections_ = Connections - Budget.MaxConnections_ +
                         Budget.MaxConnections_ / FreedShare;
  return Found;
}

static double rankOf(const HeldConnection &One, Milliseconds Now) {
  const auto Age = static_cast<double>((Now - One.Since_).Count_);
  return static_cast<double>(One.Bytes_) * (1.0 + Age);
}

std::vector<uint64_t> chooseClosed(std::span<const HeldConnection> Held,
                                   Excess Excess, Milliseconds Now) {
  std::vector<const HeldConnection *> Candidates;
  for (const HeldConnection &One : Held) {
    if (!One.HasOpenRequest_)
      Candidates.push_back(&One);
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [&](const HeldConnection *A, const HeldConnection *B) {
              if (A->HasUnreadRequest_ != B->HasUnreadRequest_)
                return B->HasUnreadRequest_;
              return rankOf(*A, Now) > rankOf(*B, Now);
            });
  std::vector<uint64_t> Closed;
  std::size_t Freed = 0;
  for (const HeldConnection *One : Candidates) {
    if (Freed >= Excess.Bytes_ && Closed.size() >= Excess.Connections_)
      break;
    Freed += One->Bytes_;
    Closed.push_back(One->Id_);
  }
  return Closed;
}

Milliseconds receiveDeadline(Milliseconds Start, Milliseconds Timeout,
                             std::size_t BodyBytes) {
  return Start + Timeout +
         Milliseconds{static_cast<int64_t>(BodyBytes / MinBodyBytesPerMs)};
}

} // namespace marjorambend
