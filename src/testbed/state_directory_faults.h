// Faults of the directory in which one process keeps its durable state: lost, restored from an old
// copy, truncated or corrupted files, and a disk that is full, hangs or cannot be written.
#pragma once

#include <chrono>
#include <filesystem>
#include <map>
#include <string>

#include "emulator/random.h"
#include "emulator/scenario.h"
#include "net/socket.h"
#include "testbed/fault_injector.h"

namespace beechhill::testbed {

/// Faults of the disk need no privileges: the temporary file that the process writes before it
/// renames it is replaced by something that is no regular file.
class StateDirectoryFaults {
 public:
  /// Makes the directory. `temporary_file`: the name of the file in it that the process writes
  /// before it renames it.
  StateDirectoryFaults(std::filesystem::path directory, const std::string& temporary_file,
                       std::uint64_t seed);
  ~StateDirectoryFaults();
  StateDirectoryFaults(const StateDirectoryFaults&) = delete;
  StateDirectoryFaults& operator=(const StateDirectoryFaults&) = delete;

  std::string path() const { return directory_.string(); }
  /// A fault of state (emulator::affects_state) begins or ends; others are ignored. Faults of the
  /// disk may overlap: the first to end mends it. `age`: how much older snapshots become, for
  /// kStateAged.
  void apply(emulator::FaultKind kind, FaultPhase phase, std::chrono::milliseconds age);

 private:
  enum class Damage { kTruncate, kFlipBit };
  void remove_all();
  void save_copy();
  void restore_copy();
  void damage_files(Damage damage);
  void age_snapshots(std::chrono::milliseconds age);
  void block_writes(emulator::FaultKind kind);
  void unblock_writes();

  const std::filesystem::path directory_;
  const std::filesystem::path temporary_file_;
  std::map<std::string, std::string> saved_files_;  // contents by name
  emulator::Stream random_;
  // The reading end of the pipe of a disk that hung: its writer, once let go, is not killed by
  // SIGPIPE.
  net::FileDescriptor pipe_reader_;
};

}  // namespace beechhill::testbed
