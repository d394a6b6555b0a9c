#ifndef MARJORAMBEND_TRANSPORT_REQUESTRECEIVER_H
#define MARJORAMBEND_TRANSPORT_REQUESTRECEIVER_H

#include "marjorambend/src/Transport/HttpFraming.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>

struct evbuffer;

namespace marjorambend {

/// \brief Why a listener closed a connection before its client did.
enum class CloseCause : uint8_t {
  HeaderTooLarge,
  BodyTooLarge,
  Malformed,
  TooSlow,      ///< A request was not complete in time.
  Unread,       ///< A response was not read in time.
  TooManyBytes, ///< The budget for bytes was exceeded.
  TooManyConnections,
  InputUnread ///< Bytes of a request had arrived and were not read.
};
inline constexpr std::size_t CloseCauses = 8;

/// \brief Frees a buffer of libevent.
struct EvbufferDeleter {
  void operator()(evbuffer *Buffer) const;
};
using EvbufferPtr = std::unique_ptr<evbuffer, EvbufferDeleter>;

/// \brief Limits of a request.
struct ReceiveLimits {
  std::size_t MaxHeaderBytes_ = 0; ///< Also of chunk sizes and of a trailer.
  std::size_t MaxBodyBytes_ = 0;
};

/// \brief Delimits the requests of a connection.
///
/// The bytes of an incomplete request stay in the input, where libevent fills
/// whole buffers; those of a chunked body are decoded on arrival.
class RequestReceiver {
public:
  RequestReceiver();

  /// \brief Handles the bytes in \p Input; returns whether it now contains
  /// exactly one request, with a body that is not chunked.
  tl::expected<bool, CloseCause> receive(evbuffer *Input,
                                         const ReceiveLimits &Limits);

  /// \brief Keeps bytes that arrive while a request is being answered.
  void keep(evbuffer *Input);

  /// \brief Prepares for the next request.
  void reset();

  /// \brief Whether the client waits for `100 Continue`; true once.
  bool takeContinue();

  /// \brief Whether the header is complete and the request is not.
  bool isInBody() const { return IsInBody_; }
  /// \brief Whether the announced body exceeds \p Bytes.
  bool announces(std::size_t Bytes) const {
    return Framing_.ContentLength_ > Bytes;
  }
  /// \brief Received part of the body, given the size of the input.
  std::size_t bodyBytes(std::size_t InputBytes) const;
  /// \brief Bytes behind the current request.
  std::size_t pipelinedBytes() const;
  /// \brief All bytes that are kept outside of the input.
  std::size_t heldBytes() const;

private:
  std::optional<CloseCause> receiveHeader(evbuffer *Input,
                                          const ReceiveLimits &Limits);
  std::optional<CloseCause> beginBody(evbuffer *Input,
                                      const ReceiveLimits &Limits);
  std::optional<CloseCause> decodeChunks(evbuffer *Input,
                                         const ReceiveLimits &Limits);
  void skipEmptyLines(evbuffer *Input);
  void isolateRequest(evbuffer *Input, std::size_t Bytes);

  bool IsInBody_ = false;
  bool IsContinueDue_ = false;
  std::size_t HeaderBytes_ = 0;    ///< Searched for its end, or of the header.
  std::size_t EmptyLineBytes_ = 0; ///< Received before the header.
  RequestFraming Framing_;
  std::string Header_; ///< If it is to be rewritten; else part of the input.
  ChunkDecoder Chunks_;
  EvbufferPtr Body_; ///< Decoded chunks.
  EvbufferPtr Pipelined_;
};

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_REQUESTRECEIVER_H
