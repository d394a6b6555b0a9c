#ifndef MARJORAMBEND_DAEMON_FLEETDAEMON_H
#define MARJORAMBEND_DAEMON_FLEETDAEMON_H

#include "CallerClosures.h"
#include "LogLimiter.h"
#include "PlatformSettings.h"
#include "StoreWatch.h"
#include "WorkerCalls.h"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace marjorambend {

/// \brief Options of the daemon that the platform's settings file does not
/// contain.
struct FleetDaemonOptions {
  uint16_t MetricsPort_ = 0; ///< On the machine's address; 0: none.
  uint64_t Seed_ = 0;        ///< 0: from std::random_device.
  AdmissionPolicy Policy_ = AdmissionPolicy::LatestStart;
  /// Whether tasks may wait for workers near their data, run times are learned
  /// and the settings file's factor for remote data applies (`worker_choice`).
  bool ChoosesEarliestEnd_ = false;
};

/// \brief The daemon on the users' platform: connects the decisions of
/// FleetInstance to sockets and timers.
class FleetDaemon {
public:
  FleetDaemon(EventLoop &Loop, const platform::PlatformSettings &Settings,
              const FleetDaemonOptions &Options);

  /// \brief Opens the listeners.
  tl::expected<void, ListenError> start();

  /// \brief Begins a graceful stop.
  void stop();

  /// \brief Reads a changed settings file; its seed addresses are added, and
  /// its bounds on callers and, with `worker_choice` = `earliest_end`, its
  /// factor for remote data come into force. Changes nothing if the file is
  /// rejected.
  void reload(const std::string &Path);

private:
  friend struct FleetDaemonActions;

  void handle(FleetEvent Incoming);
  std::optional<HttpReply> onCaller(HttpRequest &&Request);
  HttpReply onReadiness(const HttpRequest &Request) const;
  HttpReply onMetrics() const;
  void onCallerClosed(CloseCause Cause);
  void onResponseAbandoned(const Endpoint &From, std::size_t Bytes);
  HttpClientOptions clientOptions();
  std::optional<HttpReply> submit(HttpRequest &&Request, std::string Path,
                                  uint64_t Id);
  void checkStop();
  void addSeeds(const platform::PlatformSettings &From);
  void applyLimits(const platform::RequestLimits &Limits);
  void onPeerConfig(std::optional<platform::DecodedConfig> Config);
  void logLine(std::string_view What, std::vector<LogField> Fields);
  platform::StoreWatchEvents storeEvents();

  EventLoop &Loop_;
  platform::PlatformSettings Settings_;
  FleetInstance State_;
  DecisionLog Log_;
  SharedClock StoreClock_;
  LogLimiter Abandoned_;
  HttpClient WorkerClient_;
  HttpClient StoreClient_;
  SessionLinks Links_;
  platform::WorkerCalls Workers_;
  platform::StoreWatch Store_;
  platform::ConfigDecoder PeerConfigs_; ///< Sent by other instances.
  HttpServer Callers_;
  std::array<LogLimiter, CloseCauses> Closures_; ///< By CloseCause.
  HttpServer Readiness_;
  std::unique_ptr<HttpServer> Metrics_;
  std::deque<FleetEvent> Events_;
  bool IsHandling_ = false;
  std::optional<Milliseconds> StopAt_;
  std::optional<Milliseconds> IdleSince_; ///< Since when all answers are sent.
  bool IsForced_ = false;
  std::unique_ptr<Timer> Tick_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_DAEMON_FLEETDAEMON_H
