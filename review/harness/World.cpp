#include "World.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <random>

namespace marjorambend::review {

static constexpr const char *Zones[] = {"milano", "torino", "verona"};
static constexpr const char *Host = "banco.example";
static constexpr const char *Service = "banco-prestiti";
static constexpr int64_t ResendMs = 1'300;
static constexpr int64_t ReadyTimeoutMs = 25'000;
static constexpr int64_t SettleMs = 3'000;
static constexpr int InstanceHost = 10;
static constexpr int WorkerHost = 100;
static constexpr int WorkersPerRack = 8;
// Further instances of a zone are weak and coordinate nothing.
static constexpr int StrongPerZone = 3;
static constexpr double WeakCpuShare = 0.09;

static uint64_t randomNumber() {
  static std::mt19937_64 Generator(std::random_device{}());
  return Generator();
}

// A worker learns from the text what a task of the job takes.
static std::string textOf(const ClientJob &Job) {
  return "job=" + Job.Id_ + " cpu=" + std::to_string(Job.MilliCores_) +
         " mem=" + std::to_string(Job.MemoryMb_) +
         " work=" + std::to_string(Job.WorkMs_) +
         " pad=" + std::string(static_cast<std::size_t>(Job.Padding_), 'x');
}

static int64_t numberAfter(const std::string &Text, const std::string &Name) {
  const std::size_t At = Text.find(Name);
  return At == std::string::npos ? 0
                                 : std::stoll(Text.substr(At + Name.size()));
}

World::World(const std::string &Folder, int InstancesPerZone,
             int WorkersPerZone)
    : Record_(Folder + "/record.txt") {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "reviewXXXXXX").string();
  Temp_ = mkdtemp(Pattern.data());
  std::vector<int> Hosts{1};
  std::vector<InstanceSpec> Instances;
  for (int Zone = 0; Zone < 3; ++Zone) {
    for (int Index = 0; Index < InstancesPerZone; ++Index)
      Hosts.push_back(InstanceHost + Zone * InstancesPerZone + Index);
    for (int Index = 0; Index < WorkersPerZone; ++Index)
      Hosts.push_back(WorkerHost + Zone * WorkersPerZone + Index);
  }
  Prefix_ = findFreePrefix(Hosts);
  if (Prefix_.empty())
    std::exit(2);
  Record_.write("addresses " + Prefix_ + '*');
  const Endpoint StoreAt{Prefix_ + "1", Ports::Store};
  Store_ = std::make_unique<Store>(Loop_, StoreAt);
  if (!Store_->listen())
    std::exit(2);
  const WorkerEvents Events{
      .NeedsOf_ =
          [](const std::string &Text) {
            return TaskNeeds{.MilliCores_ = numberAfter(Text, "cpu="),
                             .MemoryMb_ = numberAfter(Text, "mem="),
                             .Work_ = {numberAfter(Text, "work=")}};
          },
      .OnStart_ =
          [this](const Worker &At, const WorkerRun &Run,
                 const std::string &Text) {
            const auto Known = Jobs_.find(Run.Task_.substr(0, 16));
            if (Known != Jobs_.end() && Text != textOf(Known->second.Job_))
              breach("UNASKED", Run.Task_ + " has another text: " + Text);
            handleStart(At, Run);
          },
      .OnEnd_ = [this](const Worker &At, const WorkerRun &Run,
                       const char *How) { handleEnd(At, Run, How); },
      .OnLate_ =
          [this](const Worker &At, const std::string &Order, int Status) {
            Record_.write(At.spec().Id_ + " carries out late " + Order + ": " +
                          std::to_string(Status));
          }};
  for (int Zone = 0; Zone < 3; ++Zone) {
    for (int Index = 1; Index <= InstancesPerZone; ++Index)
      Instances.push_back(
          {.Name_ =
               "edge-" + std::string(Zones[Zone]) + '-' + std::to_string(Index),
           .Zone_ = Zones[Zone],
           .Address_ =
               Prefix_ + std::to_string(InstanceHost - 1 +
                                        Zone * InstancesPerZone + Index),
           .CpuShare_ = Index > StrongPerZone ? WeakCpuShare : 0.25});
    for (int Index = 0; Index < WorkersPerZone; ++Index) {
      const int Number = Zone * WorkersPerZone + Index;
      Workers_.push_back(std::make_unique<Worker>(
          Loop_, *Store_,
          WorkerSpec{
              .Id_ = "i-" + std::to_string(1000 + Number),
              .Service_ = Service,
              .Zone_ = Zones[Zone],
              .At_ = {Prefix_ + std::to_string(WorkerHost + Number),
                      Ports::Worker},
              .Labels_ = {"a", "r" + std::to_string(Zone) + '-' +
                                   std::to_string(Index / WorkersPerRack)}},
          Events));
    }
  }
  Fleet_ = std::make_unique<Fleet>(Record_, Temp_, StoreAt, Instances);
  Client_ = std::make_unique<Caller>(Loop_);
}

World::~World() {
  Fleet_.reset();
  Timers_.clear();
  Client_.reset();
  for (const auto &One : Workers_)
    One->crash();
  Workers_.clear();
  Store_.reset();
  if (std::getenv("REVIEW_KEEP") == nullptr)
    std::filesystem::remove_all(Temp_);
}

void World::writeConfig() {
  Json Routes = Json::array();
  const std::pair<const char *, int> Kinds[] = {
      {"avail-check", 0}, {"fit-hold", 1}, {"loan-book", 2}};
  for (const auto &[Name, Priority] : Kinds)
    Routes.push_back({{"name", Name},
                      {"host", Host},
                      {"path_prefix", '/' + std::string(Name) + '/'},
                      {"service", Service},
                      {"kind", "non_idempotent"},
                      {"timeout_ms", 60'000},
                      {"target_latency_ms", 60},
                      {"max_attempts", 3},
                      {"stretch_factor", 1.6},
                      {"priority", Priority}});
  Store_->put("op", "config",
              {{"version", 3},
               {"routes", Routes},
               {"services",
                {{{"name", Service},
                  {"max_connections", 64},
                  {"rejects_overload", true}}}},
               {"limits",
                {{"max_body_bytes", 262'144},
                 {"header_timeout_ms", 3'000},
                 {"idle_timeout_ms", 15'000}}}});
}

void World::begin(std::function<void()> Then) {
  OnReady_ = std::move(Then);
  writeConfig();
  for (const auto &One : Workers_)
    One->boot();
  for (const InstanceSpec &One : Fleet_->instances())
    Fleet_->start(One.Name_, true);
  after(ReadyTimeoutMs, [this] {
    if (OnReady_)
      finish(2);
  });
  after(500, [this] { probe(); });
}

// Asks each instance whether it is ready, then lets the fleet settle.
void World::probe() {
  if (!OnReady_)
    return;
  for (const InstanceSpec &One : Fleet_->instances())
    Client_->send({.To_ = {One.Address_, Ports::Readiness},
                   .Target_ = "/readyz",
                   .Timeout_ = {500}},
                  [this, Name = One.Name_](const HttpResult &Result) {
                    if (Result && Result->Status_ == 200)
                      Ready_.insert(Name);
                  });
  if (Ready_.size() < Fleet_->instances().size()) {
    after(300, [this] { probe(); });
    return;
  }
  Record_.write("all instances are ready");
  after(SettleMs, std::exchange(OnReady_, nullptr));
}

void World::after(int64_t Ms, std::function<void()> Call) {
  Timers_.push_back(std::make_unique<Timer>(
      Loop_, Milliseconds{Ms}, Timer::Mode::Once, std::move(Call)));
}

std::string World::newId() {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%08llx%08llx",
                static_cast<unsigned long long>(randomNumber() & 0xffffffff),
                static_cast<unsigned long long>(NextJob_++));
  return Text;
}

std::string World::bodyOf(const ClientJob &Job) {
  Json Phase{{"count", Job.Tasks_},
             {"cpu", Job.MilliCores_},
             {"mem_mb", Job.MemoryMb_},
             {"estimate_ms", Job.EstimateMs_}};
  if (!Job.Label_.empty())
    Phase["requirements"] = Job.Label_;
  if (Job.MaxPerWorker_ != 0)
    Phase["anti_affinity"] = Job.MaxPerWorker_;
  return Json{{"spec", textOf(Job)},
              {"best_effort", true},
              {"phases", Json::array({Phase})}}
      .dump();
}

std::string World::submit(ClientJob Job, const std::string &Instance) {
  if (Job.Id_.empty())
    Job.Id_ = newId();
  const std::string Id = Job.Id_;
  Jobs_[Id].Job_ = std::move(Job);
  send(Id, Instance);
  return Id;
}

std::string World::sendByHand(ClientJob &Job, const std::string &Instance) {
  Job.Id_ = newId();
  JobRecord &Known = Jobs_[Job.Id_];
  Known.Job_ = Job;
  Known.Tries_ = 1;
  LastInstance_[Job.Id_] = Instance;
  Record_.write("client sends " + Job.Id_ + " (try 1) to " + Instance);
  const std::string Body = bodyOf(Job);
  return "POST /" + Job.Route_ + '/' + Job.Id_ + " HTTP/1.1\r\nHost: " + Host +
         "\r\nContent-Type: application/json\r\nDeadline-Ms: " +
         std::to_string(Job.DeadlineMs_) +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

void World::send(const std::string &Id, const std::string &Instance) {
  JobRecord &Known = Jobs_[Id];
  const ClientJob &Job = Known.Job_;
  ++Known.Tries_;
  Known.Status_.reset();
  LastInstance_[Id] = Instance;
  Record_.write("client sends " + Id + " (try " + std::to_string(Known.Tries_) +
                ") to " + Instance);
  Client_->send(
      {.To_ = {Fleet_->spec(Instance).Address_, Ports::Callers},
       .Method_ = "POST",
       .Target_ = '/' + Job.Route_ + '/' + Id,
       .Headers_ = {{"Host", Host},
                    {"Content-Type", "application/json"},
                    {"Deadline-Ms", std::to_string(Job.DeadlineMs_)}},
       .Body_ = bodyOf(Job),
       .Timeout_ = {Job.DeadlineMs_}},
      [this, Id](const HttpResult &Result) { finishTry(Id, Result); });
}

std::string World::otherInstance(const std::string &Not) {
  std::vector<std::string> Names;
  for (const InstanceSpec &One : Fleet_->instances()) {
    if (One.Name_ != Not && Fleet_->isRunning(One.Name_))
      Names.push_back(One.Name_);
  }
  return Names.empty() ? Not : Names[randomNumber() % Names.size()];
}

void World::finishTry(const std::string &Id, const HttpResult &Result) {
  JobRecord &Known = Jobs_[Id];
  Known.Status_ = Result ? Result->Status_ : 0;
  Known.Answer_ = Result ? Result->Body_ : "";
  Record_.write("client gets " +
                (Result ? std::to_string(Result->Status_) + ' ' + Result->Body_
                        : std::string("no response")) +
                " for " + Id);
  const int Status = *Known.Status_;
  if (Status == 200 && Known.Answer_.find("completed") != std::string::npos &&
      Known.Done_.size() < static_cast<std::size_t>(Known.Job_.Tasks_))
    breach("MIXED", Id + " is completed, but only " +
                        std::to_string(Known.Done_.size()) + " of " +
                        std::to_string(Known.Job_.Tasks_) +
                        " tasks have ended done");
  if (Status == 429 || Status == 503)
    ++Known.Rejections_;
  const bool IsLost = Status == 0 || Status == 502 || Status == 504;
  if (!IsLost || !Known.Job_.IsResent_ || Known.CancelAckedAt_ ||
      Known.Tries_ >= Known.Job_.MaxTries_)
    return;
  after(ResendMs, [this, Id] {
    if (!Jobs_[Id].CancelAckedAt_)
      send(Id, otherInstance(LastInstance_[Id]));
  });
}

void World::cancel(const std::string &Id, const std::string &Instance) {
  Record_.write("client cancels " + Id + " at " + Instance);
  Client_->send({.To_ = {Fleet_->spec(Instance).Address_, Ports::Callers},
                 .Method_ = "DELETE",
                 .Target_ = '/' + Jobs_[Id].Job_.Route_ + '/' + Id,
                 .Headers_ = {{"Host", Host}},
                 .Timeout_ = {1'500}},
                [this, Id](const HttpResult &Result) {
                  Record_.write("cancel of " + Id + " gets " +
                                (Result ? std::to_string(Result->Status_)
                                        : std::string("no response")));
                  const bool IsAcked = Result && (Result->Status_ / 100 == 2 ||
                                                  Result->Status_ == 410);
                  if (IsAcked)
                    Jobs_[Id].CancelAckedAt_ = Record_.now();
                });
}

void World::breach(const std::string &Rule, const std::string &What) {
  ++Breaches_;
  Record_.write("BROKEN " + Rule + ": " + What);
}

void World::handleStart(const Worker &At, const WorkerRun &Run) {
  Record_.write(At.spec().Id_ + " starts " + Run.Task_ + " attempt " +
                std::to_string(Run.Attempt_));
  const std::string Id = Run.Task_.substr(0, 16);
  const auto Found = Jobs_.find(Id);
  if (Found == Jobs_.end()) {
    breach("UNASKED", Run.Task_ + " was sent by no client");
    return;
  }
  JobRecord &Known = Found->second;
  ++Known.Starts_;
  int OfJobHere = 0;
  for (const auto &Other : Workers_) {
    for (const WorkerRun &One : Other->runs()) {
      const bool IsSame = Other.get() == &At && One.Attempt_ == Run.Attempt_;
      if (One.Task_ == Run.Task_ && !IsSame)
        breach("TWICE", Run.Task_ + " runs on " + Other->spec().Id_ +
                            " (attempt " + std::to_string(One.Attempt_) +
                            ") and on " + At.spec().Id_ + " (attempt " +
                            std::to_string(Run.Attempt_) + ')');
      if (Other.get() == &At && One.Task_.substr(0, 16) == Id)
        ++OfJobHere;
    }
  }
  const std::string &Label = Known.Job_.Label_;
  const auto &Labels = At.spec().Labels_;
  if (!Label.empty() &&
      std::find(Labels.begin(), Labels.end(), Label) == Labels.end())
    breach("ROUTE", Run.Task_ + " needs the label " + Label +
                        ", which the worker " + At.spec().Id_ +
                        " does not have");
  if (Known.Job_.MaxPerWorker_ != 0 && OfJobHere > Known.Job_.MaxPerWorker_)
    breach("ROUTE", std::to_string(OfJobHere) + " tasks of " + Id + " run on " +
                        At.spec().Id_ + "; anti_affinity is " +
                        std::to_string(Known.Job_.MaxPerWorker_));
  if (OnStart_)
    OnStart_(At, Run);
}

void World::handleEnd(const Worker &At, const WorkerRun &Run, const char *How) {
  Record_.write(At.spec().Id_ + " ends " + Run.Task_ + " attempt " +
                std::to_string(Run.Attempt_) + ": " + How);
  const auto Known = Jobs_.find(Run.Task_.substr(0, 16));
  if (Known != Jobs_.end() && std::string(How) == "done")
    Known->second.Done_.insert(Run.Task_);
}

void World::finish(int ExitCode) {
  ExitCode_ = ExitCode;
  Loop_.stop();
}

int World::run() {
  Loop_.run();
  for (const auto &[Id, Known] : Jobs_) {
    if (Known.Starts_ > 0 && Known.Rejections_ == Known.Tries_)
      breach("REFUSED", Id + " has started, and all tries were rejected");
  }
  const int Code = ExitCode_ == 2 ? 2 : Breaches_ > 0 ? 1 : 0;
  Record_.write("exit code " + std::to_string(Code));
  return Code;
}

} // namespace marjorambend::review
