#include "membership/message.h"

namespace beechhill::membership {
namespace {

// Encoded size of an update without its strings: three string lengths of 2 bytes, the state, the
// incarnation and the boot id.
constexpr std::size_t kFixedUpdateBytes = 3 * 2 + 1 + 4 + 8;

std::size_t encoded_size(const MemberUpdate& update) {
  return update.name.size() + update.address.size() + update.suspected_by.size() +
         kFixedUpdateBytes;
}

}  // namespace

const char* name(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

bool is_active(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

bool supersedes(const MemberUpdate& update, const MemberUpdate& known) {
  if (update.incarnation != known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  return update.state > known.state;
}

bool fits(const Message& message, const MemberUpdate& update) {
  std::size_t bytes = encoded_size(update);
  for (const MemberUpdate& present : message.updates) {
    bytes += encoded_size(present);
  }
  return message.updates.size() < kMaxUpdatesPerMessage && bytes <= kMaxUpdateBytes;
}

}  // namespace beechhill::membership
