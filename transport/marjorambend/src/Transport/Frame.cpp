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

static Digest digestOf(const FrameSeal &Seal,
                       std::span<const uint8_t> Content) {
  std::string Message;
  Message.reserve(2 * sizeof(uint64_t) + Content.size());
  appendNumber(Message, Seal.Nonce_, sizeof(uint64_t));
  appendNumber(Message, Seal.Sequence_, sizeof(uint64_t));
  Message.append(reinterpret_cast<const char *>(Content.data()),
                 Content.size());
  std::array<uint8_t, EVP_MAX_MD_SIZE> Whole{};
  unsigned Bytes = 0;
  HMAC(EVP_sha256(), Seal.Key_.data(), static_cast<int>(Seal.Key_.size()),
       reinterpret_cast<const uint8_t *>(Message.data()), Message.size(),
       Whole.data(), &Bytes);
  Digest Short{};
  std::memcpy(Short.data(), Whole.data(), DigestBytes);
  return Short;
}

static std::size_t readLength(std::span<const uint8_t> Received) {
  std::size_t Length = 0;
  for (std::size_t Byte = 0; Byte < LengthBytes; ++Byte)
    Length |= static_cast<std::size_t>(Received[Byte]) << (8 * Byte);
  return Length;
}

} // namespace internal

std::string sealFrame(FrameSeal &Seal, std::span<const uint8_t> Content) {
  const internal::Digest Proof = internal::digestOf(Seal, Content);
  ++Seal.Sequence_;
  std::string Frame;
  Frame.reserve(FrameHeaderBytes + Content.size());
  internal::appendNumber(Frame, Content.size(), internal::LengthBytes);
  Frame.append(reinterpret_cast<const char *>(Proof.data()), Proof.size());
  Frame.append(reinterpret_cast<const char *>(Content.data()), Content.size());
  return Frame;
}

tl::expected<std::optional<CutFrame>, FrameError>
cutFrame(FrameSeal &Seal, std::span<const uint8_t> Received,
         std::size_t MaxBytes) {
  if (Received.size() < internal::LengthBytes)
    return std::nullopt;
  const std::size_t Length = internal::readLength(Received);
  if (Length > MaxBytes)
    return tl::unexpected(FrameError::TooLarge);
  if (Received.size() < FrameHeaderBytes + Length)
    return std::nullopt;
  const auto Content = Received.subspan(FrameHeaderBytes, Length);
  const internal::Digest Proof = internal::digestOf(Seal, Content);
  const auto Claimed = Received.subspan(internal::LengthBytes, Proof.size());
  if (CRYPTO_memcmp(Proof.data(), Claimed.data(), Proof.size()) != 0)
    return tl::unexpected(FrameError::NotGenuine);
  ++Seal.Sequence_;
  return CutFrame{.Bytes_ = FrameHeaderBytes + Length, .Content_ = Content};
}

} // namespace marjorambend
