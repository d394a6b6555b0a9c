#include "Callers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace marjorambend {

using Json = nlohmann::json;

static constexpr Milliseconds PaceInterval{2};
static constexpr Milliseconds ReadinessInterval{250};
static constexpr Milliseconds IdentityAge{2'000};
static constexpr std::size_t IdentityStock = 40;
static constexpr std::size_t IdentityBatch = 5; // From one instance.
static constexpr int64_t ResubmitWithinMs = 300;
static constexpr int64_t ReconnectWithinMs = 100;
static constexpr int64_t CancelWithinMs = 200;
static constexpr Milliseconds AnswerGrace{1'000};

Callers::Callers(EventLoop &Loop, HttpClient &Client, CallerOptions Options,
                 LoadProfile Profile, std::vector<LoadJob> Jobs,
                 std::vector<LoadTarget> Targets)
    : Loop_(Loop), Client_(Client), Options_(Options),
      Profile_(std::move(Profile)), Jobs_(std::move(Jobs)),
      Targets_(std::move(Targets)), Results_(Jobs_.size()),
      States_(Jobs_.size()), Generator_(Options.Seed_) {}

void Callers::begin(std::function<void()> OnDone) {
  OnDone_ = std::move(OnDone);
  Start_ = monotonicNow();
  Pace_ = std::make_unique<Timer>(Loop_, PaceInterval, Timer::Mode::Repeat,
                                  [this] { submitDue(); });
  Readiness_ =
      std::make_unique<Timer>(Loop_, ReadinessInterval, Timer::Mode::Repeat,
                              [this] { checkReadiness(); });
}

void Callers::submitDue() {
  const Milliseconds Since = monotonicNow() - Start_;
  while (NextJob_ < Jobs_.size() && Jobs_[NextJob_].At_ <= Since)
    submit(NextJob_++);
  if (Identities_.size() < IdentityStock / 2 && Options_.ReservedShare_ > 0)
    fetchIdentities();
}

void Callers::submit(std::size_t Job) {
  State &Entry = States_[Job];
  Entry.SubmittedAt_ = monotonicNow();
  Entry.Deadline_ = Entry.SubmittedAt_ + Options_.Timeout_;
  Results_[Job].Job_ = Job;
  Results_[Job].Id_ = takeIdentity();
  Entry.Open_ = 1;
  sendCopy(Job);
  if (uniformUnit(Generator_) < Options_.ResubmitShare_) {
    ++Entry.Open_;
    const auto Delay =
        static_cast<int64_t>(uniformBelow(Generator_, ResubmitWithinMs));
    later({Delay}, [this, Job] { sendCopy(Job); });
  }
  if (uniformUnit(Generator_) < Options_.CancelShare_) {
    const auto Delay =
        static_cast<int64_t>(uniformBelow(Generator_, CancelWithinMs));
    later({Delay}, [this, Job] { cancel(Job); });
  }
}

std::string Callers::takeIdentity() {
  const Milliseconds Now = monotonicNow();
  while (!Identities_.empty() && Now - Identities_.front().first > IdentityAge)
    Identities_.pop_front();
  const bool IsReserved = uniformUnit(Generator_) < Options_.ReservedShare_;
  if (!IsReserved || Identities_.empty())
    return formatJobId(makeJobId(wallNow(), Generator_));
  std::string Id = Identities_.front().second;
  Identities_.pop_front();
  return Id;
}

void Callers::fetchIdentities() {
  const Milliseconds Now = monotonicNow();
  const LoadTarget &From = Targets_[pickTarget(std::nullopt)];
  Client_.send(
      {.To_ = From.Callers_,
       .Method_ = "POST",
       .Target_ = "/v1/identities?count=" + std::to_string(IdentityBatch),
       .Timeout_ = Milliseconds{1'000}},
      [this, Now](const HttpResult &Result) {
        if (!Result || Identities_.size() > IdentityStock)
          return;
        const Json Body = Json::parse(Result->Body_, nullptr, false);
        if (!Body.is_object())
          return;
        for (const Json &Id : Body.value("identities", Json::array()))
          Identities_.emplace_back(Now, Id.get<std::string>());
      });
}

std::size_t Callers::pickTarget(std::optional<std::size_t> Avoid) {
  std::vector<std::size_t> Ready;
  for (std::size_t Index = 0; Index < Targets_.size(); ++Index) {
    if (Targets_[Index].IsReady_ && Index != Avoid)
      Ready.push_back(Index);
  }
  if (Ready.empty())
    return uniformBelow(Generator_, Targets_.size());
  return Ready[uniformBelow(Generator_, Ready.size())];
}

void Callers::sendCopy(std::size_t Job) {
  JobResult &Result = Results_[Job];
  State &Entry = States_[Job];
  const Milliseconds Left = Entry.Deadline_ - monotonicNow();
  if (Left.Count_ <= 0 || Result.Sends_ >= Options_.MaxSends_) {
    release(Job);
    return;
  }
  const bool IsFirst = Result.Sends_ == 0;
  const std::size_t Target =
      pickTarget(IsFirst ? std::nullopt : std::optional(Entry.LastTarget_));
  Entry.LastTarget_ = Target;
  ++Result.Sends_;
  Json Tasks = Json::array();
  const LoadJob &Load = Jobs_[Job];
  for (std::size_t Task = 0; Task < Load.RunMs_.size(); ++Task)
    Tasks.push_back(makePayload(Load.RunMs_[Task], Task));
  TraceContext Trace = startSpan({}, Generator_);
  Trace.IsSampled_ = uniformUnit(Generator_) < Options_.TraceShare_;
  const Json Body{{"kind", Profile_.Kinds_[Load.Kind_].Name_},
                  {"tasks", Tasks}};
  Client_.send({.To_ = Targets_[Target].Callers_,
                .Method_ = "POST",
                .Target_ = "/v1/jobs",
                .Headers_ = {{header::JobId, Result.Id_},
                             {header::Team, Profile_.Team_},
                             {header::Timeout, std::to_string(Left.Count_)},
                             {header::TraceParent, formatTraceParent(Trace)}},
                .Body_ = Body.dump(),
                .Timeout_ = Left + AnswerGrace},
               [this, Job, Target](const HttpResult &Answered) {
                 takeAnswer(Job, Target, Answered);
               });
}

void Callers::takeAnswer(std::size_t Job, std::size_t Target,
                         const HttpResult &Result) {
  if (Result) {
    takeReply(Job, *Result);
    return;
  }
  ++Results_[Job].Broken_;
  Targets_[Target].IsReady_ = false;
  const auto Delay =
      static_cast<int64_t>(uniformBelow(Generator_, ReconnectWithinMs));
  comeBack(Job, {Delay});
}

void Callers::takeReply(std::size_t Job, const HttpReply &Reply) {
  JobResult &Result = Results_[Job];
  const Json Body = Json::parse(Reply.Body_, nullptr, false);
  const std::string Outcome(findHeader(Reply.Headers_, header::Outcome));
  ++Result.Answers_;
  const bool IsTyped = Body.is_object() && !Outcome.empty() &&
                       Body.value("outcome", std::string{}) == Outcome;
  if (!IsTyped)
    Result.IsWrong_ = true;
  const Milliseconds Now = monotonicNow();
  if (!Result.IsComplete_) {
    Result.Outcome_ = Outcome;
    Result.Reason_ =
        IsTyped ? Body.value("reason", std::string{}) : std::string{};
    Result.Latency_ = Now - States_[Job].SubmittedAt_;
    Result.CompleteAt_ = Now - Start_;
  }
  if (Outcome == outcomeName(Outcome::Complete)) {
    checkResults(Job, Reply);
    release(Job);
    return;
  }
  if (Outcome != outcomeName(Outcome::NotRun))
    Result.HasOnlyNotRun_ = false;
  const int64_t RetryAfter =
      IsTyped ? Body.value("retry_after_ms", int64_t{0}) : 0;
  if (RetryAfter > 0 && !Result.IsComplete_ && !Result.WasCancelled_) {
    comeBack(Job, {RetryAfter});
    return;
  }
  release(Job);
}

void Callers::checkResults(std::size_t Job, const HttpReply &Reply) {
  JobResult &Result = Results_[Job];
  Result.HasOnlyNotRun_ = false;
  if (Result.IsComplete_) {
    Result.IsWrong_ = Result.IsWrong_ || Reply.Body_ != States_[Job].FirstBody_;
    return;
  }
  Result.IsComplete_ = true;
  States_[Job].FirstBody_ = Reply.Body_;
  const Json Body = Json::parse(Reply.Body_, nullptr, false);
  const std::vector<int64_t> &Runs = Jobs_[Job].RunMs_;
  const Json Answers = Body.value("results", Json::array());
  bool IsWhole = Answers.size() == Runs.size();
  for (std::size_t Task = 0; IsWhole && Task < Runs.size(); ++Task)
    IsWhole = Answers[Task] == Result.Id_ + '/' + std::to_string(Task) + '/' +
                                   makePayload(Runs[Task], Task);
  Result.IsWrong_ = Result.IsWrong_ || !IsWhole;
}

void Callers::comeBack(std::size_t Job, Milliseconds After) {
  later(After, [this, Job] { sendCopy(Job); });
}

void Callers::cancel(std::size_t Job) {
  Results_[Job].WasCancelled_ = true;
  Client_.send({.To_ = Targets_[States_[Job].LastTarget_].Callers_,
                .Method_ = "DELETE",
                .Target_ = "/v1/jobs/" + Results_[Job].Id_},
               [](const HttpResult &) {});
}

void Callers::later(Milliseconds After, std::function<void()> Call) {
  const uint64_t Number = NextLater_++;
  Later_[Number] = std::make_unique<Timer>(
      Loop_, After, Timer::Mode::Once, [this, Number, Call = std::move(Call)] {
        Later_.erase(Number);
        Call();
      });
}

void Callers::release(std::size_t Job) {
  --States_[Job].Open_;
  if (States_[Job].Open_ > 0)
    return;
  ++Finished_;
  if (Finished_ == Jobs_.size())
    OnDone_();
}

void Callers::checkReadiness() {
  for (std::size_t Index = 0; Index < Targets_.size(); ++Index)
    Client_.send({.To_ = Targets_[Index].Callers_,
                  .Target_ = "/readyz",
                  .Timeout_ = Milliseconds{400}},
                 [this, Index](const HttpResult &Result) {
                   Targets_[Index].IsReady_ = Result && Result->Status_ == 200;
                 });
}

} // namespace marjorambend
