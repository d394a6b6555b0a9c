#include "marjorambend/src/Scheduling/FairShares.h"

#include <algorithm>

namespace marjorambend {

// Intervals per window: the window moves by a twentieth of its length.
static constexpr int64_t IntervalsPerWindow = 20;
// The band counts cover about this many jobs of a class; a tenth of them is
// enough for a share of the largest ones.
static constexpr double BandMemory = 200;
static constexpr double MiddleBandFrom = 0.7;
static constexpr double LargeBandFrom = 0.9;

std::size_t priorityClass(uint32_t Priority) {
  return std::min<std::size_t>(Priority, PriorityClassCount - 1);
}

double classWeight(std::size_t Class, const FairShareOptions &Options) {
  return Class == 0 ? Options.TopWeight_ : 1.0;
}

void advanceWindow(FairShares &Shares, const FairShareOptions &Options,
                   Milliseconds Now) {
  while (!Shares.Intervals_.empty() &&
         Now - Shares.Intervals_.front().From_ >= Options.Window_) {
    const ShareInterval &Old = Shares.Intervals_.front();
    for (std::size_t Class = 0; Class < PriorityClassCount; ++Class) {
      Shares.Window_[Class].Demanded_ -= Old.Classes_[Class].Demanded_;
      Shares.Window_[Class].Admitted_ -= Old.Classes_[Class].Admitted_;
      Shares.Window_[Class].Refused_ -= Old.Classes_[Class].Refused_;
    }
    Shares.Intervals_.pop_front();
  }
  // Sums of nothing are set to zero, so that rounding errors do not add up.
  if (Shares.Intervals_.empty())
    Shares.Window_ = {};
}

static void add(FairShares &Shares, std::size_t Class, const ClassWork &More,
                const FairShareOptions &Options, Milliseconds Now) {
  advanceWindow(Shares, Options, Now);
  const Milliseconds Length{Options.Window_.Count_ / IntervalsPerWindow};
  if (Shares.Intervals_.empty() ||
      Now - Shares.Intervals_.back().From_ >= Length)
    Shares.Intervals_.push_back({.From_ = Now, .Classes_ = {}});
  for (ClassWork *Into :
       {&Shares.Intervals_.back().Classes_[Class], &Shares.Window_[Class]}) {
    Into->Demanded_ += More.Demanded_;
    Into->Admitted_ += More.Admitted_;
    Into->Refused_ += More.Refused_;
  }
  Shares.Totals_[Class].Demanded_ += More.Demanded_;
  Shares.Totals_[Class].Admitted_ += std::max(0.0, More.Admitted_);
  Shares.Totals_[Class].Refused_ += More.Refused_;
}

static std::size_t addToSample(SizeSample &Sample, double Work) {
  const std::size_t Known = std::min(Sample.Count_, Sample.Works_.size());
  const auto End = Sample.Works_.begin() + static_cast<std::ptrdiff_t>(Known);
  const auto Smaller = static_cast<double>(
      std::count_if(Sample.Works_.begin(), End,
                    [Work](double Other) { return Other < Work; }));
  Sample.Works_[Sample.Count_ % Sample.Works_.size()] = Work;
  ++Sample.Count_;
  if (Smaller >= LargeBandFrom * static_cast<double>(Known))
    return Known == 0 ? 0 : 2;
  return Smaller >= MiddleBandFrom * static_cast<double>(Known) ? 1 : 0;
}

JobSize recordDemand(FairShares &Shares, uint32_t Priority, double Work,
                     const FairShareOptions &Options, Milliseconds Now) {
  const std::size_t Class = priorityClass(Priority);
  const JobSize Job{.Class_ = Class,
                    .Band_ = addToSample(Shares.Sizes_[Class], Work),
                    .Work_ = Work};
  add(Shares, Class, {.Demanded_ = Work}, Options, Now);
  for (BandJobs &Band : Shares.Bands_[Class]) {
    Band.Demanded_ *= 1.0 - 1.0 / BandMemory;
    Band.Admitted_ *= 1.0 - 1.0 / BandMemory;
  }
  Shares.Bands_[Class][Job.Band_].Demanded_ += 1;
  return Job;
}

void recordAdmission(FairShares &Shares, const JobSize &Job,
                     const FairShareOptions &Options, Milliseconds Now) {
  add(Shares, Job.Class_, {.Admitted_ = Job.Work_}, Options, Now);
  Shares.Bands_[Job.Class_][Job.Band_].Admitted_ += 1;
}

void recordRefusal(FairShares &Shares, const JobSize &Job, bool WasAdmitted,
                   const FairShareOptions &Options, Milliseconds Now) {
  add(Shares, Job.Class_,
      {.Admitted_ = WasAdmitted ? -Job.Work_ : 0, .Refused_ = Job.Work_},
      Options, Now);
  if (WasAdmitted)
    Shares.Bands_[Job.Class_][Job.Band_].Admitted_ -= 1;
}

std::array<double, PriorityClassCount>
entitledWork(const std::array<ClassWork, PriorityClassCount> &Window,
             const FairShareOptions &Options) {
  std::array<double, PriorityClassCount> Entitled{};
  std::array<bool, PriorityClassCount> IsDone{};
  double Left = 0;
  for (const ClassWork &Class : Window)
    Left += std::max(0.0, Class.Admitted_);
  // Each round satisfies at least one class, or divides the rest.
  for (std::size_t Round = 0; Round < PriorityClassCount; ++Round) {
    double Weights = 0;
    for (std::size_t Class = 0; Class < PriorityClassCount; ++Class)
      Weights += IsDone[Class] ? 0 : classWeight(Class, Options);
    const double PerWeight = Weights > 0 ? Left / Weights : 0;
    bool HasSatisfied = false;
    for (std::size_t Class = 0; Class < PriorityClassCount; ++Class) {
      const double Demanded = std::max(0.0, Window[Class].Demanded_);
      if (IsDone[Class] || Demanded > PerWeight * classWeight(Class, Options))
        continue;
      Entitled[Class] = Demanded;
      Left -= Demanded;
      IsDone[Class] = true;
      HasSatisfied = true;
    }
    if (HasSatisfied)
      continue;
    for (std::size_t Class = 0; Class < PriorityClassCount; ++Class) {
      if (!IsDone[Class])
        Entitled[Class] = PerWeight * classWeight(Class, Options);
    }
    break;
  }
  return Entitled;
}

} // namespace marjorambend
