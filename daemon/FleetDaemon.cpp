#include "FleetDaemon.h"

#include <algorithm>
#include <random>

namespace marjorambend {

using namespace platform;

static constexpr Milliseconds TickInterval{20};
// Connections to workers and the store carry about one call a second, so idle
// ones are kept well beyond that.
static constexpr Milliseconds MaxIdleConnection{30'000};
// Part of the grace period that is reserved for the last answers and the exit.
static constexpr Milliseconds StopMargin{700};
// Delay before connections are closed: a caller may still be sending when its
// last answer is written, and closing before it has read the answer would reset
// the connection.
static constexpr Milliseconds CloseDelay{200};
// Allows for a worker's slow clock and for the time that a stop takes.
static constexpr Milliseconds LeaseMargin{150};
static constexpr uint16_t NotFound = 404;
// Budget of the listeners for readiness checks and metrics, relative to that of
// the listener for callers.
static constexpr std::size_t CheckShare = 16;

static uint64_t seedFrom(uint64_t Given) {
  if (Given != 0)
    return Given;
  std::random_device Source;
  return (static_cast<uint64_t>(Source()) << 32U) | Source();
}

static FleetInstance makeInstance(const PlatformSettings &Settings,
                                  const FleetDaemonOptions &Given) {
  FleetOptions Options;
  Options.Placer_.Overload_.Policy_ = Given.Policy_;
  Options.Name_ = Settings.Name_;
  Options.DataCentre_ = Settings.DataCentre_;
  Options.CpuShare_ = Settings.CpuShare_;
  Options.Holder_.MaxLease_ = Settings.MaxLease_;
  Options.Evacuation_.ReturnTime_ = Settings.EvacuationReturn_;
  Options.Holder_.Lease_ = std::min(
      {Options.Holder_.Lease_, Settings.MaxLease_,
       Settings.ResendAfter_ - Options.Holder_.OriginTimeout_ - LeaseMargin});
  if (Given.ChoosesEarliestEnd_)
    Options.Placer_.RemoteFactor_ = Settings.RemoteFactor_;
  Options.Placer_.WaitsForData_ = Given.ChoosesEarliestEnd_;
  Options.Placer_.LearnsRunTimes_ = Given.ChoosesEarliestEnd_;
  FleetInstance State =
      makeFleetInstance(std::move(Options), seedFrom(Given.Seed_));
  State.Self_.Address_ = Settings.Links_.Address_;
  State.Self_.Port_ = Settings.Links_.Port_;
  return State;
}

static HttpServerOptions listenOn(const Endpoint &At,
                                  const CallerBudget &Budget) {
  return {.Address_ = At.Address_,
          .Port_ = At.Port_,
          .MaxHeaderBytes_ = RequestLimits{}.MaxHeaderBytes_,
          .MaxBodyBytes_ = RequestLimits{}.MaxBodyBytes_,
          .RequestTimeout_ = RequestLimits{}.HeaderTimeout_,
          .Budget_ = Budget,
          .Overloaded_ = encodeAnswer(
              {.Outcome_ = JobOutcome::NotRun,
               .RetryAfter_ = RetryAfterOptions{}.MaxRetryAfter_})};
}

// Readiness checks and reads of the metrics have no bodies, and come from few
// clients.
static CallerBudget checkBudget(const PlatformSettings &Settings) {
  return budgetOf(Settings.MemoryBytes_ / CheckShare,
                  Settings.MaxDescriptors_ / CheckShare);
}

/// \brief Carries out the actions of a step.
struct FleetDaemonActions {
  FleetDaemon &D_;

  void operator()(const AnswerJob &A) const {
    D_.Callers_.reply(A.Token_, encodeAnswer(A));
  }
  void operator()(const AnswerCancel &A) const {
    D_.Callers_.reply(A.Token_, encodeCancel(A.Result_));
  }
  void operator()(const StartRun &A) const { D_.Workers_.start(A); }
  void operator()(const StopRun &A) const { D_.Workers_.stop(A); }
  void operator()(const PollWorker &A) const { D_.Workers_.poll(A); }
  void operator()(const SendMessage &A) const {
    D_.Links_.send(A.To_, A.Message_);
  }
  void operator()(const DecodeConfigText &A) const {
    D_.PeerConfigs_.decode(A.Text_);
  }
  void operator()(const LinkInstances &A) const {
    std::set<Endpoint> Requested;
    for (const auto &[Address, Port] : A.Addresses_)
      Requested.insert({Address, Port});
    D_.Links_.setPeerEndpoints(Requested);
  }
  void operator()(const StoreCrash &A) const { D_.Store_.storeCrash(A.Crash_); }
  void operator()(const ForgetCrash &A) const {
    D_.Store_.forgetCrash(A.Worker_);
  }
  void operator()(const LogDecision &A) const { D_.Log_.write(A); }
};

StoreWatchEvents FleetDaemon::storeEvents() {
  return {.OnConfig_ =
              [this](DecodedConfig Config) {
                applyLimits(Config.Limits_);
                handle(ConfigRead{.Config_ = std::move(Config.Fleet_),
                                  .Text_ = std::move(Config.Text_),
                                  .IsFromStore_ = true});
              },
          .OnWorkers_ =
              [this](std::vector<WorkerReport> Workers) {
                handle(WorkersRead{std::move(Workers)});
              },
          .OnInstances_ =
              [this](std::vector<InstanceInfo> Known) {
                handle(InstancesRead{std::move(Known)});
              },
          .OnConfigConfirmed_ = [this] { handle(ConfigConfirmed{}); },
          .OnEvacuations_ =
              [this](EvacuationsRead Read) { handle(std::move(Read)); },
          .OnCrashes_ = [this](CrashesRead Read) { handle(std::move(Read)); },
          .Clock_ = [this] { return sharedClock(StoreClock_, monotonicNow()); },
          .OnClock_ =
              [this](Milliseconds Time) {
                updateSharedClock(StoreClock_, Time, monotonicNow());
              },
          .ShouldReadWorkers_ =
              [this] { return shouldReadList(State_, monotonicNow()); },
          .ShouldFollowConfig_ =
              [this] { return shouldFollowConfig(State_, monotonicNow()); },
          .OnReachable_ =
              [this](bool IsReachable, std::string_view What) {
                logLine(IsReachable ? "store_regained" : "store_lost",
                        {{"why", std::string(What)}});
                if (!IsReachable)
                  handle(WorkersReadFailed{});
              },
          .OnMalformed_ =
              [this](std::string_view Key) {
                logLine("row_unreadable", {{"key", std::string(Key)}});
              },
          .OnFailed_ =
              [this](std::string_view Call, std::string_view Why) {
                logLine("store_call_failed", {{"call", std::string(Call)},
                                              {"why", std::string(Why)}});
              }};
}

HttpClientOptions FleetDaemon::clientOptions() {
  return {.MaxIdle_ = MaxIdleConnection,
          .MaxResponseBytes_ = responseBudgetOf(Settings_.MemoryBytes_),
          .OnAbandoned_ = [this](const Endpoint &From, std::size_t Bytes) {
            onResponseAbandoned(From, Bytes);
          }};
}

FleetDaemon::FleetDaemon(EventLoop &Loop, const PlatformSettings &Settings,
                         const FleetDaemonOptions &Options)
    : Loop_(Loop), Settings_(Settings), State_(makeInstance(Settings, Options)),
      Log_(Loop, {.Instance_ = Settings.Name_}),
      WorkerClient_(Loop, clientOptions()), StoreClient_(Loop, clientOptions()),
      Links_(
          Loop,
          {.Self_ = State_.Self_,
           .MaxStrangers_ = maxStrangersOf(Settings.MaxDescriptors_)},
          {.OnUp_ =
               [this](const InstanceInfo &Info) { handle(InstanceUp{Info}); },
           .OnDown_ = [this](Incarnation Run) { handle(InstanceDown{Run}); },
           .OnMessage_ =
               [this](Incarnation From, FleetMessage Message) {
                 handle(MessageReceived{From, std::move(Message)});
               },
           .AwaitedSince_ =
               [this](Incarnation Run) { return workSharedSince(State_, Run); },
           .OnRejected_ =
               [this](std::string_view From) {
                 increment(State_.Counters_, Counter::PeerFramesRejected);
                 logLine("frame_rejected", {{"from", std::string(From)}});
               }}),
      Workers_(WorkerClient_, {},
               [this](FleetEvent Event) { handle(std::move(Event)); }),
      Store_(Loop, StoreClient_,
             {.Store_ = Settings.Store_,
              .Self_ = State_.Self_,
              .FollowsEvacuations_ = Settings.FollowsEvacuations_,
              .Crashes_ = {.Retention_ = State_.Options_.Crashes_.Retention_}},
             storeEvents()),
      PeerConfigs_(Loop, {},
                   [this](std::optional<DecodedConfig> Config) {
                     onPeerConfig(std::move(Config));
                   }),
      Callers_(
          Loop,
          listenOn(Settings.Callers_,
                   budgetOf(Settings.MemoryBytes_, Settings.MaxDescriptors_)),
          [this](HttpRequest &&R) { return onCaller(std::move(R)); },
          [this](uint64_t Token) { handle(JobAbandoned{Token}); },
          [this](CloseCause Cause) { onCallerClosed(Cause); }),
      Readiness_(
          Loop, listenOn(Settings.Readiness_, checkBudget(Settings)),
          [this](HttpRequest &&R) { return onReadiness(R); }, nullptr) {
  if (Options.MetricsPort_ != 0)
    Metrics_ = std::make_unique<HttpServer>(
        Loop,
        listenOn({Settings.Address_, Options.MetricsPort_},
                 checkBudget(Settings)),
        [this](HttpRequest &&) { return onMetrics(); }, nullptr);
}

tl::expected<void, ListenError> FleetDaemon::start() {
  if (auto Opened = Links_.listen(); !Opened)
    return Opened;
  if (auto Opened = Callers_.listen(); !Opened)
    return Opened;
  if (auto Opened = Readiness_.listen(); !Opened)
    return Opened;
  if (Metrics_) {
    if (auto Opened = Metrics_->listen(); !Opened)
      return Opened;
  }
  logLine("started", {{"version", MARJORAMBEND_VERSION},
                      {"data_centre", Settings_.DataCentre_},
                      {"run", formatHex(State_.Self_.Run_.Value_)},
                      {"cpu_m", std::to_string(Settings_.CpuShare_)},
                      {"lease_ms",
                       std::to_string(State_.Options_.Holder_.Lease_.Count_)}});
  addSeeds(Settings_);
  handle(FleetTick{sharedClock(StoreClock_, monotonicNow())});
  Store_.start();
  Tick_ =
      std::make_unique<Timer>(Loop_, TickInterval, Timer::Mode::Repeat, [this] {
        handle(FleetTick{sharedClock(StoreClock_, monotonicNow())});
        checkStop();
      });
  return {};
}

void FleetDaemon::applyLimits(const RequestLimits &Limits) {
  Callers_.setLimits(Limits.MaxHeaderBytes_, Limits.MaxBodyBytes_,
                     Limits.HeaderTimeout_, Limits.IdleTimeout_);
}

void FleetDaemon::onPeerConfig(std::optional<DecodedConfig> Config) {
  if (!Config) {
    logLine("config_unreadable", {{"from", "instance"}});
    return;
  }
  applyLimits(Config->Limits_);
  handle(ConfigRead{.Config_ = std::move(Config->Fleet_)});
}

void FleetDaemon::handle(FleetEvent Incoming) {
  Events_.push_back(std::move(Incoming));
  if (IsHandling_)
    return;
  IsHandling_ = true;
  while (!Events_.empty()) {
    FleetEvent Next = std::move(Events_.front());
    Events_.pop_front();
    const FleetActions Requested =
        step(State_, std::move(Next), monotonicNow());
    for (const FleetAction &One : Requested)
      std::visit(FleetDaemonActions{*this}, One);
  }
  IsHandling_ = false;
}

void FleetDaemon::logLine(std::string_view What, std::vector<LogField> Fields) {
  Log_.write({.What_ = What, .Fields_ = std::move(Fields)});
}

// A path is the route's prefix followed by a job's identity.
std::optional<HttpReply> FleetDaemon::onCaller(HttpRequest &&Request) {
  const std::size_t Slash = Request.Path_.rfind('/');
  if (Slash == std::string::npos)
    return jsonReply(NotFound, "{}");
  const std::string Path = Request.Path_.substr(0, Slash + 1);
  const std::string Last = Request.Path_.substr(Slash + 1);
  const std::string_view Host = hostOf(Request.Headers_);
  if (Last.empty() && Request.Method_ == "GET") {
    const Route *Matched = findRoute(State_.Config_, Host, Path);
    if (State_.Config_.Version_ == 0)
      return encodeAnswer({.Outcome_ = JobOutcome::NotRun});
    return Matched == nullptr
               ? jsonReply(NotFound, "{}")
               : encodePending(countPendingJobs(State_, Matched->Name_));
  }
  const auto Id = decodeJobId(Last);
  if (!Id)
    return jsonReply(
        NotFound, R"({"error":"the path must end in 16 hexadecimal digits"})");
  if (Request.Method_ == "POST")
    return submit(std::move(Request), Path, *Id);
  if (Request.Method_ == "GET")
    return encodeState(stateOf(State_, *Id));
  if (Request.Method_ != "DELETE")
    return jsonReply(405, R"({"error":"use POST, GET or DELETE"})");
  handle(JobCancel{*Id, Request.Token_});
  return std::nullopt;
}

std::optional<HttpReply> FleetDaemon::submit(HttpRequest &&Request,
                                             std::string Path, uint64_t Id) {
  auto Job = decodeJob(Request.Body_);
  if (!Job) {
    const bool IsMalformed = Job.error() == JobBodyError::Malformed;
    Log_.write({.What_ = "answer",
                .Job_ = Id,
                .IsFinal_ = true,
                .Fields_ = {
                    {"outcome", IsMalformed ? "malformed" : "not_supported"}}});
    if (IsMalformed)
      return jsonReply(400, R"({"error":"the body is no job"})");
    return encodeAnswer(
        {.Outcome_ = JobOutcome::NotSupported,
         .RetryAfter_ = State_.Options_.Placer_.Retry_.MaxRetryAfter_});
  }
  Job->Token_ = Request.Token_;
  Job->Id_ = Id;
  Job->Host_ = hostOf(Request.Headers_);
  Job->Path_ = std::move(Path);
  Job->CallerTimeout_ = callerTimeoutOf(Request.Headers_);
  handle(std::move(*Job));
  return std::nullopt;
}

void FleetDaemon::stop() {
  if (StopAt_)
    return;
  StopAt_ = monotonicNow();
  Store_.stop();
  Callers_.closeConnectionsAfterAnswers();
  handle(FleetStop{});
}

void FleetDaemon::reload(const std::string &Path) {
  const auto Given = readSettingsFile(Path);
  if (!Given) {
    logLine("reload_refused", {{"why", Given.error().What_}});
    return;
  }
  logLine("reload", {{"name", Given->Name_}});
  State_.Options_.Evacuation_.ReturnTime_ = Given->EvacuationReturn_;
  addSeeds(*Given);
  Callers_.setBudget(budgetOf(Given->MemoryBytes_, Given->MaxDescriptors_));
  for (HttpClient *Client : {&WorkerClient_, &StoreClient_})
    Client->setMaxResponseBytes(responseBudgetOf(Given->MemoryBytes_));
  if (State_.Options_.Placer_.WaitsForData_)
    State_.Options_.Placer_.RemoteFactor_ = Given->RemoteFactor_;
}

void FleetDaemon::addSeeds(const PlatformSettings &From) {
  std::set<Endpoint> Seeds;
  for (const std::string &Address : From.SeedAddresses_)
    Seeds.insert({Address, Settings_.Links_.Port_});
  Links_.setSeeds(Seeds);
}

// Readiness ends at once, so that new connections go elsewhere. The process
// exits when every request is answered and nothing runs on a held worker.
void FleetDaemon::checkStop() {
  if (!StopAt_)
    return;
  const Milliseconds Now = monotonicNow();
  const Milliseconds Since = Now - *StopAt_;
  const Milliseconds Bound = Settings_.StopGrace_ - StopMargin;
  const bool IsIdle = Since >= State_.Options_.StopGracePeriod_ &&
                      isIdle(State_) && Callers_.openRequests() == 0 &&
                      !Callers_.hasUnsentBytes() && !Callers_.hasUnreadInput();
  if (!IsIdle)
    IdleSince_.reset();
  else if (!IdleSince_)
    IdleSince_ = Now;
  if (!IsForced_ && Since >= Bound) {
    IsForced_ = true;
    handle(FleetStopForced{});
  }
  const bool IsDone = IdleSince_ && Now - *IdleSince_ >= CloseDelay;
  if (!IsDone && Since < Bound + CloseDelay)
    return;
  logLine("stopped",
          {{"after_ms", std::to_string(Since.Count_)},
           {"open_requests", std::to_string(Callers_.openRequests())}});
  Loop_.stop();
}

} // namespace marjorambend
