#include "marjorambend/src/Support/Trace.h"

#include "marjorambend/src/Support/Identity.h"

#include <charconv>
#include <optional>

namespace marjorambend {
namespace internal {

// version-traceid-parentid-flags: 2, 32, 16 and 2 digits.
constexpr std::size_t TraceParentBytes = 55;

static std::optional<uint64_t> hexField(std::string_view Text) {
  uint64_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (Error != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

static std::optional<TraceContext> parse(std::string_view Text) {
  if (Text.size() != TraceParentBytes)
    return std::nullopt;
  if (Text[2] != '-' || Text[35] != '-' || Text[52] != '-')
    return std::nullopt;
  const auto High = hexField(Text.substr(3, 16));
  const auto Low = hexField(Text.substr(19, 16));
  const auto Parent = hexField(Text.substr(36, 16));
  const auto Flags = hexField(Text.substr(53, 2));
  if (!High || !Low || !Parent || !Flags)
    return std::nullopt;
  return TraceContext{.TraceHigh_ = *High,
                      .TraceLow_ = *Low,
                      .Span_ = 0,
                      .Parent_ = *Parent,
                      .IsSampled_ = (*Flags & 1U) != 0};
}

} // namespace internal

TraceContext startSpan(std::string_view TraceParent, Random &Generator) {
  TraceContext Context;
  if (const auto Parsed = internal::parse(TraceParent)) {
    Context = *Parsed;
  } else {
    Context.TraceHigh_ = Generator();
    Context.TraceLow_ = Generator() | 1U;
  }
  Context.Span_ = Generator() | 1U;
  return Context;
}

TraceContext childOf(const TraceContext &Parent, Random &Generator) {
  TraceContext Child = Parent;
  Child.Parent_ = Parent.Span_;
  Child.Span_ = Generator() | 1U;
  return Child;
}

std::string formatTraceParent(const TraceContext &Context) {
  return "00-" + formatHex(Context.TraceHigh_) + formatHex(Context.TraceLow_) +
         '-' + formatHex(Context.Span_) + (Context.IsSampled_ ? "-01" : "-00");
}

} // namespace marjorambend
