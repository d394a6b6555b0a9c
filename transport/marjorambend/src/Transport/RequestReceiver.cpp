#include "marjorambend/src/Transport/RequestReceiver.h"

#include <algorithm>
#include <event2/buffer.h>

namespace marjorambend {

static constexpr std::string_view HeaderEnd = "\r\n\r\n";

void EvbufferDeleter::operator()(evbuffer *Buffer) const {
  evbuffer_free(Buffer);
}

// The first bytes of a buffer that is not empty, without copying.
static std::string_view firstBytes(evbuffer *Input) {
  std::size_t Size = evbuffer_get_contiguous_space(Input);
  if (Size == 0)
    Size = evbuffer_get_length(Input);
  return {reinterpret_cast<const char *>(
              evbuffer_pullup(Input, static_cast<ev_ssize_t>(Size))),
          Size};
}

RequestReceiver::RequestReceiver() : Pipelined_(evbuffer_new()) {}

tl::expected<bool, CloseCause>
RequestReceiver::receive(evbuffer *Input, const ReceiveLimits &Limits) {
  evbuffer_prepend_buffer(Input, Pipelined_.get());
  if (!IsInBody_) {
    if (const auto Cause = receiveHeader(Input, Limits))
      return tl::unexpected(*Cause);
  }
  if (!IsInBody_)
    return false;
  if (Body_) {
    if (const auto Cause = decodeChunks(Input, Limits))
      return tl::unexpected(*Cause);
    if (!Chunks_.isComplete())
      return false;
  }
  const std::size_t Bytes = Body_ ? 0 : HeaderBytes_ + Framing_.ContentLength_;
  if (evbuffer_get_length(Input) < Bytes)
    return false;
  isolateRequest(Input, Bytes);
  IsInBody_ = false;
  return true;
}

// Copies: moving each received piece would keep a buffer per piece.
void RequestReceiver::keep(evbuffer *Input) {
  const std::size_t Bytes = evbuffer_get_length(Input);
  evbuffer_add(Pipelined_.get(), evbuffer_pullup(Input, -1), Bytes);
  evbuffer_drain(Input, Bytes);
}

void RequestReceiver::reset() {
  IsInBody_ = false;
  HeaderBytes_ = 0;
  EmptyLineBytes_ = 0;
  Framing_ = {};
  Header_ = {};
  Chunks_ = {};
  Body_.reset();
}

bool RequestReceiver::takeContinue() {
  return std::exchange(IsContinueDue_, false);
}

std::size_t RequestReceiver::bodyBytes(std::size_t InputBytes) const {
  if (Body_)
    return evbuffer_get_length(Body_.get());
  return IsInBody_ ? InputBytes - std::min(InputBytes, HeaderBytes_) : 0;
}

std::size_t RequestReceiver::pipelinedBytes() const {
  return evbuffer_get_length(Pipelined_.get());
}

std::size_t RequestReceiver::heldBytes() const {
  return pipelinedBytes() + Header_.size() +
         (Body_ ? evbuffer_get_length(Body_.get()) : 0);
}

void RequestReceiver::skipEmptyLines(evbuffer *Input) {
  while (evbuffer_get_length(Input) > 0) {
    const std::string_view Text = firstBytes(Input);
    const std::size_t Size = Text.size();
    const std::size_t Count = std::min(Text.find_first_not_of("\r\n"), Size);
    evbuffer_drain(Input, Count);
    EmptyLineBytes_ += Count;
    if (Count < Size)
      return;
  }
}

std::optional<CloseCause>
RequestReceiver::receiveHeader(evbuffer *Input, const ReceiveLimits &Limits) {
  if (HeaderBytes_ == 0)
    skipEmptyLines(Input);
  // The end may have begun in bytes that were searched before.
  const std::size_t Known =
      HeaderBytes_ - std::min(HeaderBytes_, HeaderEnd.size() - 1);
  evbuffer_ptr From;
  evbuffer_ptr_set(Input, &From, Known, EVBUFFER_PTR_SET);
  const evbuffer_ptr End =
      evbuffer_search(Input, HeaderEnd.data(), HeaderEnd.size(), &From);
  HeaderBytes_ = End.pos < 0
                     ? evbuffer_get_length(Input)
                     : static_cast<std::size_t>(End.pos) + HeaderEnd.size();
  if (EmptyLineBytes_ + HeaderBytes_ > Limits.MaxHeaderBytes_)
    return CloseCause::HeaderTooLarge;
  return End.pos < 0 ? std::nullopt : beginBody(Input, Limits);
}

std::optional<CloseCause>
RequestReceiver::beginBody(evbuffer *Input, const ReceiveLimits &Limits) {
  const std::string_view Header(
      reinterpret_cast<const char *>(
          evbuffer_pullup(Input, static_cast<ev_ssize_t>(HeaderBytes_))),
      HeaderBytes_);
  const auto Framing = readFraming(Header);
  if (!Framing)
    return CloseCause::Malformed;
  Framing_ = *Framing;
  IsInBody_ = true;
  if (announces(Limits.MaxBodyBytes_))
    return CloseCause::BodyTooLarge;
  if (!Framing->IsChunked_ && !Framing->ExpectsContinue_)
    return std::nullopt;
  Header_ = Header;
  evbuffer_drain(Input, HeaderBytes_);
  HeaderBytes_ = 0;
  if (Framing->IsChunked_)
    Body_.reset(evbuffer_new());
  IsContinueDue_ = Framing->ExpectsContinue_ && evbuffer_get_length(Input) == 0;
  return std::nullopt;
}

std::optional<CloseCause>
RequestReceiver::decodeChunks(evbuffer *Input, const ReceiveLimits &Limits) {
  while (evbuffer_get_length(Input) > 0 && !Chunks_.isComplete()) {
    const std::string_view Text = firstBytes(Input);
    std::size_t Used = 0;
    while (Used < Text.size() && !Chunks_.isComplete()) {
      const auto Piece =
          Chunks_.next(Text.substr(Used), Limits.MaxHeaderBytes_);
      if (!Piece)
        return CloseCause::Malformed;
      // Copied, since a buffer per chunk costs many times a small chunk.
      if (Piece->IsPayload_)
        evbuffer_add(Body_.get(), Text.data() + Used, Piece->Bytes_);
      if (evbuffer_get_length(Body_.get()) > Limits.MaxBodyBytes_)
        return CloseCause::BodyTooLarge;
      Used += Piece->Bytes_;
      if (Chunks_.framingBytes() > Limits.MaxHeaderBytes_)
        return CloseCause::HeaderTooLarge;
    }
    evbuffer_drain(Input, Used);
  }
  return std::nullopt;
}

// The input of a connection accepts bytes only at its beginning.
void RequestReceiver::isolateRequest(evbuffer *Input, std::size_t Bytes) {
  const EvbufferPtr Whole(evbuffer_new());
  if (evbuffer_get_length(Input) > Bytes) {
    evbuffer_remove_buffer(Input, Whole.get(), Bytes);
    evbuffer_add_buffer(Pipelined_.get(), Input);
  }
  if (Body_)
    evbuffer_add_buffer(Whole.get(), Body_.get());
  evbuffer_prepend_buffer(Input, Whole.get());
  if (Header_.empty())
    return;
  const std::size_t BodyBytes = evbuffer_get_length(Input);
  const std::string Header = withContentLength(Header_, BodyBytes);
  evbuffer_prepend(Input, Header.data(), Header.size());
  Header_ = {};
  Body_.reset();
}

} // namespace marjorambend
