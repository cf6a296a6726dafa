#include "maintenance/maintenance_commands.h"

#include "base/byte_codec.h"
#include "maintenance/maintenance_codec.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;

std::string encode(const Command& command) {
  ByteWriter writer;
  writer.number(command.type)
      .number(command.issued_at)
      .text(command.id)
      .text(command.machine)
      .text(command.proxy)
      .text(command.issued_by)
      .number(command.fencing_token);
  writer.number(command.request.has_value());
  if (command.request) {
    write_request(writer, *command.request);
  }
  writer.number(command.disruption_budget.has_value());
  if (command.disruption_budget) {
    write_budget(writer, *command.disruption_budget);
  }
  std::map<std::string, Machine> machines;
  for (const Machine& machine : command.machines) {
    machines[machine.id] = machine;
  }
  write_observations(writer, machines, command.zone_utilization);
  write_texts(writer, command.removed_machines);
  writer.text(command.incident);
  return writer.bytes();
}

std::optional<Command> decode(std::string_view bytes) {
  ByteReader reader(bytes);
  Command command;
  command.type = reader.number<CommandType>();
  command.issued_at = reader.number<Seconds>();
  command.id = reader.text(kMaxTextBytes);
  command.machine = reader.text(kMaxTextBytes);
  command.proxy = reader.text(kMaxTextBytes);
  command.issued_by = reader.text(kMaxTextBytes);
  command.fencing_token = reader.number<FencingToken>();
  if (reader.number<bool>()) {
    command.request = read_request(reader);
  }
  if (reader.number<bool>()) {
    command.disruption_budget = read_budget(reader);
  }
  read_observations(reader, command.machines, command.zone_utilization);
  command.removed_machines = read_texts(reader);
  command.incident = reader.text(kMaxTextBytes);
  const bool known_type = command.type <= CommandType::kAbortDrain;
  if (!reader.done() || !known_type || command.machines.size() > kMaxMachines) {
    return std::nullopt;
  }
  return command;
}

}  // namespace beechhill::maintenance
