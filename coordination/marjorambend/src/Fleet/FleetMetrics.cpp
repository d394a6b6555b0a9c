#include "marjorambend/src/Fleet/Fleet.h"

#include <algorithm>

namespace marjorambend {
namespace internal {

struct LogLineText {
  std::string_view Event_;
  std::string_view Fields_; ///< Separated by spaces.
};

static constexpr LogLineText LogLineTexts[] = {
#define MARJORAMBEND_LOG_LINE(Event, Fields, Meaning) {Event, Fields},
#include "marjorambend/src/Fleet/LogLines.def"
#undef MARJORAMBEND_LOG_LINE
};

static bool hasField(std::string_view Fields, std::string_view Name) {
  while (!Fields.empty()) {
    const std::size_t Space = Fields.find(' ');
    if (Fields.substr(0, Space) == Name)
      return true;
    Fields.remove_prefix(Space == std::string_view::npos ? Fields.size()
                                                         : Space + 1);
  }
  return false;
}

static std::string typeOf(const std::string &Name) {
  return "# TYPE marjorambend_" + Name + " histogram\n";
}

} // namespace internal

bool isKnownLine(const LogDecision &Line) {
  for (const internal::LogLineText &Known : internal::LogLineTexts) {
    if (Known.Event_ != Line.What_)
      continue;
    return std::all_of(Line.Fields_.begin(), Line.Fields_.end(),
                       [&Known](const LogField &Field) {
                         return internal::hasField(Known.Fields_, Field.first);
                       });
  }
  return false;
}

std::string renderMetrics(const FleetInstance &State) {
  std::string Text = renderCounters(State.Counters_);
  Text += renderGauge("jobs_open", State.Jobs_.size());
  Text += renderGauge("jobs_waiting", State.Placing_.Waiting_.size());
  Text += renderGauge("workers_held", State.Holds_.size());
  Text += renderGauge("workers_viewed", State.Placing_.Workers_.size());
  Text += renderGauge("instances_linked", State.Members_.size());
  Text += renderGauge("configuration_version", State.Config_.Version_);
  Text += renderGauge("is_placer", State.Placer_ == State.Self_.Run_);
  Text += renderGauge("ready", isReady(State) ? 1 : 0);
  Text += internal::typeOf("answer_milliseconds");
  for (std::size_t Index = 0; Index < JobOutcomeCount; ++Index)
    Text += renderHistogram(State.Times_.Answers_[Index], "answer_milliseconds",
                            std::string("outcome=\"") +
                                nameOf(static_cast<JobOutcome>(Index)) + '"');
  Text += internal::typeOf("placing_milliseconds") +
          renderHistogram(State.Times_.Placing_, "placing_milliseconds", "");
  Text += internal::typeOf("start_milliseconds") +
          renderHistogram(State.Times_.Starts_, "start_milliseconds", "");
  Text += internal::typeOf("run_milliseconds") +
          renderHistogram(State.Times_.Runs_, "run_milliseconds", "");
  return Text;
}

} // namespace marjorambend
