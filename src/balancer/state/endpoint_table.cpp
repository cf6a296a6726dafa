#include "balancer/state/endpoint_table.h"

#include <utility>

namespace beechhill {

void EndpointTable::apply(const EndpointUpdate& update, Time now) {
  ++update_number_;
  const bool complete = update.kind != UpdateKind::kDelta;
  for (const Endpoint& entry : update.endpoints) {
    update_record(entry, now);
    if (!complete) {
      update_rank(records_[entry.id]);
    }
  }
  if (complete) {
    rank_listed();
  }
}

void EndpointTable::update_record(const Endpoint& entry, Time now) {
  EndpointRecord& record = find_or_add(entry.id, now);
  const bool restarted = entry.started_at && (!record.entry.started_at ||
                                              *entry.started_at != *record.entry.started_at);
  // Ids are reused, so an id that is listed again may be that of another machine.
  if (restarted || !record.listed) {
    restart(record, now);
  }
  record.entry = entry;
  record.last_update = update_number_;
  if (entry.started_at >= record.excluded_at) {
    record.readmitted_at.reset();  // the start that discovery reports is used instead
  }
  record.listed = entry.status != EndpointStatus::kRemoved;
}

// Unlists endpoints that the complete list does not name, and ranks those that are up.
void EndpointTable::rank_listed() {
  std::vector<std::pair<double, EndpointId>> ranks;
  for (EndpointId id = 0; id < records_.size(); ++id) {
    EndpointRecord& record = records_[id];
    record.listed = record.listed && record.last_update == update_number_;
    if (record.up()) {
      ranks.emplace_back(record.rank, id);
    }
  }
  ranked_.assign(std::move(ranks));
}

void EndpointTable::apply(const EndpointExclusion& exclusion, Time now) {
  EndpointRecord& record = find_or_add(exclusion.endpoint, now);
  if (record.excluded && !exclusion.excluded) {
    // The endpoint may have restarted while excluded, so its observations are discarded.
    restart(record, now);
    if (record.entry.started_at < record.excluded_at) {
      record.readmitted_at = now;
    }
  }
  if (exclusion.excluded && !record.excluded) {
    record.excluded_at = now;
  }
  record.excluded = exclusion.excluded;
  update_rank(record);
}

void EndpointTable::restore(const RestoredStats& restored, Time now) {
  find_or_add(restored.endpoint, now).stats += restored.stats;
}

bool EndpointTable::all_excluded() const {
  const auto excluded = [](const EndpointRecord& record) { return record.excluded; };
  return ranked_.size() == 0 && std::any_of(records_.begin(), records_.end(), excluded);
}

EndpointRecord& EndpointTable::find_or_add(EndpointId id, Time now) {
  while (records_.size() <= id) {
    EndpointRecord& record = records_.emplace_back();
    restart(record, now);
    record.rank = random_.uniform();
    record.entry.id = static_cast<EndpointId>(records_.size() - 1);
  }
  return records_[id];
}

// Random initial values prevent all balancers from choosing the same endpoint first, and from using
// the first slow-start tokens of an endpoint at the same time.
void EndpointTable::restart(EndpointRecord& record, Time now) {
  static_cast<EndpointState&>(record) = EndpointState{};
  ++record.incarnation;
  record.outcomes.resize(class_count_);
  record.tie_breaker = random_.uniform();
  record.waiting_since = now;
  record.slow_start_budget = {random_.uniform(), now};
}

void EndpointTable::update_rank(const EndpointRecord& record) {
  if (record.up()) {
    ranked_.insert(record.rank, record.entry.id);
  } else {
    ranked_.erase(record.rank, record.entry.id);
  }
}

}  // namespace beechhill
