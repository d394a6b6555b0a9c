#include "TestMain.h"

#include "RawConnection.h"

#include <arpa/inet.h>
#include <marjorambend/Transport>
#include <sys/socket.h>
#include <unistd.h>

using namespace marjorambend;
using marjorambend::test::RawConnection;

TEST_GROUP(HttpServing) {
  EventLoop Loop_;
  std::optional<HttpRequest> Received_;
  std::optional<uint64_t> Disconnected_;
  bool IsReplyDeferred_ = false;
  HttpServer Server_{Loop_,
                     {.MaxBodyBytes_ = 1000,
                      .RequestTimeout_ = {150},
                      .TooSlow_ = {.Status_ = 408,
                                   .Headers_ = {{"X-Outcome", "unknown"}},
                                   .Body_ = "slow"},
                      .TooLarge_ = {.Status_ = 413, .Body_ = "large"}},
                     [this](HttpRequest &&Request) { return serve(Request); },
                     [this](uint64_t Token) {
                       Disconnected_ = Token;
                       Loop_.stop();
                     }};
  HttpClient Client_{Loop_};
  std::optional<HttpResult> Answered_;

  void setup() override { CHECK(Server_.listen().has_value()); }

  std::optional<HttpReply> serve(const HttpRequest &Request) {
    Received_ = Request;
    if (IsReplyDeferred_)
      return std::nullopt;
    return HttpReply{.Status_ = 200,
                     .Headers_ = {{"X-Path", Request.Path_}},
                     .Body_ = Request.Body_ + '!'};
  }

  uint64_t send(const HttpCall &Call) {
    return Client_.send(Call, [this](HttpResult Result) {
      Answered_ = std::move(Result);
      Loop_.stop();
    });
  }

  HttpCall callOf(std::string Body) {
    return {.To_ = {"127.0.0.1", Server_.port()},
            .Method_ = "POST",
            .Target_ = "/a?b=c",
            .Body_ = std::move(Body)};
  }

  // Runs the loop until the raw connection has received a reply.
  std::string runUntilAnswered(const RawConnection &Raw) {
    std::string Text;
    const Timer Poll(Loop_, Milliseconds{5}, Timer::Mode::Repeat, [&] {
      Text += Raw.read();
      if (!Text.empty())
        Loop_.stop();
    });
    Loop_.run();
    return Text;
  }
};

TEST(HttpServing, AnswersRequest) {
  send(callOf("body"));
  Loop_.run();
  CHECK(Answered_ && *Answered_);
  STRCMP_EQUAL("body!", (*Answered_)->Body_.c_str());
  STRCMP_EQUAL("/a", Received_->Path_.c_str());
  STRCMP_EQUAL("b=c", Received_->Query_.c_str());
}

TEST(HttpServing, AnswersThroughDeferredReply) {
  IsReplyDeferred_ = true;
  send(callOf("body"));
  const Timer Later(Loop_, Milliseconds{20}, Timer::Mode::Once, [&] {
    Server_.reply(Received_->Token_, {.Status_ = 503, .Body_ = "later"});
  });
  Loop_.run();
  CHECK_EQUAL(503, (*Answered_)->Status_);
  CHECK_EQUAL(0, Server_.openRequests());
}

TEST(HttpServing, RejectsTooLargeBody) {
  send(callOf(std::string(2000, 'x')));
  Loop_.run();
  CHECK_EQUAL(413, (*Answered_)->Status_);
  STRCMP_EQUAL("large", (*Answered_)->Body_.c_str());
  CHECK_FALSE(Received_.has_value());
}

TEST(HttpServing, RejectsHugeBodyWithoutReadingIt) {
  const RawConnection Raw(Server_.port());
  Raw.send("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\nxxx");
  const std::string Text = runUntilAnswered(Raw);
  CHECK(Text.find("HTTP/1.1 413") == 0);
  CHECK_FALSE(Received_.has_value());
}

TEST(HttpServing, RejectsHeadersAfterRequestTimeout) {
  const RawConnection Raw(Server_.port());
  Raw.send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\n");
  const std::string Text = runUntilAnswered(Raw);
  CHECK(Text.find("HTTP/1.1 408") == 0);
  CHECK(Text.find("X-Outcome: unknown\r\n") != std::string::npos);
  CHECK(Text.find("slow") != std::string::npos);
  CHECK_FALSE(Received_.has_value());
}

TEST(HttpServing, DetectsClientDisconnect) {
  IsReplyDeferred_ = true;
  const uint64_t Call = send(callOf("body"));
  const Timer AbortCall(Loop_, Milliseconds{20}, Timer::Mode::Once,
                        [&] { Client_.abort(Call); });
  const Timer Late(Loop_, Milliseconds{60}, Timer::Mode::Once, [&] {
    // A reply to a disconnected client has no effect.
    Server_.reply(Received_->Token_, {.Status_ = 200, .Body_ = "late"});
    Loop_.stop();
  });
  Loop_.run();
  CHECK(Disconnected_.has_value());
  CHECK_FALSE(Answered_.has_value());
}

TEST(HttpServing, ReportsClientThatLeavesWhileItsRequestIsOpen) {
  IsReplyDeferred_ = true;
  auto Raw = std::make_unique<RawConnection>(Server_.port());
  Raw->send("POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  const Timer Leave(Loop_, Milliseconds{20}, Timer::Mode::Once,
                    [&] { Raw.reset(); });
  const Timer Late(Loop_, Milliseconds{200}, Timer::Mode::Once,
                   [&] { Loop_.stop(); });
  Loop_.run();
  CHECK(Received_.has_value());
  CHECK(Disconnected_.has_value());
  LONGS_EQUAL(Received_->Token_, *Disconnected_);
  CHECK_EQUAL(0, Server_.openRequests());
}

TEST(HttpServing, ReportsNoClientThatSendsItsNextRequestEarly) {
  IsReplyDeferred_ = true;
  const RawConnection Raw(Server_.port());
  const std::string Header =
      "POST /first HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
  Raw.send(Header + "POST /second HTTP/1.1\r\nConte");
  const Timer More(Loop_, Milliseconds{20}, Timer::Mode::Once,
                   [&] { Raw.send("nt-Length: 0\r\n\r\n"); });
  const Timer Reply(Loop_, Milliseconds{40}, Timer::Mode::Once, [&] {
    STRCMP_EQUAL("/first", Received_->Path_.c_str());
    IsReplyDeferred_ = false;
    Server_.reply(Received_->Token_, {.Status_ = 200, .Body_ = "one"});
  });
  const Timer Late(Loop_, Milliseconds{100}, Timer::Mode::Once,
                   [&] { Loop_.stop(); });
  Loop_.run();
  STRCMP_EQUAL("/second", Received_->Path_.c_str());
  CHECK_FALSE(Disconnected_.has_value());
}

// The loop passes received bytes to libevhtp in a deferred callback, which
// would leak if the loop stops before it runs. The sanitizers in CI detect the
// leak.
TEST(HttpServing, DoesNotLeakDeferredReadCallback) {
  const RawConnection Raw(Server_.port());
  Raw.send("GET /first HTTP/1.1\r\n\r\n");
  CHECK_FALSE(runUntilAnswered(Raw).empty());
  Raw.send("GET /second HTTP/1.1\r\n\r\n");
  // One iteration of the loop: the bytes are read, then the timer stops it.
  const Timer Stop(Loop_, Milliseconds{0}, Timer::Mode::Once,
                   [this] { Loop_.stop(); });
  Loop_.run();
  STRCMP_EQUAL("/first", Received_->Path_.c_str());
}

TEST_GROUP_BASE(HttpCalls, TEST_GROUP_CppUTestGroupHttpServing){};

namespace {

/// \brief A listener whose connections the test serves itself.
class ScriptedServer {
public:
  ScriptedServer() : Listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Any{};
    Any.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &Any.sin_addr);
    bind(Listener_, reinterpret_cast<sockaddr *>(&Any), sizeof(Any));
    listen(Listener_, 1);
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;
  ~ScriptedServer() { close(Listener_); }
  uint16_t port() const {
    sockaddr_in Own{};
    socklen_t Length = sizeof(Own);
    getsockname(Listener_, reinterpret_cast<sockaddr *>(&Own), &Length);
    return ntohs(Own.sin_port);
  }
  int accept() const { return ::accept(Listener_, nullptr, nullptr); }

private:
  int Listener_;
};

} // namespace

TEST(HttpCalls, ReportsNotConnected) {
  const RawConnection Unused(Server_.port());
  send({.To_ = {"127.0.0.1", 1}});
  Loop_.run();
  CHECK(Answered_->error() == HttpFailure::NotConnected);
}

TEST(HttpCalls, ReportsLostAfterTimeout) {
  IsReplyDeferred_ = true;
  HttpCall Call = callOf("body");
  Call.Timeout_ = {50};
  send(Call);
  Loop_.run();
  CHECK(Answered_->error() == HttpFailure::Lost);
}

TEST(HttpCalls, ReportsLostForTruncatedResponse) {
  const ScriptedServer Scripted;
  send({.To_ = {"127.0.0.1", Scripted.port()}});
  const Timer Cut(Loop_, Milliseconds{20}, Timer::Mode::Once, [&] {
    const int Socket = Scripted.accept();
    const std::string PartialReply =
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
    ::send(Socket, PartialReply.data(), PartialReply.size(), MSG_NOSIGNAL);
    close(Socket);
  });
  Loop_.run();
  CHECK(Answered_->error() == HttpFailure::Lost);
}

TEST(HttpCalls, DoesNotMixUpResponsesOfCalls) {
  IsReplyDeferred_ = true;
  HttpCall Call = callOf("first");
  Call.Timeout_ = {50};
  send(Call);
  Loop_.run();
  const uint64_t FirstToken = Received_->Token_;
  Answered_.reset();
  IsReplyDeferred_ = false;
  send(callOf("second"));
  Server_.reply(FirstToken, {.Status_ = 200, .Body_ = "answer to the first"});
  Loop_.run();
  STRCMP_EQUAL("second!", (*Answered_)->Body_.c_str());
}

// A saturated link can deliver a request in pieces of any size.
TEST(HttpServing, ReadsRequestInTwoPieces) {
  const std::string RequestText =
      "GET /abcd1234/ HTTP/1.1\r\nHost: yelo0.example\r\n"
      "Deadline-Ms: 1500\r\n\r\n";
  const RawConnection Raw(Server_.port());
  for (std::size_t First = 1; First < RequestText.size(); ++First) {
    Received_.reset();
    Raw.send(RequestText.substr(0, First));
    const Timer Rest(Loop_, Milliseconds{2}, Timer::Mode::Once,
                     [&] { Raw.send(RequestText.substr(First)); });
    CHECK_FALSE(runUntilAnswered(Raw).empty());
    CHECK(Received_.has_value());
    STRCMP_EQUAL("/abcd1234/", Received_->Path_.c_str());
    STRCMP_EQUAL("yelo0.example",
                 std::string(findHeader(Received_->Headers_, "Host")).c_str());
    STRCMP_EQUAL(
        "1500",
        std::string(findHeader(Received_->Headers_, "Deadline-Ms")).c_str());
  }
}

// Guards against a response of the store or a worker that never ends.
TEST(HttpCalls, ReportsLostForEndlessResponseHeader) {
  const std::string Header = "X-Name: " + std::string(1'000, 'x') + "\r\n";
  const ScriptedServer Scripted;
  send({.To_ = {"127.0.0.1", Scripted.port()}});
  int Socket = -1;
  std::size_t SentBytes = 0;
  const Timer Reply(Loop_, Milliseconds{20}, Timer::Mode::Repeat, [&] {
    if (Socket < 0) {
      Socket = Scripted.accept();
      ::send(Socket, "HTTP/1.1 200 OK\r\n", 17, MSG_NOSIGNAL);
    }
    for (int Count = 0; Count < 10; ++Count) {
      ::send(Socket, Header.data(), Header.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      SentBytes += Header.size();
    }
  });
  Loop_.run();
  close(Socket);
  CHECK(Answered_->error() == HttpFailure::Lost);
  CHECK(SentBytes < 1'000'000); // The timeout would allow 2.5 MB.
}

// Guards against a response without end that takes the memory of all others.
TEST(HttpCalls, AbandonsTheLargestResponseBeyondItsBudget) {
  std::vector<std::size_t> Abandoned;
  HttpClient Bounded(Loop_,
                     {.MaxResponseBytes_ = 100'000,
                      .OnAbandoned_ = [&](const Endpoint &, std::size_t Bytes) {
                        Abandoned.push_back(Bytes);
                      }});
  const ScriptedServer Scripted;
  std::optional<HttpResult> Endless;
  Bounded.send({.To_ = {"127.0.0.1", Scripted.port()}}, [&](HttpResult Result) {
    Endless = std::move(Result);
    Server_.reply(Received_->Token_, {.Status_ = 200, .Body_ = "small"});
  });
  IsReplyDeferred_ = true;
  Bounded.send(callOf("body"), [&](HttpResult Result) {
    Answered_ = std::move(Result);
    Loop_.stop();
  });
  int Socket = -1;
  const Timer Reply(Loop_, Milliseconds{20}, Timer::Mode::Repeat, [&] {
    const std::string Piece(30'000, 'x');
    if (Socket < 0) {
      Socket = Scripted.accept();
      ::send(Socket, "HTTP/1.1 200 OK\r\n\r\n", 19, MSG_NOSIGNAL);
    }
    ::send(Socket, Piece.data(), Piece.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  });
  Loop_.run();
  close(Socket);
  CHECK(Endless->error() == HttpFailure::Lost);
  STRCMP_EQUAL("small", (*Answered_)->Body_.c_str());
  LONGS_EQUAL(1, Abandoned.size());
  CHECK(Abandoned.front() > 90'000 && Abandoned.front() < 150'000);
}

// Guards against an account that is not settled when its calls end.
TEST(HttpCalls, MayReceiveMoreThanTheBudgetOneAfterAnother) {
  HttpClient Bounded(Loop_, {.MaxResponseBytes_ = 2'000});
  for (int Count = 0; Count < 10; ++Count) {
    Bounded.send(callOf(std::string(900, 'x')), [&](HttpResult Result) {
      Answered_ = std::move(Result);
      Loop_.stop();
    });
    Loop_.run();
    CHECK(Answered_->has_value());
  }
}

// Guards against a chunked body that libevhtp sees in pieces, and against a
// client that waits for 100 Continue in vain.
TEST(HttpServing, ReadsChunkedBodyOfClientThatWaits) {
  const RawConnection Raw(Server_.port());
  Raw.send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
           "Expect: 100-continue\r\n\r\n");
  STRCMP_EQUAL("HTTP/1.1 100 Continue\r\n\r\n", runUntilAnswered(Raw).c_str());
  Raw.send("1\r\nb\r\n3\r\nody\r\n0\r\n\r\n");
  CHECK(runUntilAnswered(Raw).find("HTTP/1.1 200") == 0);
  STRCMP_EQUAL("body", Received_->Body_.c_str());
}

// Guards against bytes that are held without a bound, and against a refusal of
// a request that has reached the handler.
TEST(HttpServing, RefusesOnlyIncompleteRequestsBeyondItsBudget) {
  IsReplyDeferred_ = true;
  const RawConnection Open(Server_.port());
  Open.send("POST /open HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  const RawConnection Raw(Server_.port());
  Raw.send("POST /held HTTP/1.1\r\nContent-Length: 900\r\n\r\nx");
  const Timer Shrink(Loop_, Milliseconds{50}, Timer::Mode::Once, [&] {
    Server_.setBudget({.MaxBytes_ = 1'000});
    Raw.send("x");
  });
  const std::string Refusal = runUntilAnswered(Raw);
  CHECK(Refusal.find("HTTP/1.1 503") == 0);
  CHECK(Refusal.find("Retry-After: 1\r\n") != std::string::npos);
  STRCMP_EQUAL("/open", Received_->Path_.c_str());
  Server_.reply(Received_->Token_, {.Status_ = 200});
  CHECK(runUntilAnswered(Open).find("HTTP/1.1 200") == 0);
  CHECK_FALSE(Disconnected_.has_value());
}
