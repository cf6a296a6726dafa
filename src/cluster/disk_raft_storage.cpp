#include "cluster/disk_raft_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <condition_variable>
#include <cstdio>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <stdexcept>
#include <thread>

#include "base/byte_codec.h"
#include "log/log.h"

namespace beechhill::maintenance {

namespace {

constexpr std::string_view kMagic = "BHAGREE1";
constexpr std::chrono::milliseconds kLastWait{500};
constexpr std::size_t kMostBytes = 64 * 1024 * 1024;
constexpr std::size_t kMostLooked =
    256 * 1024 * 1024;  // bytes, in search of what follows a damaged record

std::string framed(std::string_view payload) {
  base::ByteWriter w;
  w.number(static_cast<std::uint32_t>(payload.size()))
      .number(static_cast<std::uint64_t>(XXH64(payload.data(), payload.size(), 0)))
      .raw(payload);
  return w.bytes();
}

// The next whole record, or nothing; `at` moves beyond it.
std::optional<std::string_view> next(std::string_view file, std::size_t& at) {
  base::ByteReader r(file.substr(at));
  const auto size = r.number<std::uint32_t>();
  const auto sum = r.number<std::uint64_t>();
  const std::string_view rest = r.rest();
  if (!r.ok() || rest.size() < size) {
    return std::nullopt;
  }
  const std::string_view payload = rest.substr(0, size);
  if (XXH64(payload.data(), payload.size(), 0) != sum) {
    return std::nullopt;
  }
  at += 12 + size;
  return payload;
}

// What a file begins with: whose it is, and how many records came before those that follow.
std::string beginning(const Voter& voter, std::uint64_t before) {
  base::ByteWriter w;
  w.raw(kMagic).text(voter.address()).number(before);
  return framed(w.bytes());
}

std::string whole(const Voter& voter, const DurableState& image, std::uint64_t written) {
  const std::vector<LogRecord> records = image.records();
  std::string text = beginning(voter, written - std::min<std::uint64_t>(written, records.size()));
  for (const LogRecord& r : records) {
    text += framed(encode(r));
  }
  return text;
}

bool put(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = ::write(fd, text.data(), text.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return ::fsync(fd) == 0;
}

// So that after a crash either the old or the new stands there, whole.
bool replace(const std::string& path, const std::string& text) {
  const std::string fresh = path + ".new";
  {
    const net::Fd fd(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!fd || !put(fd.get(), text)) {
      return false;
    }
  }
  if (std::rename(fresh.c_str(), path.c_str()) < 0) {
    return false;
  }
  const net::Fd folder(::open(std::filesystem::path(path).parent_path().c_str(),
                              O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return folder && ::fsync(folder.get()) == 0;
}

std::string path_of(const std::string& folder, const std::string& name) {
  std::string file = name;
  std::replace(file.begin(), file.end(), '/', '_');
  return folder + "/beechhill-" + file + ".agreement";
}

struct Read {
  Voter voter;
  DurableState image;
  std::uint64_t written = 0;
  std::size_t good = 0;  // bytes; what follows was being written when the process died
};

std::optional<Read> read(std::string_view file, const std::string& name) {
  Read out;
  const auto first = next(file, out.good);
  if (!first || !first->starts_with(kMagic)) {
    return std::nullopt;
  }
  base::ByteReader r(first->substr(kMagic.size()));
  const auto voter = parse_voter(r.text(80));
  out.written = r.number<std::uint64_t>();
  if (!r.done() || !voter || voter->name != name) {
    return std::nullopt;
  }
  out.voter = *voter;
  while (const auto payload = next(file, out.good)) {
    const auto record = decode_record(*payload);
    if (!record) {
      return std::nullopt;
    }
    out.image.apply(*record);
    ++out.written;
  }
  // A record that is damaged with sound ones after it is no torn end: what it held had been relied
  // on. So is one too long to tell.
  std::size_t looked = 0;
  for (std::size_t at = out.good + 1; at + 12 < file.size(); ++at) {
    base::ByteReader head(file.substr(at));
    const auto size = head.number<std::uint32_t>();
    if (size == 0 || size > file.size() - at) {
      continue;
    }
    looked += size;
    std::size_t end = at;
    if (looked > kMostLooked || next(file, end)) {
      return std::nullopt;
    }
  }
  return out;
}

}  // namespace

struct DiskRaftStorage::Writer {
  struct Job {
    std::string text;
    std::uint64_t upto = 0;
    bool replaces = false;
  };
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<Job> jobs;
  std::uint64_t durable = 0;
  bool ending = false, failed = false, idle = true;
  std::string path;

  void run() {
    net::Fd fd;
    std::unique_lock lock(mutex);
    for (;;) {
      changed.wait(lock, [this] { return !jobs.empty() || ending; });
      if (jobs.empty() || failed) {
        break;
      }
      // All that waits is one write and one sync, up to what makes the file anew.
      std::string text;
      bool replaces = false;
      std::uint64_t upto = durable;
      while (!jobs.empty() && (!jobs.front().replaces || text.empty())) {
        replaces = jobs.front().replaces;
        text += jobs.front().text;
        upto = jobs.front().upto;
        jobs.pop_front();
        if (replaces) {
          break;
        }
      }
      idle = false;
      lock.unlock();
      bool good = false;
      if (replaces) {
        fd = {};
        good = replace(path, text);
      } else {
        if (!fd) {
          fd = net::Fd(::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
        }
        good = fd && put(fd.get(), text);
      }
      const int error = errno;
      lock.lock();
      if (good) {
        durable = upto;
      }
      if (!good && !ending) {
        log::warning("agreement_disk_failed", {{"error", std::string_view(std::strerror(error))}});
      }
      failed = failed || !good;
      idle = true;
      changed.notify_all();
    }
    idle = true;
    changed.notify_all();
  }
};

DiskRaftStorage::DiskRaftStorage(std::string path, net::Fd lock, Voter voter, DurableState image,
                                 std::uint64_t written)
    : path_(std::move(path)),
      lock_(std::move(lock)),
      voter_(std::move(voter)),
      image_(std::move(image)),
      written_(written),
      writer_(std::make_shared<Writer>()) {
  writer_->path = path_;
  writer_->durable = written_;
  std::thread([writer = writer_] { writer->run(); }).detach();
}

DiskRaftStorage::~DiskRaftStorage() {
  std::unique_lock lock(writer_->mutex);
  writer_->ending = true;
  writer_->changed.notify_all();
  writer_->changed.wait_for(lock, kLastWait, [this] {
    return writer_->idle && (writer_->jobs.empty() || writer_->failed);
  });
}

net::Fd DiskRaftStorage::lock(const std::string& folder, const std::string& name) {
  const std::string path = path_of(folder, name) + ".lock";
  net::Fd fd(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!fd) {
    throw std::runtime_error(path + ": " + std::strerror(errno));
  }
  if (::flock(fd.get(), LOCK_EX | LOCK_NB) < 0) {
    throw std::runtime_error(path + ": another process has it");
  }
  return fd;
}

std::unique_ptr<DiskRaftStorage> DiskRaftStorage::open(const std::string& folder,
                                                       const std::string& name) {
  net::Fd held = lock(folder, name);
  const std::string path = path_of(folder, name);
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return nullptr;
  }
  const std::string file{std::istreambuf_iterator<char>(in), {}};
  auto got = file.size() <= kMostBytes ? read(file, name) : std::nullopt;
  if (!got) {
    std::rename(path.c_str(), (path + ".aside").c_str());
    log::warning("agreement_set_aside", {{"reason", std::string_view("not_whole")}});
    return nullptr;
  }
  if (got->good < file.size() && ::truncate(path.c_str(), static_cast<off_t>(got->good)) < 0) {
    throw std::runtime_error(path + ": " + std::strerror(errno));
  }
  return std::unique_ptr<DiskRaftStorage>(
      new DiskRaftStorage(path, std::move(held), got->voter, std::move(got->image), got->written));
}

std::unique_ptr<DiskRaftStorage> DiskRaftStorage::found(const std::string& folder,
                                                        const Voter& voter,
                                                        const std::vector<LogRecord>& records) {
  net::Fd held = lock(folder, voter.name);
  const std::string path = path_of(folder, voter.name);
  if (std::filesystem::exists(path)) {
    throw std::runtime_error(path + ": there is one already");
  }
  DurableState image;
  for (const LogRecord& r : records) {
    image.apply(r);
  }
  const std::uint64_t written = image.records().size();
  if (!replace(path, whole(voter, image, written))) {
    throw std::runtime_error(path + ": " + std::strerror(errno));
  }
  return std::unique_ptr<DiskRaftStorage>(
      new DiskRaftStorage(path, std::move(held), voter, std::move(image), written));
}

void DiskRaftStorage::set_aside() {
  const std::lock_guard lock(writer_->mutex);
  writer_->failed = true;
  std::rename(path_.c_str(), (path_ + ".aside").c_str());
  log::warning("agreement_set_aside", {{"reason", std::string_view("rolled_back")}});
}

std::uint64_t DiskRaftStorage::append(LogRecord record) {
  const bool replaces = record.type == LogRecord::RecordType::kSnapshot;
  image_.apply(record);
  ++written_;
  const std::lock_guard lock(writer_->mutex);
  writer_->jobs.push_back(
      {replaces ? whole(voter_, image_, written_) : framed(encode(record)), written_, replaces});
  writer_->changed.notify_all();
  return written_;
}

std::uint64_t DiskRaftStorage::durable_records() {
  const std::lock_guard lock(writer_->mutex);
  return writer_->durable;
}

bool DiskRaftStorage::failed() {
  const std::lock_guard lock(writer_->mutex);
  return writer_->failed;
}

}  // namespace beechhill::maintenance
