#include "DaemonOptions.h"

#include <random>

namespace marjorambend {

// Connections of operators, relative to those of callers. Their requests are as
// large as those of callers, so their share of the memory is a half.
static constexpr std::size_t OperatorShare = 8;

static RoutingPolicy policyOf(const std::string &Name) {
  if (Name == "least-outstanding")
    return RoutingPolicy::LeastOutstanding;
  if (Name == "round-robin")
    return RoutingPolicy::RoundRobin;
  if (Name == "random")
    return RoutingPolicy::RandomChoice;
  return RoutingPolicy::EarliestCompletion;
}

InstanceOptions instanceOptions(const SettingsT &S) {
  InstanceOptions Options;
  Options.Name_ = S.name;
  Options.DataCentre_ = S.data_centre;
  Options.Routing_.Policy_ = policyOf(S.routing_policy);
  Options.Admission_.MaxQueuedTasks_ = S.max_queued_tasks;
  Options.Admission_.MaxQueuedBytes_ = S.max_queued_bytes;
  Options.Admission_.MaxWait_ = {S.max_wait_ms};
  Options.Retry_.IsUnlimited_ = S.unlimited_retries;
  Options.Claims_.Spacing_ = {S.claim_spacing_ms};
  Options.Peers_.SlotHeadroom_ = static_cast<uint32_t>(S.slot_headroom);
  Options.Peers_.Silence_ = {S.peer_silence_ms};
  Options.IdentityWindow_ = {S.identity_window_ms};
  Options.ClaimRetention_ = {S.claim_retention_ms};
  Options.ConfigPoll_ = {S.config_poll_ms};
  Options.MaxRecords_ = S.max_records;
  Options.MaxAnswerBytes_ = S.max_answer_bytes;
  return Options;
}

uint64_t seedOf(const SettingsT &S) {
  if (S.seed != 0)
    return static_cast<uint64_t>(S.seed);
  std::random_device Source;
  return (static_cast<uint64_t>(Source()) << 32U) | Source();
}

InstanceSpec specOf(const SettingsT &S) {
  return {.Name_ = S.name,
          .DataCentre_ = S.data_centre,
          .Address_ = S.address,
          .CallerPort_ = static_cast<uint16_t>(S.caller_port),
          .OperatorPort_ = static_cast<uint16_t>(S.operator_port),
          .PeerPort_ = static_cast<uint16_t>(S.peer_port)};
}

static std::size_t memoryOf(const SettingsT &S) {
  return static_cast<std::size_t>(S.memory_mb) << 20U;
}

static std::size_t descriptorsOf(const SettingsT &S) {
  return static_cast<std::size_t>(S.max_fds);
}

static HttpServerOptions serverOptions(const SettingsT &S, int32_t Port,
                                       const CallerBudget &Budget) {
  return {.Address_ = S.address,
          .Port_ = static_cast<uint16_t>(Port),
          .MaxBodyBytes_ = static_cast<std::size_t>(S.max_body_bytes),
          .RequestTimeout_ = {S.request_timeout_ms},
          .IdleTimeout_ = {S.idle_timeout_ms},
          .Budget_ = Budget,
          .TooSlow_ = formatTooSlow(),
          .TooLarge_ = formatError({.Reason_ = Reason::BodyTooLarge,
                                    .What_ = "the body exceeds " +
                                             std::to_string(S.max_body_bytes) +
                                             " bytes"}),
          .Overloaded_ = formatOverloaded()};
}

HttpServerOptions callerServerOptions(const SettingsT &S) {
  return serverOptions(S, S.caller_port,
                       budgetOf(memoryOf(S), descriptorsOf(S)));
}

HttpServerOptions operatorServerOptions(const SettingsT &S) {
  return serverOptions(
      S, S.operator_port,
      budgetOf(memoryOf(S) / 2, descriptorsOf(S) / OperatorShare));
}

HttpClientOptions clientOptions(const SettingsT &S) {
  return {.MaxResponseBytes_ = responseBudgetOf(memoryOf(S))};
}

PeerLinkOptions linkOptions(const SettingsT &S, Incarnation Self) {
  return {
      .Listen_ = {S.address, static_cast<uint16_t>(S.peer_port)},
      .Key_ = S.peer_key,
      .MaxFrameBytes_ = static_cast<std::size_t>(S.max_frame_bytes),
      .MaxStrangers_ = maxStrangersOf(descriptorsOf(S)),
      .Self_ = {.Run_ = Self, .Name_ = S.name, .DataCentre_ = S.data_centre}};
}

} // namespace marjorambend
