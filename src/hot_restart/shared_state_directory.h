// The folder that the processes of one proxy share: the state, replaced by rename under a lock, and
// a file for each process, locked for as long as it lives, so that the kernel says who is there
// however a process ended.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "hot_restart/shared_state.h"
#include "net/socket.h"

namespace beechhill::hot_restart {

class SharedStateDirectory {
 public:
  // Joins the processes that share `path` under `name`: this one is of the next generation. A state
  // that cannot be read is set aside, with a line in the log. Throws std::system_error where files
  // cannot be written or locked there.
  SharedStateDirectory(std::string path, std::string name);

  const SharedState& state() const { return state_; }  // as last read or written

  // Reads the state again where it has been replaced since. True: state() may be another now.
  bool refresh();
  // Applies one change under the lock. False: another process holds it just now.
  bool change(StateChange change, const std::string& host);

  // What this process tells the others: that it takes clients, and how many descriptors it holds.
  void publish(bool ready, std::uint32_t descriptors);
  struct ProcessGroupStatus {
    int alive = 0;
    bool successor = false;         // a later one lives and takes clients
    bool predecessor = false;       // an earlier one lives
    std::uint32_t descriptors = 0;  // that they hold, as last told
  };
  ProcessGroupStatus process_group_status() const;

 private:
  struct Presence {  // as it stands in a process's file
    std::uint32_t ready = 0, descriptors = 0;
  };
  std::string of(std::uint64_t generation) const;
  std::optional<net::Fd> lock() const;
  void read();
  void write();

  std::string base_;
  SharedState state_;
  std::uint64_t generation_ = 0;
  struct Version {  // of the state as last read: each replacement is a new file
    std::uint64_t inode = 0;
    std::int64_t written_s = 0, written_ns = 0;
    bool operator==(const Version&) const = default;
  };
  std::optional<Version> version_now() const;
  std::optional<Version> seen_;
  net::Fd own_;
};

}  // namespace beechhill::hot_restart
