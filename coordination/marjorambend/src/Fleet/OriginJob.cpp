#include "marjorambend/src/Fleet/OriginJob.h"

#include <algorithm>

namespace marjorambend {

bool hasDispatchedTasks(const OriginJob &Job) {
  return std::any_of(Job.Tasks_.begin(), Job.Tasks_.end(),
                     [](const OriginTask &Task) {
                       return Task.Phase_ == OriginTaskPhase::Dispatched;
                     });
}

bool mayHaveRun(const OriginJob &Job) {
  return Job.HasEndedRuns_ || hasDispatchedTasks(Job);
}

} // namespace marjorambend
