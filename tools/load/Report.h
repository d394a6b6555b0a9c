#ifndef MARJORAMBEND_TOOLS_LOAD_REPORT_H
#define MARJORAMBEND_TOOLS_LOAD_REPORT_H

#include "Callers.h"
#include "Faults.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief What the processes counted in a run, summed over each role.
struct ProcessCounts {
  std::map<std::string, uint64_t> Instances_; ///< Counters of instances alive.
  std::map<std::string, uint64_t> Backends_;
  std::map<std::string, uint64_t> Platform_;
  uint64_t Lies_ = 0;      ///< Jobs refused as not run that had started.
  uint64_t NotJudged_ = 0; ///< Jobs refused so, with a later send unanswered.
};

/// \brief Sums up a run as JSON.
/// \param Throughput of one data centre, for the ideal.
nlohmann::ordered_json summarise(const Callers &Run, const LoadProfile &Profile,
                                 const ProcessCounts &Counts,
                                 double Throughput);

/// \brief How long after each fault jobs still failed or were slow.
///
/// The recovery of a fault is the time from its start to the submission of the
/// last job, within its length and ten seconds more, that was not complete
/// within twice its ideal time and half a second. 0 if there is none.
nlohmann::ordered_json measureRecovery(const Callers &Run,
                                       const std::vector<Fault> &Faults,
                                       double Throughput);

/// \brief The short table for people.
std::string renderTable(const nlohmann::ordered_json &Summary);

/// \brief Whether the run kept what must always hold.
bool isSound(const nlohmann::ordered_json &Summary);

} // namespace marjorambend

#endif // MARJORAMBEND_TOOLS_LOAD_REPORT_H
