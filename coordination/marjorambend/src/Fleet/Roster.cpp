#include "marjorambend/src/Fleet/Roster.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace marjorambend {
namespace internal {

static bool isBefore(const RosterEntry &A, const RosterEntry &B) {
  if (A.Info_.DataCentre_ != B.Info_.DataCentre_)
    return A.Info_.DataCentre_ < B.Info_.DataCentre_;
  return isPreferred(A.Info_, B.Info_);
}

static RosterEntry *find(Roster &Known, const std::string &Name) {
  const auto Found = std::find_if(
      Known.Ranked_.begin(), Known.Ranked_.end(),
      [&Name](const RosterEntry &One) { return One.Info_.Name_ == Name; });
  return Found == Known.Ranked_.end() ? nullptr : &*Found;
}

// Whether there is a session with the instance, or one may still be opened.
static bool countsAsCoordinator(RosterEntry &One, const RosterOptions &Options,
                                Presence Seen, Milliseconds Now) {
  if (Seen != Presence::Absent) {
    One.MissingSince_.reset();
    One.WasLost_ = false;
    return Seen == Presence::Present;
  }
  if (!One.MissingSince_)
    One.MissingSince_ = Now;
  return !One.WasLost_ &&
         Now - *One.MissingSince_ < Options.ConnectGracePeriod_;
}

static bool hasEnoughCoordinators(const RosterOptions &Options,
                                  std::size_t Counted, uint32_t CpuShare,
                                  uint32_t MaxCpuShare) {
  if (Counted < Options.MinCoordinators_)
    return false;
  return Counted >= Options.MaxCoordinators_ ||
         static_cast<double>(CpuShare) < MaxCpuShare * Options.SimilarCpuShare_;
}

} // namespace internal

bool isPreferred(const InstanceInfo &A, const InstanceInfo &B) {
  if (A.CpuShare_ != B.CpuShare_)
    return A.CpuShare_ > B.CpuShare_;
  return A.Name_ < B.Name_;
}

void setRoster(Roster &Known, std::span<const InstanceInfo> All,
               const InstanceInfo &Self) {
  std::vector<RosterEntry> Next{{.Info_ = Self}};
  for (const InstanceInfo &Info : All) {
    if (Info.Name_ == Self.Name_)
      continue;
    const RosterEntry *Before = internal::find(Known, Info.Name_);
    const bool IsSame = Before != nullptr &&
                        linkAddressOf(Before->Info_) == linkAddressOf(Info);
    Next.push_back(IsSame ? *Before : RosterEntry{});
    Next.back().Info_ = Info;
  }
  std::sort(Next.begin(), Next.end(), internal::isBefore);
  Known.Ranked_ = std::move(Next);
}

void addToRoster(Roster &Known, const InstanceInfo &Info) {
  if (RosterEntry *Same = internal::find(Known, Info.Name_)) {
    Same->Info_ = Info;
    return;
  }
  const RosterEntry New{.Info_ = Info};
  Known.Ranked_.insert(std::upper_bound(Known.Ranked_.begin(),
                                        Known.Ranked_.end(), New,
                                        internal::isBefore),
                       New);
}

void markLost(Roster &Known, const std::string &Name) {
  if (RosterEntry *One = internal::find(Known, Name))
    One->WasLost_ = true;
}

void reviewRoster(
    Roster &Known, const RosterOptions &Options, const InstanceInfo &Self,
    Milliseconds Now,
    const std::function<Presence(const InstanceInfo &)> &PresenceOf) {
  Known.Wanted_.clear();
  bool IsChosen = false;
  const std::string *DataCentre = nullptr;
  uint32_t MaxCpuShare = 0;
  std::size_t Counted = 0;
  for (RosterEntry &One : Known.Ranked_) {
    if (DataCentre == nullptr || *DataCentre != One.Info_.DataCentre_) {
      DataCentre = &One.Info_.DataCentre_;
      MaxCpuShare = One.Info_.CpuShare_;
      Counted = 0;
    }
    if (internal::hasEnoughCoordinators(Options, Counted, One.Info_.CpuShare_,
                                        MaxCpuShare)) {
      One.MissingSince_.reset();
      continue;
    }
    if (One.Info_.Name_ == Self.Name_) {
      IsChosen = true;
      ++Counted;
      continue;
    }
    Known.Wanted_.insert(linkAddressOf(One.Info_));
    if (internal::countsAsCoordinator(One, Options, PresenceOf(One.Info_), Now))
      ++Counted;
  }
  if (IsChosen)
    Known.LastChosenAt_ = Now;
  // A replacement keeps coordinating for some time: the replaced instance may
  // return, and workers are closed while they change their holder.
  Known.IsChosen_ = IsChosen || (Known.IsChosen_ && Now - Known.LastChosenAt_ <
                                                        Options.DemotionDelay_);
}

bool areCoordinatorsPresent(
    const Roster &Known, const RosterOptions &Options, const InstanceInfo &Self,
    const std::function<bool(const InstanceInfo &)> &IsCoordinating) {
  std::size_t Present = Known.IsChosen_ ? 1 : 0;
  for (const RosterEntry &One : Known.Ranked_) {
    if (One.Info_.DataCentre_ != Self.DataCentre_ ||
        !Known.Wanted_.contains(linkAddressOf(One.Info_)))
      continue;
    if (!IsCoordinating(One.Info_))
      return false;
    ++Present;
  }
  return Present >= Options.MinCoordinators_;
}

} // namespace marjorambend
