// The members of DecisionActor for the endpoint list, exclusions and permissions.
#include <utility>

#include "log/log.h"
#include "proxy/decision_actor.h"

namespace beechhill::proxy {

using runtime::now;

// ---- The endpoint list

void DecisionActor::on(config::EndpointList& list) {
  has_discovery_update_ = true;
  recovery_.on_endpoint_update();
  apply_list(list, list.complete ? UpdateKind::kSnapshot : UpdateKind::kDelta);
}

void DecisionActor::apply_list(const config::EndpointList& list, UpdateKind kind) {
  EndpointUpdate update{kind, {}};
  std::vector<EndpointId> listed;
  std::vector<std::uint64_t> name_hashes;
  for (const config::EndpointListEntry& row : list.entries) {
    if (row.status == EndpointStatus::kRemoved && !endpoint_ids_.find(row.host)) {
      continue;  // The backend has already been released.
    }
    update.endpoints.push_back(upsert_backend(row));
    listed.push_back(update.endpoints.back().id);
    if (subset_) {
      name_hashes.push_back(routing::hash_of_name(row.host));
    }
  }
  if (kind != UpdateKind::kDelta) {
    remove_unlisted(listed);
  }
  handle_event(select_subset(std::move(update), name_hashes));
  restore_stats(listed);
  if (kind == UpdateKind::kSnapshot) {
    if (const auto summary = restored_records_.discard_unclaimed()) {
      log::info("recalled", {{"backends", summary->restored}, {"void", summary->discarded}});
    }
  }
  if (kind == UpdateKind::kDelta) {
    for (const EndpointId endpoint : listed) {
      release_backend_if_unused(endpoint);
    }
  } else {
    for (EndpointId endpoint = 0; endpoint < backends_.size(); ++endpoint) {
      release_backend_if_unused(endpoint);
    }
  }
}

// Applies an entry of the endpoint list, and creates an actor if its backend is new. Returns the
// endpoint in the form that the balancer uses.
Endpoint DecisionActor::upsert_backend(const config::EndpointListEntry& row) {
  Endpoint endpoint;
  endpoint.id = endpoint_ids_.id(row.host);
  endpoint.status = row.status;
  endpoint.zone = zone_ids_.id(row.zone);
  endpoint.instance_type = instance_type_ids_.id(row.instance_type);
  endpoint.cell = row.cell;
  if (row.started_at.count() > 0) {
    endpoint.started_at = std::chrono::duration_cast<Time>(row.started_at) - unix_offset_;
  }
  if (endpoint.id >= backends_.size()) {
    backends_.emplace_back();
  }
  BackendEntry& entry = backends_[endpoint.id];
  entry.zone = endpoint.zone;
  entry.instance_type = endpoint.instance_type;
  entry.cell = endpoint.cell;
  if (!entry.backend) {
    entry.backend = make_backend_(inbox_, endpoint.id, row.address);
    // Exclusions are kept for unlisted backends, so one is applied before the balancer knows the
    // endpoint.
    if (exclusions_.is_excluded(row.host, now())) {
      set_excluded(endpoint.id, true);
    }
    entry.permitted_until = exclusions_.permitted_until(row.host);
  }
  post_status(endpoint.id, BackendStatus{row.status, row.address, row.started_at});
  return endpoint;
}

void DecisionActor::remove_unlisted(const std::vector<EndpointId>& listed) {
  std::vector<bool> is_listed(backends_.size(), false);
  for (const EndpointId endpoint : listed) {
    is_listed[endpoint] = true;
  }
  for (EndpointId endpoint = 0; endpoint < backends_.size(); ++endpoint) {
    if (!is_listed[endpoint] && backends_[endpoint].backend) {
      post_status(endpoint, BackendStatus{EndpointStatus::kRemoved, {}, {}});
    }
  }
}

// Returns the part of the update that the balancer uses: the endpoints in this proxy's subset, or
// all of them if no subset is configured.
EndpointUpdate DecisionActor::select_subset(EndpointUpdate update,
                                            const std::vector<std::uint64_t>& hashes) {
  if (!subset_) {
    return update;
  }
  const std::size_t used_before = subset_->used_endpoints();
  EndpointUpdate selected = subset_->apply(update, hashes);
  if (subset_->used_endpoints() != used_before) {
    log::event(log::Level::kDebug, "subset",
               {{"used", static_cast<std::uint64_t>(subset_->used_endpoints())},
                {"fleet", static_cast<std::uint64_t>(subset_->listed_endpoints())}});
  }
  return selected;
}

void DecisionActor::restore_stats(const std::vector<EndpointId>& endpoints) {
  if (restored_records_.empty()) {
    return;
  }
  for (const EndpointId endpoint : endpoints) {
    const auto stats = restored_records_.claim(endpoint_ids_.name(endpoint),
                                               backends_[endpoint].started_at, unix_now());
    if (stats) {
      handle_event(RestoredStats{endpoint, *stats});
    }
  }
}

// ---- Exclusions and permissions

void DecisionActor::on(ExcludeBackend& command) {
  // A command without a reply has already been validated by another process of this proxy.
  const bool known = !command.reply || was_ever_listed(command.backend_id);
  if (known && exclusions_.set_excluded_by_operator(command.backend_id, command.excluded)) {
    update_exclusion(command.backend_id);
  }
  if (command.reply) {
    command.reply->complete(known ? 200 : 404);
  }
}

void DecisionActor::on(DispatchPermissions& permissions) {
  const DispatchPermissions before = exclusions_.replace_permissions(std::move(permissions));
  const DispatchPermissions& current = exclusions_.permissions();
  for (const auto& [backend_id, until] : before.permitted_until) {
    if (!current.permitted_until.contains(backend_id)) {
      update_exclusion(backend_id);
    }
  }
  for (const auto& [backend_id, until] : current.permitted_until) {
    update_exclusion(backend_id);
  }
}

bool DecisionActor::was_ever_listed(const std::string& backend_id) const {
  return endpoint_ids_.find(backend_id).has_value() || departed_backends_.contains(backend_id) ||
         exclusions_.is_excluded_by_operator(backend_id);
}

void DecisionActor::update_exclusion(const std::string& backend_id) {
  const auto endpoint = endpoint_ids_.find(backend_id);
  if (!endpoint) {
    return;
  }
  BackendEntry& entry = backends_[*endpoint];
  const Time permitted_until = exclusions_.permitted_until(backend_id);
  const bool excluded = exclusions_.is_excluded(backend_id, now());
  if (excluded == entry.excluded && permitted_until == entry.permitted_until) {
    return;
  }
  entry.permitted_until = permitted_until;
  if (excluded != entry.excluded) {
    set_excluded(*endpoint, excluded);
  }
  post_status(*endpoint, BackendStatus{entry.status, entry.address, entry.started_at});
  release_backend_if_unused(*endpoint);
}

void DecisionActor::set_excluded(EndpointId endpoint, bool excluded) {
  BackendEntry& entry = backends_[endpoint];
  if (excluded && !entry.excluded) {
    entry.excluded_at = now();
  }
  entry.excluded = excluded;
  handle_event(EndpointExclusion{endpoint, excluded});
}

// ---- Backends' actors

void DecisionActor::post_status(EndpointId endpoint, BackendStatus status) {
  BackendEntry& entry = backends_[endpoint];
  entry.status = status.status;
  if (status.status != EndpointStatus::kRemoved) {
    entry.address = status.address;
    entry.started_at = status.started_at;
  }
  status.permitted_until = entry.permitted_until;
  // The actor treats an excluded backend as draining: it starts no further attempt and closes idle
  // connections.
  if (entry.excluded && status.status == EndpointStatus::kUp) {
    status.status = EndpointStatus::kDraining;
  }
  if (!entry.backend->post(status)) {
    log::dropped_message("backend_status");
  }
}

// Releases the actor and the id of a removed backend once nothing refers to it, so that they do not
// accumulate in a long-running process.
void DecisionActor::release_backend_if_unused(EndpointId endpoint) {
  BackendEntry& entry = backends_[endpoint];
  if (!entry.backend || entry.status != EndpointStatus::kRemoved || entry.references > 0) {
    return;
  }
  entry.backend.reset();
  if (entry.excluded) {
    // The id may be reused for another backend, so its flag is cleared. The exclusion itself is
    // stored by name in exclusions_ and remains.
    set_excluded(endpoint, false);
  }
  departed_backends_.add(endpoint_ids_.name(endpoint));
  endpoint_ids_.release(endpoint);
}

}  // namespace beechhill::proxy
