#include "Daemon.h"

#include "DaemonOptions.h"
#include "OperatorApi.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace marjorambend {

static constexpr Milliseconds TickInterval{10};
static constexpr std::size_t MaxIdentitiesPerRequest = 1000;
static constexpr std::string_view JobsPath = "/v1/jobs";

static bool isForwarding(const PeerMessage &Message) {
  return std::holds_alternative<ForwardedJob>(Message) ||
         std::holds_alternative<ForwardedAnswer>(Message);
}

/// \brief Carries out the actions of a step.
struct DaemonActions {
  Daemon &D_;

  void operator()(const AnswerCaller &A) const {
    D_.Callers_.erase(A.Token_);
    D_.CallerServer_.reply(A.Token_, formatAnswer(*A.Answer_, A.IsIdempotent_));
  }
  void operator()(const InsertClaims &A) const {
    D_.Platform_.insertClaims(A.Batch_);
  }
  void operator()(const SendTask &A) const {
    const WorkerSpec &Spec = D_.State_.Workers_.Workers_[A.Worker_].Spec_;
    D_.Backends_.send(A, {Spec.Address_, Spec.Port_});
  }
  void operator()(const AbortTask &A) const { D_.Backends_.abort(A.Send_); }
  void operator()(const SendPeer &A) const {
    const std::size_t Bytes = D_.Links_.send(A.To_, A.Message_);
    increment(D_.State_.Counters_, Counter::PeerBytesSent, Bytes);
    if (!isForwarding(A.Message_))
      increment(D_.State_.Counters_, Counter::PeerControlBytesSent, Bytes);
  }
  void operator()(const ReplaceLink &A) const { D_.Links_.close(A.To_); }
  void operator()(const ReadRow &A) const { D_.Platform_.readRow(A); }
  void operator()(const SwapRow &A) const { D_.Platform_.swapRow(A); }
  void operator()(const DeleteRows &A) const {
    D_.Platform_.deleteRows(A.Prefix_);
  }
  void operator()(const AnswerOperator &A) const {
    D_.OperatorServer_.reply(A.Token_, formatChange(A));
  }
  void operator()(const RecordSpan &A) const { D_.Traces_.write(A.Span_); }
  void operator()(const LogChange &A) const { spdlog::info("{}", A.Text_); }
};

Daemon::Daemon(EventLoop &Loop, const SettingsT &Settings)
    : Loop_(Loop), Settings_(Settings), WallOffset_(wallNow() - monotonicNow()),
      State_(makeInstance(instanceOptions(Settings), seedOf(Settings))),
      Client_(Loop, clientOptions(Settings)),
      Traces_(Settings.trace_file, Settings.name, WallOffset_),
      Links_(Loop, linkOptions(Settings, State_.Self_),
             {.OnConnected_ =
                  [this](const PeerHello &Hello) {
                    handle(PeerConnected{Hello.Run_, Hello.Name_,
                                         Hello.DataCentre_});
                  },
              .OnDisconnected_ =
                  [this](Incarnation Run) { handle(PeerDisconnected{Run}); },
              .OnMessage_ =
                  [this](Incarnation From, PeerMessage Message) {
                    handle(PeerReceived{From, std::move(Message)});
                  },
              .OnRejected_ =
                  [this] {
                    increment(State_.Counters_, Counter::PeerFramesRejected);
                  }},
             State_.Generator_()),
      Backends_(Client_,
                [this](TaskFinished Finished) { handle(std::move(Finished)); }),
      Platform_(
          Client_,
          {.Service_ = {Settings.platform_address,
                        static_cast<uint16_t>(Settings.platform_port)},
           .Self_ = State_.Self_,
           .Instance_ = specOf(Settings)},
          [this](Event Incoming) { handle(std::move(Incoming)); },
          [this](const PlatformList &List) { onList(List); }),
      CallerServer_(
          Loop, callerServerOptions(Settings),
          [this](HttpRequest &&R) { return onCaller(std::move(R)); },
          [this](uint64_t Token) {
            const auto Found = Callers_.find(Token);
            if (Found == Callers_.end())
              return;
            const JobId Id = Found->second;
            Callers_.erase(Found);
            handle(CallerGone{.Token_ = Token, .Id_ = Id});
          }),
      OperatorServer_(
          Loop, operatorServerOptions(Settings),
          [this](HttpRequest &&R) { return onOperator(std::move(R)); },
          nullptr) {}

tl::expected<void, ListenError> Daemon::start() {
  if (auto Opened = CallerServer_.listen(); !Opened)
    return Opened;
  if (auto Opened = OperatorServer_.listen(); !Opened)
    return Opened;
  if (auto Opened = Links_.listen(); !Opened)
    return Opened;
  spdlog::info("instance {} of data centre {} started, incarnation {}",
               Settings_.name, Settings_.data_centre,
               formatHex(State_.Self_.Value_));
  handle(Tick{wallNow()});
  Platform_.readList();
  Tick_ =
      std::make_unique<Timer>(Loop_, TickInterval, Timer::Mode::Repeat, [this] {
        handle(Tick{wallNow()});
        checkStop();
      });
  ListPoll_ = std::make_unique<Timer>(
      Loop_, Milliseconds{Settings_.list_poll_ms}, Timer::Mode::Repeat,
      [this] { Platform_.readList(); });
  return {};
}

void Daemon::handle(Event Incoming) {
  Events_.push_back(std::move(Incoming));
  if (IsHandling_)
    return;
  IsHandling_ = true;
  while (!Events_.empty()) {
    Event Next = std::move(Events_.front());
    Events_.pop_front();
    const Actions Requested = step(State_, std::move(Next), monotonicNow());
    for (const Action &One : Requested)
      std::visit(DaemonActions{*this}, One);
  }
  IsHandling_ = false;
}

std::optional<HttpReply> Daemon::onCaller(HttpRequest &&Request) {
  if (Request.Path_ == "/livez" || Request.Path_ == "/readyz")
    return health(Request.Path_ == "/readyz");
  if (Request.Path_ == JobsPath && Request.Method_ == "POST")
    return onJobs(std::move(Request));
  if (Request.Path_.rfind(std::string(JobsPath) + '/', 0) == 0)
    return onJob(Request);
  if (Request.Path_ == "/v1/identities" && Request.Method_ == "POST") {
    std::size_t Count = 1;
    const std::string Text = queryValue(Request.Query_, "count");
    std::from_chars(Text.data(), Text.data() + Text.size(), Count);
    return formatIdentities(
        reserveJobIds(State_, std::min(Count, MaxIdentitiesPerRequest)));
  }
  return formatError(
      {.Reason_ = Reason::MalformedRequest,
       .What_ = "there is no " + Request.Method_ + ' ' + Request.Path_});
}

std::optional<HttpReply> Daemon::onJobs(HttpRequest &&Request) {
  auto Job = parseJob(Request, {Settings_.max_job_timeout_ms});
  if (!Job)
    return formatError(Job.error());
  Callers_[Request.Token_] = Job->Id_;
  handle(JobSubmitted{.Token_ = Request.Token_, .Request_ = std::move(*Job)});
  return std::nullopt;
}

std::optional<HttpReply> Daemon::onJob(const HttpRequest &Request) {
  const auto Id =
      parseJobId(std::string_view(Request.Path_).substr(JobsPath.size() + 1));
  if (!Id)
    return formatError({.Reason_ = Reason::MalformedRequest,
                        .What_ = "the path must end in the job's identity"});
  if (Request.Method_ == "DELETE") {
    handle(JobCancelled{*Id});
    return jsonReply(202, R"({"message":"the job will be cancelled"})");
  }
  return formatStatus(*Id, jobStatus(State_, *Id));
}

HttpReply Daemon::health(bool IsReadiness) const {
  if (!IsReadiness)
    return jsonReply(200, R"({"live":true})");
  if (isReady(State_))
    return jsonReply(200, R"({"ready":true})");
  const char *Why =
      State_.IsStopping_
          ? R"({"ready":false,"message":"stopping"})"
          : R"({"ready":false,"message":"no catalogue is in force"})";
  return jsonReply(503, Why);
}

std::string Daemon::metrics() const {
  return renderCounters(State_.Counters_) +
         renderGauge("jobs_remembered", State_.Jobs_.size()) +
         renderGauge("tasks_queued", State_.Admission_.QueuedTasks_) +
         renderGauge("tasks_under_way", State_.Sends_.size()) +
         renderGauge("peers_linked", State_.Peers_.Peers_.size()) +
         renderGauge("catalogue_version", State_.Config_.Version_) +
         renderGauge("ready", isReady(State_) ? 1 : 0);
}

std::optional<HttpReply> Daemon::onOperator(HttpRequest &&Request) {
  if (Request.Path_ == "/livez" || Request.Path_ == "/readyz")
    return health(Request.Path_ == "/readyz");
  if (Request.Path_ == "/metrics")
    return HttpReply{
        .Status_ = 200,
        .Headers_ = {{"Content-Type", "text/plain; version=0.0.4"}},
        .Body_ = metrics()};
  if (!isAuthorised(Request, Settings_.operator_secret))
    return operatorError(401, "the operators' secret is missing or wrong");
  if (Request.Path_ == "/v1/status")
    return jsonReply(200, formatInstance(State_, List_, monotonicNow()));
  if (Request.Path_ == "/v1/catalogue")
    return onCatalogue(std::move(Request));
  if (Request.Path_ == "/v1/drains")
    return onDrain(Request);
  if (Request.Path_.rfind(std::string(JobsPath) + '/', 0) == 0)
    return onJob(Request);
  if (Request.Path_ == "/v1/stop" && Request.Method_ == "POST") {
    stop();
    return jsonReply(202, R"({"message":"stopping on plan"})");
  }
  return operatorError(404,
                       "there is no " + Request.Method_ + ' ' + Request.Path_);
}

std::optional<HttpReply> Daemon::onCatalogue(HttpRequest &&Request) {
  if (Request.Method_ == "GET")
    return jsonReply(200, formatCatalogue(State_.Config_));
  if (Request.Method_ != "PUT")
    return operatorError(405, "use GET or PUT");
  const std::string Text = queryValue(Request.Query_, "expect");
  uint64_t Expected = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Expected);
  if (Error != std::errc{} || End != Text.data() + Text.size())
    return operatorError(400, "expect=N must name the version you edited");
  handle(CatalogueSubmitted{.Token_ = Request.Token_,
                            .ExpectedVersion_ = Expected,
                            .Text_ = std::move(Request.Body_)});
  return std::nullopt;
}

HttpReply Daemon::onDrain(const HttpRequest &Request) {
  if (Request.Method_ == "GET")
    return jsonReply(200, formatDrainList(State_.Drains_));
  const auto Body = nlohmann::json::parse(Request.Body_, nullptr, false);
  const bool IsRight = Body.is_object() && Body.contains("target") &&
                       Body["target"].is_string() && Body.contains("drained") &&
                       Body["drained"].is_boolean();
  if (!IsRight)
    return operatorError(400, "the body must be {\"target\":\"worker/NAME\" "
                              "or \"data-centre/NAME\",\"drained\":true or "
                              "false}");
  const auto Target = Body["target"].get<std::string>();
  const bool HasKind =
      Target.rfind("worker/", 0) == 0 || Target.rfind("data-centre/", 0) == 0;
  const bool HasSpace = Target.find_first_of(" \n\t") != std::string::npos;
  if (!HasKind || HasSpace)
    return operatorError(400, "a target is worker/NAME or data-centre/NAME");
  handle(DrainOrdered{.Target_ = Target,
                      .IsDrained_ = Body["drained"].get<bool>()});
  return jsonReply(200, formatDrainList(State_.Drains_));
}

void Daemon::onList(const PlatformList &List) {
  List_ = List;
  std::set<Endpoint> Endpoints;
  for (const InstanceSpec &Spec : List.Instances_)
    Endpoints.insert({Spec.Address_, Spec.PeerPort_});
  Links_.setEndpoints(std::move(Endpoints));
  handle(WorkersListed{List.Workers_});
}

void Daemon::stop() {
  if (StopAt_) {
    forceStop();
    return;
  }
  StopAt_ = monotonicNow();
  handle(StopOrdered{});
}

void Daemon::forceStop() {
  if (IsForced_)
    return;
  IsForced_ = true;
  if (!isIdle(State_))
    ExitCode_ = 3;
  handle(StopForced{});
}

// Stops in stages: reports not ready, stops accepting, completes open requests,
// exits.
void Daemon::checkStop() {
  if (!StopAt_)
    return;
  const Milliseconds Since = monotonicNow() - *StopAt_;
  if (Since.Count_ >= Settings_.stop_timeout_ms)
    forceStop();
  if (Since.Count_ < Settings_.stop_delay_ms && !IsForced_)
    return;
  CallerServer_.stopAccepting();
  const bool IsDone = isIdle(State_) && CallerServer_.openRequests() == 0 &&
                      !CallerServer_.hasUnreadInput();
  if (!IsDone && !IsForced_)
    return;
  spdlog::info("stopped");
  Loop_.stop();
}

} // namespace marjorambend
