#include "TestMain.h"

#include "CallerLoad.h"

#include <cstring>

using namespace marjorambend::test;

// The load and the bounds are fixed: one instance with 32 MB and 512
// descriptors. A process without load has a peak of 10 MB.
static constexpr std::size_t MemoryMb = 32;
static constexpr std::size_t MaxFds = 512;
static constexpr uint16_t CallerPort = 8161;
static constexpr uint16_t ReadinessPort = 8167;
static constexpr uint16_t OperatorPort = 8167; // Of the standalone daemon.
static constexpr uint16_t InstancePort = 7720;
static constexpr uint16_t MetricsPort = 9464;
static constexpr uint16_t StorePort = 8169;
static constexpr std::size_t EndlessBytes = 4'000'000;
static constexpr std::size_t LargestBody = 262'144;
static constexpr std::size_t BodyBytes = 250'000;
static constexpr std::size_t Few = 40;
static constexpr std::size_t Many = 400;

static std::string repeated(std::string_view Unit, std::size_t Bytes) {
  std::string Text;
  while (Text.size() < Bytes)
    Text += Unit;
  return Text;
}

static const std::string Start = "POST /a/b HTTP/1.1\r\nHost: a\r\n";
static const std::string Chunked = Start + "Transfer-Encoding: chunked\r\n\r\n";

static std::string bodyOf(std::size_t Sent) {
  return Start + "Content-Length: " + std::to_string(BodyBytes) + "\r\n\r\n[" +
         repeated("1,", BodyBytes).substr(0, Sent - 1);
}

static std::string largeChunks() {
  const std::string Chunk = "ea60\r\n" + std::string(60'000, 'x') + "\r\n";
  return Chunked + Chunk + Chunk + Chunk + Chunk;
}

static std::string endlessHead() {
  return Start + repeated("X-Name: 0123456789abcdef\r\n", EndlessBytes);
}

static std::string emptyLines() { return repeated("\r\n", EndlessBytes); }

static std::string oneByteChunks() {
  return Chunked + repeated("1\r\nx\r\n", 150'000);
}

static std::string trailers() {
  return Chunked + "1\r\nx\r\n0\r\n" +
         repeated("X-Name: 0123456789abcdef\r\n", EndlessBytes);
}

static std::string pipelinedRequests() {
  return repeated("GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n", EndlessBytes);
}

// A frame of another instance: its length, then its content.
static std::string unfinishedFrame(uint32_t Length, std::size_t Sent) {
  std::string Text(sizeof(Length), '\0');
  std::memcpy(Text.data(), &Length, sizeof(Length));
  return Text + std::string(Sent, 'x');
}

static const std::string AnswerStart =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";

// Memory is not compared with the sanitizers' build, whose allocator keeps
// freed blocks.
static void checkStaysWithinItsMachine(InstanceProcess &Instance,
                                       const std::vector<CallerLoad> &Loads,
                                       uint16_t Port, const char *Status) {
  const OpenLoad Open(Instance, Port, Loads);
  Instance.waitUntilRead();
  // The path has no job's identity; only the handler answers this status.
  const std::string Job = R"({"spec":")" + std::string(4'000, 's') +
                          R"(","phases":[{"count":1,"cpu":1}]})";
  const std::string Answer = Instance.ask(
      CallerPort, Start + "Content-Length: " + std::to_string(Job.size()) +
                      "\r\n\r\n" + Job);
  std::cout << "peak KB " << Instance.peakKb() << ", descriptors "
            << Instance.openDescriptors() << std::endl;
  CHECK(Instance.isRunning());
  STRCMP_EQUAL((std::string("HTTP/1.1 ") + Status).c_str(), Answer.c_str());
  CHECK(Instance.openDescriptors() < MaxFds);
#ifndef __SANITIZE_ADDRESS__
  CHECK(Instance.peakKb() < MemoryMb << 10U);
#endif
}

TEST_GROUP(UntrustedCallers) {
  InstanceProcess Instance_{MemoryMb, MaxFds};

  void staysWithinItsMachine(std::vector<CallerLoad> Loads,
                             uint16_t Port = CallerPort) {
    checkStaysWithinItsMachine(Instance_, Loads, Port, "404 Not Found");
  }

  // The store of the tests' settings gives the same answer to all calls.
  void staysWithinItsMachineIfTheStoreAnswers(const std::string &Answer) {
    EndlessAnswers Store(Instance_, StorePort, Answer);
    Store.serveFor(3'000);
    CHECK(Store.connections() > 0);
    staysWithinItsMachine({});
  }
};

TEST(UntrustedCallers, EndlessHead) {
  staysWithinItsMachine({{Few, endlessHead()}});
}

TEST(UntrustedCallers, HeadOverLimit) {
  staysWithinItsMachine({{Many, endlessHead().substr(0, 128'000)}});
}

TEST(UntrustedCallers, EndlessEmptyLines) {
  staysWithinItsMachine({{Few, emptyLines()}});
}

TEST(UntrustedCallers, LargeBodiesSentWhole) {
  staysWithinItsMachine({{Many, bodyOf(BodyBytes)}});
}

TEST(UntrustedCallers, LargeBodiesInPieces) {
  staysWithinItsMachine({{Many, bodyOf(BodyBytes), 1'000}});
}

TEST(UntrustedCallers, BodiesThatStopShort) {
  staysWithinItsMachine({{Many, bodyOf(BodyBytes - 1)}});
}

TEST(UntrustedCallers, LargeChunks) {
  staysWithinItsMachine({{Many, largeChunks()}});
}

TEST(UntrustedCallers, OneByteChunks) {
  staysWithinItsMachine({{Few, oneByteChunks()}});
}

TEST(UntrustedCallers, EndlessChunkSize) {
  staysWithinItsMachine({{Few, Chunked + std::string(EndlessBytes, '0')}});
}

TEST(UntrustedCallers, EndlessChunkExtension) {
  staysWithinItsMachine(
      {{Few, Chunked + "1;a=" + std::string(EndlessBytes, 'a')}});
}

TEST(UntrustedCallers, EndlessTrailers) {
  staysWithinItsMachine({{Few, trailers()}});
}

TEST(UntrustedCallers, ManyConnections) { staysWithinItsMachine({{700, ""}}); }

TEST(UntrustedCallers, ResponsesNotRead) {
  staysWithinItsMachine({{Few, pipelinedRequests()}});
}

TEST(UntrustedCallers, ReadinessListener) {
  staysWithinItsMachine({{Few, endlessHead()}, {Few, bodyOf(BodyBytes - 1)}},
                        ReadinessPort);
}

TEST(UntrustedCallers, MetricsListener) {
  staysWithinItsMachine({{Few, endlessHead()}, {Many, bodyOf(BodyBytes - 1)}},
                        MetricsPort);
}

TEST(UntrustedCallers, InstanceListener) {
  staysWithinItsMachine({{700, ""},
                         {Many, unfinishedFrame(4'096, 4'095)},
                         {Few, unfinishedFrame(16U << 20U, EndlessBytes)},
                         {Few, unfinishedFrame(UINT32_MAX, EndlessBytes)}},
                        InstancePort);
}

TEST(UntrustedCallers, StoreHeadsWithoutEnd) {
  staysWithinItsMachineIfTheStoreAnswers(
      AnswerStart + repeated("X-Name: 0123456789abcdef\r\n", 32'000'000));
}

TEST(UntrustedCallers, StoreBodiesWithoutEnd) {
  staysWithinItsMachineIfTheStoreAnswers(AnswerStart + "\r\n" +
                                         repeated("[", 32'000'000));
}

TEST(UntrustedCallers, StoreChunksWithoutEnd) {
  staysWithinItsMachineIfTheStoreAnswers(AnswerStart +
                                         "Transfer-Encoding: chunked\r\n\r\n" +
                                         repeated("1\r\nx\r\n", 6'000'000));
}

// A request at the limit is served when nothing else is held.
TEST(UntrustedCallers, LargestBodyIsServed) {
  const std::string Body = "[" + repeated("1,", LargestBody - 2) + "]";
  const std::string Whole = Start +
                            "Content-Length: " + std::to_string(Body.size()) +
                            "\r\n\r\n" + Body;
  std::string Chunks = Chunked;
  for (const char Byte : Body)
    Chunks += std::string("1\r\n") + Byte + "\r\n";
  LONGS_EQUAL(LargestBody, Body.size());
  for (const std::string &Request : {Whole, Chunks + "0\r\n\r\n"})
    for (const std::size_t BytesPerWrite : {Request.size(), std::size_t{1'000}})
      STRCMP_EQUAL("HTTP/1.1 404 Not Found",
                   Instance_.ask(CallerPort, Request, BytesPerWrite).c_str());
}

TEST(UntrustedCallers, AllTogether) {
  staysWithinItsMachine({{10, endlessHead()},
                         {20, endlessHead().substr(0, 128'000)},
                         {10, emptyLines()},
                         {20, bodyOf(BodyBytes)},
                         {40, bodyOf(BodyBytes - 1)},
                         {40, largeChunks()},
                         {10, oneByteChunks()},
                         {10, trailers()},
                         {10, pipelinedRequests()},
                         {100, ""}});
}

TEST_GROUP(UntrustedCallersOfStandalone) {
  InstanceProcess Instance_{MemoryMb, MaxFds, DaemonKind::Standalone};
};

// This daemon has a port for operators too.
TEST(UntrustedCallersOfStandalone, StandaloneDaemon) {
  const std::vector<CallerLoad> Loads{
      {10, endlessHead()},          {20, endlessHead().substr(0, 128'000)},
      {200, bodyOf(BodyBytes - 1)}, {10, oneByteChunks()},
      {10, pipelinedRequests()},    {100, ""}};
  const std::vector<CallerLoad> Frames{
      {500, ""},
      {Many, unfinishedFrame(4'096, 4'095)},
      {Few, unfinishedFrame(16U << 20U, EndlessBytes)}};
  const OpenLoad Operators(Instance_, OperatorPort, Loads);
  const OpenLoad Instances(Instance_, InstancePort, Frames);
  checkStaysWithinItsMachine(Instance_, Loads, CallerPort, "400 Bad Request");
}

int main(int Count, char **Arguments) { return runTests(Count, Arguments, 1); }
