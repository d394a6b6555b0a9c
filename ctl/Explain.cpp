#include "Explain.h"

#include "Commands.h"
#include "LogLines.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <span>

namespace marjorambend {

using Json = nlohmann::json;

static JobLogLine readLine(const Json &Line, std::string Text) {
  JobLogLine Read{.Instance_ = textOf(Line, "instance"),
                  .Event_ = textOf(Line, "event"),
                  .Json_ = std::move(Text)};
  if (Line.contains("time_ms") && Line["time_ms"].is_number())
    Read.TimeMs_ = Line["time_ms"].get<int64_t>();
  for (const auto &[Name, Value] : Line.items()) {
    const bool IsCommon = Name == "time_ms" || Name == "instance" ||
                          Name == "event" || Name == "job";
    if (!IsCommon && Value.is_string())
      Read.Fields_ += ' ' + Name + '=' + Value.get<std::string>();
  }
  return Read;
}

void collectLines(std::istream &From, std::string_view Id, JobHistory &Into) {
  readLogLines(From, Id,
               [Id, &Into](const Json &Line, const std::string &Text) {
                 if (textOf(Line, "job") == Id)
                   Into.Lines_.push_back(readLine(Line, Text));
               });
}

// Describes the last line with one of the given events.
static std::string describeLast(const JobHistory &History,
                                const std::vector<std::string_view> &Events) {
  for (auto Line = History.Lines_.rbegin(); Line != History.Lines_.rend();
       ++Line) {
    if (std::find(Events.begin(), Events.end(), Line->Event_) != Events.end())
      return Line->Event_ + " at " + Line->Instance_ + ':' + Line->Fields_;
  }
  return {};
}

void summariseHistory(JobHistory &History) {
  std::stable_sort(History.Lines_.begin(), History.Lines_.end(),
                   [](const JobLogLine &A, const JobLogLine &B) {
                     return A.TimeMs_ < B.TimeMs_;
                   });
  for (const JobLogLine &Line : History.Lines_) {
    if (Line.Event_ != "answer")
      continue;
    const Json Whole = Json::parse(Line.Json_, nullptr, false);
    History.Outcome_ = textOf(Whole, "outcome");
    History.Cause_ = textOf(Whole, "why");
  }
  if (History.Outcome_ == "completed")
    return;
  const std::string Before =
      describeLast(History, {"place_refused", "holder_lost", "start_rejected",
                             "start_refused", "run_ended", "run_hung"});
  if (History.Outcome_.empty())
    History.Cause_ = "no answer is in the logs; the instance may have ended";
  if (!Before.empty())
    History.Cause_ += "; before that: " + Before;
}

static void printText(const JobHistory &History) {
  const int64_t First = History.Lines_.front().TimeMs_;
  for (const JobLogLine &Line : History.Lines_)
    std::cout << '+' << Line.TimeMs_ - First << " ms  " << Line.Instance_
              << "  " << Line.Event_ << Line.Fields_ << '\n';
  std::cout << "outcome: "
            << (History.Outcome_.empty() ? "unknown" : History.Outcome_)
            << "\ncause: " << History.Cause_ << '\n';
}

static void printJson(const JobHistory &History) {
  Json Lines = Json::array();
  for (const JobLogLine &Line : History.Lines_)
    Lines.push_back(Json::parse(Line.Json_));
  std::cout << Json{{"lines", Lines},
                    {"outcome", History.Outcome_},
                    {"cause", History.Cause_}}
                   .dump()
            << '\n';
}

int runExplain(const std::vector<std::string> &Arguments, bool IsJson) {
  if (Arguments.size() < 2) {
    std::cerr << "marjorambendctl: explain needs the identity of a job\n";
    return ExitUsage;
  }
  JobHistory History;
  const bool IsRead =
      readLogFiles(std::span(Arguments).subspan(2), [&](std::istream &From) {
        collectLines(From, Arguments[1], History);
      });
  if (!IsRead)
    return ExitUsage;
  if (History.Lines_.empty()) {
    std::cerr << "marjorambendctl: no line is about job " << Arguments[1]
              << "; it may have been sampled out, see OPERATIONS.md\n";
    return ExitRefused;
  }
  summariseHistory(History);
  if (IsJson)
    printJson(History);
  else
    printText(History);
  return ExitDone;
}

} // namespace marjorambend
