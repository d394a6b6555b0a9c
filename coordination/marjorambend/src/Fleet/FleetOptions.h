#ifndef MARJORAMBEND_FLEET_FLEETOPTIONS_H
#define MARJORAMBEND_FLEET_FLEETOPTIONS_H

#include "marjorambend/src/Support/Milliseconds.h"

#include <cstdint>
#include <string>

namespace marjorambend {

/// \brief Parameters of the workers that an instance holds.
struct HolderOptions {
  /// Length of a renewed lease; the platform's `hold_max_ms` bounds it. With
  /// OriginTimeout_ it is shorter than the 1,300 ms after which a caller sends
  /// a lost job again.
  Milliseconds Lease_{800};
  /// Longest lease that a worker grants, whoever asks for it; the platform's
  /// `hold_max_ms`.
  Milliseconds MaxLease_{1'000};
  /// Silence of an origin after which leases of workers with runs of it are not
  /// renewed; two heartbeats.
  Milliseconds OriginTimeout_{290};
  /// How much slower than ours a worker's clock may run, in percent; from the
  /// platform's protocol.
  int64_t MaxClockDriftPercent_ = 2;
  /// Longest wait of a look while something runs. When its answer is lost, ends
  /// of runs stay unseen for this time and the call's time-out: together 180
  /// ms, about the run time of the users' shorter jobs.
  Milliseconds BusyPollWait_{120};
  /// Longest wait of a look at an idle worker. A run that starts meanwhile is
  /// renewed after it, within its first lease.
  Milliseconds IdlePollWait_{500};
  /// Pause before a look or a stop that failed is repeated.
  Milliseconds RetryDelay_{100};
  /// Pause between two looks at a worker whose former runs are being stopped;
  /// a stop takes up to 50 ms.
  Milliseconds ClaimPollInterval_{20};
  /// Failed looks in a row after which a worker is suspected. Of answers a
  /// tenth may be lost for seconds; two losses in a row are common then, three
  /// not.
  uint32_t SuspectAfter_ = 3;
  /// Age of an order without an answer from which it is not carried out any
  /// more; the users' workers carry out late orders after 2 to 12 seconds.
  Milliseconds MaxOrderDelay_{13'000};
  /// Bad ends in a row, of different jobs, after which a worker is ejected.
  uint32_t EjectAfter_ = 3;
  /// Time for which a failing worker gets no work before it is probed.
  Milliseconds EjectionTime_{2'000};
  /// Time without any progress, beside a share of the estimate, after which a
  /// run is taken for hung.
  Milliseconds MinHangTimeout_{400};
  double HangTimeoutShare_ = 0.25;
  /// Weight of the newest run in the learnt slowness.
  double LearningRate_ = 0.2;
  /// Relative change of the slowness that is worth a message.
  double MinAnnouncedChange_ = 0.15;
  /// Time after an instance begins to coordinate in which workers are left to
  /// others; instances of one deployment start within 300 ms of each other.
  Milliseconds ClaimDelay_{500};
  /// Silence of all instances of another data centre after which its workers
  /// are claimed from here; longer than the cuts that the users expect.
  Milliseconds RemoteClaimDelay_{10'000};
  /// An instance with more workers than this multiple of its share of its data
  /// centre's, and a few, hands some over. Within it they stay, since each
  /// change of the holder closes a worker for as long as its runs take.
  double MaxShareFactor_ = 1.5;
  std::size_t MaxShareExcess_ = 2;
  /// Workers that are handed over at a time.
  std::size_t MaxHandovers_ = 2;
  /// How long a worker is left alone after another holder has taken it.
  Milliseconds ReclaimDelay_{1'000};
};

/// \brief Parameters of the instance that places tasks.
struct PlacerOptions {
  /// Time for which a worker that has refused a run gets no further one.
  Milliseconds BackOff_{30};
  /// Run times that differ by less than this share count as equal; learnt
  /// slowness varies by about this much by itself.
  double RunTimeTolerance_ = 0.35;
  /// How much earlier a job is taken for each class of urgency; the slack of
  /// the users' shortest jobs, so that urgency decides among jobs of like slack
  /// and does not starve the others.
  Milliseconds PriorityStep_{100};
  /// Whether a job that can only be late is refused at once while others that
  /// can be in time wait; off for comparison.
  bool RefusesLate_ = true;
  /// Age at which the fleet's usual slowness is computed anew.
  Milliseconds SlownessRefreshInterval_{100};
  /// Least and greatest come-back time of a refusal.
  Milliseconds MinRetryAfter_{200};
  Milliseconds MaxRetryAfter_{5'000};
  /// The same while no worker is open; lost holders are replaced within half a
  /// second, and a worker is open some 50 ms after its claim.
  Milliseconds NoWorkersRetryAfter_{800};
};

/// \brief Parameters of the choice of coordinators.
struct RosterOptions {
  /// Coordinators of each data centre at least; two of them may be lost at
  /// once.
  std::size_t MinCoordinators_ = 3;
  /// And at most; each keeps a session with every instance.
  std::size_t MaxCoordinators_ = 6;
  /// Share of the strongest instance's processor time from which another one
  /// is about as strong.
  double SimilarCpuShare_ = 0.8;
  /// Time within which an instance that was not reached yet still counts;
  /// instances start within 300 ms of each other.
  Milliseconds ConnectGracePeriod_{1'000};
  /// Time for which an instance goes on that coordinates in place of another;
  /// longer than a restart takes.
  Milliseconds DemotionDelay_{5'000};
};

/// \brief Parameters of one instance of the fleet.
struct FleetOptions {
  std::string Name_ = "instance";
  std::string DataCentre_ = "data-centre";
  uint32_t CpuShare_ = 1'000; ///< Thousandths of a core.
  /// Interval of heartbeats to instances with which work is shared: grows with
  /// the number of coordinators, between two bounds.
  Milliseconds MinHeartbeat_{100};
  Milliseconds MaxHeartbeat_{140};
  Milliseconds HeartbeatPerInstance_{4};
  /// The same where no work is shared; SessionLinkOptions::IdleTimeout_ is two
  /// and a half of it.
  Milliseconds IdleHeartbeat_{1'000};
  /// Silence after which such an instance is not chosen as placer.
  Milliseconds IdleTimeout_{2'300};
  /// Gap between two ticks from which silence is not judged: what has arrived
  /// meanwhile is not read yet.
  Milliseconds LateTickThreshold_{120};
  /// Silence after which another instance places no tasks of ours; two of the
  /// longest heartbeats.
  Milliseconds PlacerTimeout_{300};
  /// Age of the last news of the data centre's reader after which an instance
  /// reads the list itself; one read that was missed, well inside the two
  /// seconds in which a drain has to be in force.
  Milliseconds MaxListAge_{1'000};
  /// The same for the configuration.
  Milliseconds MaxConfigAge_{1'200};
  /// Interval at which the choice of held workers is reviewed.
  Milliseconds HoldReviewInterval_{100};
  /// Interval at which coordinators are chosen anew.
  Milliseconds RosterReviewInterval_{100};
  /// Time after a pause in which submissions are refused: they may have waited
  /// in the socket since long before, and their callers may be gone.
  Milliseconds PauseGracePeriod_{100};
  /// A larger gap between two ticks is a pause: others have given us up.
  Milliseconds PauseThreshold_{600};
  /// Time after the order to stop in which jobs are still taken: until the
  /// platform sends new connections elsewhere, after two failed checks a second
  /// apart.
  Milliseconds StopGracePeriod_{2'500};
  /// Time after an outage of the platform's list in which workers that it
  /// lacks are kept; the platform restores entries within about two seconds.
  Milliseconds ListGracePeriod_{2'500};
  HolderOptions Holder_;
  PlacerOptions Placer_;
  RosterOptions Roster_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_FLEETOPTIONS_H
