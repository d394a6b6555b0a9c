#ifndef MARJORAMBEND_FLEET_ROOM_H
#define MARJORAMBEND_FLEET_ROOM_H

#include <cstdint>

namespace marjorambend {

/// \brief Resources that a task needs or a worker offers.
struct Room {
  int64_t MilliCores_ = 0;
  int64_t MemoryMb_ = 0;
  int64_t Accelerators_ = 0;

  friend bool operator==(const Room &A, const Room &B) {
    return A.MilliCores_ == B.MilliCores_ && A.MemoryMb_ == B.MemoryMb_ &&
           A.Accelerators_ == B.Accelerators_;
  }
  friend Room operator+(const Room &A, const Room &B) {
    return {A.MilliCores_ + B.MilliCores_, A.MemoryMb_ + B.MemoryMb_,
            A.Accelerators_ + B.Accelerators_};
  }
  friend Room operator-(const Room &A, const Room &B) {
    return {A.MilliCores_ - B.MilliCores_, A.MemoryMb_ - B.MemoryMb_,
            A.Accelerators_ - B.Accelerators_};
  }
};

/// \brief Whether \p Wanted is at most \p Free in every resource.
inline bool fits(const Room &Wanted, const Room &Free) {
  return Wanted.MilliCores_ <= Free.MilliCores_ &&
         Wanted.MemoryMb_ <= Free.MemoryMb_ &&
         Wanted.Accelerators_ <= Free.Accelerators_;
}

} // namespace marjorambend

#endif // MARJORAMBEND_FLEET_ROOM_H
