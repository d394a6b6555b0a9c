#include "InstanceViews.h"

#include <iomanip>
#include <iostream>

namespace marjorambend {

using Json = nlohmann::json;

tl::expected<std::vector<InstanceView>, OperatorFailure>
viewInstances(const CommandContext &C) {
  const auto Own = C.Client_.call(C.Instance_, "GET", "/v1/status");
  if (!Own)
    return tl::unexpected(Own.error());
  std::vector<InstanceView> Views;
  for (const Json &Listed : Own->Body_.value("instances", Json::array())) {
    InstanceView View{
        .Name_ = Listed.value("name", std::string{}),
        .DataCentre_ = Listed.value("data_centre", std::string{}),
        .Operators_ = {Listed.value("address", std::string{}),
                       Listed.value("operator_port", uint16_t{0})}};
    const auto Status = C.Client_.call(View.Operators_, "GET", "/v1/status");
    View.IsReached_ = Status.has_value();
    if (Status)
      View.Status_ = Status->Body_;
    Views.push_back(std::move(View));
  }
  return Views;
}

uint64_t versionOf(const InstanceView &View) {
  return View.Status_.is_object()
             ? View.Status_.value("catalogue_version", uint64_t{0})
             : 0;
}

void printInstances(const std::vector<InstanceView> &Views) {
  std::cout << std::left << std::setw(20) << "instance" << std::setw(16)
            << "data centre" << std::setw(10) << "version"
            << "state\n";
  for (const InstanceView &View : Views) {
    const bool IsReady = View.IsReached_ && View.Status_.value("ready", false);
    const bool IsStopping =
        View.IsReached_ && View.Status_.value("stopping", false);
    const char *State = IsStopping ? "stopping" : "not ready";
    if (IsReady)
      State = "ready";
    if (!View.IsReached_)
      State = "not reached";
    std::cout << std::setw(20) << View.Name_ << std::setw(16)
              << View.DataCentre_ << std::setw(10) << versionOf(View) << State
              << '\n';
  }
}

Json toJson(const std::vector<InstanceView> &Views) {
  Json List = Json::array();
  for (const InstanceView &View : Views)
    List.push_back(
        {{"name", View.Name_},
         {"data_centre", View.DataCentre_},
         {"reached", View.IsReached_},
         {"catalogue_version", versionOf(View)},
         {"ready", View.IsReached_ && View.Status_.value("ready", false)}});
  return List;
}

tl::expected<Propagation, OperatorFailure>
awaitPropagation(const CommandContext &C,
                 const std::function<bool(const InstanceView &)> &IsApplied) {
  const Milliseconds End = monotonicNow() + C.Wait_;
  while (true) {
    auto Views = viewInstances(C);
    if (!Views)
      return tl::unexpected(Views.error());
    Propagation Reached{.Views_ = std::move(*Views)};
    for (const InstanceView &View : Reached.Views_)
      Reached.Missing_ += IsApplied(View) ? 0 : 1;
    if (Reached.Missing_ == 0 || monotonicNow() >= End)
      return Reached;
    C.Client_.pause(PollInterval);
  }
}

int reportPropagation(const CommandContext &C, const Propagation &Reached,
                      const std::string &What, Json Details) {
  const std::size_t All = Reached.Views_.size();
  Details["in_force_everywhere"] = Reached.Missing_ == 0;
  Details["instances"] = toJson(Reached.Views_);
  if (C.IsJson_)
    std::cout << Details.dump() << '\n';
  else
    std::cout << What << ", in force at " << All - Reached.Missing_ << " of "
              << All << " instances\n";
  if (!C.IsJson_ && Reached.Missing_ > 0)
    printInstances(Reached.Views_);
  return Reached.Missing_ == 0 ? ExitDone : ExitNotEverywhere;
}

} // namespace marjorambend
