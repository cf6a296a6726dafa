// A libFuzzer target (clang++ -fsanitize=fuzzer) that checks that decode() either rejects its input
// or returns a snapshot that can be encoded and decoded again. snapshot_test also runs the target,
// with mutations of a valid snapshot.
#include <cstddef>
#include <cstdint>
#include <cstdlib>

#include "snapshot/snapshot.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using beechhill::snapshot::decode;
  using beechhill::snapshot::encode;
  const auto snapshot = decode({reinterpret_cast<const char*>(data), size});
  if (snapshot && decode(encode(*snapshot))->records.size() != snapshot->records.size()) {
    std::abort();  // encoding and decoding the snapshot again changed the number of records
  }
  return 0;
}
