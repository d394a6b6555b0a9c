#include "marjorambend/src/Jobs/FairQueue.h"

#include <algorithm>

namespace marjorambend {

void pushJob(FairQueue &Queue, std::string_view Team, double Weight,
             const QueuedJob &Job) {
  ClassQueue &Class = Queue.Classes_[Job.Class_];
  auto Found = Class.Teams_.find(Team);
  if (Found == Class.Teams_.end())
    Found = Class.Teams_.emplace(std::string(Team), TeamQueue{}).first;
  TeamQueue &Entry = Found->second;
  Entry.Weight_ = Weight;
  if (Entry.Jobs_.empty()) {
    // A team that was idle restarts at the current virtual time: it earns no
    // credit while idle.
    Entry.VirtualTime_ = std::max(Entry.VirtualTime_, Class.VirtualNow_);
    Class.Order_.emplace(Entry.VirtualTime_, Found->first);
  }
  if (Entry.Jobs_.emplace(Job.OrderKey_, Job.Id_).second)
    ++Queue.Jobs_;
}

void removeJob(FairQueue &Queue, std::string_view Team, const QueuedJob &Job) {
  ClassQueue &Class = Queue.Classes_[Job.Class_];
  const auto Found = Class.Teams_.find(Team);
  if (Found == Class.Teams_.end())
    return;
  TeamQueue &Entry = Found->second;
  if (Entry.Jobs_.erase({Job.OrderKey_, Job.Id_}) == 0)
    return;
  --Queue.Jobs_;
  if (!Entry.Jobs_.empty())
    return;
  Class.Order_.erase({Entry.VirtualTime_, Found->first});
  // An idle team is kept while its virtual time is ahead of the class, so that
  // it cannot shed that debt by a moment without jobs.
  if (Entry.VirtualTime_ <= Class.VirtualNow_)
    Class.Teams_.erase(Found);
}

std::vector<JobId> frontJobs(const FairQueue &Queue, std::size_t Most) {
  std::vector<JobId> Front;
  for (const ClassQueue &Class : Queue.Classes_) {
    for (const auto &[Time, Team] : Class.Order_) {
      for (const auto &[Key, Id] : Class.Teams_.find(Team)->second.Jobs_) {
        if (Front.size() >= Most)
          return Front;
        Front.push_back(Id);
      }
    }
  }
  return Front;
}

std::optional<JobId> frontJob(const FairQueue &Queue) {
  const std::vector<JobId> Front = frontJobs(Queue, 1);
  if (Front.empty())
    return std::nullopt;
  return Front.front();
}

void chargeTeam(FairQueue &Queue, std::string_view Team, uint8_t Class,
                Milliseconds Work) {
  ClassQueue &Entry = Queue.Classes_[Class];
  const auto Found = Entry.Teams_.find(Team);
  if (Found == Entry.Teams_.end())
    return;
  TeamQueue &Charged = Found->second;
  Entry.VirtualNow_ = std::max(Entry.VirtualNow_, Charged.VirtualTime_);
  const double Step = static_cast<double>(Work.Count_) / Charged.Weight_;
  const bool IsQueued =
      Entry.Order_.erase({Charged.VirtualTime_, Found->first});
  Charged.VirtualTime_ += Step;
  if (IsQueued)
    Entry.Order_.emplace(Charged.VirtualTime_, Found->first);
}

} // namespace marjorambend
