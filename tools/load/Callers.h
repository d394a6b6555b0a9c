#ifndef MARJORAMBEND_TOOLS_LOAD_CALLERS_H
#define MARJORAMBEND_TOOLS_LOAD_CALLERS_H

#include "Workload.h"

#include <deque>
#include <functional>
#include <map>
#include <marjorambend/Transport>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief An instance as a target of the balancer and of faults.
struct LoadTarget {
  std::string Name_;
  Endpoint Callers_;
  Endpoint Operators_;
  int Process_ = 0; ///< Process id; 0: no faults are injected.
  bool IsReady_ = true;
};

/// \brief How callers behave.
struct CallerOptions {
  uint64_t Seed_ = 1;
  double ResubmitShare_ = 0.05; ///< Jobs sent twice, to different instances.
  double ReservedShare_ = 0.5;  ///< Jobs with an identity reserved beforehand.
  double CancelShare_ = 0.0;    ///< Jobs cancelled while they run.
  double TraceShare_ = 0.0;     ///< Jobs whose trace is sampled.
  Milliseconds Timeout_{10'000};
  uint32_t MaxSends_ = 6; ///< Of one job, including retries.
};

/// \brief Result of a job as seen by its caller.
struct JobResult {
  std::string Id_;
  std::size_t Job_ = 0; ///< Index in the workload.
  uint32_t Sends_ = 0;
  uint32_t Answers_ = 0;
  uint32_t Broken_ = 0; ///< Sends whose connection broke.
  bool IsComplete_ = false;
  bool IsWrong_ = false; ///< Partial, crossed or unequal answers.
  bool WasCancelled_ = false;
  std::string Outcome_; ///< Of the last answer; empty if none.
  std::string Reason_;
  bool HasOnlyNotRun_ = true; ///< Every answer was "not run".
  Milliseconds Latency_;      ///< To the first complete answer, else the last.
  Milliseconds CompleteAt_;   ///< Since the start of the run.
};

/// \brief Callers behind a balancer: open-loop arrivals, resubmissions to any
/// instance, and retries after the Retry-After time of an answer.
class Callers {
public:
  Callers(EventLoop &Loop, HttpClient &Client, CallerOptions Options,
          LoadProfile Profile, std::vector<LoadJob> Jobs,
          std::vector<LoadTarget> Targets);

  /// \brief Submits all jobs; \p OnDone is called when each has its answer.
  void begin(std::function<void()> OnDone);

  const std::vector<JobResult> &results() const { return Results_; }
  const std::vector<LoadJob> &jobs() const { return Jobs_; }
  const std::vector<LoadTarget> &targets() const { return Targets_; }

private:
  struct State {
    uint32_t Open_ = 0; ///< Sends without an answer and scheduled sends.
    std::size_t LastTarget_ = 0;
    Milliseconds SubmittedAt_;
    Milliseconds Deadline_;
    std::string FirstBody_;
  };

  void submitDue();
  void submit(std::size_t Job);
  void sendCopy(std::size_t Job);
  void handleResult(std::size_t Job, std::size_t Target,
                    const HttpResult &Result);
  void handleReply(std::size_t Job, const HttpReply &Reply);
  void checkResults(std::size_t Job, const HttpReply &Reply);
  void resendAfter(std::size_t Job, Milliseconds After);
  void cancel(std::size_t Job);
  void runAfter(Milliseconds After, std::function<void()> Call);
  std::size_t pickTarget(std::optional<std::size_t> Avoid);
  std::string nextIdentity();
  void fetchIdentities();
  void checkReadiness();
  void release(std::size_t Job);

  EventLoop &Loop_;
  HttpClient &Client_;
  CallerOptions Options_;
  LoadProfile Profile_;
  std::vector<LoadJob> Jobs_;
  std::vector<LoadTarget> Targets_;
  std::vector<JobResult> Results_;
  std::vector<State> States_;
  std::deque<std::pair<Milliseconds, std::string>> Identities_;
  Random Generator_;
  Milliseconds Start_;
  std::size_t NextJob_ = 0;
  std::size_t Finished_ = 0;
  std::function<void()> OnDone_;
  std::unique_ptr<Timer> SubmitTimer_;
  std::unique_ptr<Timer> Readiness_;
  std::map<uint64_t, std::unique_ptr<Timer>> Delayed_;
  uint64_t NextDelayed_ = 1;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TOOLS_LOAD_CALLERS_H
