#include "marjorambend/src/Transport/CallerApi.h"

#include "marjorambend/src/Support/Constants.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace marjorambend {
namespace internal {

using Json = nlohmann::json;
using JobOrError = tl::expected<JobRequest, CallerError>;

static uint16_t notRunStatus(Reason Why) {
  switch (Why) {
  case Reason::MalformedRequest:
  case Reason::MissingIdentity:
    return 400;
  case Reason::WrongTeam:
    return 403;
  case Reason::UnknownKind:
    return 404;
  case Reason::DeadlinePassed:
    return 408;
  case Reason::BodyTooLarge:
    return 413;
  case Reason::NeverRunnable:
    return 422;
  case Reason::QuotaExceeded:
    return 429;
  default:
    return 503;
  }
}

static uint16_t mayHaveRunStatus(Reason Why) {
  switch (Why) {
  case Reason::IdentityReused:
    return 409;
  case Reason::IdentityExpired:
    return 410;
  case Reason::DeadlinePassed:
    return 504;
  default:
    return 502;
  }
}

static uint16_t statusOf(const Answer &Given) {
  switch (Given.Outcome_) {
  case Outcome::Complete:
    return 200;
  case Outcome::NotRun:
    return notRunStatus(Given.Reason_);
  case Outcome::MayHaveRun:
    break;
  }
  return mayHaveRunStatus(Given.Reason_);
}

static tl::unexpected<CallerError> requestError(Reason Why, std::string What) {
  return tl::unexpected(CallerError{.Reason_ = Why, .What_ = std::move(What)});
}

static JobOrError readBody(JobRequest Job, const std::string &Body) {
  const Json Document = Json::parse(Body, nullptr, false);
  if (!Document.is_object())
    return requestError(Reason::MalformedRequest,
                        "the body is not a JSON object");
  const auto Kind = Document.find("kind");
  if (Kind == Document.end() || !Kind->is_string())
    return requestError(Reason::MalformedRequest, "\"kind\" must be a text");
  Job.Kind_ = Kind->get<std::string>();
  const auto Tasks = Document.find("tasks");
  if (Tasks == Document.end() || !Tasks->is_array() || Tasks->empty() ||
      Tasks->size() > MaxTasksPerJob)
    return requestError(Reason::MalformedRequest,
                        "\"tasks\" must be a list of 1 to " +
                            std::to_string(MaxTasksPerJob) + " texts");
  for (const Json &Task : *Tasks) {
    if (!Task.is_string())
      return requestError(Reason::MalformedRequest,
                          "every task must be a text");
    Job.Tasks_.push_back(Task.get<std::string>());
  }
  return Job;
}

static std::optional<int64_t> parseInteger(std::string_view Text) {
  int64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Error != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

// Replaces invalid UTF-8 in results instead of throwing.
static std::string dump(const Json &Document) {
  return Document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace internal

using internal::Json;

tl::expected<JobRequest, CallerError> parseJob(const HttpRequest &Request,
                                               Milliseconds MaxTimeout) {
  JobRequest Job;
  const auto IdText = findHeader(Request.Headers_, header::JobId);
  if (IdText.empty())
    return internal::requestError(
        Reason::MissingIdentity,
        std::string("the field ") + header::JobId +
            " must carry the job's identity, a UUID of "
            "version 7, or of version 8 from "
            "/v1/identities");
  const auto Id = parseJobId(IdText);
  if (!Id)
    return internal::requestError(Reason::MalformedRequest,
                                  std::string(header::JobId) +
                                      " must be a UUID of version 7 or 8");
  Job.Id_ = *Id;
  Job.Team_ = findHeader(Request.Headers_, header::Team);
  if (Job.Team_.empty() || Job.Team_.size() > MaxNameBytes)
    return internal::requestError(Reason::MalformedRequest,
                                  std::string("the field ") + header::Team +
                                      " must name the team, in 1 to 64 bytes");
  const auto Timeout =
      internal::parseInteger(findHeader(Request.Headers_, header::Timeout));
  if (!Timeout || *Timeout > MaxTimeout.Count_)
    return internal::requestError(
        Reason::MalformedRequest,
        std::string("the field ") + header::Timeout +
            " must be a whole number of milliseconds up to " +
            std::to_string(MaxTimeout.Count_));
  Job.Timeout_ = {*Timeout};
  Job.TraceParent_ = findHeader(Request.Headers_, header::TraceParent);
  return internal::readBody(std::move(Job), Request.Body_);
}

static HttpReply formatRefusal(uint16_t Status, Outcome What, Reason Why,
                               std::string_view Message) {
  HttpReply Reply =
      jsonReply(Status, internal::dump(Json{{"outcome", outcomeName(What)},
                                            {"reason", reasonName(Why)},
                                            {"message", Message},
                                            {"retry_after_ms", 0}}));
  Reply.Headers_.emplace_back(header::Outcome, outcomeName(What));
  return Reply;
}

HttpReply formatError(const CallerError &Error) {
  return formatRefusal(internal::notRunStatus(Error.Reason_), Outcome::NotRun,
                       Error.Reason_, Error.What_);
}

HttpReply formatOverloaded() {
  HttpReply Reply =
      formatRefusal(504, Outcome::MayHaveRun, Reason::RequestsTooLarge,
                    reasonHelp(Reason::RequestsTooLarge));
  Reply.Headers_.emplace_back("Retry-After", "1");
  return Reply;
}

HttpReply formatTooSlow() {
  return formatRefusal(408, Outcome::MayHaveRun, Reason::RequestTooSlow,
                       reasonHelp(Reason::RequestTooSlow));
}

HttpReply formatAnswer(const Answer &Given, bool IsIdempotent) {
  Json Body{{"job", formatJobId(Given.Id_)},
            {"outcome", outcomeName(Given.Outcome_)}};
  const std::string OutcomeText(outcomeName(Given.Outcome_));
  if (Given.Outcome_ == Outcome::Complete) {
    Body["results"] = Given.Results_;
  } else {
    Body["reason"] = reasonName(Given.Reason_);
    Body["message"] = reasonHelp(Given.Reason_);
    Body["retry_after_ms"] = Given.RetryAfter_.Count_;
    Body["new_identity_is_safe"] =
        Given.Outcome_ == Outcome::NotRun || IsIdempotent;
  }
  HttpReply Reply = jsonReply(internal::statusOf(Given), internal::dump(Body));
  Reply.Headers_.emplace_back(header::Outcome, OutcomeText);
  if (Given.RetryAfter_.Count_ > 0) {
    const int64_t Seconds = (Given.RetryAfter_.Count_ + 999) / 1000;
    Reply.Headers_.emplace_back("Retry-After", std::to_string(Seconds));
  }
  return Reply;
}

static std::string_view phaseName(JobPhase Phase) {
  switch (Phase) {
  case JobPhase::Claiming:
    return "claiming";
  case JobPhase::Active:
    return "active";
  case JobPhase::Remote:
    return "remote";
  case JobPhase::Finished:
    break;
  }
  return "finished";
}

HttpReply formatStatus(const JobId &Id,
                       const std::optional<JobStatus> &Status) {
  if (!Status)
    return jsonReply(404, internal::dump(Json{
                              {"job", formatJobId(Id)},
                              {"message", "this instance has no record of the "
                                          "job; another may have it"}}));
  Json Body{{"job", formatJobId(Id)},
            {"phase", phaseName(Status->Phase_)},
            {"tasks", Status->Tasks_},
            {"done", Status->Done_},
            {"possibly_run", Status->PossiblyRun_}};
  if (Status->Answer_) {
    Body["outcome"] = outcomeName(Status->Answer_->Outcome_);
    Body["reason"] = reasonName(Status->Answer_->Reason_);
  }
  return jsonReply(200, internal::dump(Body));
}

HttpReply formatIdentities(std::span<const JobId> Ids) {
  Json List = Json::array();
  for (const JobId &Id : Ids)
    List.push_back(formatJobId(Id));
  return jsonReply(200, Json{{"identities", List}}.dump());
}

} // namespace marjorambend
