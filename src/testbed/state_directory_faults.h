// Injects faults into the directory in which a process keeps its durable state: lost, outdated,
// truncated or corrupted files, and a disk that is full, hangs or cannot be written.
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

/// Injects faults into one state directory. Disk faults need no privileges: the temporary file that
/// the process writes and then renames is replaced by something that is not a regular file.
class StateDirectoryFaults {
 public:
  /// Creates the directory. `temporary_file` is the name of the file in it that the process writes
  /// and then renames.
  StateDirectoryFaults(std::filesystem::path directory, const std::string& temporary_file,
                       std::uint64_t seed);
  ~StateDirectoryFaults();
  StateDirectoryFaults(const StateDirectoryFaults&) = delete;
  StateDirectoryFaults& operator=(const StateDirectoryFaults&) = delete;

  std::string path() const { return directory_.string(); }
  /// Begins or ends a state fault (emulator::affects_state); other faults are ignored. Disk faults
  /// may overlap: the first one that ends makes the disk writable again. For kStateAged, `age` is
  /// the time by which snapshots are backdated.
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
  std::map<std::string, std::string> saved_files_;  // file contents, indexed by file name
  emulator::Stream random_;
  // Read end of the pipe that emulates a hanging disk. It stays open so that the writer, when it is
  // unblocked, is not killed by SIGPIPE.
  net::FileDescriptor pipe_reader_;
};

}  // namespace beechhill::testbed
