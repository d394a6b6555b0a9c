/// \file
/// \brief Aggregates the experiment results PROFILE.SCENARIO.POLICY.SEED.json
/// of one folder into a Markdown table and TSV files.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

namespace {

using Json = nlohmann::json;

const std::vector<std::string> Policies = {"earliest-completion", "round-robin",
                                           "random", "least-outstanding",
                                           "unlimited-retries"};

/// \brief Means over the seeds of one cell.
struct Cell {
  int Seeds_ = 0;
  double P50_ = 0;
  double P95_ = 0;
  double P99_ = 0;
  double Service_ = 0;
  double Waste_ = 0;
  double Complete_ = 0;
  double GoodTasks_ = 0; ///< Per second, while jobs arrive.
  double Control_ = 0;
  double Violations_ = 0;
};

using Row = std::map<std::string, Cell>;
using Table = std::map<std::string, Row>;

std::vector<std::string> split(const std::string &Text, char Mark) {
  std::vector<std::string> Parts;
  std::istringstream List(Text);
  std::string Part;
  while (std::getline(List, Part, Mark))
    Parts.push_back(Part);
  return Parts;
}

void add(Cell &Sum, const Json &Result) {
  ++Sum.Seeds_;
  Sum.P50_ += Result["over_ideal"]["p50"].get<double>();
  Sum.P95_ += Result["over_ideal"]["p95"].get<double>();
  Sum.P99_ += Result["over_ideal"]["p99"].get<double>();
  Sum.Service_ += Result["service_per_answer"].get<double>();
  Sum.Waste_ += Result["waste"]["wasted_share"].get<double>();
  Sum.Complete_ += Result["complete"].get<double>() /
                   std::max(1.0, Result["jobs"].get<double>());
  Sum.GoodTasks_ += Result.value("good_tasks_per_s", 0.0);
  Sum.Control_ += Result["waste"]["control_messages"].get<double>();
  const Json &Safety = Result["safety"];
  for (const char *Name : {"tasks_started_twice", "wrong_answers", "unanswered",
                           "refused_as_not_run_but_started"})
    Sum.Violations_ += Safety[Name].get<double>();
}

Table readAll(const std::string &Folder) {
  Table All;
  for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
    const std::string Name = Entry.path().filename().string();
    const auto Parts = split(Name, '.');
    if (Parts.size() != 5 || Parts[4] != "json")
      continue;
    std::ifstream File(Entry.path());
    const Json Result = Json::parse(File, nullptr, false);
    if (!Result.is_object())
      continue;
    std::string Key = Parts[0];
    Key.append(" ").append(Parts[1]);
    add(All[Key][Parts[2]], Result);
  }
  return All;
}

std::string number(double Value, int Digits) {
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(Digits) << Value;
  return Text.str();
}

void writeMarkdown(const Table &All, std::ostream &Out) {
  Out << "| scenario | policy | p50 | p95 | p99 | service | complete | good "
         "tasks/s | wasted | violations | seeds |\n"
         "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- "
         "|\n";
  for (const auto &[Scenario, Cells] : All) {
    for (const std::string &Policy : Policies) {
      const auto Found = Cells.find(Policy);
      if (Found == Cells.end())
        continue;
      const Cell &C = Found->second;
      const double N = C.Seeds_;
      Out << "| " << Scenario << " | " << Policy << " | "
          << number(C.P50_ / N, 2) << " | " << number(C.P95_ / N, 2) << " | "
          << number(C.P99_ / N, 2) << " | " << number(C.Service_ / N, 3)
          << " | " << number(100 * C.Complete_ / N, 1) << "% | "
          << number(C.GoodTasks_ / N, 0) << " | "
          << number(100 * C.Waste_ / N, 1) << "% | " << C.Violations_ << " | "
          << C.Seeds_ << " |\n";
    }
  }
}

template <typename Value>
void writeColumns(const Table &All, const std::string &Path, Value Of) {
  std::ofstream Out(Path);
  Out << "scenario";
  for (const std::string &Policy : Policies)
    Out << '\t' << Policy;
  Out << '\n';
  for (const auto &[Scenario, Cells] : All) {
    Out << Scenario;
    for (const std::string &Policy : Policies) {
      const auto Found = Cells.find(Policy);
      Out << '\t';
      if (Found != Cells.end())
        Out << Of(Found->second);
    }
    Out << '\n';
  }
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2) {
    std::cerr << "use: resulttable FOLDER\n";
    return 2;
  }
  const std::string Folder = Arguments[1];
  const Table All = readAll(Folder);
  std::ofstream Markdown(Folder + "/table.md");
  writeMarkdown(All, Markdown);
  writeMarkdown(All, std::cout);
  writeColumns(All, Folder + "/p99.tsv",
               [](const Cell &C) { return C.P99_ / C.Seeds_; });
  writeColumns(All, Folder + "/waste.tsv",
               [](const Cell &C) { return C.Waste_ / C.Seeds_; });
  writeColumns(All, Folder + "/service.tsv",
               [](const Cell &C) { return C.Service_ / C.Seeds_; });
  return 0;
}
