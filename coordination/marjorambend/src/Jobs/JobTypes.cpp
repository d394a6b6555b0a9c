#include "marjorambend/src/Jobs/JobTypes.h"

#include <xxhash.h>

namespace marjorambend {
namespace internal {

struct HashState {
  XXH3_state_t *State_ = XXH3_createState();
  HashState() { XXH3_64bits_reset(State_); }
  HashState(const HashState &) = delete;
  HashState &operator=(const HashState &) = delete;
  ~HashState() { XXH3_freeState(State_); }
};

// Hashes the length first, so that different lists of strings never yield the
// same input.
static void updateHash(HashState &Hash, std::string_view Text) {
  const uint64_t Length = Text.size();
  XXH3_64bits_update(Hash.State_, &Length, sizeof(Length));
  XXH3_64bits_update(Hash.State_, Text.data(), Text.size());
}

} // namespace internal

std::string_view outcomeName(Outcome Which) {
  switch (Which) {
  case Outcome::Complete:
    return "complete";
  case Outcome::NotRun:
    return "not_run";
  case Outcome::MayHaveRun:
    break;
  }
  return "may_have_run";
}

std::string_view reasonName(Reason Which) {
  switch (Which) {
#define MARJORAMBEND_REASON(Id, Name, Help)                                    \
  case Reason::Id:                                                             \
    return Name;
#include "marjorambend/src/Jobs/Reasons.def"
#undef MARJORAMBEND_REASON
  }
  return "unknown";
}

std::string_view reasonHelp(Reason Which) {
  switch (Which) {
#define MARJORAMBEND_REASON(Id, Name, Help)                                    \
  case Reason::Id:                                                             \
    return Help;
#include "marjorambend/src/Jobs/Reasons.def"
#undef MARJORAMBEND_REASON
  }
  return "unknown";
}

uint64_t fingerprint(const JobRequest &Request) {
  internal::HashState Hash;
  internal::updateHash(Hash, Request.Team_);
  internal::updateHash(Hash, Request.Kind_);
  for (const std::string &Task : Request.Tasks_)
    internal::updateHash(Hash, Task);
  return XXH3_64bits_digest(Hash.State_);
}

} // namespace marjorambend
