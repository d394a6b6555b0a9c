#include "marjorambend/src/Transport/Frame.h"

#include <array>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace marjorambend {
namespace internal {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t DigestBytes = 16;
static_assert(LengthBytes + DigestBytes == FrameHeaderBytes);

using Digest = std::array<uint8_t, DigestBytes>;

static void appendNumber(std::string &Text, uint64_t Value, std::size_t Bytes) {
  for (std::size_t Byte = 0; Byte < Bytes; ++Byte)
    Text.push_back(static_cast<char>(Value >> (8 * Byte) & 0xFFU));
}

static Digest digestOf(const FrameAuthState &Auth,
                       std::span<const uint8_t> Content) {
  std::string Message;
  Message.reserve(2 * sizeof(uint64_t) + Content.size());
  appendNumber(Message, Auth.Nonce_, sizeof(uint64_t));
  appendNumber(Message, Auth.Sequence_, sizeof(uint64_t));
  Message.append(reinterpret_cast<const char *>(Content.data()),
                 Content.size());
  std::array<uint8_t, EVP_MAX_MD_SIZE> FullDigest{};
  unsigned Bytes = 0;
  HMAC(EVP_sha256(), Auth.Key_.data(), static_cast<int>(Auth.Key_.size()),
       reinterpret_cast<const uint8_t *>(Message.data()), Message.size(),
       FullDigest.data(), &Bytes);
  Digest TruncatedDigest{};
  std::memcpy(TruncatedDigest.data(), FullDigest.data(), DigestBytes);
  return TruncatedDigest;
}

static std::size_t readLength(std::span<const uint8_t> Received) {
  std::size_t Length = 0;
  for (std::size_t Byte = 0; Byte < LengthBytes; ++Byte)
    Length |= static_cast<std::size_t>(Received[Byte]) << (8 * Byte);
  return Length;
}

} // namespace internal

std::string signFrame(FrameAuthState &Auth, std::span<const uint8_t> Content) {
  const internal::Digest ComputedDigest = internal::digestOf(Auth, Content);
  ++Auth.Sequence_;
  std::string Frame;
  Frame.reserve(FrameHeaderBytes + Content.size());
  internal::appendNumber(Frame, Content.size(), internal::LengthBytes);
  Frame.append(reinterpret_cast<const char *>(ComputedDigest.data()),
               ComputedDigest.size());
  Frame.append(reinterpret_cast<const char *>(Content.data()), Content.size());
  return Frame;
}

tl::expected<std::optional<ExtractedFrame>, FrameError>
extractFrame(FrameAuthState &Auth, std::span<const uint8_t> Received,
             std::size_t MaxBytes) {
  if (Received.size() < internal::LengthBytes)
    return std::nullopt;
  const std::size_t Length = internal::readLength(Received);
  if (Length > MaxBytes)
    return tl::unexpected(FrameError::TooLarge);
  if (Received.size() < FrameHeaderBytes + Length)
    return std::nullopt;
  const auto Content = Received.subspan(FrameHeaderBytes, Length);
  const internal::Digest ComputedDigest = internal::digestOf(Auth, Content);
  const auto ReceivedDigest =
      Received.subspan(internal::LengthBytes, ComputedDigest.size());
  if (CRYPTO_memcmp(ComputedDigest.data(), ReceivedDigest.data(),
                    ComputedDigest.size()) != 0)
    return tl::unexpected(FrameError::DigestMismatch);
  ++Auth.Sequence_;
  return ExtractedFrame{.Bytes_ = FrameHeaderBytes + Length,
                        .Content_ = Content};
}

} // namespace marjorambend
