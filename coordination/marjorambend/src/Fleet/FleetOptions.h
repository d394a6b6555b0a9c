#ifndef MARJORAMBEND_FLEET_FLEETOPTIONS_H
#define MARJORAMBEND_FLEET_FLEETOPTIONS_H

#include "marjorambend/src/Fleet/CrashLedger.h"
#include "marjorambend/src/Fleet/Evacuation.h"
#include "marjorambend/src/Scheduling/Overload.h"
#include "marjorambend/src/Scheduling/ReturnTimes.h"
#include "marjorambend/src/Scheduling/RunTimes.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <cstdint>
#include <string>

namespace marjorambend {

/// \brief Options for holding workers.
struct HolderOptions {
  /// Length of a renewed lease, at most the platform's `hold_max_ms`. Together
  /// with OriginTimeout_ it is shorter than the 1,300 ms after which a caller
  /// resends a lost job.
  Milliseconds Lease_{800};
  /// Longest lease that a worker grants to any holder; the platform's
  /// `hold_max_ms`.
  Milliseconds MaxLease_{1'000};
  /// Time without a message from an origin after which the leases of workers
  /// with its runs are not renewed; two heartbeats.
  Milliseconds OriginTimeout_{290};
  /// How much slower than the local clock a worker's clock may run, in percent;
  /// from the platform's protocol.
  int64_t MaxClockDriftPercent_ = 2;
  /// Longest wait of a poll while the worker has runs. If its answer is lost,
  /// ends of runs are not noticed for this time plus the call's timeout:
  /// together 180 ms, about the run time of the users' shorter jobs.
  Milliseconds BusyPollWait_{120};
  /// Longest wait of a poll of an idle worker. The lease of a run that starts
  /// during the wait is renewed after it, before its first lease ends.
  Milliseconds IdlePollWait_{500};
  /// Delay before a failed poll or stop is repeated.
  Milliseconds RetryDelay_{100};
  /// Interval between polls of a worker whose earlier runs are being stopped; a
  /// stop takes up to 50 ms.
  Milliseconds ClaimPollInterval_{20};
  /// Consecutive failed polls after which a worker is suspected. For seconds a
  /// tenth of the answers may be lost; two consecutive losses are common then,
  /// three are not.
  uint32_t SuspectAfter_ = 3;
  /// Age after which an unanswered order is no longer carried out; the users'
  /// workers carry out delayed orders after 2 to 12 seconds.
  Milliseconds MaxOrderDelay_{13'000};
  /// Time for which a worker that has rejected a start for want of room counts
  /// as smaller than its report says, unless the report changes before.
  Milliseconds CapacityLimitTime_{500};
  /// Consecutive failures, of different jobs, after which a worker is ejected.
  uint32_t EjectAfter_ = 3;
  /// Time for which an ejected worker gets no work before it is tried again.
  Milliseconds EjectionTime_{2'000};
  /// Time without progress after which a run counts as hung: the greater of
  /// this minimum and a share of the estimated run time.
  Milliseconds MinHangTimeout_{400};
  double HangTimeoutShare_ = 0.25;
  /// Weight of the latest run in the moving average of the slowness.
  double LearningRate_ = 0.2;
  /// Relative change of the slowness above which it is sent to the placer.
  double MinAnnouncedChange_ = 0.15;
  /// Time after an instance begins to coordinate before it claims workers, if
  /// other coordinators of its data centre are missing; instances of one
  /// deployment start within 300 ms of each other.
  Milliseconds ClaimDelay_{500};
  /// Time without a message from any instance of another data centre after
  /// which its workers are claimed from this one; longer than the network
  /// partitions that the users expect.
  Milliseconds RemoteClaimDelay_{10'000};
  /// An instance hands workers over if it holds more than this multiple of its
  /// share of its data centre's workers, plus MaxShareExcess_. Below that they
  /// stay, since a change of the holder closes a worker until its runs have
  /// ended.
  double MaxShareFactor_ = 1.5;
  std::size_t MaxShareExcess_ = 2;
  /// Most workers that are handed over at a time.
  std::size_t MaxHandovers_ = 2;
  /// Time for which a worker is not claimed again after this instance has
  /// released it or another holder has claimed it.
  Milliseconds ReclaimDelay_{1'000};
};

/// \brief Options for placing tasks.
struct PlacerOptions {
  /// Time for which a worker that has refused a run gets no further run.
  Milliseconds BackOff_{30};
  /// Run times that differ by less than this share count as equal; the measured
  /// slowness fluctuates by about this much.
  double RunTimeTolerance_ = 0.35;
  /// Factor on the run time of a task whose data is in another rack; the
  /// platform's `bounds.remote_factor`.
  double RemoteFactor_ = 2.0;
  /// Whether origins report run times and the placer learns from them.
  bool LearnsRunTimes_ = false;
  /// Whether a task may wait for a worker near its data.
  bool WaitsForData_ = false;
  RunTimesOptions RunTimes_;
  /// Time by which each priority class moves a job ahead. It is the slack of
  /// the users' shortest jobs, so that priority decides between jobs with
  /// similar slack and does not starve the others.
  Milliseconds PriorityStep_{100};
  OverloadOptions Overload_;
  RetryAfterOptions Retry_;
  ReturnTimesOptions Returns_;
  /// Interval at which the fleet's capacity and median slowness are computed.
  Milliseconds SummaryInterval_{100};
};

/// \brief Options for the choice of coordinators.
struct RosterOptions {
  /// Least number of coordinators per data centre; two of them may be lost at
  /// once.
  std::size_t MinCoordinators_ = 3;
  /// Greatest number of coordinators per data centre; each keeps a session with
  /// every instance.
  std::size_t MaxCoordinators_ = 6;
  /// Share of the largest processor time in the data centre from which another
  /// instance's processor time counts as similar.
  double SimilarCpuShare_ = 0.8;
  /// Time for which an instance without a session still counts as a
  /// coordinator; instances start within 300 ms of each other.
  Milliseconds ConnectGracePeriod_{1'000};
  /// Time for which a coordinator keeps its role after it is no longer chosen,
  /// as when the instance that it replaced returns; longer than a restart.
  Milliseconds DemotionDelay_{5'000};
};

/// \brief Options of one instance of the fleet.
struct FleetOptions {
  std::string Name_ = "instance";
  std::string DataCentre_ = "data-centre";
  uint32_t CpuShare_ = 1'000; ///< Thousandths of a core.
  /// Bounds of the interval of heartbeats to instances with which work is
  /// shared; it grows with the number of these instances.
  Milliseconds MinHeartbeat_{100};
  Milliseconds MaxHeartbeat_{140};
  Milliseconds HeartbeatPerInstance_{4};
  /// Interval of heartbeats to other instances;
  /// SessionLinkOptions::IdleSilence_ is 2.5 times as long.
  Milliseconds IdleHeartbeat_{1'000};
  /// Time without a message after which an instance with which no work is
  /// shared is not chosen as placer.
  Milliseconds IdleTimeout_{2'300};
  /// Gap between two ticks from which no timeouts of other instances are
  /// detected: messages that arrived in between are not read yet.
  Milliseconds LateTickThreshold_{120};
  /// Time without a message after which another instance is not used as placer;
  /// about two of the longest heartbeat intervals.
  Milliseconds PlacerTimeout_{300};
  /// Age of the last update from the data centre's reader after which an
  /// instance reads the list itself. It allows for one missed read and is well
  /// below the two seconds within which a drain must take effect.
  Milliseconds MaxListAge_{1'000};
  /// The same limit for the configuration.
  Milliseconds MaxConfigAge_{1'200};
  /// Interval at which workers are claimed and handed over.
  Milliseconds HoldReviewInterval_{100};
  /// Interval at which the choice of coordinators is updated.
  Milliseconds RosterReviewInterval_{100};
  /// Time after a pause in which submissions are refused: they may have waited
  /// in the socket during the pause, and their callers may have left.
  Milliseconds PauseGracePeriod_{100};
  /// A larger gap between two ticks counts as a pause: other instances consider
  /// this one lost.
  Milliseconds PauseThreshold_{600};
  /// Time after the start for which jobs wait for the first configuration; it
  /// arrives within a few answers of the store.
  Milliseconds ConfigWait_{300};
  /// Time after the order to stop in which jobs are still accepted: until the
  /// platform sends new connections elsewhere, after two failed checks one
  /// second apart.
  Milliseconds StopGracePeriod_{2'500};
  /// Time for which other instances are asked about a job that is cancelled;
  /// a third of the three seconds within which its tasks must have stopped.
  Milliseconds CancelWait_{1'000};
  /// Time after an outage of the platform's list in which workers that are
  /// missing from it are kept; the platform restores entries within about two
  /// seconds.
  Milliseconds ListGracePeriod_{2'500};
  HolderOptions Holder_;
  PlacerOptions Placer_;
  RosterOptions Roster_;
  CrashOptions Crashes_;
  EvacuationOptions Evacuation_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEETOPTIONS_H
