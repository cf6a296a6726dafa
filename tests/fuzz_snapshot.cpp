// A target for libFuzzer (clang++ -fsanitize=fuzzer): any bytes in a snapshot's file are read
// completely or not at all. snapshot_test runs it with mutations of a good one.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "snapshot/snapshot.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using beechhill::snapshot::decode;
  using beechhill::snapshot::encode;
  const auto snapshot = decode({reinterpret_cast<const char*>(data), size});
  if (snapshot && decode(encode(*snapshot))->records.size() != snapshot->records.size()) {
    std::abort();  // what was read must be readable once it is written again
  }
  return 0;
}
