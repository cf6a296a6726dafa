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
  /// For kShutdown: whether another process now accepts connections in place of this one.
  bool has_successor = false;
  /// The reply, completed with 200; null if nobody waits for it.
  std::shared_ptr<runtime::PendingReply> reply;
};

using ListenerMailbox = runtime::Mailbox<ListenerCommand>;

}  // namespace beechhill::proxy
