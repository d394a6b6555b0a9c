#include "Worker.h"

#include <chrono>

namespace review {

static constexpr int64_t HeartbeatMs = 1'500;
static constexpr int64_t TickMs = 5;
// `hold_max_ms` of the settings.
static constexpr int64_t MaxLeaseMs = 1'000;

void Journal::add(TaskEvent Event) {
  const std::lock_guard Guard(Lock_);
  Events_.push_back(std::move(Event));
}

std::vector<TaskEvent> Journal::events() const {
  const std::lock_guard Guard(Lock_);
  return Events_;
}

Worker::Worker(WorkerOptions Options, Store &Registry, Journal &Seen)
    : Options_(std::move(Options)), Registry_(Registry), Seen_(Seen),
      BornMs_(std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
      BootMs_(nowMs()),
      Server_(std::make_unique<Server>(
          Options_.Ip_, Options_.Port_,
          [this](const Request &Asked) { return handle(Asked); })) {
  Ticker_ = std::thread([this] {
    for (int64_t Next = nowMs(); !IsStopped_; sleepMs(TickMs)) {
      if (nowMs() >= Next) {
        registerSelf();
        Next += HeartbeatMs;
      }
      tick();
    }
  });
}

Worker::~Worker() {
  IsStopped_ = true;
  Ticker_.join();
  HasEnded_.notify_all();
  Server_.reset();
}

int64_t Worker::clock() const { return nowMs() - BootMs_ + 1'000; }

void Worker::registerSelf() {
  Json Row{
      {"service", Options_.Service_},
      {"address", Options_.Ip_ + ":" + std::to_string(Options_.Port_)},
      {"zone", Options_.Zone_},
      {"version", "1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"sequence", ++Sequence_},
      {"born", BornMs_},
      {"capacity",
       {{"cpu", Options_.Cpu_}, {"mem_mb", Options_.MemoryMb_}, {"gpu", 0}}},
      {"labels", Options_.Labels_}};
  Registry_.put("servers", Options_.Id_, Row);
}

void Worker::endRun(const RunKey &Key, const std::string &How) {
  Runs_.erase(Key);
  auto &Highest = HighestEnded_[Key.first];
  Highest = std::max(Highest, Key.second);
  Ended_.push_back(
      Json::array({NextEnd_++, Key.first, Key.second, How, std::string()}));
  Seen_.add({nowMs(), Options_.Id_, Key.first, Key.second, How});
  HasEnded_.notify_all();
}

void Worker::tick() {
  const std::lock_guard Guard(Lock_);
  const bool IsLapsed = clock() >= LeaseMs_;
  std::vector<std::pair<RunKey, std::string>> Over;
  for (const auto &[Key, One] : Runs_) {
    if (IsLapsed)
      Over.emplace_back(Key, "lapsed");
    else if (nowMs() >= One.EndsMs_)
      Over.emplace_back(Key, "done");
  }
  for (const auto &[Key, How] : Over)
    endRun(Key, How);
}

Response Worker::refuse(const std::string &Reason) const {
  return {.Status_ = 409,
          .Body_ =
              Json{{"clock_ms", clock()}, {"born", BornMs_}, {"reason", Reason}}
                  .dump()};
}

bool Worker::isFenced(const Json &Body) {
  const uint64_t Given = Body.value("fencing_token", uint64_t{0});
  if (Given < Token_)
    return true;
  Token_ = Given;
  return false;
}

void Worker::extendLease(const Json &Body) {
  const int64_t Wanted = Body.value("deadline_ms", int64_t{0});
  LeaseMs_ = std::max(LeaseMs_, std::min(Wanted, clock() + MaxLeaseMs));
}

Response Worker::handle(const Request &Asked) {
  const auto Expected = Asked.Headers_.find("expect-instance");
  if (Expected != Asked.Headers_.end() && Expected->second != Options_.Id_)
    return {.Status_ = 421};
  if (Asked.Method_ == "GET")
    return {};
  const Json Body = Json::parse(Asked.Body_);
  if (Asked.Path_ == "/run-start")
    return start(Body);
  if (Asked.Path_ == "/run-stop")
    return stop(Body);
  if (Asked.Path_ == "/hold")
    return hold(Body);
  return {.Status_ = 400};
}

Response Worker::start(const Json &Body) {
  const std::lock_guard Guard(Lock_);
  if (isFenced(Body))
    return refuse("fence");
  const RunKey Key{Body["task"], Body["attempt"]};
  const Json Done{{"clock_ms", clock()}, {"born", BornMs_}};
  if (Runs_.contains(Key))
    return {.Body_ = Done.dump()};
  extendLease(Body);
  const auto Ended = HighestEnded_.find(Key.first);
  if (Ended != HighestEnded_.end() && Key.second <= Ended->second)
    return refuse("old");
  if (Body["deadline_ms"].get<int64_t>() <= clock())
    return refuse("late");
  const int64_t Work = std::stoll(Body["spec"].get<std::string>());
  Runs_[Key] = {nowMs(), nowMs() + Work};
  Seen_.add({nowMs(), Options_.Id_, Key.first, Key.second, "start"});
  return {.Body_ = Done.dump()};
}

Response Worker::stop(const Json &Body) {
  const std::lock_guard Guard(Lock_);
  if (isFenced(Body))
    return refuse("fence");
  const RunKey Key{Body["task"], Body["attempt"]};
  if (Runs_.contains(Key)) {
    endRun(Key, "stopped");
  } else {
    auto &Highest = HighestEnded_[Key.first];
    Highest = std::max(Highest, Key.second);
  }
  return {.Body_ = Json{{"clock_ms", clock()}, {"born", BornMs_}}.dump()};
}

Response Worker::hold(const Json &Body) {
  std::unique_lock Guard(Lock_);
  if (isFenced(Body))
    return refuse("fence");
  extendLease(Body);
  const int64_t Acked = Body.value("acked_through", int64_t{0});
  std::erase_if(Ended_, [Acked](const Json &One) {
    return One[0].get<int64_t>() <= Acked;
  });
  const auto Wait = std::chrono::milliseconds(Body.value("wait_ms", 0));
  HasEnded_.wait_for(Guard, Wait,
                     [this] { return !Ended_.empty() || IsStopped_; });
  return {.Body_ = lists().dump()};
}

Json Worker::lists() const {
  Json Running = Json::array();
  for (const auto &[Key, One] : Runs_) {
    const int64_t Length = std::max<int64_t>(1, One.EndsMs_ - One.StartedMs_);
    Running.push_back(
        Json::array({Key.first, Key.second, "",
                     (nowMs() - One.StartedMs_) * 100 / Length, 0}));
  }
  return {{"clock_ms", clock()},
          {"born", BornMs_},
          {"running", Running},
          {"finished", Ended_}};
}

} // namespace review
