#include "marjorambend/src/Membership/DrainMap.h"

#include <sstream>
#include <tuple>
#include <xxhash.h>

namespace marjorambend {
namespace internal {

static bool isNewer(const DrainEntry &Candidate, const DrainEntry &Known) {
  return std::tie(Candidate.Stamp_, Candidate.Writer_) >
         std::tie(Known.Stamp_, Known.Writer_);
}

static bool isDrainedTarget(const DrainMap &Map, const std::string &Target) {
  const auto Found = Map.Entries_.find(Target);
  return Found != Map.Entries_.end() && Found->second.IsDrained_;
}

} // namespace internal

std::string workerTarget(std::string_view Worker) {
  return "worker/" + std::string(Worker);
}

std::string dataCentreTarget(std::string_view DataCentre) {
  return "data-centre/" + std::string(DataCentre);
}

void orderDrain(DrainMap &Map, std::string_view Target, bool IsDrained,
                Incarnation Writer) {
  DrainEntry &Entry = Map.Entries_[std::string(Target)];
  Entry.IsDrained_ = IsDrained;
  Entry.Writer_ = Writer;
  ++Entry.Stamp_;
}

bool mergeDrains(DrainMap &Map, const DrainMap &Other) {
  bool HasChanged = false;
  for (const auto &[Target, Entry] : Other.Entries_) {
    const auto [Place, IsNew] = Map.Entries_.emplace(Target, Entry);
    if (!IsNew && !internal::isNewer(Entry, Place->second))
      continue;
    Place->second = Entry;
    HasChanged = true;
  }
  return HasChanged;
}

bool isDrained(const DrainMap &Map, std::string_view Worker,
               std::string_view DataCentre) {
  return internal::isDrainedTarget(Map, workerTarget(Worker)) ||
         internal::isDrainedTarget(Map, dataCentreTarget(DataCentre));
}

std::string formatDrains(const DrainMap &Map) {
  std::string Text;
  for (const auto &[Target, Entry] : Map.Entries_) {
    Text += Target + ' ' + (Entry.IsDrained_ ? '1' : '0') + ' ' +
            std::to_string(Entry.Stamp_) + ' ' +
            std::to_string(Entry.Writer_.Value_) + '\n';
  }
  return Text;
}

DrainMap parseDrains(std::string_view Text) {
  DrainMap Map;
  std::istringstream Lines{std::string(Text)};
  std::string Target;
  DrainEntry Entry;
  while (Lines >> Target >> Entry.IsDrained_ >> Entry.Stamp_ >>
         Entry.Writer_.Value_)
    Map.Entries_[Target] = Entry;
  return Map;
}

uint64_t fingerprint(const DrainMap &Map) {
  const std::string Text = formatDrains(Map);
  return Text.empty() ? 0 : XXH3_64bits(Text.data(), Text.size());
}

} // namespace marjorambend
