/// \file
/// \brief Stand-in for backend servers: many in one process, one port each.
///
/// A task's payload is `run=MS`, optionally followed by a space and text; it
/// runs for that time, multiplied by the server's slowness, in one of the
/// server's slots. A task that finds no free slot is refused as not run. Every
/// start is recorded, so that `GET /stats` reports a second start of the same
/// task.
///
/// `POST /fault` {"server":I,"mode":"MODE"} makes a server fail every task
/// ("fail"), start tasks and never answer ("silent"), report that it is leaving
/// ("leaving"), run slowly ("slow") or run normally ("none").

#include <charconv>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <marjorambend/Transport>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

DEFINE_string(address, "127.0.0.1", "IP number of the listeners");
DEFINE_int32(first_port, 10000, "port of the first server");
DEFINE_int32(servers, 17, "number of servers");
DEFINE_int32(slots, 8, "tasks that a server runs at a time");
DEFINE_string(slowness, "1", "slowness of the servers, in turn, by commas");

namespace marjorambend {
namespace {

using Json = nlohmann::json;
using TaskKey = std::pair<std::string, std::string>;

constexpr double SlowFactor = 10.0;

enum class Mode : uint8_t { None, Fail, Silent, Leaving, Slow };

struct Totals {
  uint64_t Received_ = 0;
  uint64_t Started_ = 0;
  uint64_t Refused_ = 0;
  uint64_t Doubled_ = 0;
  std::map<TaskKey, uint32_t> Starts_;
  std::set<std::string> Jobs_;
};

Mode modeOf(const std::string &Name) {
  if (Name == "fail")
    return Mode::Fail;
  if (Name == "silent")
    return Mode::Silent;
  if (Name == "leaving")
    return Mode::Leaving;
  if (Name == "slow")
    return Mode::Slow;
  return Mode::None;
}

int64_t runTime(const std::string &Payload) {
  constexpr std::string_view Prefix = "run=";
  int64_t Time = 0;
  if (Payload.rfind(Prefix, 0) == 0)
    std::from_chars(Payload.data() + Prefix.size(),
                    Payload.data() + Payload.size(), Time);
  return Time;
}

class Backends;

class Backend {
public:
  Backend(EventLoop &Loop, Backends &All, uint16_t Port, double Slowness)
      : Loop_(Loop), All_(All), Slowness_(Slowness),
        Server_(
            Loop,
            {.Address_ = FLAGS_address, .Port_ = Port, .IdleTimeout_ = {60000}},
            [this](HttpRequest &&Request) {
              return receive(std::move(Request));
            },
            nullptr) {}

  bool start() { return Server_.listen().has_value(); }
  void setMode(Mode New) { Mode_ = New; }

private:
  std::optional<HttpReply> receive(HttpRequest &&Request);
  std::optional<HttpReply> runTask(HttpRequest &&Request);
  void finish(uint64_t Token, const HttpReply &Reply);

  EventLoop &Loop_;
  Backends &All_;
  double Slowness_;
  Mode Mode_ = Mode::None;
  HttpServer Server_;
  std::map<uint64_t, std::unique_ptr<Timer>> Running_;
};

class Backends {
public:
  explicit Backends(EventLoop &Loop) {
    std::vector<double> Slowness;
    std::istringstream List(FLAGS_slowness);
    std::string Value;
    while (std::getline(List, Value, ','))
      Slowness.push_back(std::stod(Value));
    for (int32_t Index = 0; Index < FLAGS_servers; ++Index)
      Servers_.push_back(std::make_unique<Backend>(
          Loop, *this, static_cast<uint16_t>(FLAGS_first_port + Index),
          Slowness[Index % Slowness.size()]));
  }

  bool start() {
    bool IsStarted = true;
    for (const auto &Server : Servers_)
      IsStarted = Server->start() && IsStarted;
    return IsStarted;
  }

  void recordStart(const std::string &Job, const std::string &Task) {
    ++Totals_.Started_;
    Totals_.Jobs_.insert(Job);
    uint32_t &Starts = Totals_.Starts_[{Job, Task}];
    ++Starts;
    if (Starts == 2)
      ++Totals_.Doubled_;
  }

  HttpReply stats() const {
    return jsonReply(200, Json{{"received", Totals_.Received_},
                               {"started", Totals_.Started_},
                               {"distinct", Totals_.Starts_.size()},
                               {"refused", Totals_.Refused_},
                               {"doubled", Totals_.Doubled_}}
                              .dump());
  }

  // Which of the jobs named in the body have had a task started here.
  HttpReply startedOf(const HttpRequest &Request) const {
    const Json Body = Json::parse(Request.Body_, nullptr, false);
    Json Started = Json::array();
    for (const Json &Job : Body) {
      if (Totals_.Jobs_.count(Job.get<std::string>()) > 0)
        Started.push_back(Job);
    }
    return jsonReply(200, Started.dump());
  }

  HttpReply setFault(const HttpRequest &Request) {
    const Json Body = Json::parse(Request.Body_, nullptr, false);
    const auto Index = Body.value("server", std::size_t{0});
    if (Index >= Servers_.size())
      return jsonReply(400, "{}");
    Servers_[Index]->setMode(modeOf(Body.value("mode", std::string{})));
    return jsonReply(200, "{}");
  }

  Totals Totals_;

private:
  std::vector<std::unique_ptr<Backend>> Servers_;
};

std::optional<HttpReply> Backend::receive(HttpRequest &&Request) {
  if (Request.Path_ == "/stats")
    return All_.stats();
  if (Request.Path_ == "/started")
    return All_.startedOf(Request);
  if (Request.Path_ == "/fault")
    return All_.setFault(Request);
  if (Request.Path_ != "/v1/tasks" || Request.Method_ != "POST")
    return jsonReply(404, "{}");
  return runTask(std::move(Request));
}

std::optional<HttpReply> Backend::runTask(HttpRequest &&Request) {
  ++All_.Totals_.Received_;
  HttpReply Refusal{.Status_ = 503, .Headers_ = {{header::NotRun, "1"}}};
  if (Mode_ == Mode::Leaving)
    Refusal.Headers_.emplace_back(header::Leaving, "1");
  const bool IsFull = Running_.size() >= static_cast<std::size_t>(FLAGS_slots);
  if (Mode_ == Mode::Leaving || IsFull) {
    ++All_.Totals_.Refused_;
    return Refusal;
  }
  const std::string Job(findHeader(Request.Headers_, header::JobId));
  const std::string Task(findHeader(Request.Headers_, header::Task));
  All_.recordStart(Job, Task);
  if (Mode_ == Mode::Fail)
    return jsonReply(500, R"({"message":"failed"})");
  if (Mode_ == Mode::Silent)
    return std::nullopt;
  const double Factor = Slowness_ * (Mode_ == Mode::Slow ? SlowFactor : 1.0);
  const Milliseconds Time{static_cast<int64_t>(
      static_cast<double>(runTime(Request.Body_)) * Factor)};
  const uint64_t Token = Request.Token_;
  HttpReply Reply{.Status_ = 200, .Body_ = Job + '/' + Task + '/'};
  Reply.Body_ += Request.Body_;
  Running_[Token] = std::make_unique<Timer>(
      Loop_, Time, Timer::Mode::Once,
      [this, Token, Reply = std::move(Reply)] { finish(Token, Reply); });
  return std::nullopt;
}

void Backend::finish(uint64_t Token, const HttpReply &Reply) {
  Server_.reply(Token, Reply);
  Running_.erase(Token);
}

} // namespace
} // namespace marjorambend

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  signal(SIGPIPE, SIG_IGN);
  marjorambend::EventLoop Loop;
  marjorambend::Backends Servers(Loop);
  if (!Servers.start()) {
    std::cerr << "backend: cannot listen\n";
    return 1;
  }
  const marjorambend::SignalWatch Terminate(Loop, SIGTERM,
                                            [&] { Loop.stop(); });
  Loop.run();
  return 0;
}
