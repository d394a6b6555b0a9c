#ifndef MARJORAMBEND_TRANSPORT_HTTPFRAMING_H
#define MARJORAMBEND_TRANSPORT_HTTPFRAMING_H

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorambend {

/// \brief How the body of a request is delimited.
struct RequestFraming {
  std::size_t ContentLength_ = 0;
  bool IsChunked_ = false;
  bool ExpectsContinue_ = false;
};

/// \brief Reads the framing from a head, including its final empty line;
/// nullopt if it is ambiguous or not supported.
std::optional<RequestFraming> readFraming(std::string_view Head);

/// \brief A head with the given length instead of its framing fields and
/// `Expect`.
std::string withContentLength(std::string_view Head, std::size_t Bytes);

/// \brief Decodes a chunked body (RFC 9112, 7.1); keeps no bytes.
class ChunkDecoder {
public:
  /// \brief Part of the input: payload, or framing to be discarded.
  struct Piece {
    std::size_t Bytes_ = 0;
    bool IsPayload_ = false;
  };

  /// \brief Consumes the beginning of \p Input, which is not empty; nullopt if
  /// it is malformed. Stops when framingBytes() exceeds \p MaxFramingBytes.
  std::optional<Piece> next(std::string_view Input,
                            std::size_t MaxFramingBytes);

  /// \brief Whether the last chunk and the trailer are complete.
  bool isComplete() const { return State_ == State::Complete; }

  /// \brief Bytes of the current size line or of the trailer.
  std::size_t framingBytes() const { return FramingBytes_; }

private:
  enum class State : uint8_t {
    Size,
    Extension,
    SizeEnd,
    Payload,
    PayloadReturn,
    PayloadEnd,
    TrailerStart,
    Trailer,
    TrailerEnd,
    LastEnd,
    Complete
  };

  bool acceptFraming(char Byte);
  bool acceptSize(char Byte);

  State State_ = State::Size;
  std::size_t Remaining_ = 0;
  std::size_t Digits_ = 0;
  std::size_t FramingBytes_ = 0;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_HTTPFRAMING_H
