#include "marjorambend/src/Scheduling/WaitingQueue.h"

#include <algorithm>
#include <cmath>

namespace marjorambend {

// Groups per doubling of the need; each is about 9% wide.
static constexpr double GroupsPerDoubling = 8.0;

int needGroup(int64_t MilliCores) {
  const auto Need = static_cast<double>(std::max<int64_t>(1, MilliCores));
  return static_cast<int>(std::log2(Need) * GroupsPerDoubling);
}

void addToQueue(WaitingQueue &Queue, const WaitingJob &Job) {
  if (Queue.ByNeed_[needGroup(Job.MilliCores_)].insert(Job).second)
    ++Queue.Size_;
}

void removeFromQueue(WaitingQueue &Queue, const WaitingJob &Job) {
  const auto Group = Queue.ByNeed_.find(needGroup(Job.MilliCores_));
  if (Group == Queue.ByNeed_.end())
    return;
  Queue.Size_ -= Group->second.erase(Job);
  if (Group->second.empty())
    Queue.ByNeed_.erase(Group);
}

std::optional<WaitingJob> nextThatFits(const WaitingQueue &Queue,
                                       int64_t MaxMilliCores,
                                       const std::optional<WaitingJob> &After) {
  const WaitingJob *First = nullptr;
  const auto End = Queue.ByNeed_.upper_bound(needGroup(MaxMilliCores));
  for (auto Group = Queue.ByNeed_.begin(); Group != End; ++Group) {
    const std::set<WaitingJob> &Jobs = Group->second;
    auto Job = After ? Jobs.upper_bound(*After) : Jobs.begin();
    // Only jobs of the last group may need more.
    while (Job != Jobs.end() && Job->MilliCores_ > MaxMilliCores)
      ++Job;
    if (Job != Jobs.end() && (First == nullptr || *Job < *First))
      First = &*Job;
  }
  return First == nullptr ? std::nullopt : std::optional(*First);
}

} // namespace marjorambend
