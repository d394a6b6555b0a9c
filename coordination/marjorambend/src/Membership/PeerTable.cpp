#include "marjorambend/src/Membership/PeerTable.h"

#include <algorithm>
#include <unordered_map>
#include <xxhash.h>

namespace marjorambend {
namespace internal {

using UseByName = std::unordered_map<uint32_t, uint16_t>;

struct Sharer {
  Incarnation Run_;
  bool HasBacklog_ = false;
  UseByName Uses_;
};

static std::vector<Sharer> sharersOf(const PeerTable &Peers,
                                     std::string_view DataCentre) {
  std::vector<Sharer> Sharers;
  for (const auto &[Run, Known] : Peers.Peers_) {
    if (Known.DataCentre_ != DataCentre)
      continue;
    Sharer One{.Run_ = Run, .HasBacklog_ = Known.HasBacklog_, .Uses_ = {}};
    for (const WorkerUse &Use : Known.Uses_)
      One.Uses_[Use.NameHash_] = Use.Outstanding_;
    Sharers.push_back(std::move(One));
  }
  return Sharers;
}

// Rendezvous hashing: orders the instances that get the remainder of slots that
// do not divide evenly.
static uint64_t weightOf(uint32_t WorkerHash, Incarnation Run) {
  return XXH3_64bits_withSeed(&Run.Value_, sizeof(Run.Value_), WorkerHash);
}

static uint32_t rankOf(const std::vector<Sharer> &Sharers, Incarnation Self,
                       Incarnation Run, uint32_t WorkerHash) {
  const uint64_t Own = weightOf(WorkerHash, Run);
  uint32_t Rank = Run != Self && weightOf(WorkerHash, Self) > Own ? 1 : 0;
  for (const Sharer &Other : Sharers)
    Rank += weightOf(WorkerHash, Other.Run_) > Own ? 1 : 0;
  return Rank;
}

static uint32_t shareOf(uint32_t Slots, uint32_t Members, uint32_t Rank) {
  return Slots / Members + (Rank < Slots % Members ? 1 : 0);
}

static uint32_t useOf(const Sharer &One, uint32_t WorkerHash) {
  const auto Found = One.Uses_.find(WorkerHash);
  return Found == One.Uses_.end() ? 0 : Found->second;
}

} // namespace internal

uint32_t hashName(std::string_view Name) {
  return static_cast<uint32_t>(XXH3_64bits(Name.data(), Name.size()));
}

void sharePeerUse(const PeerTable &Peers, Incarnation Self,
                  std::string_view DataCentre, uint32_t Headroom,
                  WorkerTable &Workers) {
  using namespace internal;
  const std::vector<Sharer> Sharers = sharersOf(Peers, DataCentre);
  const auto Members = static_cast<uint32_t>(Sharers.size() + 1);
  for (Worker &Shared : Workers.Workers_) {
    const uint32_t Hash = hashName(Shared.Spec_.Name_);
    Shared.PeerUse_ = 0;
    Shared.Share_ = shareOf(Shared.Spec_.Slots_, Members,
                            rankOf(Sharers, Self, Self, Hash));
    for (const Sharer &Other : Sharers) {
      const uint32_t Use = useOf(Other, Hash);
      const uint32_t Rank = rankOf(Sharers, Self, Other.Run_, Hash);
      const uint32_t Share = shareOf(Shared.Spec_.Slots_, Members, Rank);
      const uint32_t Kept =
          Other.HasBacklog_ ? Share : std::min(Share, Use + Headroom);
      Shared.PeerUse_ += std::max(Use, Kept);
    }
  }
}

} // namespace marjorambend
