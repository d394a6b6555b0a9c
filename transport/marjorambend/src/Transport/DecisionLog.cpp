#include "marjorambend/src/Transport/DecisionLog.h"

#include <fcntl.h>
#include <unistd.h>

namespace marjorambend {

static constexpr Milliseconds SamplingPeriod{1'000};
static constexpr uint32_t MaxSampleShift = 10;

DecisionLog::DecisionLog(EventLoop &Loop, DecisionLogOptions Options)
    : Options_(std::move(Options)) {
  const int Flags = fcntl(Options_.Descriptor_, F_GETFL);
  if (Flags >= 0)
    fcntl(Options_.Descriptor_, F_SETFL, Flags | O_NONBLOCK);
  Flush_ = std::make_unique<Timer>(Loop, Options_.FlushEvery_,
                                   Timer::Mode::Repeat, [this] { flush(); });
}

DecisionLog::~DecisionLog() { flush(); }

bool DecisionLog::isSampled(const LogDecision &Line) const {
  if (Line.Job_ == 0 || Line.IsFinal_)
    return true;
  const uint64_t Mask = (uint64_t{1} << SampleShift_) - 1;
  return (Line.Job_ & Mask) == 0;
}

void DecisionLog::adaptSampling(Milliseconds Now) {
  if (Now - PeriodStart_ < SamplingPeriod)
    return;
  if (PeriodBytes_ > Options_.BytesPerSecond_ && SampleShift_ < MaxSampleShift)
    ++SampleShift_;
  else if (PeriodBytes_ < Options_.BytesPerSecond_ / 3 && SampleShift_ > 0)
    --SampleShift_;
  PeriodStart_ = Now;
  PeriodBytes_ = 0;
}

static void appendEscaped(std::string &To, std::string_view Text) {
  for (const char Byte : Text) {
    const auto Code = static_cast<unsigned char>(Byte);
    if (Byte == '"' || Byte == '\\')
      To.push_back('\\');
    // Control characters are not valid in JSON strings.
    To.push_back(Code < 0x20 ? ' ' : Byte);
  }
}

void DecisionLog::write(const LogDecision &Line) {
  adaptSampling(monotonicNow());
  if (!isSampled(Line)) {
    ++SampledOut_;
    return;
  }
  std::string Text = R"({"time_ms":)";
  Text.append(std::to_string(wallNow().Count_));
  Text.append(R"(,"instance":")");
  appendEscaped(Text, Options_.Instance_);
  Text.append(R"(","event":")").append(Line.What_).push_back('"');
  if (Line.Job_ != 0)
    Text.append(R"(,"job":")").append(formatHex(Line.Job_)).push_back('"');
  for (const auto &[Name, Value] : Line.Fields_) {
    Text.append(",\"").append(Name).append("\":\"");
    appendEscaped(Text, Value);
    Text.push_back('"');
  }
  Text.append("}\n");
  PeriodBytes_ += Text.size();
  if (Buffer_.size() + Text.size() > Options_.MaxBuffered_) {
    ++Dropped_;
    return;
  }
  Buffer_.append(Text);
}

void DecisionLog::flush() {
  if (Buffer_.empty())
    return;
  const ssize_t Written =
      ::write(Options_.Descriptor_, Buffer_.data(), Buffer_.size());
  if (Written > 0)
    Buffer_.erase(0, static_cast<std::size_t>(Written));
}

} // namespace marjorambend
