#ifndef MARJORAMBEND_TRANSPORT_RESPONSEBUDGET_H
#define MARJORAMBEND_TRANSPORT_RESPONSEBUDGET_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace marjorambend {

/// \brief What a call has received of its response.
struct HeldResponse {
  uint64_t Call_ = 0;
  std::size_t Bytes_ = 0;
};

/// \brief Bytes that the responses to all calls of a client may hold on a
/// machine with this memory; 0 if the memory is unknown.
std::size_t responseBudgetOf(std::size_t MemoryBytes);

/// \brief Returns the calls to abandon, so that the others hold no more than
/// \p MaxBytes.
///
/// Load pattern: a server sends a response without end. The calls that hold the
/// most are abandoned first, of equal ones the latest.
std::vector<uint64_t> chooseAbandoned(std::vector<HeldResponse> Held,
                                      std::size_t MaxBytes);

} // namespace marjorambend

#endif // MARJORAMBEND_TRANSPORT_RESPONSEBUDGET_H
