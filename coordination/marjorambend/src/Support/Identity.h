#ifndef MARJORAMBEND_SUPPORT_IDENTITY_H
#define MARJORAMBEND_SUPPORT_IDENTITY_H

#include "marjorambend/src/Support/Milliseconds.h"
#include "marjorambend/src/Support/Random.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace marjorambend {

/// \brief One run of an instance, from process start to process end; a random
/// 50-bit number.
///
/// A replaced or restarted instance has a new incarnation, so that it never
/// answers for jobs whose records were lost with an earlier run.
struct Incarnation {
  uint64_t Value_ = 0;
  friend bool operator==(Incarnation A, Incarnation B) {
    return A.Value_ == B.Value_;
  }
  friend auto operator<=>(Incarnation A, Incarnation B) {
    return A.Value_ <=> B.Value_;
  }
};

/// \brief Identity of a job: a UUID of version 7 made by the caller, or of
/// version 8 that an instance has reserved.
///
/// Both carry their creation time. A reserved identity also carries the
/// incarnation which alone may start the job. \sa reserveJobId, reservedBy
struct JobId {
  uint64_t High_ = 0;
  uint64_t Low_ = 0;
  friend bool operator==(const JobId &A, const JobId &B) {
    return A.High_ == B.High_ && A.Low_ == B.Low_;
  }
  friend auto operator<=>(const JobId &A, const JobId &B) {
    return std::tie(A.High_, A.Low_) <=> std::tie(B.High_, B.Low_);
  }
};

/// \brief Generates a random incarnation.
Incarnation makeIncarnation(Random &Generator);

/// \brief Makes a caller's identity (UUID version 7, RFC 9562) created at \p
/// WallClock.
JobId makeJobId(Milliseconds WallClock, Random &Generator);

/// \brief Makes an identity that only \p Owner may start.
///
/// \param Sequence distinguishes identities reserved within one millisecond; 24
/// bits are used.
JobId reserveJobId(Milliseconds WallClock, Incarnation Owner,
                   uint32_t Sequence);

/// \brief Parses the textual form; std::nullopt unless it is a UUID of version
/// 7 or 8.
std::optional<JobId> parseJobId(std::string_view Text);

/// \brief The textual form, 36 characters in lower case.
std::string formatJobId(const JobId &Id);

/// \brief Creation time in milliseconds since the Unix epoch, on the clock of
/// its creator.
Milliseconds createdAt(const JobId &Id);

/// \brief The only incarnation that may start the job, if the identity is a
/// reserved one.
std::optional<Incarnation> reservedBy(const JobId &Id);

/// \brief Sixteen hexadecimal digits of \p Value.
std::string formatHex(uint64_t Value);

} // namespace marjorambend

template <> struct std::hash<marjorambend::JobId> {
  std::size_t operator()(const marjorambend::JobId &Id) const noexcept {
    return static_cast<std::size_t>(Id.High_ * 0x9E3779B97F4A7C15ULL ^ Id.Low_);
  }
};
template <> struct std::hash<marjorambend::Incarnation> {
  std::size_t operator()(const marjorambend::Incarnation &Run) const noexcept {
    return static_cast<std::size_t>(Run.Value_ * 0x9E3779B97F4A7C15ULL);
  }
};

#endif // MARJORAMBEND_SUPPORT_IDENTITY_H
