#include "Explain.h"

#include "Commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

namespace marjorambend {

using Json = nlohmann::json;

static std::string textOf(const Json &Line, const char *Name) {
  const auto Found = Line.find(Name);
  return Found == Line.end() || !Found->is_string() ? std::string()
                                                    : Found->get<std::string>();
}

static StoryLine readLine(const Json &Line, std::string Text) {
  StoryLine Read{.Instance_ = textOf(Line, "instance"),
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

void collectStory(std::istream &From, std::string_view Id, JobStory &Into) {
  std::string Text;
  while (std::getline(From, Text)) {
    const std::size_t Brace = Text.find('{');
    if (Brace == std::string::npos || Text.find(Id) == std::string::npos)
      continue;
    Text.erase(0, Brace);
    const Json Line = Json::parse(Text, nullptr, false);
    if (Line.is_object() && textOf(Line, "job") == Id)
      Into.Lines_.push_back(readLine(Line, Text));
  }
}

// The events that explain an outcome, those nearest to it first.
static std::string lastOf(const JobStory &Story,
                          const std::vector<std::string_view> &Events) {
  for (auto Line = Story.Lines_.rbegin(); Line != Story.Lines_.rend(); ++Line) {
    if (std::find(Events.begin(), Events.end(), Line->Event_) != Events.end())
      return Line->Event_ + " at " + Line->Instance_ + ':' + Line->Fields_;
  }
  return {};
}

void concludeStory(JobStory &Story) {
  std::stable_sort(Story.Lines_.begin(), Story.Lines_.end(),
                   [](const StoryLine &A, const StoryLine &B) {
                     return A.TimeMs_ < B.TimeMs_;
                   });
  for (const StoryLine &Line : Story.Lines_) {
    if (Line.Event_ != "answer")
      continue;
    const Json Whole = Json::parse(Line.Json_, nullptr, false);
    Story.Outcome_ = textOf(Whole, "outcome");
    Story.Cause_ = textOf(Whole, "why");
  }
  if (Story.Outcome_ == "completed")
    return;
  const std::string Before =
      lastOf(Story, {"place_refused", "holder_lost", "start_rejected",
                     "start_refused", "run_ended", "run_hung"});
  if (Story.Outcome_.empty())
    Story.Cause_ = "no answer is in the logs; the instance may have ended";
  if (!Before.empty())
    Story.Cause_ += "; before that: " + Before;
}

static void printText(const JobStory &Story) {
  const int64_t First = Story.Lines_.front().TimeMs_;
  for (const StoryLine &Line : Story.Lines_)
    std::cout << '+' << Line.TimeMs_ - First << " ms  " << Line.Instance_
              << "  " << Line.Event_ << Line.Fields_ << '\n';
  std::cout << "outcome: "
            << (Story.Outcome_.empty() ? "unknown" : Story.Outcome_)
            << "\ncause: " << Story.Cause_ << '\n';
}

static void printJson(const JobStory &Story) {
  Json Lines = Json::array();
  for (const StoryLine &Line : Story.Lines_)
    Lines.push_back(Json::parse(Line.Json_));
  std::cout << Json{{"lines", Lines},
                    {"outcome", Story.Outcome_},
                    {"cause", Story.Cause_}}
                   .dump()
            << '\n';
}

int runExplain(const std::vector<std::string> &Words, bool IsJson) {
  if (Words.size() < 2) {
    std::cerr << "marjorambendctl: explain needs the identity of a job\n";
    return ExitUsage;
  }
  JobStory Story;
  for (std::size_t Index = 2; Index < Words.size(); ++Index) {
    std::ifstream File(Words[Index]);
    if (!File) {
      std::cerr << "marjorambendctl: " << Words[Index] << " cannot be opened\n";
      return ExitUsage;
    }
    collectStory(File, Words[1], Story);
  }
  if (Words.size() == 2)
    collectStory(std::cin, Words[1], Story);
  if (Story.Lines_.empty()) {
    std::cerr << "marjorambendctl: no line is about job " << Words[1]
              << "; it may have been sampled out, see OPERATIONS.md\n";
    return ExitRefused;
  }
  concludeStory(Story);
  if (IsJson)
    printJson(Story);
  else
    printText(Story);
  return ExitDone;
}

} // namespace marjorambend
