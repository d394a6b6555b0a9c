#ifndef MARJORAMBEND_TOOLS_LOAD_FAULTS_H
#define MARJORAMBEND_TOOLS_LOAD_FAULTS_H

#include <map>
#include <marjorambend/Transport>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief One fault of an experiment.
///
/// Text form: NAME[:TARGET]@START[+LENGTH], times in milliseconds.
///   kill:INSTANCE@T          SIGKILL
///   term:INSTANCE@T          SIGTERM, a graceful stop
///   pause:INSTANCE@T+L       SIGSTOP, and SIGCONT after L; also pause:platform
///   outage@T+L               the platform answers nothing
///   slow@T+L                 the platform answers 500 ms later
///   lose:N@T                 the platform loses the answers of N writes
///   cut:NAME@T+L             the platform ignores an instance or data centre
///   backend:PORT/I=MODE@T+L  the backend server I of the process at PORT
struct Fault {
  std::string Name_;
  std::string Target_;
  Milliseconds At_;
  Milliseconds Length_;
};

/// \brief Why a list of faults cannot be parsed.
struct FaultError {
  std::string What_;
};

/// \brief Parses faults separated by semicolons.
tl::expected<std::vector<Fault>, FaultError>
parseFaults(const std::string &Text);

/// \brief Processes and services that faults are injected into.
struct FaultTargets {
  std::map<std::string, int> Processes_; ///< By name of the instance.
  Endpoint Platform_;
};

/// \brief Injects the faults of a run at their times.
class FaultSchedule {
public:
  FaultSchedule(EventLoop &Loop, HttpClient &Client, FaultTargets Targets);

  /// \brief Starts the clock of the run.
  void begin(const std::vector<Fault> &Faults);

private:
  void start(const Fault &Started);
  void end(const Fault &Ended);
  void signal(const Fault &Started, int Number);
  void sendFault(const Endpoint &To, const std::string &Body);
  void setBackend(const Fault &Started, bool IsOver);

  EventLoop &Loop_;
  HttpClient &Client_;
  FaultTargets Targets_;
  std::vector<std::unique_ptr<Timer>> Timers_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TOOLS_LOAD_FAULTS_H
