#ifndef MARJORAMBEND_MEMBERSHIP_PEERTABLE_H
#define MARJORAMBEND_MEMBERSHIP_PEERTABLE_H

#include "marjorambend/src/Routing/WorkerTable.h"
#include "marjorambend/src/Support/Identity.h"
#include "marjorambend/src/Support/Milliseconds.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace marjorambend {

/// \brief Timing of heartbeats between instances.
struct PeerOptions {
  Milliseconds FastHeartbeat_{100};      ///< Within the data centre, when busy.
  Milliseconds SlowHeartbeat_{1'000};    ///< To others, and when idle.
  Milliseconds Silence_{3'000};          ///< After it the link is replaced.
  uint32_t SlotHeadroom_ = 1;            ///< See sharePeerUse.
  Milliseconds ReconnectTimeout_{1'000}; ///< Jobs wait so long for a lost link.
};

/// \brief Slots of one worker that an instance uses.
struct WorkerUse {
  uint32_t NameHash_ = 0; ///< hashName of the worker.
  uint16_t Outstanding_ = 0;
};

/// \brief Another instance with which a link is open.
struct Peer {
  Incarnation Run_;
  std::string Name_;
  std::string DataCentre_;
  Milliseconds HeardAt_;
  Milliseconds HeartbeatDue_;
  uint64_t CatalogueVersion_ = 0;
  bool HasBacklog_ = false; ///< Tasks wait there for a slot.
  bool IsStopping_ = false;
  std::vector<WorkerUse> Uses_;
};

/// \brief The instances with which links are open.
struct PeerTable {
  std::map<Incarnation, Peer> Peers_;
};

/// \brief Hash that identifies a worker in heartbeats.
uint32_t hashName(std::string_view Name);

/// \brief Computes, for each worker, the slots that other instances of the data
/// centre use or are entitled to.
///
/// Slots are split evenly between the instances of a data centre; the slots
/// that remain go to instances in an order that differs from worker to worker.
/// An instance without backlog lends its unused slots, except for a headroom.
///
/// \param Headroom slots of its share that an instance without backlog keeps at
/// each worker, so that its next tasks do not compete with a borrower.
void sharePeerUse(const PeerTable &Peers, Incarnation Self,
                  std::string_view DataCentre, uint32_t Headroom,
                  WorkerTable &Workers);

} // namespace marjorambend

#endif // MARJORAMBEND_MEMBERSHIP_PEERTABLE_H
