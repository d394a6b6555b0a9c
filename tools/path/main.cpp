/// \file
/// \brief Measures the overhead of the path through an instance: sends the same
/// tasks to a backend server directly and through an instance, in closed loops
/// of one run.

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <deque>
#include <gflags/gflags.h>
#include <iostream>
#include <marjorambend/Transport>
#include <nlohmann/json.hpp>

DEFINE_string(instance, "127.0.0.1:8080", "callers' listener of an instance");
DEFINE_string(backend, "127.0.0.1:10000", "a backend stand-in");
DEFINE_int64(phase_ms, 3000, "length of each phase");
DEFINE_string(team, "liquida", "team of the jobs");
DEFINE_string(kind, "lot-pricing", "kind of the jobs");

namespace marjorambend {
namespace {

using Json = nlohmann::json;

enum class CallMode : uint8_t { Direct, Reserved, Claimed };

struct Phase {
  const char *Name_;
  CallMode CallMode_;
  uint32_t Loops_;
  std::size_t Tasks_;
};

constexpr Phase Phases[] = {
    {"direct, 1 loop", CallMode::Direct, 1, 1},
    {"reserved identity, 1 loop", CallMode::Reserved, 1, 1},
    {"claimed identity, 1 loop", CallMode::Claimed, 1, 1},
    {"direct, 32 loops", CallMode::Direct, 32, 1},
    {"reserved identity, 32 loops", CallMode::Reserved, 32, 1},
    {"claimed identity, 32 loops", CallMode::Claimed, 32, 1},
    {"jobs of 20, 4 loops", CallMode::Reserved, 4, 20}};

constexpr std::size_t IdentityBatch = 1000;

Endpoint toEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.find(':');
  return {Text.substr(0, Colon),
          static_cast<uint16_t>(std::stoi(Text.substr(Colon + 1)))};
}

/// \brief Runs the phases one after the other.
class PathRun {
public:
  explicit PathRun(EventLoop &Loop)
      : Loop_(Loop), Client_(Loop), Instance_(toEndpoint(FLAGS_instance)),
        Backend_(toEndpoint(FLAGS_backend)) {}

  void begin() {
    refill([this] { startPhase(); });
  }

private:
  void refill(const std::function<void()> &Then) {
    Client_.send(
        {.To_ = Instance_,
         .Method_ = "POST",
         .Target_ = "/v1/identities?count=" + std::to_string(IdentityBatch)},
        [this, Then](const HttpResult &Result) {
          if (Result) {
            const Json Body = Json::parse(Result->Body_);
            for (const Json &Id : Body["identities"])
              Identities_.push_back(Id.get<std::string>());
          }
          Then();
        });
  }

  void startPhase() {
    Micros_.clear();
    Failed_ = 0;
    EndAt_ = monotonicNow() + Milliseconds{FLAGS_phase_ms};
    const Phase &Now = Phases[Index_];
    Running_ = Now.Loops_;
    for (uint32_t Loop = 0; Loop < Now.Loops_; ++Loop)
      next();
  }

  void next() {
    if (monotonicNow() >= EndAt_) {
      if (--Running_ == 0)
        endPhase();
      return;
    }
    const Phase &Now = Phases[Index_];
    if (Now.CallMode_ == CallMode::Reserved && Identities_.empty()) {
      refill([this] { next(); });
      return;
    }
    const auto Start = std::chrono::steady_clock::now();
    Client_.send(
        Now.CallMode_ == CallMode::Direct ? directCall() : jobCall(Now),
        [this, Start](const HttpResult &Result) {
          const auto Time = std::chrono::steady_clock::now() - Start;
          Micros_.push_back(
              std::chrono::duration_cast<std::chrono::microseconds>(Time)
                  .count());
          Failed_ += Result && Result->Status_ == 200 ? 0 : 1;
          next();
        });
  }

  HttpCall directCall() {
    return {.To_ = Backend_,
            .Method_ = "POST",
            .Target_ = "/v1/tasks",
            .Headers_ = {{header::JobId, "direct"},
                         {header::Task, std::to_string(NextDirect_++)},
                         {header::Kind, FLAGS_kind}},
            .Body_ = "run=0"};
  }

  HttpCall jobCall(const Phase &Now) {
    std::string Id;
    if (Now.CallMode_ == CallMode::Reserved) {
      Id = Identities_.front();
      Identities_.pop_front();
    } else {
      Id = formatJobId(makeJobId(wallNow(), Generator_));
    }
    const Json Body{{"kind", FLAGS_kind},
                    {"tasks", std::vector<std::string>(Now.Tasks_, "run=0")}};
    return {.To_ = Instance_,
            .Method_ = "POST",
            .Target_ = "/v1/jobs",
            .Headers_ = {{header::JobId, Id},
                         {header::Team, FLAGS_team},
                         {header::Timeout, "10000"}},
            .Body_ = Body.dump()};
  }

  void endPhase() {
    const Phase &Done = Phases[Index_];
    std::sort(Micros_.begin(), Micros_.end());
    const std::size_t Count = Micros_.size();
    if (Count > 0)
      std::printf("%-30s %9.0f tasks/s  p50 %7ld us  p99 %7ld us  failed %zu\n",
                  Done.Name_,
                  1000.0 * static_cast<double>(Count * Done.Tasks_) /
                      static_cast<double>(FLAGS_phase_ms),
                  Micros_[Count / 2], Micros_[Count * 99 / 100], Failed_);
    if (++Index_ == std::size(Phases)) {
      Loop_.stop();
      return;
    }
    startPhase();
  }

  EventLoop &Loop_;
  HttpClient Client_;
  Endpoint Instance_;
  Endpoint Backend_;
  Random Generator_{1};
  std::deque<std::string> Identities_;
  std::vector<int64_t> Micros_;
  std::size_t Failed_ = 0;
  std::size_t Index_ = 0;
  uint32_t Running_ = 0;
  uint64_t NextDirect_ = 0;
  Milliseconds EndAt_;
};

} // namespace
} // namespace marjorambend

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  signal(SIGPIPE, SIG_IGN);
  marjorambend::EventLoop Loop;
  marjorambend::PathRun Run(Loop);
  Run.begin();
  Loop.run();
  return 0;
}
