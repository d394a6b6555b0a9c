#include "marjorambend/src/Transport/ResponseBudget.h"

#include <algorithm>

namespace marjorambend {

// Callers, jobs and sessions need the rest.
static constexpr std::size_t MemoryShare = 8;
// Several of the store's largest pages.
static constexpr std::size_t MinBytes = 4U << 20U;

std::size_t responseBudgetOf(std::size_t MemoryBytes) {
  return MemoryBytes == 0 ? 0 : std::max(MemoryBytes / MemoryShare, MinBytes);
}

std::vector<uint64_t> chooseAbandoned(std::vector<HeldResponse> Held,
                                      std::size_t MaxBytes) {
  std::sort(Held.begin(), Held.end(),
            [](const HeldResponse &A, const HeldResponse &B) {
              return A.Bytes_ != B.Bytes_ ? A.Bytes_ > B.Bytes_
                                          : A.Call_ > B.Call_;
            });
  std::size_t Bytes = 0;
  for (const HeldResponse &One : Held)
    Bytes += One.Bytes_;
  std::vector<uint64_t> Abandoned;
  for (const HeldResponse &One : Held) {
    if (Bytes <= MaxBytes)
      break;
    Bytes -= One.Bytes_;
    Abandoned.push_back(One.Call_);
  }
  return Abandoned;
}

} // namespace marjorambend
