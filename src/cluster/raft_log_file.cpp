#include "cluster/raft_log_file.h"

#include <xxhash.h>

#include <algorithm>
#include <vector>

#include "base/byte_codec.h"

namespace beechhill::maintenance {
namespace {

constexpr std::string_view kMagic = "BHAGREE1";
constexpr std::size_t kFrameHeaderBytes = sizeof(std::uint32_t) + sizeof(std::uint64_t);
// Limit on the total payload bytes whose checksums are computed in the search for a valid frame
// after a damaged one.
constexpr std::size_t kMaxSearchedBytes = std::size_t{256} * 1024 * 1024;

std::uint64_t checksum(std::string_view payload) {
  return XXH64(payload.data(), payload.size(), 0);
}

std::string frame(std::string_view payload) {
  base::ByteWriter writer;
  writer.number(static_cast<std::uint32_t>(payload.size())).number(checksum(payload)).raw(payload);
  return writer.bytes();
}

// Returns the payload of the complete frame at `position` and advances `position` past the frame.
// Returns nothing, and leaves `position` unchanged, if there is no valid frame.
std::optional<std::string_view> read_frame(std::string_view file, std::size_t& position) {
  base::ByteReader reader(file.substr(position));
  const auto size = reader.number<std::uint32_t>();
  const auto expected_checksum = reader.number<std::uint64_t>();
  const std::string_view rest = reader.rest();
  if (!reader.ok() || rest.size() < size) {
    return std::nullopt;
  }
  const std::string_view payload = rest.substr(0, size);
  if (checksum(payload) != expected_checksum) {
    return std::nullopt;
  }
  position += kFrameHeaderBytes + size;
  return payload;
}

std::string file_header(const Voter& voter, std::uint64_t earlier_records) {
  base::ByteWriter writer;
  writer.raw(kMagic).text(voter.address()).number(earlier_records);
  return frame(writer.bytes());
}

// Sets `file.voter` and `file.appended_records`. Returns false if the header is not that of the
// voter `name`.
bool read_file_header(std::string_view payload, const std::string& name, RaftLogFile& file) {
  if (!payload.starts_with(kMagic)) {
    return false;
  }
  base::ByteReader reader(payload.substr(kMagic.size()));
  const auto voter = parse_voter(reader.text(kMaxVoterAddressBytes));
  file.appended_records = reader.number<std::uint64_t>();
  if (!reader.done() || !voter || voter->name != name) {
    return false;
  }
  file.voter = *voter;
  return true;
}

// Whether a valid frame may follow after `position`, at which there is none. Also returns true if
// the search exceeds kMaxSearchedBytes without a result.
bool may_have_later_frame(std::string_view file, std::size_t position) {
  std::size_t searched = 0;
  for (std::size_t start = position + 1; start + kFrameHeaderBytes < file.size(); ++start) {
    base::ByteReader reader(file.substr(start));
    const auto size = reader.number<std::uint32_t>();
    if (size == 0 || size > file.size() - start) {
      continue;
    }
    searched += size;
    std::size_t end = start;
    if (searched > kMaxSearchedBytes || read_frame(file, end)) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string encode_frame(const LogRecord& record) {
  return frame(encode(record));
}

std::string encode_file(const Voter& voter, const DurableState& state,
                        std::uint64_t appended_records) {
  const std::vector<LogRecord> records = state.records();
  const auto written = std::min<std::uint64_t>(appended_records, records.size());
  std::string file = file_header(voter, appended_records - written);
  for (const LogRecord& record : records) {
    file += encode_frame(record);
  }
  return file;
}

std::optional<RaftLogFile> decode_file(std::string_view bytes, const std::string& name) {
  RaftLogFile file;
  const auto header = read_frame(bytes, file.valid_bytes);
  if (!header || !read_file_header(*header, name, file)) {
    return std::nullopt;
  }
  while (const auto payload = read_frame(bytes, file.valid_bytes)) {
    const auto record = decode_record(*payload);
    if (!record) {
      return std::nullopt;
    }
    file.state.apply(*record);
    ++file.appended_records;
  }
  if (may_have_later_frame(bytes, file.valid_bytes)) {
    return std::nullopt;
  }
  return file;
}

}  // namespace beechhill::maintenance
