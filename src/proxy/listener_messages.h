// The messages that the client listener receives.
#pragma once

#include <memory>

#include "runtime/mailbox.h"
#include "runtime/pending_reply.h"

namespace beechhill::proxy {

enum class ListenerCommandType { kDrain, kResume, kShutdown };

/// An operator's or the platform's command.
struct ListenerCommand {
  ListenerCommandType type = ListenerCommandType::kShutdown;
  /// With kShutdown: another process accepts this one's clients.
  bool has_successor = false;
  /// Completed with 200; null where nobody waits.
  std::shared_ptr<runtime::PendingReply> reply;
};

using ListenerMailbox = runtime::Mailbox<ListenerCommand>;

}  // namespace beechhill::proxy
