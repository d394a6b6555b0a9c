/// \file
/// \brief What the daemon shows of itself: readiness, metrics, closed callers.

#include "FleetDaemon.h"

namespace marjorambend {

static constexpr uint16_t NotFound = 404;

HttpReply FleetDaemon::onReadiness(const HttpRequest &Request) const {
  if (Request.Path_ != "/readyz")
    return jsonReply(NotFound, "{}");
  return jsonReply(isReady(State_) ? 200 : 503, "{}");
}

HttpReply FleetDaemon::onMetrics() const {
  return {
      .Status_ = 200,
      .Headers_ = {{"Content-Type", "text/plain; version=0.0.4"}},
      .Body_ =
          renderBuildInfo(MARJORAMBEND_VERSION) +
          renderMetrics(State_, monotonicNow()) +
          renderGauge("store_calls", Store_.calls()) +
          renderCallTimes(Store_.times(), "store_call_milliseconds") +
          renderCallTimes(Workers_.times(), "worker_call_milliseconds") +
          renderGauge("worker_call_patience_milliseconds",
                      static_cast<uint64_t>(Workers_.orderTimeout().Count_)) +
          renderHistogramType("session_confirm_milliseconds") +
          renderHistogram(Links_.confirmationTimes(),
                          "session_confirm_milliseconds", "") +
          renderLoad(Callers_.load()) +
          renderGauge("log_lines_dropped", Log_.dropped()) +
          renderGauge("log_lines_sampled_out", Log_.sampledOut())};
}

void FleetDaemon::onCallerClosed(CloseCause Cause) {
  increment(State_.Counters_, counterOf(Cause));
  const auto Count =
      Closures_[static_cast<std::size_t>(Cause)].note(monotonicNow());
  if (!Count)
    return;
  const HttpServerLoad Load = Callers_.load();
  logLine("callers_closed", {{"why", std::string(nameOf(Cause))},
                             {"count", std::to_string(*Count)},
                             {"held_bytes", std::to_string(Load.Bytes_)},
                             {"receiving", std::to_string(Load.Receiving_)}});
}

void FleetDaemon::onResponseAbandoned(const Endpoint &From, std::size_t Bytes) {
  increment(State_.Counters_, Counter::ResponsesAbandoned);
  if (const auto Count = Abandoned_.note(monotonicNow()))
    logLine("response_abandoned",
            {{"from", From.Address_ + ':' + std::to_string(From.Port_)},
             {"held_bytes", std::to_string(Bytes)},
             {"count", std::to_string(*Count)}});
}

} // namespace marjorambend
