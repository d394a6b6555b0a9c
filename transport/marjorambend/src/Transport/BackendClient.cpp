#include "marjorambend/src/Transport/BackendClient.h"

namespace marjorambend {

// Upper bound for a connection only: the instance aborts a send long before.
static constexpr Milliseconds CallTimeout{3'700'000};

static TaskResult toTaskResult(const HttpResult &Result) {
  if (!Result)
    return Result.error() == HttpFailure::NotConnected
               ? TaskResult::NotConnected
               : TaskResult::Lost;
  if (Result->Status_ == 200)
    return TaskResult::Succeeded;
  const bool IsRefused = Result->Status_ == 503 &&
                         !findHeader(Result->Headers_, header::NotRun).empty();
  if (!IsRefused)
    return TaskResult::Failed;
  return findHeader(Result->Headers_, header::Leaving).empty()
             ? TaskResult::Refused
             : TaskResult::RefusedLeaving;
}

BackendClient::BackendClient(HttpClient &Client, FinishedHandler OnFinished)
    : Client_(Client), OnFinished_(std::move(OnFinished)) {}

void BackendClient::send(const SendTask &Task, const Endpoint &To) {
  const uint64_t Send = Task.Send_;
  const HttpCall Call{.To_ = To,
                      .Method_ = "POST",
                      .Target_ = "/v1/tasks",
                      .Headers_ = {{header::JobId, formatJobId(Task.Id_)},
                                   {header::Task, std::to_string(Task.Task_)},
                                   {header::Kind, Task.Kind_},
                                   {header::TraceParent, Task.TraceParent_}},
                      .Body_ = Task.Payload_,
                      .Timeout_ = CallTimeout};
  Calls_[Send] = Client_.send(Call, [this, Send](HttpResult Result) {
    Calls_.erase(Send);
    TaskFinished Finished{.Send_ = Send, .Result_ = toTaskResult(Result)};
    if (Result)
      Finished.Body_ = std::move(Result->Body_);
    OnFinished_(std::move(Finished));
  });
}

void BackendClient::abort(uint64_t Send) {
  const auto Found = Calls_.find(Send);
  if (Found == Calls_.end())
    return;
  Client_.abort(Found->second);
  Calls_.erase(Found);
}

} // namespace marjorambend
