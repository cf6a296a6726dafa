// What a voter must not forget: its term, its vote, the log and the last snapshot. As an image that
// records change one by one, a storage that keeps these records, and one of memory for the
// emulator.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace beechhill::maintenance {

struct Server {         // of the voters' configuration
  std::string address;  // "name#generation"
  int role = 0;         // as the library's
  bool operator==(const Server&) const = default;
};

struct Entry {
  std::uint64_t term = 0;
  std::uint16_t type = 0;
  std::string data;
};

struct Kept {  // a snapshot
  std::uint64_t index = 0, term = 0, servers_index = 0;
  std::vector<Server> servers;
  std::string data;
};

struct Record {
  enum class What : std::uint8_t { kTerm, kVote, kAppend, kTruncate, kSnapshot } what = What::kTerm;
  // The term, the vote, the index of the first entry (0: it follows), the one to truncate from, or
  // how many entries trail a snapshot.
  std::uint64_t number = 0;
  std::vector<Entry> entries;
  std::optional<Kept> kept;
};
std::string encode(const Record& record);
std::optional<Record> decode_record(std::string_view bytes);

struct Image {
  std::uint64_t term = 0, vote = 0, first = 1;  // `first`: the index of the first entry
  std::vector<Entry> entries;
  std::optional<Kept> kept;
  void apply(const Record& record);
  std::vector<Record> records() const;  // that make it anew
};

class Storage {
 public:
  virtual ~Storage() = default;
  // As loaded, and then with all that was written, durable or not.
  virtual const Image& image() const = 0;
  // Takes it, and returns at once. The number of records written so far, over all lives of this
  // storage.
  virtual std::uint64_t write(Record record) = 0;
  virtual std::uint64_t written() const = 0;
  // So many of them are on the disk.
  virtual std::uint64_t durable() = 0;
  // It could not write: nothing that was not durable may be relied on, and nothing more will be.
  virtual bool failed() = 0;
};

class MemoryStorage : public Storage {
 public:
  const Image& image() const override { return image_; }
  std::uint64_t write(Record record) override;
  std::uint64_t written() const override { return written_; }
  std::uint64_t durable() override { return durable_; }
  bool failed() override { return failed_; }

  // The emulator's: a disk that syncs when it is told to, forgets what it has not, fails, or goes
  // back.
  bool lazy = false;
  void sync() { synced_ = image_, durable_ = written_; }
  void crash() { image_ = synced_, written_ = durable_; }
  void fail() { failed_ = true; }

 private:
  Image image_, synced_;
  std::uint64_t written_ = 0, durable_ = 0;
  bool failed_ = false;
};

}  // namespace beechhill::maintenance
