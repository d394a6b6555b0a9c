#ifndef MARJORAMBEND_TRANSPORT_DECISIONLOG_H
#define MARJORAMBEND_TRANSPORT_DECISIONLOG_H

#include "marjorambend/src/Fleet/FleetActions.h"
#include "marjorambend/src/Transport/EventLoop.h"

#include <cstdint>
#include <memory>
#include <string>

namespace marjorambend {

/// \brief Parameters of the log.
struct DecisionLogOptions {
  int Descriptor_ = 1;                    ///< Standard output.
  std::string Instance_;                  ///< Name written on every line.
  std::size_t MaxBuffered_ = 256U << 10U; ///< Bytes; lines beyond are dropped.
  /// Rate in bytes per second above which only a sample of the jobs is logged;
  /// about three times what an instance writes in the users' busiest hour.
  std::size_t BytesPerSecond_ = 200U << 10U;
  Milliseconds FlushEvery_{50};
};

/// \brief Writes one JSON object per line for each decision, without blocking.
///
/// Above the byte rate, only every second, fourth, ... job is logged, with all
/// its lines. The final line of a job that was not served, and lines that
/// belong to no job, are always logged. If the reader is slow and the buffer
/// full, lines are dropped and counted.
class DecisionLog {
public:
  DecisionLog(EventLoop &Loop, DecisionLogOptions Options);
  ~DecisionLog();

  void write(const LogDecision &Line);

  uint64_t dropped() const { return Dropped_; }
  uint64_t sampledOut() const { return SampledOut_; }

private:
  bool isSampled(const LogDecision &Line) const;
  void adaptSampling(Milliseconds Now);
  void flush();

  DecisionLogOptions Options_;
  std::string Buffer_;
  uint64_t Dropped_ = 0;
  uint64_t SampledOut_ = 0;
  uint32_t SampleShift_ = 0; ///< One in 2^shift jobs is logged.
  Milliseconds PeriodStart_;
  std::size_t PeriodBytes_ = 0;
  std::unique_ptr<Timer> Flush_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_DECISIONLOG_H
