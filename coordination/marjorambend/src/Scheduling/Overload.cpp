#include "marjorambend/src/Scheduling/Overload.h"

#include <algorithm>

namespace marjorambend {

bool isSettled(const FleetCapacity &Capacity, const OverloadOptions &Options) {
  return Capacity.OpenMilliCores_ > 0 &&
         static_cast<double>(Capacity.OpenMilliCores_) >=
             Options.SettledShare_ *
                 static_cast<double>(Capacity.ListedMilliCores_);
}

bool isSettling(const FleetCapacity &Capacity, const OverloadOptions &Options,
                Milliseconds Now) {
  return !isSettled(Capacity, Options) &&
         Now - Capacity.LastSettledAt_ < Options.MaxSettlingTime_;
}

bool refusesLateJobs(std::size_t JobsInTime, const FleetCapacity &Capacity,
                     const OverloadOptions &Options, Milliseconds Now) {
  return Options.RefusesLate_ && JobsInTime > 0 &&
         !isSettling(Capacity, Options, Now);
}

std::vector<PlacerJobKey> forecastLateJobs(std::span<const ForecastJob> Jobs,
                                           double MilliCoresAtWork,
                                           const OverloadOptions &Options,
                                           Milliseconds Now) {
  std::vector<PlacerJobKey> Late;
  if (!Options.Forecasts_ || MilliCoresAtWork <= 0)
    return Late;
  double WorkAhead = 0;
  for (const ForecastJob &Job : Jobs) {
    const auto Slack =
        static_cast<double>((Job.Entry_.LatestStart_ - Now).Count_);
    const double Wait = WorkAhead / MilliCoresAtWork;
    if (!Job.IsStarted_ && Slack >= 0 && Wait > Slack * Options.ForecastMargin_)
      Late.push_back(Job.Entry_.Key_);
    else
      WorkAhead += Job.Work_;
  }
  return Late;
}

int64_t expectedMilliCores(const FleetCapacity &Capacity, bool IsSettling) {
  return IsSettling
             ? std::max(Capacity.OpenMilliCores_, Capacity.ListedMilliCores_)
             : Capacity.OpenMilliCores_;
}

Milliseconds backlogTime(double Work, const FleetCapacity &Capacity,
                         bool IsSettling, const RetryAfterOptions &Options) {
  const int64_t MilliCores = expectedMilliCores(Capacity, IsSettling);
  if (MilliCores <= 0)
    return Options.NoWorkersRetryAfter_;
  return {static_cast<int64_t>(Work / static_cast<double>(MilliCores))};
}

Milliseconds retryAfter(Milliseconds Backlog, double Jitter,
                        const RetryAfterOptions &Options) {
  const auto Wait = static_cast<int64_t>(static_cast<double>(Backlog.Count_) *
                                         (1.0 + Jitter));
  return std::clamp(Milliseconds{Wait}, Options.MinRetryAfter_,
                    Options.MaxRetryAfter_);
}

} // namespace marjorambend
