#include "Worker.h"

#include <algorithm>
#include <random>
#include <utility>

namespace marjorambend::review {

// From the deployment's bounds and settings.
static constexpr int64_t HoldMaxMs = 1'000;
static constexpr Milliseconds HeartbeatInterval{1'500};
// A row is removed after three intervals of silence.
static constexpr Milliseconds RowLifetime{4'500};
// A stop takes at most 50 ms.
static constexpr Milliseconds StopTime{20};
static constexpr Milliseconds TickInterval{5};
// An order that got no answer is carried out 2 to 12 s later.
static constexpr Milliseconds MinLateness{2'000};
static constexpr Milliseconds MaxLateness{12'000};
static constexpr std::size_t MaxListedEnds = 500;
static constexpr int64_t MaxWaitMs = 2'000;

static std::mt19937_64 &generator() {
  static std::mt19937_64 Generator(std::random_device{}());
  return Generator;
}

Worker::Worker(EventLoop &Loop, Store &Known, WorkerSpec Spec,
               WorkerEvents Events)
    : Loop_(Loop), Store_(Known), Spec_(std::move(Spec)),
      Events_(std::move(Events)) {}

void Worker::boot() {
  BootedAt_ = monotonicNow();
  Born_ = wallNow().Count_;
  Sequence_ = 0;
  IsDraining_ = false;
  Token_ = 0;
  LeaseEnd_ = 0;
  AckedThrough_ = 0;
  LastEnd_ = 0;
  Ends_.clear();
  OverAttempts_.clear();
  Expiry_.reset();
  writeRow();
  Server_ = std::make_unique<HttpServer>(
      Loop_,
      HttpServerOptions{.Address_ = Spec_.At_.Address_,
                        .Port_ = Spec_.At_.Port_},
      [this](HttpRequest &&Request) { return receive(Request); },
      [this](uint64_t Token) {
        std::erase_if(Polls_,
                      [Token](const Poll &One) { return One.Token_ == Token; });
      });
  if (!Server_->listen())
    std::abort();
  Delivery_ = std::make_unique<Timer>(Loop_, Milliseconds{1}, Timer::Mode::Once,
                                      [this] { deliverHeldUp(); });
  Tick_ = std::make_unique<Timer>(Loop_, TickInterval, Timer::Mode::Repeat,
                                  [this] { tick(); });
  Heartbeat_ = std::make_unique<Timer>(
      Loop_, HeartbeatInterval, Timer::Mode::Repeat, [this] { writeRow(); });
}

void Worker::crash() {
  Server_.reset();
  Tick_.reset();
  Heartbeat_.reset();
  Polls_.clear();
  for (const WorkerRun &One : Runs_)
    Events_.OnEnd_(*this, One, "lost with the worker");
  Runs_.clear();
  Expiry_ = std::make_unique<Timer>(
      Loop_, RowWrittenAt_ + RowLifetime - monotonicNow(), Timer::Mode::Once,
      [this] { Store_.drop("servers", Spec_.Id_); });
}

void Worker::drain() {
  IsDraining_ = true;
  writeRow();
}

void Worker::writeRow() {
  RowWrittenAt_ = monotonicNow();
  Store_.put(
      "servers", Spec_.Id_,
      {{"service", Spec_.Service_},
       {"address", Spec_.At_.Address_ + ':' + std::to_string(Spec_.At_.Port_)},
       {"zone", Spec_.Zone_},
       {"version", "1"},
       {"slots", 8},
       {"state", IsDraining_ ? "draining" : "ready"},
       {"cold_remaining_ms", 0},
       {"sequence", ++Sequence_},
       {"born", Born_},
       {"capacity",
        {{"cpu", Spec_.MilliCores_}, {"mem_mb", Spec_.MemoryMb_}, {"gpu", 0}}},
       {"labels", Spec_.Labels_}});
}

HttpReply Worker::reply(uint16_t Status, Json Body) const {
  Body["clock_ms"] = clock();
  return jsonReply(Status, Body.dump());
}

std::optional<HttpReply> Worker::receive(const HttpRequest &Request) {
  if (findHeader(Request.Headers_, "Expect-Instance") != Spec_.Id_)
    return reply(421, Json::object());
  const Json Body = Json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return reply(400, Json::object());
  std::uniform_real_distribution<double> Unit(0, 1);
  const bool IsOrder =
      Request.Path_ == "/run-start" || Request.Path_ == "/run-stop";
  if (!IsOrder || Unit(generator()) >= LateShare_)
    return carryOut(Request.Path_, Body, Request.Token_);
  std::uniform_int_distribution<int64_t> Delay(MinLateness.Count_,
                                               MaxLateness.Count_);
  Late_.push_back(std::make_unique<Timer>(
      Loop_, Milliseconds{Delay(generator())}, Timer::Mode::Once,
      [this, Order = HeldUp{Request.Path_, Body, monotonicNow()}] {
        carryOutLate(Order);
      }));
  LateStarts_ += Request.Path_ == "/run-start" ? 1 : 0;
  return std::nullopt;
}

// The worker has the same id in each life, so that the order is meant for the
// present one too.
void Worker::carryOutLate(const HeldUp &Order) {
  if (!isUp()) {
    HeldUp_.push_back(Order);
    return;
  }
  LateStarts_ -= Order.Path_ == "/run-start" ? 1 : 0;
  const Milliseconds Age = monotonicNow() - Order.SentAt_;
  if (Age > MaxLateness)
    return;
  const auto Reply = carryOut(Order.Path_, Order.Body_, 0);
  if (Events_.OnLate_)
    Events_.OnLate_(*this,
                    Order.Path_ + ' ' +
                        Order.Body_.value("task", std::string()) + " attempt " +
                        std::to_string(Order.Body_.value("attempt", 0)) + ", " +
                        std::to_string(Age.Count_) + " ms old",
                    Reply ? Reply->Status_ : 0);
}

void Worker::deliverHeldUp() {
  for (const HeldUp &One : std::exchange(HeldUp_, {}))
    carryOutLate(One);
}

std::optional<HttpReply> Worker::carryOut(const std::string &Path,
                                          const Json &Body, uint64_t Token) {
  const auto Fence = Body.value("fencing_token", uint64_t{0});
  if (Fence < Token_)
    return reply(409, {{"reason", "fence"}});
  Token_ = Fence;
  if (Path == "/run-start")
    return startRun(Body);
  if (Path == "/run-stop")
    return stopRun(Body);
  if (Path == "/hold")
    return hold(Body, Token);
  return reply(404, Json::object());
}

// It never shortens, and is limited to the longest lease.
void Worker::extendLease(const Json &Body) {
  if (Body.contains("deadline_ms"))
    LeaseEnd_ = std::max(LeaseEnd_, std::min(Body["deadline_ms"].get<int64_t>(),
                                             clock() + HoldMaxMs));
}

HttpReply Worker::startRun(const Json &Body) {
  WorkerRun New{.Task_ = Body["task"],
                .Attempt_ = Body["attempt"],
                .StartedAt_ = monotonicNow()};
  for (const WorkerRun &One : Runs_) {
    if (One.Task_ == New.Task_ && One.Attempt_ == New.Attempt_) {
      extendLease(Body);
      return reply(200, Json::object());
    }
  }
  if (Body.value("deadline_ms", int64_t{0}) <= clock())
    return reply(409, {{"reason", "late"}});
  extendLease(Body);
  const auto Over = OverAttempts_.find(New.Task_);
  if (Over != OverAttempts_.end() && New.Attempt_ <= Over->second)
    return reply(409, {{"reason", "old"}});
  const std::string Spec = Body.value("spec", std::string());
  const TaskNeeds Needs = Events_.NeedsOf_(Spec);
  New.MilliCores_ = Needs.MilliCores_;
  New.MemoryMb_ = Needs.MemoryMb_;
  New.Work_ = Needs.Work_;
  int64_t MilliCores = New.MilliCores_;
  int64_t MemoryMb = New.MemoryMb_;
  for (const WorkerRun &One : Runs_) {
    MilliCores += One.MilliCores_;
    MemoryMb += One.MemoryMb_;
  }
  if (MilliCores > Spec_.MilliCores_ || MemoryMb > Spec_.MemoryMb_)
    return reply(409, {{"reason", "room"}});
  Runs_.push_back(New);
  Events_.OnStart_(*this, New, Spec);
  return reply(200, Json::object());
}

HttpReply Worker::stopRun(const Json &Body) {
  const std::string Task = Body["task"];
  const int64_t Attempt = Body["attempt"];
  int64_t &Over = OverAttempts_[Task];
  Over = std::max(Over, Attempt);
  for (WorkerRun &One : Runs_) {
    if (One.Task_ != Task || One.Attempt_ != Attempt || One.IsStopping_)
      continue;
    One.IsStopping_ = true;
    One.Work_ = monotonicNow() - One.StartedAt_ + StopTime;
  }
  return reply(200, Json::object());
}

std::optional<HttpReply> Worker::hold(const Json &Body, uint64_t Token) {
  extendLease(Body);
  AckedThrough_ =
      std::max(AckedThrough_, Body.value("acked_through", int64_t{0}));
  std::erase_if(
      Ends_, [this](const End &One) { return One.Number_ <= AckedThrough_; });
  const int64_t Wait = std::min(Body.value("wait_ms", int64_t{0}), MaxWaitMs);
  if (Wait == 0 || !Ends_.empty())
    return lists();
  Polls_.push_back({Token, monotonicNow() + Milliseconds{Wait}});
  return std::nullopt;
}

HttpReply Worker::lists() const {
  Json Running = Json::array();
  for (const WorkerRun &One : Runs_) {
    const auto Ran = (monotonicNow() - One.StartedAt_).Count_;
    const auto Percent = std::min<int64_t>(
        99, 100 * Ran / std::max<int64_t>(1, One.Work_.Count_));
    Running.push_back({One.Task_, One.Attempt_, "", Percent, One.MilliCores_});
  }
  Json Finished = Json::array();
  for (const End &One : Ends_) {
    if (Finished.size() == MaxListedEnds)
      break;
    Finished.push_back({One.Number_, One.Task_, One.Attempt_, One.How_, ""});
  }
  return reply(200,
               {{"born", Born_}, {"running", Running}, {"finished", Finished}});
}

void Worker::endRun(std::size_t Index, const char *How) {
  const WorkerRun Run = Runs_[Index];
  Runs_.erase(Runs_.begin() + static_cast<std::ptrdiff_t>(Index));
  int64_t &Over = OverAttempts_[Run.Task_];
  Over = std::max(Over, Run.Attempt_);
  Ends_.push_back({++LastEnd_, Run.Task_, Run.Attempt_, How});
  Events_.OnEnd_(*this, Run, How);
}

void Worker::answerPolls(bool HasEnd) {
  const Milliseconds Now = monotonicNow();
  std::vector<uint64_t> Due;
  std::erase_if(Polls_, [&](const Poll &One) {
    const bool IsDue = HasEnd || Now >= One.Until_;
    if (IsDue)
      Due.push_back(One.Token_);
    return IsDue;
  });
  for (const uint64_t Token : Due)
    Server_->reply(Token, lists());
}

void Worker::tick() {
  const std::size_t Before = Ends_.size();
  const bool HasLapsed = clock() > LeaseEnd_;
  for (std::size_t Index = Runs_.size(); Index-- > 0;) {
    const WorkerRun &Run = Runs_[Index];
    if (HasLapsed)
      endRun(Index, "lapsed");
    else if (monotonicNow() - Run.StartedAt_ >= Run.Work_)
      endRun(Index, Run.IsStopping_ ? "stopped" : "done");
  }
  answerPolls(Ends_.size() > Before);
}

} // namespace marjorambend::review
