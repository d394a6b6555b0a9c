#include "marjorambend/src/Support/Counters.h"

namespace marjorambend {
namespace internal {

struct CounterText {
  std::string_view Name_;
  std::string_view Help_;
};

constexpr std::array<CounterText, CounterCount> CounterTexts = {{
#define MARJORAMBEND_COUNTER(Id, Name, Help) {Name, Help},
#include "marjorambend/src/Support/Counters.def"
#undef MARJORAMBEND_COUNTER
}};

} // namespace internal

std::string_view counterName(Counter Which) {
  return internal::CounterTexts[static_cast<std::size_t>(Which)].Name_;
}

std::string renderGauge(std::string_view Name, uint64_t Value) {
  const std::string Whole = "marjorambend_" + std::string(Name);
  std::string Text = "# TYPE ";
  Text.append(Whole).append(" gauge\n").append(Whole).append(" ");
  Text.append(std::to_string(Value)).append("\n");
  return Text;
}

std::string renderBuildInfo(std::string_view Version) {
  std::string Text = "# TYPE marjorambend_build_info gauge\n"
                     "marjorambend_build_info{version=\"";
  return Text.append(Version).append("\"} 1\n");
}

std::string renderCounters(const Counters &All) {
  std::string Text;
  for (std::size_t Index = 0; Index < CounterCount; ++Index) {
    const std::string Name =
        "marjorambend_" + std::string(internal::CounterTexts[Index].Name_);
    Text += "# HELP " + Name + ' ';
    Text += internal::CounterTexts[Index].Help_;
    Text += "\n# TYPE " + Name + " counter\n";
    Text += Name + ' ' + std::to_string(All.Values_[Index]) + '\n';
  }
  return Text;
}

} // namespace marjorambend
