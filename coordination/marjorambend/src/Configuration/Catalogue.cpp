#include "marjorambend/src/Configuration/Catalogue.h"

#include "marjorambend/src/Jobs/FairQueue.h"
#include "marjorambend/src/Support/Constants.h"

#include <nlohmann/json.hpp>
#include <set>

namespace marjorambend {
namespace internal {

using Json = nlohmann::json;
using Problems = std::vector<std::string>;

static std::string concat(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (const std::string_view Part : Parts)
    Text.append(Part);
  return Text;
}

// Reads the members of one JSON object and collects the problems found.
struct ObjectReader {
  const Json &Object_;
  std::string Path_;
  Problems &Problems_;
  std::set<std::string> Known_;

  void addProblem(const std::string &Name, const std::string &What) {
    Problems_.push_back(Path_ + (Name.empty() ? "" : "." + Name) + ": " + What);
  }

  std::string name(const std::string &Name) {
    Known_.insert(Name);
    const auto Found = Object_.find(Name);
    if (Found == Object_.end() || !Found->is_string()) {
      addProblem(Name, "a text is required");
      return {};
    }
    auto Value = Found->get<std::string>();
    if (Value.empty() || Value.size() > MaxNameBytes)
      addProblem(Name, "1 to " + std::to_string(MaxNameBytes) +
                           " bytes are required");
    return Value;
  }

  double number(const std::string &Name, double Default, double Least,
                double Most) {
    Known_.insert(Name);
    const auto Found = Object_.find(Name);
    if (Found == Object_.end())
      return Default;
    const bool IsRight = Found->is_number() && Found->get<double>() >= Least &&
                         Found->get<double>() <= Most;
    if (IsRight)
      return Found->get<double>();
    addProblem(Name, "a number from " + Json(Least).dump() + " to " +
                         Json(Most).dump() + " is required");
    return Default;
  }

  int64_t integer(const std::string &Name, int64_t Default, int64_t Least,
                  int64_t Most) {
    const double Value =
        number(Name, static_cast<double>(Default), static_cast<double>(Least),
               static_cast<double>(Most));
    const auto Whole = static_cast<int64_t>(Value);
    if (static_cast<double>(Whole) != Value)
      addProblem(Name, "a whole number is required");
    return Whole;
  }

  bool flag(const std::string &Name) {
    Known_.insert(Name);
    const auto Found = Object_.find(Name);
    if (Found == Object_.end())
      return false;
    if (!Found->is_boolean()) {
      addProblem(Name, "true or false is required");
      return false;
    }
    return Found->get<bool>();
  }

  void rejectUnknown() {
    for (const auto &[Name, Value] : Object_.items()) {
      if (Known_.count(Name) == 0)
        addProblem(Name, "no such member; known are " + knownNames());
    }
  }

  std::string knownNames() const {
    std::string Names;
    for (const std::string &Name : Known_)
      Names += (Names.empty() ? "" : ", ") + Name;
    return Names;
  }
};

constexpr int64_t MaxRunBound = 3'600'000;

static KindSpec readKind(ObjectReader Reader) {
  const KindSpec Default;
  KindSpec Kind;
  Kind.Name_ = Reader.name("name");
  Kind.Owner_ = Reader.name("owner");
  Kind.Urgency_ =
      static_cast<uint8_t>(Reader.integer("urgency", 1, 0, UrgencyClasses - 1));
  Kind.IsIdempotent_ = Reader.flag("idempotent");
  Kind.Value_ = Reader.number("value", 1, 0, 1e6);
  Kind.DeclaredRun_ = {Reader.integer(
      "declared_run_ms", Default.DeclaredRun_.Count_, 1, MaxRunBound)};
  Kind.MaxRun_ = {
      Reader.integer("max_run_ms", Default.MaxRun_.Count_, 1, MaxRunBound)};
  Kind.MaxTasks_ = static_cast<uint32_t>(
      Reader.integer("max_tasks", Default.MaxTasks_, 1, MaxTasksPerJob));
  Kind.MaxTaskBytes_ = static_cast<std::size_t>(
      Reader.integer("max_task_bytes",
                     static_cast<int64_t>(Default.MaxTaskBytes_), 0, 1 << 20));
  Reader.rejectUnknown();
  return Kind;
}

static TeamSpec readTeam(ObjectReader Reader) {
  TeamSpec Team;
  Team.Name_ = Reader.name("name");
  Team.Weight_ = Reader.number("weight", 1, 0.001, 1000);
  Team.MaxTasks_ =
      static_cast<uint32_t>(Reader.integer("max_tasks", 0, 0, 100'000'000));
  Reader.rejectUnknown();
  return Team;
}

template <typename Spec, typename Read>
void readList(const Json &Document, const std::string &Name, Problems &Reported,
              std::map<std::string, Spec, std::less<>> &Into, Read ReadOne) {
  const auto Found = Document.find(Name);
  if (Found == Document.end() || !Found->is_array()) {
    Reported.push_back(Name + ": a list is required");
    return;
  }
  for (std::size_t Index = 0; Index < Found->size(); ++Index) {
    const std::string Path = Name + '[' + std::to_string(Index) + ']';
    const Json &Item = (*Found)[Index];
    if (!Item.is_object()) {
      Reported.push_back(Path + ": an object is required");
      continue;
    }
    Spec One = ReadOne(ObjectReader{Item, Path, Reported, {}});
    const std::string Key = One.Name_;
    if (!Into.emplace(Key, std::move(One)).second)
      Reported.push_back(concat({Path, ": \"", Key, "\" stands twice"}));
  }
}

static void checkOwners(const Catalogue &All, Problems &Reported) {
  for (const auto &[Name, Kind] : All.Kinds_) {
    if (All.Teams_.find(Kind.Owner_) == All.Teams_.end())
      Reported.push_back(concat({"kind \"", Name, "\": its owner \"",
                                 Kind.Owner_, "\" is not among the teams"}));
  }
}

static Json toJson(const KindSpec &Kind) {
  return Json{{"owner", Kind.Owner_},
              {"urgency", Kind.Urgency_},
              {"idempotent", Kind.IsIdempotent_},
              {"value", Kind.Value_},
              {"declared_run_ms", Kind.DeclaredRun_.Count_},
              {"max_run_ms", Kind.MaxRun_.Count_},
              {"max_tasks", Kind.MaxTasks_},
              {"max_task_bytes", Kind.MaxTaskBytes_}};
}

static Json toJson(const TeamSpec &Team) {
  return Json{{"weight", Team.Weight_}, {"max_tasks", Team.MaxTasks_}};
}

template <typename Map>
void diffMaps(const std::string &What, const Map &Before, const Map &After,
              std::vector<std::string> &Lines) {
  for (const auto &[Name, Old] : Before) {
    if (After.find(Name) == After.end())
      Lines.push_back(concat({"- ", What, " ", Name, " ", toJson(Old).dump()}));
  }
  for (const auto &[Name, New] : After) {
    const auto Found = Before.find(Name);
    if (Found == Before.end()) {
      Lines.push_back(concat({"+ ", What, " ", Name, " ", toJson(New).dump()}));
      continue;
    }
    const Json Old = toJson(Found->second);
    const Json Current = toJson(New);
    for (const auto &[Member, Value] : Current.items()) {
      if (Old[Member] != Value)
        Lines.push_back(concat({"~ ", What, " ", Name, " ", Member, ": ",
                                Old[Member].dump(), " -> ", Value.dump()}));
    }
  }
}

} // namespace internal

tl::expected<Catalogue, CatalogueError> parseCatalogue(std::string_view Text) {
  using namespace internal;
  const Json Document = Json::parse(Text, nullptr, false);
  CatalogueError Error;
  if (!Document.is_object()) {
    Error.Problems_.push_back("the text is not a JSON object");
    return tl::unexpected(Error);
  }
  Catalogue All;
  readList(Document, "kinds", Error.Problems_, All.Kinds_, readKind);
  readList(Document, "teams", Error.Problems_, All.Teams_, readTeam);
  for (const auto &[Name, Value] : Document.items()) {
    if (Name != "kinds" && Name != "teams")
      Error.Problems_.push_back(Name +
                                ": no such member; known are kinds, teams");
  }
  checkOwners(All, Error.Problems_);
  if (!Error.Problems_.empty())
    return tl::unexpected(Error);
  return All;
}

const KindSpec *findKind(const Catalogue &All, std::string_view Name) {
  const auto Found = All.Kinds_.find(Name);
  return Found == All.Kinds_.end() ? nullptr : &Found->second;
}

std::vector<std::string> diffCatalogues(const Catalogue &Before,
                                        const Catalogue &After) {
  std::vector<std::string> Lines;
  internal::diffMaps("team", Before.Teams_, After.Teams_, Lines);
  internal::diffMaps("kind", Before.Kinds_, After.Kinds_, Lines);
  return Lines;
}

} // namespace marjorambend
