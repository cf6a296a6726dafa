// The folder in which one process keeps what outlasts it, and what befalls it: lost, put back as it
// was, torn, damaged, or on a disk that is full, hangs or cannot be written. By means that need no
// rights: what a process writes aside before it renames it meets something that is no file.
#pragma once

#include <chrono>
#include <filesystem>
#include <map>
#include <string>

#include "emulator/random.h"
#include "emulator/scenario.h"
#include "net/socket.h"

namespace beechhill::testbed {

class StateDirectoryFaults {
 public:
  // Makes the folder. `aside`: the file in it that the process writes before it renames it.
  StateDirectoryFaults(std::filesystem::path folder, std::string aside, std::uint64_t seed);
  ~StateDirectoryFaults();
  StateDirectoryFaults(const StateDirectoryFaults&) = delete;
  StateDirectoryFaults& operator=(const StateDirectoryFaults&) = delete;

  std::string path() const { return folder_.string(); }
  // A fault of state (emulator::strikes_state) begins or ends. Faults of the disk may overlap: the
  // first to end mends it. `by`: how much older its snapshots become, for kStateAged.
  void strike(emulator::FaultKind kind, bool begins, std::chrono::milliseconds by);

 private:
  void remember();
  void put_back();
  void damage(bool cut);
  void age(std::chrono::milliseconds by);
  void block(emulator::FaultKind kind);
  void unblock();

  const std::filesystem::path folder_, aside_;
  std::map<std::string, std::string> copy_;  // files as they stood
  emulator::Stream random_;
  net::Fd drain_;  // keeps a pipe's writer from being killed once it is let go
};

}  // namespace beechhill::testbed
