#include "TestMain.h"

#include <marjorambend/Transport>
#include <nlohmann/json.hpp>

using namespace marjorambend;

TEST_GROUP(JobRequestParsing) {
  HttpRequest Request_{
      .Method_ = "POST",
      .Path_ = "/v1/jobs",
      .Headers_ = {{header::JobId, "0193a3c8-7c00-7000-8000-000000000001"},
                   {header::Team, "team"},
                   {header::Timeout, "2000"}},
      .Body_ = R"({"kind":"payout","tasks":["a","b"]})"};
  const Milliseconds MaxTimeout_{60'000};

  void removeHeader(const std::string &Name) {
    std::erase_if(Request_.Headers_,
                  [&](const auto &Pair) { return Pair.first == Name; });
  }
  void checkRejected(Reason Why, uint16_t Status) {
    const auto Job = parseJob(Request_, MaxTimeout_);
    CHECK_FALSE(Job.has_value());
    CHECK(Job.error().Reason_ == Why);
    const HttpReply Reply = formatError(Job.error());
    CHECK_EQUAL(Status, Reply.Status_);
    STRCMP_EQUAL(
        "not_run",
        std::string(findHeader(Reply.Headers_, header::Outcome)).c_str());
  }
};

TEST(JobRequestParsing, ReadsJob) {
  const auto Job = parseJob(Request_, MaxTimeout_);
  CHECK(Job.has_value());
  STRCMP_EQUAL("payout", Job->Kind_.c_str());
  CHECK_EQUAL(2, Job->Tasks_.size());
  CHECK_EQUAL(2000, Job->Timeout_.Count_);
}

TEST(JobRequestParsing, RejectsMissingIdentity) {
  removeHeader(header::JobId);
  checkRejected(Reason::MissingIdentity, 400);
}

TEST(JobRequestParsing, RejectsInvalidIdentity) {
  Request_.Headers_[0].second = "0193a3c8-7c00-4000-8000-000000000001";
  checkRejected(Reason::MalformedRequest, 400);
}

TEST(JobRequestParsing, RejectsMissingTeamOrTimeout) {
  removeHeader(header::Team);
  checkRejected(Reason::MalformedRequest, 400);
  Request_.Headers_.emplace_back(header::Team, "team");
  removeHeader(header::Timeout);
  checkRejected(Reason::MalformedRequest, 400);
}

TEST(JobRequestParsing, RejectsMalformedBody) {
  for (const char *Body :
       {"", "{", "[]", R"({"tasks":["a"]})", R"({"kind":"payout"})",
        R"({"kind":"payout","tasks":[]})", R"({"kind":"payout","tasks":[1]})",
        R"({"kind":7,"tasks":["a"]})"}) {
    Request_.Body_ = Body;
    checkRejected(Reason::MalformedRequest, 400);
  }
}

TEST(JobRequestParsing, RejectsMoreThanThousandTasks) {
  nlohmann::json Body{{"kind", "payout"},
                      {"tasks", std::vector<std::string>(1000, "a")}};
  Request_.Body_ = Body.dump();
  CHECK(parseJob(Request_, MaxTimeout_).has_value());
  Body["tasks"].push_back("one too many");
  Request_.Body_ = Body.dump();
  checkRejected(Reason::MalformedRequest, 400);
}

TEST_GROUP(AnswerFormatting){
    static HttpReply format(Outcome What, Reason Why){return formatAnswer(
        {.Id_ = {1, 2}, .Outcome_ = What, .Reason_ = Why, .RetryAfter_ = {1}},
        false);
}
}
;

TEST(AnswerFormatting, MapsReasonToStatus) {
  CHECK_EQUAL(200, format(Outcome::Complete, Reason::None).Status_);
  CHECK_EQUAL(503, format(Outcome::NotRun, Reason::QueueFull).Status_);
  CHECK_EQUAL(429, format(Outcome::NotRun, Reason::QuotaExceeded).Status_);
  CHECK_EQUAL(404, format(Outcome::NotRun, Reason::UnknownKind).Status_);
  CHECK_EQUAL(502, format(Outcome::MayHaveRun, Reason::TaskLost).Status_);
  CHECK_EQUAL(504, format(Outcome::MayHaveRun, Reason::DeadlinePassed).Status_);
  CHECK_EQUAL(409, format(Outcome::MayHaveRun, Reason::IdentityReused).Status_);
}

TEST(AnswerFormatting, ContainsRetryDelay) {
  const HttpReply Reply = format(Outcome::NotRun, Reason::QueueFull);
  CHECK(findHeader(Reply.Headers_, "Retry-After") == "1");
  const auto Body = nlohmann::json::parse(Reply.Body_);
  CHECK_EQUAL(1, Body["retry_after_ms"].get<int>());
  CHECK_TRUE(Body["new_identity_is_safe"].get<bool>());
}

// Guards against a refusal that says "not run" for a job that another
// submission may have run: the identity is not read.
TEST_GROUP(UnreadRequests){};

TEST(UnreadRequests, MayHaveRun) {
  const HttpReply Overloaded = formatOverloaded();
  for (const HttpReply &Reply : {formatTooSlow(), Overloaded})
    STRCMP_EQUAL(
        "may_have_run",
        std::string(findHeader(Reply.Headers_, header::Outcome)).c_str());
  LONGS_EQUAL(504, Overloaded.Status_);
  STRCMP_EQUAL(
      "1", std::string(findHeader(Overloaded.Headers_, "Retry-After")).c_str());
  const auto Body = nlohmann::json::parse(Overloaded.Body_);
  STRCMP_EQUAL("requests_too_large", Body["reason"].get<std::string>().c_str());
}
