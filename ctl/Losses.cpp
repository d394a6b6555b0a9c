#include "Losses.h"

#include "Commands.h"
#include "LogLines.h"

#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <span>

namespace marjorambend {

using Json = nlohmann::json;

static int64_t numberOf(const Json &Line, const char *Name) {
  const auto Found = Line.find(Name);
  if (Found == Line.end())
    return 0;
  if (Found->is_number())
    return Found->get<int64_t>();
  return std::strtoll(textOf(Line, Name).c_str(), nullptr, 10);
}

static void addAnswer(const Json &Line, const std::string &Reason,
                      int64_t WindowMs, LossTable &Into) {
  const std::string Outcome = textOf(Line, "outcome");
  LossCount One;
  if (Outcome == "completed")
    One.Late_ = numberOf(Line, "took_ms") > numberOf(Line, "objective_ms");
  else if (Outcome == "not_run")
    One.NotRun_ = 1;
  else if (Outcome == "may_have_run")
    One.Started_ = 1;
  else
    return;
  ++Into.Answers_;
  if (One.Late_ + One.NotRun_ + One.Started_ == 0)
    return;
  const int64_t Time = numberOf(Line, "time_ms");
  for (LossCount *Sum :
       {&Into.ByReason_[Reason], &Into.ByRoute_[textOf(Line, "route")],
        &Into.ByInstance_[textOf(Line, "instance")],
        &Into.ByWindow_[Time - Time % WindowMs]}) {
    Sum->Late_ += One.Late_;
    Sum->NotRun_ += One.NotRun_;
    Sum->Started_ += One.Started_;
  }
}

void collectLosses(std::istream &From, int64_t WindowMs, LossTable &Into) {
  std::map<std::string, std::string> Refusals; // by job
  std::vector<Json> Answers;
  readLogLines(From, {}, [&](const Json &Line, const std::string &) {
    const std::string Event = textOf(Line, "event");
    if (Event == "place_refused")
      Refusals[textOf(Line, "job")] = textOf(Line, "why");
    else if (Event == "answer")
      Answers.push_back(Line);
  });
  for (const Json &Line : Answers) {
    const auto Refusal = Refusals.find(textOf(Line, "job"));
    const bool IsRefused =
        Refusal != Refusals.end() && textOf(Line, "outcome") != "completed";
    addAnswer(Line, IsRefused ? Refusal->second : textOf(Line, "why"), WindowMs,
              Into);
  }
}

template <typename Key>
static void printPart(const std::map<Key, LossCount> &Part,
                      std::string_view Title, std::ostream &To) {
  To << std::left << std::setw(44) << Title << std::right << std::setw(8)
     << "late" << std::setw(9) << "not_run" << std::setw(9) << "started"
     << '\n';
  for (const auto &[Name, Count] : Part)
    To << "  " << std::left << std::setw(42) << Name << std::right
       << std::setw(8) << Count.Late_ << std::setw(9) << Count.NotRun_
       << std::setw(9) << Count.Started_ << '\n';
}

void printLosses(const LossTable &Table, std::ostream &To) {
  To << "answers " << Table.Answers_ << '\n';
  printPart(Table.ByReason_, "reason", To);
  printPart(Table.ByRoute_, "route", To);
  printPart(Table.ByWindow_, "window, Unix ms", To);
  printPart(Table.ByInstance_, "instance", To);
}

int runLosses(const std::vector<std::string> &Arguments, int64_t WindowMs) {
  if (WindowMs <= 0) {
    std::cerr << "marjorambendctl: --window_ms must be greater than 0\n";
    return ExitUsage;
  }
  LossTable Table;
  const bool IsRead =
      readLogFiles(std::span(Arguments).subspan(1), [&](std::istream &From) {
        collectLosses(From, WindowMs, Table);
      });
  if (!IsRead)
    return ExitUsage;
  printLosses(Table, std::cout);
  return ExitDone;
}

} // namespace marjorambend
