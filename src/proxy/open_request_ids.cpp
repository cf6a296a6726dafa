#include "proxy/open_request_ids.h"

namespace beechhill::proxy {

bool OpenRequestIds::insert(const std::string& id, Time now, Time expiry) {
  while (!by_expiry_.empty() &&
         (by_expiry_.begin()->first <= now || by_expiry_.size() >= kMaxIds)) {
    ids_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
  const bool inserted = ids_.insert(id).second;
  if (inserted) {
    by_expiry_.emplace(expiry, id);
  }
  return inserted;
}

}  // namespace beechhill::proxy
