/// \file
/// \brief Measures the growth rates used in docs/CAPACITY.md: bytes of state
/// and of messages at several sizes.

#include "Fixtures.h"

#include <cstdio>
#include <malloc.h>
#include <marjorambend/Configuration>
#include <marjorambend/Instance>
#include <marjorambend/Transport>

using namespace marjorambend;
using namespace marjorambend::bench;

namespace {

std::size_t bytesInUse() { return mallinfo2().uordblks; }

void measureRecords(std::size_t Tasks) {
  for (const int Jobs : {1'000, 10'000, 50'000}) {
    Instance State = makeReady(17, 2);
    const std::vector<std::string> Payloads(Tasks, "payload");
    const std::size_t Before = bytesInUse();
    for (int Job = 0; Job < Jobs; ++Job)
      runJob(State, Payloads, 1);
    const std::size_t Used = bytesInUse() - Before;
    std::printf(
        "finished jobs of %4zu tasks: %6d jobs %10zu bytes, %7.0f each\n",
        Tasks, Jobs, Used, static_cast<double>(Used) / Jobs);
  }
}

void measureWorkers() {
  for (const int Workers : {17, 50, 275, 2'200}) {
    const std::size_t Before = bytesInUse();
    const Instance State = makeReady(Workers, 2);
    std::printf("workers: %5d %10zu bytes in all\n", Workers,
                bytesInUse() - Before);
  }
}

void measureTeams() {
  for (const int Teams : {2, 31, 310}) {
    const std::size_t Before = bytesInUse();
    const Instance State = makeReady(17, Teams);
    std::printf("teams and kinds: %4d %10zu bytes in all, catalogue text %zu\n",
                Teams, bytesInUse() - Before, State.Config_.Text_.size());
  }
}

void measureHeartbeats() {
  for (const int Workers : {0, 17, 50, 275}) {
    Heartbeat HeartbeatMessage{.CatalogueVersion_ = 1};
    for (int Worker = 0; Worker < Workers; ++Worker)
      HeartbeatMessage.Uses_.push_back({static_cast<uint32_t>(Worker), 3});
    std::printf(
        "heartbeat with %4d workers in use: %6zu bytes with its frame\n",
        Workers,
        encodeMessage(PeerMessage(HeartbeatMessage)).size() + FrameHeaderBytes);
  }
}

void measureClaims() {
  Random Generator(1);
  const JobId Id = makeJobId(Wall, Generator);
  std::printf("claim row: key %zu bytes, value 32 bytes\n",
              claimKey(Id).size());
}

} // namespace

int main() {
  measureRecords(1);
  measureRecords(20);
  measureWorkers();
  measureTeams();
  measureHeartbeats();
  measureClaims();
  return 0;
}
