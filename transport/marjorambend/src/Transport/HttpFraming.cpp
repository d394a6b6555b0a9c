#include "marjorambend/src/Transport/HttpFraming.h"

#include <algorithm>
#include <charconv>
#include <event2/util.h>

namespace marjorambend {

static constexpr std::string_view LineEnd = "\r\n";
// A size of more digits would overflow; no body limit needs as many.
static constexpr std::size_t MaxSizeDigits = 15;

static bool isSame(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         evutil_ascii_strncasecmp(A.data(), B.data(), A.size()) == 0;
}

static std::string_view trimmed(std::string_view Text) {
  const std::size_t First = Text.find_first_not_of(" \t");
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(" \t") - First + 1);
}

// Calls Visit(Line, Name, Value) for each field of a head.
template <typename Visitor>
static void forEachField(std::string_view Head, Visitor Visit) {
  std::size_t At = Head.find(LineEnd);
  while (At != std::string_view::npos) {
    At += LineEnd.size();
    const std::size_t End = Head.find(LineEnd, At);
    if (End == std::string_view::npos || End == At)
      return;
    const std::string_view Line = Head.substr(At, End - At);
    const std::size_t Colon = std::min(Line.find(':'), Line.size());
    Visit(Line, Line.substr(0, Colon),
          trimmed(Line.substr(std::min(Colon + 1, Line.size()))));
    At = End;
  }
}

static std::optional<std::size_t> readLength(std::string_view Text) {
  std::size_t Bytes = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Bytes);
  if (Error != std::errc{} || Rest != End)
    return std::nullopt;
  return Bytes;
}

std::optional<RequestFraming> readFraming(std::string_view Head) {
  RequestFraming Framing;
  bool IsValid = true;
  bool HasLength = false;
  forEachField(Head, [&](std::string_view, std::string_view Name,
                         std::string_view Value) {
    if (isSame(Name, "Content-Length")) {
      const auto Bytes = readLength(Value);
      IsValid =
          IsValid && Bytes && (!HasLength || *Bytes == Framing.ContentLength_);
      HasLength = true;
      Framing.ContentLength_ = Bytes.value_or(0);
    } else if (isSame(Name, "Transfer-Encoding")) {
      IsValid = IsValid && !Framing.IsChunked_ && isSame(Value, "chunked");
      Framing.IsChunked_ = true;
    } else if (isSame(Name, "Expect")) {
      Framing.ExpectsContinue_ = isSame(Value, "100-continue");
    }
  });
  if (!IsValid || (HasLength && Framing.IsChunked_))
    return std::nullopt;
  return Framing;
}

std::string withContentLength(std::string_view Head, std::size_t Bytes) {
  std::string Text(Head.substr(0, Head.find(LineEnd) + LineEnd.size()));
  forEachField(Head, [&](std::string_view Line, std::string_view Name,
                         std::string_view) {
    const bool IsFraming = isSame(Name, "Content-Length") ||
                           isSame(Name, "Transfer-Encoding") ||
                           isSame(Name, "Trailer") || isSame(Name, "Expect");
    if (!IsFraming)
      Text.append(Line).append(LineEnd);
  });
  return Text.append("Content-Length: ")
      .append(std::to_string(Bytes))
      .append("\r\n\r\n");
}

std::optional<ChunkDecoder::Piece>
ChunkDecoder::next(std::string_view Input, std::size_t MaxFramingBytes) {
  if (State_ == State::Payload) {
    const std::size_t Bytes = std::min(Remaining_, Input.size());
    Remaining_ -= Bytes;
    if (Remaining_ == 0)
      State_ = State::PayloadReturn;
    return Piece{Bytes, true};
  }
  std::size_t Bytes = 0;
  while (Bytes < Input.size() && State_ != State::Payload && !isComplete() &&
         FramingBytes_ <= MaxFramingBytes) {
    if (!acceptFraming(Input[Bytes]))
      return std::nullopt;
    ++Bytes;
  }
  return Piece{Bytes, false};
}

bool ChunkDecoder::acceptSize(char Byte) {
  if (Byte == ';' || Byte == ' ' || Byte == '\t' || Byte == '\r') {
    State_ = Byte == '\r' ? State::SizeEnd : State::Extension;
    return Digits_ > 0;
  }
  std::size_t Digit = 0;
  const auto [Rest, Error] = std::from_chars(&Byte, &Byte + 1, Digit, 16);
  Remaining_ = Remaining_ * 16 + Digit;
  return Error == std::errc{} && ++Digits_ <= MaxSizeDigits;
}

bool ChunkDecoder::acceptFraming(char Byte) {
  ++FramingBytes_;
  const auto Expect = [&](char Wanted, State Next) {
    State_ = Next;
    return Byte == Wanted;
  };
  switch (State_) {
  case State::Size:
    return acceptSize(Byte);
  case State::Extension:
    if (Byte == '\r')
      State_ = State::SizeEnd;
    return Byte != '\n';
  case State::SizeEnd:
    Digits_ = 0;
    if (Remaining_ > 0)
      FramingBytes_ = 0;
    return Expect('\n', Remaining_ > 0 ? State::Payload : State::TrailerStart);
  case State::PayloadReturn:
    return Expect('\r', State::PayloadEnd);
  case State::PayloadEnd:
    FramingBytes_ = 0;
    return Expect('\n', State::Size);
  case State::TrailerStart:
    State_ = Byte == '\r' ? State::LastEnd : State::Trailer;
    return Byte != '\n';
  case State::Trailer:
    if (Byte == '\r')
      State_ = State::TrailerEnd;
    return Byte != '\n';
  case State::TrailerEnd:
    return Expect('\n', State::TrailerStart);
  case State::LastEnd:
    return Expect('\n', State::Complete);
  case State::Payload:
  case State::Complete:
    break;
  }
  return false;
}

} // namespace marjorambend
