#ifndef MARJORAMBEND_SUPPORT_MILLISECONDS_H
#define MARJORAMBEND_SUPPORT_MILLISECONDS_H

#include <compare>
#include <cstdint>

namespace marjorambend {

/// \brief An instant on a monotonic clock, or a duration; both in milliseconds.
///
/// Decision code receives the current instant with each event and never reads a
/// clock.
struct Milliseconds {
  int64_t Count_ = 0;

  friend constexpr bool operator==(Milliseconds A, Milliseconds B) {
    return A.Count_ == B.Count_;
  }
  friend constexpr auto operator<=>(Milliseconds A, Milliseconds B) {
    return A.Count_ <=> B.Count_;
  }
  friend constexpr Milliseconds operator+(Milliseconds A, Milliseconds B) {
    return {A.Count_ + B.Count_};
  }
  friend constexpr Milliseconds operator-(Milliseconds A, Milliseconds B) {
    return {A.Count_ - B.Count_};
  }
  friend constexpr Milliseconds operator*(Milliseconds A, int64_t Factor) {
    return {A.Count_ * Factor};
  }
};

namespace literals {
constexpr Milliseconds operator""_ms(unsigned long long Count) {
  return {static_cast<int64_t>(Count)};
}
constexpr Milliseconds operator""_s(unsigned long long Count) {
  return {static_cast<int64_t>(Count) * 1000};
}
} // namespace literals

} // namespace marjorambend

#endif // MARJORAMBEND_SUPPORT_MILLISECONDS_H
