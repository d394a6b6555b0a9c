#ifndef MARJORAMBEND_DAEMON_DAEMON_H
#define MARJORAMBEND_DAEMON_DAEMON_H

#include <deque>
#include <marjorambend/Instance>
#include <marjorambend/Transport>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace marjorambend {

/// \brief An entry instance: connects the decisions of Instance to sockets and
/// timers.
///
/// Input becomes events, and actions become output. Events that arise while
/// another one is handled are queued.
class Daemon {
public:
  Daemon(EventLoop &Loop, const SettingsT &Settings);

  /// \brief Opens the listeners and starts the timers.
  tl::expected<void, ListenError> start();

  /// \brief Begins a graceful stop; a second call forces it.
  void stop();

  /// \brief 0 after a stop that abandoned no job, else 3.
  int exitCode() const { return ExitCode_; }

private:
  friend struct DaemonActions;

  void handle(Event Incoming);
  std::optional<HttpReply> onCaller(HttpRequest &&Request);
  std::optional<HttpReply> onJobs(HttpRequest &&Request);
  std::optional<HttpReply> onJob(const HttpRequest &Request);
  std::optional<HttpReply> onOperator(HttpRequest &&Request);
  std::optional<HttpReply> onCatalogue(HttpRequest &&Request);
  HttpReply onDrain(const HttpRequest &Request);
  HttpReply health(bool IsReadiness) const;
  std::string metrics() const;
  void onList(const PlatformList &List);
  void checkStop();
  void forceStop();

  EventLoop &Loop_;
  SettingsT Settings_;
  Milliseconds WallOffset_;
  Instance State_;
  std::deque<Event> Events_;
  bool IsHandling_ = false;
  std::unordered_map<uint64_t, JobId> Callers_; ///< Open requests of callers.
  PlatformList List_;
  HttpClient Client_;
  TraceWriter Traces_;
  PeerLinks Links_;
  BackendClient Backends_;
  PlatformClient Platform_;
  HttpServer CallerServer_;
  HttpServer OperatorServer_;
  std::unique_ptr<Timer> Tick_;
  std::unique_ptr<Timer> ListPoll_;
  std::optional<Milliseconds> StopAt_; ///< When the stop was ordered.
  bool IsForced_ = false;
  int ExitCode_ = 0;
};

} // namespace marjorambend

#endif // MARJORAMBEND_DAEMON_DAEMON_H
