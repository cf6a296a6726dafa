// Tests that bytes written by an earlier version, on disk and on the wire, are decoded to the
// expected values and encoded again to the same bytes. data/raft/README.md describes how the bytes
// were generated.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "base/byte_codec.h"
#include "cluster/disk_raft_storage.h"
#include "maintenance/coordination_messages.h"
#include "maintenance/maintenance_commands.h"
#include "maintenance/maintenance_state_machine.h"
#include "maintenance/raft_messages.h"
#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

using namespace maintenance;

const std::string kData = RAFT_TEST_DATA;

std::string from_hex(const std::string& hex) {
  std::string bytes;
  for (std::size_t i = 0; hex != "-" && i + 1 < hex.size(); i += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(i, 2), nullptr, 16));
  }
  return bytes;
}

struct GoldenMessage {
  std::string kind;
  int type = 0;
  std::string bytes;
};

std::vector<GoldenMessage> golden_messages(const std::string& kind) {
  std::ifstream file(kData + "/messages.txt");
  std::vector<GoldenMessage> messages;
  GoldenMessage message;
  std::string hex;
  while (file >> message.kind >> message.type >> hex) {
    message.bytes = from_hex(hex);
    if (message.kind == kind) {
      messages.push_back(message);
    }
  }
  return messages;
}

std::set<int> types_of(const std::vector<GoldenMessage>& messages) {
  std::set<int> types;
  for (const GoldenMessage& message : messages) {
    types.insert(message.type);
  }
  return types;
}

std::set<int> range(int first, int last) {
  std::set<int> numbers;
  for (int i = first; i <= last; ++i) {
    numbers.insert(i);
  }
  return numbers;
}

TEST(RaftFormat, ReencodesEveryCommandOfThePreviousVersion) {
  const auto messages = golden_messages("command");
  EXPECT_EQ(types_of(messages), range(0, static_cast<int>(CommandType::kAbortDrain)));
  for (const GoldenMessage& message : messages) {
    SCOPED_TRACE(message.type);
    const auto command = decode(message.bytes);
    ASSERT_TRUE(command);
    EXPECT_EQ(static_cast<int>(command->type), message.type);
    EXPECT_EQ(command->issued_at, 1'800'000'123);
    EXPECT_EQ(command->id, "kernel");
    EXPECT_EQ(command->machine, "m-1");
    EXPECT_EQ(command->proxy, "p-2");
    EXPECT_EQ(command->issued_by, "ana");
    EXPECT_EQ(command->fencing_token, 300u + static_cast<unsigned>(message.type));
    EXPECT_EQ(command->request.has_value(), command->type == CommandType::kSubmitRequest);
    EXPECT_EQ(command->disruption_budget.has_value(),
              command->type == CommandType::kSetDisruptionBudget);
    EXPECT_EQ(encode(*command), message.bytes);
    for (std::size_t size = 0; size < message.bytes.size(); ++size) {
      EXPECT_FALSE(decode(message.bytes.substr(0, size))) << size;
    }
  }
}

TEST(RaftFormat, ReadsTheFieldsOfCommandsOfThePreviousVersion) {
  std::map<CommandType, Command> commands;
  for (const GoldenMessage& message : golden_messages("command")) {
    const Command command = decode(message.bytes).value();
    commands[command.type] = command;
  }
  const maintenance::Request& request = commands.at(CommandType::kSubmitRequest).request.value();
  EXPECT_EQ(request.selector.ids, (std::set<std::string>{"m-1", "m-2"}));
  EXPECT_EQ(request.selector.zone + request.selector.cell + request.selector.instance_type,
            "acbig");
  EXPECT_EQ(request.max_concurrent, 3u);
  EXPECT_EQ(request.work_duration, 900);
  EXPECT_EQ(request.not_before, 5);
  EXPECT_EQ(request.not_after, 99'999'999'999);
  EXPECT_EQ(request.priority, -7);
  EXPECT_EQ(request.requested_by + "/" + request.reason, "ana/kernel");
  EXPECT_TRUE(request.approved && request.on_hold && !request.cancelled && !request.ended);
  EXPECT_EQ(request.requested_at, 44);
  EXPECT_EQ(request.completed_machines, std::set<std::string>{"m-9"});
  EXPECT_EQ(request.deferred_until, (std::map<std::string, Seconds>{{"m-8", 4711}}));

  DisruptionBudget budget;
  budget.capacity_reserve = 0.375;
  budget.max_out = 5;
  budget.max_out_per_zone = 4;
  budget.max_out_per_cell = 3;
  budget.preserve_last_in_zone = true;
  budget.min_proxies_per_zone = 2;
  budget.drain_timeout = 61;
  budget.deferral = 62;
  budget.priority_aging_interval = 63;
  budget.quiet_period = 64;
  budget.needs_approval = false;
  EXPECT_EQ(commands.at(CommandType::kSetDisruptionBudget).disruption_budget.value(), budget);

  const Command& update = commands.at(CommandType::kUpdateObservations);
  const Machine proxy{"m-5", "a", "c-1", "big", Role::kProxy, 1.5, false, true, 82};
  ASSERT_EQ(update.machines.size(), 3u);
  EXPECT_TRUE(update.machines[2] == proxy);
  EXPECT_EQ(update.removed_machines, (std::set<std::string>{"m-7", "m-8"}));
  EXPECT_EQ(update.zone_utilization, (std::map<std::string, double>{{"a", 0.25}, {"b", 0.5}}));
  EXPECT_EQ(update.incident, "zone_lost: a");
}

TEST(RaftFormat, ReencodesEveryRaftMessageOfThePreviousVersion) {
  const auto messages = golden_messages("raft");
  std::set<int> types = range(1, 6);
  types.insert(static_cast<int>(RaftMessageType::kStorageRolledBack));
  EXPECT_EQ(types_of(messages), types);
  for (const GoldenMessage& message : messages) {
    SCOPED_TRACE(message.type);
    base::ByteReader reader(message.bytes);
    const auto header = decode_raft_header(reader);
    ASSERT_TRUE(header);
    EXPECT_EQ(static_cast<int>(header->type), message.type);
    EXPECT_TRUE(parse_voter(header->from)) << header->from;
    EXPECT_TRUE(parse_voter(header->to)) << header->to;
    EXPECT_GT(header->appended_records, 0u);
    const auto body = decode_raft_body(header->type, reader);
    ASSERT_TRUE(body);
    EXPECT_EQ(type_of(*body), header->type);
    EXPECT_EQ(encode(*header, *body), message.bytes);
  }
}

TEST(RaftFormat, ReadsTheSnapshotOfAMessageOfThePreviousVersion) {
  std::size_t snapshots = 0;
  for (const GoldenMessage& message : golden_messages("raft")) {
    base::ByteReader reader(message.bytes);
    const auto header = decode_raft_header(reader);
    const auto body = decode_raft_body(header->type, reader);
    const auto* install = std::get_if<InstallSnapshot>(&*body);
    if (install == nullptr) {
      continue;
    }
    ++snapshots;
    EXPECT_EQ(install->servers,
              (std::vector<RaftServer>{{"proxy-0#1", 1}, {"proxy-1#1", 1}, {"proxy-2#1", 1}}));
    MaintenanceStateMachine state;
    ASSERT_TRUE(state.restore(install->data));
    EXPECT_EQ(state.snapshot(), install->data);
    EXPECT_EQ(state.proxies().size(), 4u);
  }
  EXPECT_GT(snapshots, 0u);
}

TEST(RaftFormat, ReencodesEveryCoordinationMessageOfThePreviousVersion) {
  const auto messages = golden_messages("coordination");
  EXPECT_EQ(types_of(messages), range(1, 10));
  for (const GoldenMessage& message : messages) {
    SCOPED_TRACE(message.type);
    const auto decoded = decode_coordination_message(message.bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(encode(*decoded), message.bytes);
  }
}

// ---- A voter's storage

struct ExpectedStorage {
  std::string file;
  std::string address;
  std::uint64_t appended_records = 0;
  DurableState state;
};

std::vector<ExpectedStorage> expected_storages() {
  std::ifstream file(kData + "/storage.txt");
  std::vector<ExpectedStorage> storages;
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream in(line);
    std::string kind;
    std::string label;
    std::string hex;
    in >> kind;
    if (kind == "file") {
      ExpectedStorage& storage = storages.emplace_back();
      std::size_t entries = 0;
      in >> storage.file >> storage.address >> label >> storage.appended_records >> label >>
          storage.state.term >> label >> storage.state.vote >> label >> storage.state.first_index >>
          label >> entries;
    } else if (kind == "entry") {
      LogEntry& entry = storages.back().state.entries.emplace_back();
      in >> entry.term >> entry.type >> hex;
      entry.data = from_hex(hex);
    } else if (kind == "snapshot") {
      RaftSnapshot& snapshot = storages.back().state.snapshot.emplace();
      in >> snapshot.index >> snapshot.term >> snapshot.configuration_index >> hex;
      snapshot.data = from_hex(hex);
    } else if (kind == "server") {
      RaftServer& server = storages.back().state.snapshot->servers.emplace_back();
      in >> server.address >> server.role;
    }
  }
  return storages;
}

void expect_equal(const DurableState& actual, const DurableState& expected) {
  EXPECT_EQ(actual.term, expected.term);
  EXPECT_EQ(actual.vote, expected.vote);
  EXPECT_EQ(actual.first_index, expected.first_index);
  EXPECT_EQ(actual.entries, expected.entries);
  ASSERT_EQ(actual.snapshot.has_value(), expected.snapshot.has_value());
  if (actual.snapshot) {
    EXPECT_EQ(actual.snapshot->index, expected.snapshot->index);
    EXPECT_EQ(actual.snapshot->term, expected.snapshot->term);
    EXPECT_EQ(actual.snapshot->configuration_index, expected.snapshot->configuration_index);
    EXPECT_EQ(actual.snapshot->servers, expected.snapshot->servers);
    EXPECT_EQ(actual.snapshot->data, expected.snapshot->data);
  }
}

TEST(RaftFormat, OpensStoragesOfThePreviousVersion) {
  const auto storages = expected_storages();
  ASSERT_EQ(storages.size(), 2u);
  for (const ExpectedStorage& expected : storages) {
    SCOPED_TRACE(expected.file);
    const TemporaryDirectory directory;
    std::filesystem::copy(kData + "/" + expected.file, directory.path);
    const std::string before = read_file(directory.file(expected.file));
    const Voter voter = parse_voter(expected.address).value();
    const auto storage = DiskRaftStorage::open(directory.path, voter.name);
    ASSERT_TRUE(storage);
    EXPECT_EQ(storage->voter().address(), expected.address);
    EXPECT_EQ(storage->appended_records(), expected.appended_records);
    expect_equal(storage->state(), expected.state);
    EXPECT_EQ(read_file(directory.file(expected.file)), before);
  }
}

TEST(RaftFormat, ReadsTheStateInStoragesOfThePreviousVersion) {
  const auto storages = expected_storages();
  ASSERT_EQ(storages.size(), 2u);
  // The first entry is the configuration. The others are commands, one of each type in the order of
  // the types. Later entries were truncated.
  const DurableState& log_only = storages[0].state;
  ASSERT_EQ(log_only.entries.size(), 18u);
  for (std::size_t i = 1; i < log_only.entries.size(); ++i) {
    const auto command = decode(log_only.entries[i].data);
    ASSERT_TRUE(command) << i;
    EXPECT_EQ(static_cast<std::size_t>(command->type), i - 1);
  }
  MaintenanceStateMachine state;
  ASSERT_TRUE(state.restore(storages[1].state.snapshot->data));
  EXPECT_EQ(state.snapshot(), storages[1].state.snapshot->data);
  EXPECT_EQ(state.applied_index(), 36u);
  const MaintenanceWorkflow& workflow = state.workflows().at("m-1");
  EXPECT_EQ(workflow.request, "all");
  EXPECT_EQ(workflow.fencing_token, 1u);
  EXPECT_EQ(workflow.state, WorkflowState::kDrained);
  EXPECT_EQ(workflow.confirmed_proxies, std::set<std::string>{"p-3"});
}

// A Raft node that starts with the storage of an earlier version must restore its term, voters and
// snapshot.
TEST(RaftFormat, RestartsFromAStorageOfThePreviousVersion) {
  const TemporaryDirectory directory;
  std::filesystem::copy(kData + "/beechhill-voter-b.agreement", directory.path);
  const auto storage = DiskRaftStorage::open(directory.path, "voter-b");
  ASSERT_TRUE(storage);
  MaintenanceStateMachine state;
  const RaftNode node(Time{0}, storage->voter(), *storage, state, {}, 1);
  EXPECT_EQ(node.term(), 9u);
  EXPECT_FALSE(node.halted());
  std::vector<std::string> voters;
  for (const Voter& voter : node.voters()) {
    voters.push_back(voter.address());
  }
  EXPECT_EQ(voters, (std::vector<std::string>{"voter-a#1", "voter-b#3"}));
  EXPECT_EQ(node.joining_generation("voter-c"), 1u);
  EXPECT_EQ(state.applied_index(), 36u);
}

}  // namespace
}  // namespace beechhill::test
