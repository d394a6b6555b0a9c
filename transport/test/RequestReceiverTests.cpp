#include "TestMain.h"

#include "marjorambend/src/Transport/RequestReceiver.h"

#include <event2/buffer.h>

using namespace marjorambend;

static const ReceiveLimits Limits{.MaxHeaderBytes_ = 200, .MaxBodyBytes_ = 100};

/// \brief The requests and the end of a connection.
struct Received {
  std::vector<std::string> Requests_;
  std::optional<CloseCause> Closed_;
  std::size_t MostHeld_ = 0; ///< Largest number of bytes held at once.
  friend bool operator==(const Received &A, const Received &B) {
    return A.Requests_ == B.Requests_ && A.Closed_ == B.Closed_;
  }
};

// Passes a text in pieces; PieceBytes() returns the size of the next piece.
static Received receiveAll(std::string_view Text,
                           const std::function<std::size_t()> &PieceBytes) {
  const EvbufferPtr Input(evbuffer_new());
  RequestReceiver Receiver;
  Received Result;
  while (!Text.empty()) {
    const std::size_t Bytes = std::min(Text.size(), PieceBytes());
    evbuffer_add(Input.get(), Text.data(), Bytes);
    Text.remove_prefix(Bytes);
    do {
      const auto IsComplete = Receiver.receive(Input.get(), Limits);
      Result.MostHeld_ =
          std::max(Result.MostHeld_, evbuffer_get_length(Input.get()));
      if (!IsComplete) {
        Result.Closed_ = IsComplete.error();
        return Result;
      }
      if (!*IsComplete)
        break;
      std::string Request(evbuffer_get_length(Input.get()), '\0');
      evbuffer_remove(Input.get(), Request.data(), Request.size());
      Result.Requests_.push_back(std::move(Request));
      Receiver.reset();
    } while (Receiver.pipelinedBytes() > 0);
  }
  return Result;
}

static Received receiveWhole(std::string_view Text) {
  return receiveAll(Text, [&] { return Text.size(); });
}

static const std::string Start = "POST /a HTTP/1.1\r\n";
static const std::string Chunked = Start + "Transfer-Encoding: chunked\r\n";
static const std::string Length = Start + "Content-Length: 3\r\n\r\nabc";

TEST_GROUP(RequestReceiving){};

TEST(RequestReceiving, DelimitsRequestsWithTheirBodies) {
  const Received Result =
      receiveWhole("\r\n" + Length + "GET / HTTP/1.1\r\n\r\n" + Length);
  LONGS_EQUAL(3, Result.Requests_.size());
  STRCMP_EQUAL(Length.c_str(), Result.Requests_[0].c_str());
  STRCMP_EQUAL("GET / HTTP/1.1\r\n\r\n", Result.Requests_[1].c_str());
  STRCMP_EQUAL(Length.c_str(), Result.Requests_[2].c_str());
}

TEST(RequestReceiving, DecodesChunks) {
  const Received Result = receiveWhole(
      Chunked + "\r\n1;x=y\r\na\r\n02\r\nbc\r\n0\r\nX-Sum: 1\r\n\r\n" + Length);
  LONGS_EQUAL(2, Result.Requests_.size());
  STRCMP_EQUAL(Length.c_str(), Result.Requests_[0].c_str());
}

// Guards against two readings of where a request ends.
TEST(RequestReceiving, RejectsAmbiguousFraming) {
  for (const char *Fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n", "Content-Length: 3x\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"}) {
    const Received Result = receiveWhole(Start + Fields + "\r\nabc");
    CHECK(Result.Closed_ == CloseCause::Malformed);
  }
  CHECK(receiveWhole(Chunked + "\r\n;\r\n").Closed_ == CloseCause::Malformed);
  CHECK(receiveWhole(Chunked + "\r\n1\r\nab").Closed_ == CloseCause::Malformed);
}

// Guards against input without end that is kept or accepted.
TEST(RequestReceiving, BoundsEveryPart) {
  const std::string Endless(1'000, '0');
  const auto Closed = [](const std::string &Text) {
    return receiveWhole(Text).Closed_;
  };
  CHECK(Closed(Start + Endless) == CloseCause::HeaderTooLarge);
  CHECK(Closed(std::string(300, '\n')) == CloseCause::HeaderTooLarge);
  CHECK(Closed(Chunked + "\r\n1;" + Endless) == CloseCause::HeaderTooLarge);
  CHECK(Closed(Chunked + "\r\n0\r\nX: " + Endless) ==
        CloseCause::HeaderTooLarge);
  CHECK(Closed(Chunked + "\r\n" + Endless) == CloseCause::Malformed);
  CHECK(Closed(Start + "Content-Length: 101\r\n\r\n") ==
        CloseCause::BodyTooLarge);
  CHECK(Closed(Chunked + "\r\n65\r\n" + Endless) == CloseCause::BodyTooLarge);
}

// Guards against a trailer beyond the limit that is accepted, or refused for
// what follows it, because all of it is received at once.
TEST(RequestReceiving, BoundsFramingAtTheByte) {
  const std::string Trailer = "\r\n0\r\nX: " + std::string(300, 'x') + "\r\n";
  for (const char *End : {"\r\n", "\rx"}) {
    const std::string Text = Chunked + Trailer + End;
    CHECK(receiveWhole(Text).Closed_ == CloseCause::HeaderTooLarge);
    CHECK(receiveAll(Text, [] { return std::size_t{1}; }).Closed_ ==
          CloseCause::HeaderTooLarge);
  }
}

// A run of any length: MARJORAMBEND_ORDERS sets the number of cases and
// MARJORAMBEND_SEED the seed.
TEST(RequestReceiving, DoesNotDependOnPiecesAndStaysBounded) {
  const std::vector<std::string> Parts{Length,
                                       Chunked,
                                       "\r\n",
                                       "1\r\nx\r\n",
                                       "0\r\n\r\n",
                                       "0\r\n",
                                       "GET / HTTP/1.1\r\n\r\n",
                                       "5;a=b\r\nabcde\r\n",
                                       "Content-Length: 9",
                                       "Expect: 100-continue\r\n",
                                       Start,
                                       ":",
                                       "\r",
                                       "\n",
                                       "f",
                                       "zz"};
  CHECK(rc::check("pieces of any size give the same requests", [&] {
    std::string Text;
    for (const std::size_t Part : *rc::gen::container<std::vector<std::size_t>>(
             rc::gen::inRange<std::size_t>(0, Parts.size())))
      Text += Parts[Part];
    const Received Whole = receiveWhole(Text);
    const Received Pieces =
        receiveAll(Text, [] { return *rc::gen::inRange<std::size_t>(1, 40); });
    RC_ASSERT(Whole == Pieces);
    RC_ASSERT(Pieces.MostHeld_ <=
              Limits.MaxHeaderBytes_ + Limits.MaxBodyBytes_ + 40);
    RC_ASSERT(receiveAll(Text, [] { return std::size_t{1}; }) == Whole);
  }));
}
