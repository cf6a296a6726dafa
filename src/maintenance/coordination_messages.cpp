#include "maintenance/coordination_messages.h"

#include <algorithm>
#include <utility>

#include "base/byte_codec.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;
using Type = CoordinationMessageType;

namespace {

constexpr double kUtilizationScale = 1e6;

void write_permissions(ByteWriter& writer, const DispatchPermissionMap& permissions) {
  writer.number(static_cast<std::uint16_t>(permissions.size()));
  for (const auto& [machine, permission] : permissions) {
    writer.text(machine)
        .number(permission.dispatch_forbidden)
        .number(permission.lease_required)
        .number(permission.fencing_token);
  }
}

DispatchPermissionMap read_permissions(ByteReader& reader) {
  DispatchPermissionMap permissions;
  for (auto left = reader.number<std::uint16_t>(); left > 0 && reader.ok(); --left) {
    DispatchPermission& permission = permissions[reader.text(kMaxTextBytes)];
    permission.dispatch_forbidden = reader.number<bool>();
    permission.lease_required = reader.number<bool>();
    permission.fencing_token = reader.number<FencingToken>();
  }
  return permissions;
}

void write_utilization(ByteWriter& writer, const std::map<std::string, double>& utilization) {
  std::size_t left = std::min(kMaxReportedZones, utilization.size());
  writer.number(static_cast<std::uint8_t>(left));
  for (auto zone = utilization.begin(); left > 0; ++zone, --left) {
    writer.text(zone->first).number(static_cast<std::int64_t>(zone->second * kUtilizationScale));
  }
}

std::map<std::string, double> read_utilization(ByteReader& reader) {
  std::map<std::string, double> utilization;
  for (auto left = reader.number<std::uint8_t>(); left > 0 && reader.ok(); --left) {
    const std::string zone = reader.text(kMaxTextBytes);
    utilization[zone] = static_cast<double>(reader.number<std::int64_t>()) / kUtilizationScale;
  }
  return utilization;
}

ByteWriter begin_message(Type type) {
  ByteWriter writer;
  writer.number(type);
  return writer;
}

ByteWriter write(const LeaseRequest& message) {
  ByteWriter writer = begin_message(Type::kLeaseRequest);
  writer.number(message.number)
      .number(message.boot_id)
      .number(message.acknowledged_index)
      .text(message.zone)
      .number(message.has_discovery_update)
      .number(message.is_idle)
      .number(message.is_shutting_down)
      .number(message.has_lost_storage)
      .number(message.served_requests)
      .number(message.unserved_requests);
  write_utilization(writer, message.zone_utilization);
  writer.number(static_cast<std::uint16_t>(message.drained.size()));
  for (const DrainConfirmation& confirmation : message.drained) {
    writer.text(confirmation.machine).number(confirmation.fencing_token);
  }
  return writer;
}

void read(ByteReader& reader, LeaseRequest& message) {
  message.number = reader.number<std::uint64_t>();
  message.boot_id = reader.number<std::uint64_t>();
  message.acknowledged_index = reader.number<LogIndex>();
  message.zone = reader.text(kMaxTextBytes);
  message.has_discovery_update = reader.number<bool>();
  message.is_idle = reader.number<bool>();
  message.is_shutting_down = reader.number<bool>();
  message.has_lost_storage = reader.number<bool>();
  message.served_requests = reader.number<std::uint64_t>();
  message.unserved_requests = reader.number<std::uint64_t>();
  message.zone_utilization = read_utilization(reader);
  for (auto left = reader.number<std::uint16_t>(); left > 0 && reader.ok(); --left) {
    std::string machine = reader.text(kMaxTextBytes);
    message.drained.push_back({std::move(machine), reader.number<FencingToken>()});
  }
}

ByteWriter write(const LeaseGrant& message) {
  ByteWriter writer = begin_message(Type::kLeaseGrant);
  writer.number(message.number).number(message.applied_index);
  write_permissions(writer, message.backend_permissions);
  write_permissions(writer, message.proxy_permissions);
  return writer;
}

void read(ByteReader& reader, LeaseGrant& message) {
  message.number = reader.number<std::uint64_t>();
  message.applied_index = reader.number<LogIndex>();
  message.backend_permissions = read_permissions(reader);
  message.proxy_permissions = read_permissions(reader);
}

ByteWriter write(const NotLeader& message) {
  ByteWriter writer = begin_message(Type::kNotLeader);
  writer.number(message.number).text(message.leader);
  return writer;
}

void read(ByteReader& reader, NotLeader& message) {
  message.number = reader.number<std::uint64_t>();
  message.leader = reader.text(kMaxTextBytes);
}

ByteWriter write(const LeadershipCheck& message) {
  ByteWriter writer = begin_message(Type::kLeadershipCheck);
  writer.number(message.term).number(message.round);
  return writer;
}

void read(ByteReader& reader, LeadershipCheck& message) {
  message.term = reader.number<std::uint64_t>();
  message.round = reader.number<std::uint64_t>();
}

ByteWriter write(const LeadershipConfirmation& message) {
  ByteWriter writer = begin_message(Type::kLeadershipConfirmation);
  writer.number(message.term).number(message.round);
  return writer;
}

void read(ByteReader& reader, LeadershipConfirmation& message) {
  message.term = reader.number<std::uint64_t>();
  message.round = reader.number<std::uint64_t>();
}

ByteWriter write(const Submit& message) {
  ByteWriter writer = begin_message(Type::kSubmit);
  writer.number(message.number).raw(encode(message.command));
  return writer;
}

ByteWriter write(const SubmitResult& message) {
  ByteWriter writer = begin_message(Type::kSubmitResult);
  writer.number(message.number).number(message.accepted).text(message.reason);
  return writer;
}

void read(ByteReader& reader, SubmitResult& message) {
  message.number = reader.number<std::uint64_t>();
  message.accepted = reader.number<bool>();
  message.reason = reader.text(kMaxTextBytes);
  // Ignores fields that a later version may append.
  reader.rest();
}

ByteWriter write(const Query& message) {
  ByteWriter writer = begin_message(Type::kQuery);
  writer.number(message.number).text(message.request);
  return writer;
}

void read(ByteReader& reader, Query& message) {
  message.number = reader.number<std::uint64_t>();
  message.request = reader.text(kMaxTextBytes);
}

ByteWriter write(const QueryResult& message) {
  ByteWriter writer = begin_message(Type::kQueryResult);
  writer.number(message.number)
      .number(message.accepted)
      .raw(std::string_view(message.text).substr(0, kMaxQueryResultBytes));
  return writer;
}

void read(ByteReader& reader, QueryResult& message) {
  message.number = reader.number<std::uint64_t>();
  message.accepted = reader.number<bool>();
  message.text = reader.rest();
}

ByteWriter write(const Readmission& message) {
  ByteWriter writer = begin_message(Type::kReadmission);
  writer.number(message.generation);
  return writer;
}

void read(ByteReader& reader, Readmission& message) {
  message.generation = reader.number<std::uint32_t>();
}

template <typename Message>
std::optional<CoordinationMessage> decode_as(ByteReader& reader) {
  Message message;
  read(reader, message);
  return reader.done() ? std::optional<CoordinationMessage>(std::move(message)) : std::nullopt;
}

std::optional<CoordinationMessage> decode_lease_request(ByteReader& reader) {
  auto message = decode_as<LeaseRequest>(reader);
  if (message && std::get<LeaseRequest>(*message).drained.size() > kMaxDrainConfirmations) {
    return std::nullopt;
  }
  return message;
}

std::optional<CoordinationMessage> decode_submit(ByteReader& reader) {
  const auto number = reader.number<std::uint64_t>();
  auto command = decode(reader.rest());
  if (!reader.ok() || !command || !is_operator_command(command->type)) {
    return std::nullopt;
  }
  return Submit{number, std::move(*command)};
}

}  // namespace

std::string encode(const CoordinationMessage& message) {
  return std::visit([](const auto& typed) { return write(typed).bytes(); }, message);
}

std::optional<CoordinationMessage> decode_coordination_message(std::string_view bytes) {
  ByteReader reader(bytes);
  switch (reader.number<Type>()) {
    case Type::kNone:
      break;
    case Type::kLeaseRequest:
      return decode_lease_request(reader);
    case Type::kLeaseGrant:
      return decode_as<LeaseGrant>(reader);
    case Type::kNotLeader:
      return decode_as<NotLeader>(reader);
    case Type::kLeadershipCheck:
      return decode_as<LeadershipCheck>(reader);
    case Type::kLeadershipConfirmation:
      return decode_as<LeadershipConfirmation>(reader);
    case Type::kSubmit:
      return decode_submit(reader);
    case Type::kSubmitResult:
      return decode_as<SubmitResult>(reader);
    case Type::kQuery:
      return decode_as<Query>(reader);
    case Type::kQueryResult:
      return decode_as<QueryResult>(reader);
    case Type::kReadmission:
      return decode_as<Readmission>(reader);
  }
  return std::nullopt;
}

}  // namespace beechhill::maintenance
