#include "OperatorApi.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace marjorambend {
namespace internal {

using Json = nlohmann::json;

static Json toJson(const Peer &Known, Milliseconds Now) {
  return Json{{"name", Known.Name_},
              {"incarnation", formatHex(Known.Run_.Value_)},
              {"data_centre", Known.DataCentre_},
              {"catalogue_version", Known.CatalogueVersion_},
              {"stopping", Known.IsStopping_},
              {"heard_ms_ago", (Now - Known.HeardAt_).Count_}};
}

static Json toJson(const Worker &Known, Milliseconds Now) {
  return Json{{"name", Known.Spec_.Name_},
              {"slots", Known.Spec_.Slots_},
              {"outstanding", Known.Outstanding_},
              {"peer_use", Known.PeerUse_},
              {"slowness", Known.Speed_.Slowness_},
              {"listed", Known.IsListed_},
              {"leaving", Known.Spec_.Leaving_ || Now < Known.LeavingUntil_},
              {"drained", Known.IsDrained_},
              {"ejected", Now < Known.EjectedUntil_},
              {"eligible", isEligible(Known, Now)}};
}

static Json toJson(const InstanceSpec &Spec) {
  return Json{{"name", Spec.Name_},
              {"data_centre", Spec.DataCentre_},
              {"address", Spec.Address_},
              {"caller_port", Spec.CallerPort_},
              {"operator_port", Spec.OperatorPort_}};
}

} // namespace internal

using internal::Json;

bool isAuthorised(const HttpRequest &Request, std::string_view Secret) {
  const std::string Expected = "Bearer " + std::string(Secret);
  const auto Given = findHeader(Request.Headers_, "Authorization");
  return Given.size() == Expected.size() &&
         CRYPTO_memcmp(Given.data(), Expected.data(), Expected.size()) == 0;
}

std::string formatInstance(const Instance &State, const PlatformList &List,
                           Milliseconds Now) {
  Json Peers = Json::array();
  for (const auto &[Run, Known] : State.Peers_.Peers_)
    Peers.push_back(internal::toJson(Known, Now));
  Json Workers = Json::array();
  for (const Worker &Known : State.Workers_.Workers_)
    Workers.push_back(internal::toJson(Known, Now));
  Json Instances = Json::array();
  for (const InstanceSpec &Spec : List.Instances_)
    Instances.push_back(internal::toJson(Spec));
  return Json{{"name", State.Options_.Name_},
              {"data_centre", State.Options_.DataCentre_},
              {"incarnation", formatHex(State.Self_.Value_)},
              {"ready", isReady(State)},
              {"stopping", State.IsStopping_},
              {"catalogue_version", State.Config_.Version_},
              {"drain_fingerprint", formatHex(fingerprint(State.Drains_))},
              {"jobs", State.Jobs_.size()},
              {"queued_tasks", State.Admission_.QueuedTasks_},
              {"tasks_under_way", State.Sends_.size()},
              {"peers", Peers},
              {"workers", Workers},
              {"instances", Instances}}
      .dump();
}

std::string formatCatalogue(const ConfigState &Config) {
  return Json{{"version", Config.Version_}, {"text", Config.Text_}}.dump();
}

std::string formatDrainList(const DrainMap &Map) {
  Json Drained = Json::array();
  for (const auto &[Target, Entry] : Map.Entries_) {
    if (Entry.IsDrained_)
      Drained.push_back(Target);
  }
  return Json{{"drained", Drained},
              {"fingerprint", formatHex(fingerprint(Map))}}
      .dump();
}

HttpReply formatChange(const AnswerOperator &Answered) {
  const Json Body{{"accepted", Answered.IsAccepted_},
                  {"version", Answered.Version_},
                  {"problems", Answered.Problems_}};
  return jsonReply(Answered.IsAccepted_ ? 200 : 409, Body.dump());
}

HttpReply operatorError(uint16_t Status, std::string_view Message) {
  return jsonReply(Status, Json{{"message", Message}}.dump());
}

} // namespace marjorambend
