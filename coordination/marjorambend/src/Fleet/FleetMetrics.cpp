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

static std::string outcomeLabel(std::size_t Index) {
  return renderLabel("outcome", nameOf(static_cast<JobOutcome>(Index)));
}

// Renders the time since the later of two events; 0 if neither has happened.
static std::string renderAge(std::string_view Name, Milliseconds One,
                             Milliseconds Other, Milliseconds Now) {
  const Milliseconds Newest = std::max(One, Other);
  const Milliseconds Age =
      Newest == Milliseconds{} ? Milliseconds{} : Now - Newest;
  return renderGauge(Name, static_cast<uint64_t>(Age.Count_));
}

// Renders the work of each priority that was demanded, admitted and refused, in
// seconds of a core.
static std::string renderAdmission(const FairShares &Shares) {
  static constexpr double MilliCoreMsPerCoreSecond = 1e6;
  const auto Line = [](std::size_t Class, const char *Result, double Work) {
    return "marjorambend_admission_core_seconds_total{" +
           renderLabel("priority", std::to_string(Class)) + ',' +
           renderLabel("result", Result) + "} " +
           std::to_string(
               static_cast<uint64_t>(Work / MilliCoreMsPerCoreSecond)) +
           '\n';
  };
  std::string Text =
      "# TYPE marjorambend_admission_core_seconds_total counter\n";
  for (std::size_t Class = 0; Class < PriorityClassCount; ++Class)
    Text += Line(Class, "demanded", Shares.Totals_[Class].Demanded_) +
            Line(Class, "admitted", Shares.Totals_[Class].Admitted_) +
            Line(Class, "refused", Shares.Totals_[Class].Refused_);
  return Text;
}

} // namespace internal

bool isDeclaredLogLine(const LogDecision &Line) {
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

std::string renderMetrics(const FleetInstance &State, Milliseconds Now) {
  std::string Text = renderCounters(State.Counters_);
  Text += renderGauge("jobs_open", State.Jobs_.size());
  Text += renderGauge("jobs_waiting", countWaitingJobs(State.Placing_));
  Text += renderGauge("workers_held", State.Holds_.size());
  Text += renderGauge("workers_viewed", State.Placing_.Workers_.size());
  Text += renderGauge("instances_linked", State.Members_.size());
  Text += renderGauge("instances_known", State.Roster_.Ranked_.size());
  Text += renderGauge("is_coordinating", State.IsCoordinating_ ? 1 : 0);
  Text += renderGauge("configuration_version", State.Config_.Version_);
  Text += internal::renderAge("list_age_milliseconds", State.ListNewsAt_,
                              State.ListReadAt_, Now);
  Text += internal::renderAge("configuration_age_milliseconds",
                              State.ConfigNewsAt_, State.ConfigReadAt_, Now);
  Text += renderGauge("data_centres_evacuated",
                      State.Evacuations_.DataCentres_.size());
  Text += renderGauge("data_centres_returning",
                      State.Evacuations_.Returning_.size());
  Text += renderGauge("is_placer", State.Placer_ == State.Self_.Run_);
  Text += renderGauge("ready", isReady(State) ? 1 : 0);
  if (State.Options_.Placer_.Overload_.Policy_ == AdmissionPolicy::LeastCost)
    Text += internal::renderAdmission(State.Placing_.Shares_);
  Text += renderHistogramType("answer_milliseconds");
  for (std::size_t Index = 0; Index < JobOutcomeCount; ++Index)
    Text += renderHistogram(State.Times_.Answers_[Index], "answer_milliseconds",
                            internal::outcomeLabel(Index));
  Text += renderHistogramType("route_answer_milliseconds");
  for (const auto &[Name, Outcomes] : State.Times_.ByRoute_) {
    const std::string Labels = renderLabel("route", Name) + ',';
    for (std::size_t Index = 0; Index < JobOutcomeCount; ++Index) {
      if (Outcomes[Index].Count_ > 0)
        Text += renderHistogram(Outcomes[Index], "route_answer_milliseconds",
                                Labels + internal::outcomeLabel(Index));
    }
  }
  Text += renderHistogramType("placing_milliseconds") +
          renderHistogram(State.Times_.Placing_, "placing_milliseconds", "");
  Text += renderHistogramType("start_milliseconds") +
          renderHistogram(State.Times_.Starts_, "start_milliseconds", "");
  Text += renderHistogramType("run_milliseconds") +
          renderHistogram(State.Times_.Runs_, "run_milliseconds", "");
  Text += renderHistogramType("return_error_milliseconds") +
          renderHistogram(State.Placing_.Returns_.Errors_,
                          "return_error_milliseconds", "");
  if (!State.Placing_.RunTimes_.empty())
    Text += renderHistogramType("run_ratio_percent");
  for (const auto &[Name, Learned] : State.Placing_.RunTimes_)
    Text += renderHistogram(Learned.Percents_, "run_ratio_percent",
                            renderLabel("route", Name));
  return Text;
}

} // namespace marjorambend
