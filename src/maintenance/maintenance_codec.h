// Binary form of the data of maintenance, shared by the commands of the replicated log and the
// snapshots of the state machine. Stored and sent: no field may change its place or size.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/byte_codec.h"
#include "maintenance/maintenance_model.h"

namespace beechhill::maintenance {

/// Texts with a count before them. A reader bounds the count by the bytes that are left, and each
/// text by kMaxTextBytes.
void write_texts(base::ByteWriter& writer, const std::set<std::string>& texts);
std::set<std::string> read_texts(base::ByteReader& reader);

void write_request(base::ByteWriter& writer, const Request& request);
Request read_request(base::ByteReader& reader);

void write_budget(base::ByteWriter& writer, const DisruptionBudget& budget);
DisruptionBudget read_budget(base::ByteReader& reader);

void write_workflow(base::ByteWriter& writer, const MaintenanceWorkflow& workflow);
/// The state may be out of range: the caller checks it.
MaintenanceWorkflow read_workflow(base::ByteReader& reader);

/// Machines, in the order of their ids, and utilization by zone.
void write_observations(base::ByteWriter& writer, const std::map<std::string, Machine>& machines,
                        const std::map<std::string, double>& zone_utilization);
void read_observations(base::ByteReader& reader, std::vector<Machine>& machines,
                       std::map<std::string, double>& zone_utilization);

}  // namespace beechhill::maintenance
