// Includes all messages between the proxy's actors. Prefer the header of the actor that receives
// them.
#pragma once

#include "proxy/backend_messages.h"
#include "proxy/client_request.h"
#include "proxy/decision_messages.h"
#include "proxy/endpoint_watch_messages.h"
#include "proxy/listener_messages.h"
#include "runtime/pending_reply.h"
#include "runtime/time.h"

namespace beechhill::proxy {

using runtime::now;
using runtime::PendingReply;
using runtime::PendingTextReply;
using runtime::to_time;
using runtime::to_time_point;

}  // namespace beechhill::proxy
