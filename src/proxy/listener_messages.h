// The messages that the client listener receives.
#pragma once

#include <memory>

#include "runtime/mailbox.h"
#include "runtime/pending_reply.h"

namespace beechhill::proxy {

enum class ListenerCommandType { kDrain, kResume, kShutdown };

/// A command from an operator or the platform.
struct ListenerCommand {
  ListenerCommandType type = ListenerCommandType::kShutdown;
  /// For kShutdown: whether another process accepts this one's clients.
  bool has_successor = false;
  /// Completed with 200; null if nobody waits for the reply.
  std::shared_ptr<runtime::PendingReply> reply;
};

using ListenerMailbox = runtime::Mailbox<ListenerCommand>;

}  // namespace beechhill::proxy
