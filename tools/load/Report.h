#ifndef MARJORAMBEND_TOOLS_LOAD_REPORT_H
#define MARJORAMBEND_TOOLS_LOAD_REPORT_H

#include "Callers.h"
#include "Faults.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace marjorambend {

/// \brief Counters of all processes in a run, summed by role.
struct ProcessCounts {
  std::map<std::string, uint64_t> Instances_; ///< Of running instances.
  std::map<std::string, uint64_t> Backends_;
  std::map<std::string, uint64_t> Platform_;
  uint64_t FalseRefusals_ = 0; ///< Jobs refused as not run that had started.
  uint64_t UnverifiedRefusals_ = 0; ///< Likewise, with a send unanswered.
};

/// \brief Sums up a run as JSON.
/// \param Throughput of one data centre, for the ideal.
nlohmann::ordered_json summarise(const Callers &Run, const LoadProfile &Profile,
                                 const ProcessCounts &Counts,
                                 double Throughput);

/// \brief Measures how long jobs failed or were slow after each fault.
///
/// The recovery of a fault is the time from its start to the submission of the
/// last job, within its length and ten seconds more, that was not complete
/// within twice its ideal time and half a second. 0 if there is none.
nlohmann::ordered_json measureRecovery(const Callers &Run,
                                       const std::vector<Fault> &Faults,
                                       double Throughput);

/// \brief Renders the summary as a table.
std::string renderTable(const nlohmann::ordered_json &Summary);

/// \brief Whether the run violated no safety property.
bool isSound(const nlohmann::ordered_json &Summary);

} // namespace marjorambend

#endif // MARJORAMBEND_TOOLS_LOAD_REPORT_H
