// A target for libFuzzer (clang++ -fsanitize=fuzzer): whatever stands in a snapshot's file is read
// whole or not at all. snapshot_test drives it with mutations of a good one.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "snapshot/snapshot.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace beechhill::snapshot;
  const auto read = decode({reinterpret_cast<const char*>(data), size});
  if (read && decode(encode(*read))->records.size() != read->records.size()) {
    std::abort();  // what is read can be kept again
  }
  return read ? 1 : 0;
}
