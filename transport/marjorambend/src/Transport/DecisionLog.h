#ifndef MARJORAMBEND_TRANSPORT_DECISIONLOG_H
#define MARJORAMBEND_TRANSPORT_DECISIONLOG_H

#include "marjorambend/src/Fleet/FleetActions.h"
#include "marjorambend/src/Transport/EventLoop.h"

#include <cstdint>
#include <memory>
#include <string>

namespace marjorambend {

/// \brief Bounds of the log.
struct DecisionLogOptions {
  int Descriptor_ = 1;                    ///< Standard output.
  std::string Instance_;                  ///< Written on every line.
  std::size_t MaxBuffered_ = 256U << 10U; ///< Bytes; more are dropped.
  /// Bytes a second above which jobs are sampled whole; about three times what
  /// an instance writes at the users' busiest hour.
  std::size_t BytesPerSecond_ = 200U << 10U;
  Milliseconds FlushEvery_{50};
};

/// \brief Writes a JSON object a line for each decision, without ever blocking.
///
/// Over the budget, only each second, fourth, ... job is written, with all its
/// lines; the last line of a job that was not served, and lines about no job,
/// are always written. Lines that a slow reader leaves no room for are dropped
/// and counted.
class DecisionLog {
public:
  DecisionLog(EventLoop &Loop, DecisionLogOptions Options);
  ~DecisionLog();

  void write(const LogDecision &Line);

  uint64_t dropped() const { return Dropped_; }
  uint64_t sampledOut() const { return SampledOut_; }

private:
  bool isWanted(const LogDecision &Line) const;
  void adaptSampling(Milliseconds Now);
  void flush();

  DecisionLogOptions Options_;
  std::string Buffer_;
  uint64_t Dropped_ = 0;
  uint64_t SampledOut_ = 0;
  uint32_t SampleShift_ = 0; ///< One of 2^shift jobs is written.
  Milliseconds PeriodStart_;
  std::size_t PeriodBytes_ = 0;
  std::unique_ptr<Timer> Flush_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_DECISIONLOG_H
