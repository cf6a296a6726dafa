#include "cluster/disk_raft_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <utility>

#include "cluster/raft_log_file.h"
#include "log/log.h"
#include "storage/file.h"

namespace beechhill::maintenance {
namespace {

// Maximum time that the destructor waits for pending writes, as the disk may hang.
constexpr std::chrono::milliseconds kStopTimeout{500};

std::string file_path(const std::string& directory, const std::string& name) {
  std::string file = name;
  std::replace(file.begin(), file.end(), '/', '_');
  return directory + "/beechhill-" + file + ".agreement";
}

net::FileDescriptor lock_file(const std::string& path) {
  const std::string lock_path = path + ".lock";
  net::FileDescriptor fd(::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!fd) {
    throw RaftStorageError(lock_path, std::strerror(errno));
  }
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) < 0) {
    throw RaftStorageError(lock_path, "locked by another process");
  }
  return fd;
}

// Renames a file that must not be used. If the rename fails, the next start of the process finds
// the file and rejects it again.
void rename_aside(const std::string& path, std::string_view reason) {
  static_cast<void>(std::rename(path.c_str(), (path + ".aside").c_str()));
  log::warning("agreement_set_aside", {{"reason", reason}});
}

}  // namespace

DiskRaftStorage::DiskRaftStorage(std::string path, net::FileDescriptor lock, Voter voter,
                                 DurableState state, std::uint64_t appended_records)
    : path_(std::move(path)),
      lock_(std::move(lock)),
      voter_(std::move(voter)),
      state_(std::move(state)),
      appended_records_(appended_records),
      writer_(RaftLogWriter::start(path_, appended_records)) {
}

DiskRaftStorage::~DiskRaftStorage() {
  writer_->stop(kStopTimeout);
}

std::unique_ptr<DiskRaftStorage> DiskRaftStorage::open(const std::string& directory,
                                                       const std::string& name) {
  const std::string path = file_path(directory, name);
  net::FileDescriptor lock = lock_file(path);
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return nullptr;
  }
  const std::string bytes{std::istreambuf_iterator<char>(in), {}};
  auto file = bytes.size() <= kMaxRaftLogFileBytes ? decode_file(bytes, name) : std::nullopt;
  if (!file) {
    rename_aside(path, "not_whole");
    return nullptr;
  }
  const bool torn = file->valid_bytes < bytes.size();
  if (torn && ::truncate(path.c_str(), static_cast<off_t>(file->valid_bytes)) < 0) {
    throw RaftStorageError(path, std::strerror(errno));
  }
  return std::unique_ptr<DiskRaftStorage>(
      new DiskRaftStorage(path, std::move(lock), std::move(file->voter), std::move(file->state),
                          file->appended_records));
}

std::unique_ptr<DiskRaftStorage> DiskRaftStorage::create(const std::string& directory,
                                                         const Voter& voter,
                                                         const std::vector<LogRecord>& records) {
  const std::string path = file_path(directory, voter.name);
  net::FileDescriptor lock = lock_file(path);
  if (std::filesystem::exists(path)) {
    throw RaftStorageError(path, "cannot create the storage: the file exists already");
  }
  DurableState state;
  for (const LogRecord& record : records) {
    state.apply(record);
  }
  const std::uint64_t appended_records = state.records().size();
  const std::string content = encode_file(voter, state, appended_records);
  if (const auto error = storage::replace_file(path, content, storage::Durability::kMachineCrash)) {
    throw RaftStorageError(path, error.message());
  }
  return std::unique_ptr<DiskRaftStorage>(
      new DiskRaftStorage(path, std::move(lock), voter, std::move(state), appended_records));
}

void DiskRaftStorage::set_aside() {
  writer_->fail();
  rename_aside(path_, "rolled_back");
}

std::uint64_t DiskRaftStorage::append(LogRecord record) {
  const bool is_snapshot = record.type == LogRecord::RecordType::kSnapshot;
  state_.apply(record);
  ++appended_records_;
  writer_->submit(
      {is_snapshot ? encode_file(voter_, state_, appended_records_) : encode_frame(record),
       appended_records_, is_snapshot});
  return appended_records_;
}

}  // namespace beechhill::maintenance
