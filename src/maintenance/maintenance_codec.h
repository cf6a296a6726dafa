// Binary encoding of maintenance data, shared by the commands of the replicated log and the
// snapshots of the state machine. The encoding is stored on disk and sent between proxies: no field
// may change its position or size.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "base/byte_codec.h"
#include "maintenance/maintenance_model.h"

namespace beechhill::maintenance {

/// Writes the number of texts and then the texts. read_texts() limits the number to what the
/// remaining bytes can hold, and the size of each text to kMaxTextBytes.
void write_texts(base::ByteWriter& writer, const std::set<std::string>& texts);
std::set<std::string> read_texts(base::ByteReader& reader);

void write_request(base::ByteWriter& writer, const Request& request);
Request read_request(base::ByteReader& reader);

void write_budget(base::ByteWriter& writer, const DisruptionBudget& budget);
DisruptionBudget read_budget(base::ByteReader& reader);

void write_workflow(base::ByteWriter& writer, const MaintenanceWorkflow& workflow);
/// The caller must check that the state is in range.
MaintenanceWorkflow read_workflow(base::ByteReader& reader);

/// Writes the machines in order of their ids, and the utilization by zone.
void write_observations(base::ByteWriter& writer, const std::map<std::string, Machine>& machines,
                        const std::map<std::string, double>& zone_utilization);
void read_observations(base::ByteReader& reader, std::vector<Machine>& machines,
                       std::map<std::string, double>& zone_utilization);

}  // namespace beechhill::maintenance
