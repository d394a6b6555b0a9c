#include "marjorambend/src/Scheduling/ReturnTimes.h"

#include <algorithm>
#include <cmath>

namespace marjorambend {
namespace internal {

// Least part of a slot's capacity that a promise begins in; excludes rounding
// errors.
static constexpr double MinRoom = 0.001;

static std::size_t classOf(uint32_t Priority) {
  return std::min<std::size_t>(Priority, ReturnClassCount - 1);
}

static double weightOf(std::size_t Class, const ReturnTimesOptions &Options) {
  return Class == 0 ? Options.FirstClassWeight_ : 1.0;
}

static double decayedDemand(const ReturnClass &Class,
                            const ReturnTimesOptions &Options,
                            Milliseconds Now) {
  const auto Age = static_cast<double>((Now - Class.DemandAt_).Count_);
  const auto Window = static_cast<double>(Options.DemandWindow_.Count_);
  return Class.Demand_ * std::exp(-Age / Window);
}

static std::size_t slotOf(const ReturnLedger &Ledger,
                          const ReturnTimesOptions &Options, Milliseconds At) {
  return static_cast<std::size_t>((At - Ledger.FirstSlotAt_).Count_ /
                                  Options.SlotLength_.Count_);
}

static Milliseconds startOf(const ReturnLedger &Ledger,
                            const ReturnTimesOptions &Options,
                            std::size_t Slot) {
  return Ledger.FirstSlotAt_ + Options.SlotLength_ * static_cast<int64_t>(Slot);
}

/// \brief A booking of one job.
struct Booking {
  ReturnLedger &Ledger_;
  const ReturnTimesOptions &Options_;
  std::size_t Class_;
  double SlotWork_;   ///< Work that the capacity does in one slot.
  double ClassLimit_; ///< Part of it that the class may be promised.

  double promisableIn(const ReturnSlot &Slot) const {
    return std::min(ClassLimit_ - Slot.PromisedByClass_[Class_],
                    SlotWork_ - Slot.Promised_);
  }

  // Time within the slot at which what was entered before is done.
  Milliseconds timeIn(std::size_t Slot, double Used, double Limit) const {
    const double Part = std::clamp(Used / Limit, 0.0, 1.0);
    const auto Offset = static_cast<int64_t>(
        static_cast<double>(Options_.SlotLength_.Count_) * Part);
    return startOf(Ledger_, Options_, Slot) +
           std::min(Milliseconds{Offset},
                    Options_.SlotLength_ - Milliseconds{1});
  }

  // Whether at most Limit returns in each window with the slot, counted by the
  // given member. A job that is larger than a window has one to itself.
  bool fitsWindows(std::size_t Slot, double Work, double ReturnSlot::*Member,
                   double Limit) const {
    const auto &Slots = Ledger_.Slots_;
    const std::size_t Width = Options_.WindowSlots_;
    const std::size_t First = Slot < Width ? 0 : Slot - Width + 1;
    double Sum = 0;
    for (std::size_t Index = First; Index < Slot + Width; ++Index) {
      Sum += Slots[Index].*Member;
      if (Index >= First + Width)
        Sum -= Slots[Index - Width].*Member;
      if (Sum > 0 && Sum + Work > Limit)
        return false;
    }
    return true;
  }

  bool canPromise(std::size_t Slot, double Work) const {
    const double Room = std::min(SlotWork_ * MinRoom, ClassLimit_ / 2);
    return promisableIn(Ledger_.Slots_[Slot]) > Room &&
           fitsWindows(Slot, Work, &ReturnSlot::Returning_,
                       windowWork(1.0 + Options_.OverflowShare_));
  }

  bool canReturnUnpromised(std::size_t Slot, double Work) const {
    return fitsWindows(Slot, Work, &ReturnSlot::Unpromised_,
                       windowWork(Options_.OverflowShare_)) &&
           fitsWindows(Slot, Work, &ReturnSlot::Returning_,
                       windowWork(1.0 + Options_.OverflowShare_));
  }

  double windowWork(double Share) const {
    return SlotWork_ * Share * static_cast<double>(Options_.WindowSlots_);
  }

  // Work that does not fit before the last slot is left out: it would be done
  // when no caller waits for it any more.
  Milliseconds promise(std::size_t First, std::size_t Last, double Work) const {
    ReturnSlot &Start = Ledger_.Slots_[First];
    const Milliseconds At =
        timeIn(First, Start.PromisedByClass_[Class_], ClassLimit_);
    ++Start.Promises_;
    Start.Returning_ += Work;
    for (std::size_t Index = First; Index < Last && Work > 0; ++Index) {
      ReturnSlot &Slot = Ledger_.Slots_[Index];
      const double Part = std::clamp(promisableIn(Slot), 0.0, Work);
      Slot.PromisedByClass_[Class_] += Part;
      Slot.Promised_ += Part;
      Work -= Part;
    }
    return At;
  }

  Milliseconds returnUnpromised(std::size_t Index, double Work) const {
    ReturnSlot &Slot = Ledger_.Slots_[Index];
    const Milliseconds At =
        timeIn(Index, Slot.Unpromised_, SlotWork_ * Options_.OverflowShare_);
    Slot.Unpromised_ += Work;
    Slot.Returning_ += Work;
    return At;
  }
};

static void addDemand(ReturnClass &Class, double Work,
                      const ReturnTimesOptions &Options, Milliseconds Now) {
  Class.Demand_ = decayedDemand(Class, Options, Now) + Work;
  Class.DemandAt_ = Now;
}

// Finds the first slot with room from From on and enters the job there.
static std::optional<ReturnTime> book(const Booking &Job, double Work,
                                      Milliseconds From, Milliseconds Limit,
                                      Milliseconds OverflowFrom) {
  ReturnLedger &Ledger = Job.Ledger_;
  const ReturnTimesOptions &Options = Job.Options_;
  const std::size_t End = slotOf(Ledger, Options, Limit);
  // A job that begins at the limit may need as much time again.
  const std::size_t Last = 2 * End + Options.WindowSlots_;
  if (Ledger.Slots_.size() < Last)
    Ledger.Slots_.resize(Last);
  for (std::size_t Slot = slotOf(Ledger, Options, From); Slot < End; ++Slot) {
    if (Job.canPromise(Slot, Work))
      return ReturnTime{Job.promise(Slot, Last, Work), true};
    if (startOf(Ledger, Options, Slot) >= OverflowFrom &&
        Job.canReturnUnpromised(Slot, Work))
      return ReturnTime{Job.returnUnpromised(Slot, Work), false};
  }
  return std::nullopt;
}

} // namespace internal

double returnShare(const ReturnLedger &Ledger, std::size_t Class,
                   int64_t MilliCores, const ReturnTimesOptions &Options,
                   Milliseconds Now) {
  // Part of the capacity that each class has been refused.
  std::array<double, ReturnClassCount> Demand{};
  std::array<bool, ReturnClassCount> IsServed{};
  const double Whole = static_cast<double>(MilliCores) *
                       static_cast<double>(Options.DemandWindow_.Count_);
  double Weights = 0;
  for (std::size_t One = 0; One < ReturnClassCount; ++One) {
    Demand[One] =
        internal::decayedDemand(Ledger.Classes_[One], Options, Now) / Whole;
    Weights += internal::weightOf(One, Options);
  }
  double Free = 1.0;
  // Classes that need less than their shares leave the rest to the others.
  for (bool IsChanged = true; IsChanged;) {
    IsChanged = false;
    for (std::size_t One = 0; One < ReturnClassCount; ++One) {
      const double Weight = internal::weightOf(One, Options);
      if (One == Class || IsServed[One] ||
          Demand[One] > Free * Weight / Weights)
        continue;
      IsServed[One] = true;
      IsChanged = true;
      Free -= Demand[One];
      Weights -= Weight;
    }
  }
  return std::min(Options.MaxShare_,
                  Free * internal::weightOf(Class, Options) / Weights);
}

ReturnTime chooseReturnTime(ReturnLedger &Ledger, const ReturnRequest &Request,
                            const ReturnTimesOptions &Options,
                            const RetryAfterOptions &Bounds, Milliseconds Now) {
  const std::size_t Index = internal::classOf(Request.Priority_);
  ReturnClass &Class = Ledger.Classes_[Index];
  expireReturns(Ledger, Request.Backlog_, Options, Now);
  if (Ledger.Slots_.empty())
    Ledger.FirstSlotAt_ = Now;
  internal::addDemand(Class, Request.Work_, Options, Now);
  const double SlotWork = static_cast<double>(Request.MilliCores_) *
                          static_cast<double>(Options.SlotLength_.Count_);
  const internal::Booking Job{
      .Ledger_ = Ledger,
      .Options_ = Options,
      .Class_ = Index,
      .SlotWork_ = SlotWork,
      .ClassLimit_ = SlotWork * returnShare(Ledger, Index, Request.MilliCores_,
                                            Options, Now)};
  const Milliseconds Limit = Now + Bounds.MaxRetryAfter_;
  const Milliseconds From = std::min(
      Limit, std::max(Class.LastReturn_,
                      Now + std::max(Request.Backlog_, Bounds.MinRetryAfter_)));
  const auto Booked = internal::book(Job, Request.Work_, From, Limit,
                                     Now + Options.ExclusiveDelay_);
  ReturnTime Chosen = Booked.value_or(ReturnTime{Limit, false});
  const Milliseconds At = std::clamp(Chosen.Delay_, From, Limit);
  Class.LastReturn_ = At;
  Chosen.Delay_ = At - Now;
  return Chosen;
}

void expireReturns(ReturnLedger &Ledger, Milliseconds Backlog,
                   const ReturnTimesOptions &Options, Milliseconds Now) {
  while (!Ledger.Slots_.empty() &&
         Ledger.FirstSlotAt_ + Options.SlotLength_ <= Now) {
    const Milliseconds Error = Backlog.Count_ > 0
                                   ? Now - Ledger.FirstSlotAt_ + Backlog
                                   : Milliseconds{0};
    for (uint32_t One = 0; One < Ledger.Slots_.front().Promises_; ++One)
      observe(Ledger.Errors_, Error);
    Ledger.Slots_.pop_front();
    Ledger.FirstSlotAt_ = Ledger.FirstSlotAt_ + Options.SlotLength_;
  }
}

void followPlacer(ReturnLedger &Ledger, bool IsPlacer, Milliseconds Now) {
  if (!IsPlacer)
    Ledger = {.Errors_ = Ledger.Errors_};
  else if (!Ledger.PlacingSince_)
    Ledger.PlacingSince_ = Now;
}

bool usesLedger(const ReturnLedger &Ledger, const OverloadOptions &Overload,
                const ReturnTimesOptions &Options, Milliseconds Now) {
  return Overload.Policy_ == AdmissionPolicy::LeastCost &&
         Ledger.PlacingSince_ &&
         Now - *Ledger.PlacingSince_ >= Options.TakeoverTime_;
}

} // namespace marjorambend
