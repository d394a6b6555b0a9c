#include "TestMain.h"

#include <arpa/inet.h>
#include <marjorambend/Transport>
#include <sys/socket.h>
#include <unistd.h>

using namespace marjorambend;

namespace {

/// \brief A connection that sends bytes as a careless client would.
class RawConnection {
public:
  explicit RawConnection(uint16_t Port)
      : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
    connect(Socket_, reinterpret_cast<sockaddr *>(&Address), sizeof(Address));
  }
  ~RawConnection() { close(Socket_); }
  void send(const std::string &Text) const {
    ::send(Socket_, Text.data(), Text.size(), MSG_NOSIGNAL);
  }
  std::string read() const {
    std::string Text(4096, '\0');
    const ssize_t Bytes = recv(Socket_, Text.data(), Text.size(), MSG_DONTWAIT);
    Text.resize(Bytes > 0 ? static_cast<std::size_t>(Bytes) : 0);
    return Text;
  }

private:
  int Socket_;
};

} // namespace

TEST_GROUP(AnHttpListener) {
  EventLoop Loop;
  std::optional<HttpRequest> Received;
  std::optional<uint64_t> Gone;
  bool IsSilent = false;
  HttpServer Server{Loop,
                    {.MaxBodyBytes_ = 1000,
                     .RequestTimeout_ = {150},
                     .TimeoutBody_ = "slow",
                     .TooLargeBody_ = "large"},
                    [this](HttpRequest &&Request) { return serve(Request); },
                    [this](uint64_t Token) {
                      Gone = Token;
                      Loop.stop();
                    }};
  HttpClient Client{Loop};
  std::optional<HttpResult> Answered;

  void setup() override { CHECK(Server.listen().has_value()); }

  std::optional<HttpReply> serve(const HttpRequest &Request) {
    Received = Request;
    if (IsSilent)
      return std::nullopt;
    return HttpReply{.Status_ = 200,
                     .Headers_ = {{"X-Path", Request.Path_}},
                     .Body_ = Request.Body_ + '!'};
  }

  uint64_t send(const HttpCall &Call) {
    return Client.send(Call, [this](HttpResult Result) {
      Answered = std::move(Result);
      Loop.stop();
    });
  }

  HttpCall callOf(std::string Body) {
    return {.To_ = {"127.0.0.1", Server.port()},
            .Method_ = "POST",
            .Target_ = "/a?b=c",
            .Body_ = std::move(Body)};
  }

  // Runs the loop until the raw connection has been answered.
  std::string runUntilAnswered(const RawConnection &Raw) {
    std::string Text;
    const Timer Poll(Loop, Milliseconds{5}, Timer::Mode::Repeat, [&] {
      Text += Raw.read();
      if (!Text.empty())
        Loop.stop();
    });
    Loop.run();
    return Text;
  }
};

TEST(AnHttpListener, AnswersARequestWhole) {
  send(callOf("body"));
  Loop.run();
  CHECK(Answered && *Answered);
  STRCMP_EQUAL("body!", (*Answered)->Body_.c_str());
  STRCMP_EQUAL("/a", Received->Path_.c_str());
  STRCMP_EQUAL("b=c", Received->Query_.c_str());
}

TEST(AnHttpListener, AnswersLaterWhenAskedTo) {
  IsSilent = true;
  send(callOf("body"));
  const Timer Later(Loop, Milliseconds{20}, Timer::Mode::Once, [&] {
    Server.reply(Received->Token_, {.Status_ = 503, .Body_ = "later"});
  });
  Loop.run();
  CHECK_EQUAL(503, (*Answered)->Status_);
  CHECK_EQUAL(0, Server.openRequests());
}

TEST(AnHttpListener, RefusesABodyThatIsTooLarge) {
  send(callOf(std::string(2000, 'x')));
  Loop.run();
  CHECK_EQUAL(413, (*Answered)->Status_);
  STRCMP_EQUAL("large", (*Answered)->Body_.c_str());
  CHECK_FALSE(Received.has_value());
}

TEST(AnHttpListener, RefusesAHugeBodyWithoutReadingIt) {
  const RawConnection Raw(Server.port());
  Raw.send("POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\nxxx");
  const std::string Text = runUntilAnswered(Raw);
  CHECK(Text.find("HTTP/1.1 413") == 0);
  CHECK_FALSE(Received.has_value());
}

TEST(AnHttpListener, RefusesHeadersThatArriveTooSlowly) {
  const RawConnection Raw(Server.port());
  Raw.send("POST /v1/jobs HTTP/1.1\r\nHost: a\r\n");
  const std::string Text = runUntilAnswered(Raw);
  CHECK(Text.find("HTTP/1.1 408") == 0);
  CHECK(Text.find("slow") != std::string::npos);
  CHECK_FALSE(Received.has_value());
}

TEST(AnHttpListener, NoticesThatTheSenderIsGone) {
  IsSilent = true;
  const uint64_t Call = send(callOf("body"));
  const Timer Vanish(Loop, Milliseconds{20}, Timer::Mode::Once,
                     [&] { Client.abort(Call); });
  const Timer Late(Loop, Milliseconds{60}, Timer::Mode::Once, [&] {
    // An answer to a sender that is gone does no harm.
    Server.reply(Received->Token_, {.Status_ = 200, .Body_ = "late"});
    Loop.stop();
  });
  Loop.run();
  CHECK_FALSE(Answered.has_value());
}

TEST_GROUP_BASE(AnHttpClient, TEST_GROUP_CppUTestGroupAnHttpListener){};

TEST(AnHttpClient, KnowsThatNothingWasSentWithoutAConnection) {
  const RawConnection Unused(Server.port());
  send({.To_ = {"127.0.0.1", 1}});
  Loop.run();
  CHECK(Answered->error() == HttpFailure::NotConnected);
}

TEST(AnHttpClient, DoesNotKnowWhatASilentServerDid) {
  IsSilent = true;
  HttpCall Call = callOf("body");
  Call.Timeout_ = {50};
  send(Call);
  Loop.run();
  CHECK(Answered->error() == HttpFailure::Lost);
}

TEST(AnHttpClient, NeverTakesAnAnswerForAnotherCall) {
  IsSilent = true;
  HttpCall Call = callOf("first");
  Call.Timeout_ = {50};
  send(Call);
  Loop.run();
  const uint64_t FirstToken = Received->Token_;
  Answered.reset();
  IsSilent = false;
  send(callOf("second"));
  Server.reply(FirstToken, {.Status_ = 200, .Body_ = "answer to the first"});
  Loop.run();
  STRCMP_EQUAL("second!", (*Answered)->Body_.c_str());
}
