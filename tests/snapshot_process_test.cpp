// Tests how a process uses the snapshot of a killed process of the same name, with real processes.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

#include "snapshot/snapshot.h"
#include "support/proxy_fixture.h"

namespace beechhill::test {
namespace {

using snapshot::Snapshot;

// Runs consecutive processes of one name in front of a slow and a fast backend.
class SnapshotProcessTest : public testing::Test {
 protected:
  ~SnapshotProcessTest() override { ::unsetenv("BEECHHILL_OPERATOR"); }

  void configure_snapshots(const std::string& directory) const {
    const std::string path = folder_.path + "/op.toml";
    std::ofstream(path) << "[snapshot]\nfolder = \"" << directory << "\"\nevery = \"100ms\"\n";
    ::setenv("BEECHHILL_OPERATOR", path.c_str(), 1);
  }

  // Starts a process, sends 16 requests one after another, and kills the process. If `load_reports`
  // is true, the backends report their load, and the kill waits for a snapshot of both backends.
  // Otherwise the process only has the statistics that it started with. Returns the number of
  // requests to the slow backend.
  int requests_to_slow_backend(bool load_reports) {
    constexpr int kRequests = 16;
    const ProxyUnderTest proxy(hosts());
    TestConnection client = proxy.client();
    int to_slow = 0;
    for (int i = 0; i < kRequests; ++i) {
      client.send(ProxyUnderTest::get("a" + std::to_string(i)));
      const FakeListener& backend = next_backend();
      to_slow += &backend == &slow_ ? 1 : 0;
      serve(backend, load_reports ? load_report(backend) : "");
      expect_status(client, 200);
    }
    if (load_reports) {
      EXPECT_TRUE(eventually([this] { return stored().records.size() == 2; }));
    }
    return to_slow;
  }

  const FakeListener& next_backend() const {
    const auto deadline = Clock::now() + kTestTimeout;
    for (;;) {
      if (slow_.pending(1ms)) {
        return slow_;
      }
      if (fast_.pending(1ms)) {
        return fast_;
      }
      require(Clock::now() < deadline);
    }
  }

  std::string load_report(const FakeListener& backend) const {
    const std::string load = &backend == &slow_ ? "0.95, served_ps=2" : "0.50, served_ps=20";
    return "Endpoint-Load-Metrics: TEXT cpu_share=" + load + ", pending=0\r\n";
  }

  static void serve(const FakeListener& backend, const std::string& headers) {
    TestConnection connection = backend.accept();
    connection.request();
    connection.reply(200, "Connection: close\r\n" + headers, "");
  }

  std::string hosts() const {
    return "[" + host_json("s-1", slow_.address()) + "," + host_json("s-2", fast_.address()) + "]";
  }

  std::string file() const { return folder_.file("beechhill-t.snapshot"); }

  // Returns the snapshot on disk, or an empty one if there is none.
  Snapshot stored() const { return snapshot::decode(read_file(file())).value_or(Snapshot{}); }

  const TemporaryDirectory folder_;
  FakeListener slow_;
  FakeListener fast_;
};

// A process restarted with a snapshot must send the slow backend fewer requests than one without.
// A truncated snapshot must be renamed to *.aside and must have no effect. The requests to the slow
// backend are summed over three rounds.
TEST_F(SnapshotProcessTest, StatisticsSurviveAKill) {
  constexpr int kRounds = 3;
  configure_snapshots(folder_.path);
  int lost = 0;
  int torn = 0;
  int restored = 0;
  for (int i = 0; i < kRounds; ++i) {
    std::filesystem::remove(file());
    lost += requests_to_slow_backend(false);
    requests_to_slow_backend(true);
    restored += requests_to_slow_backend(false);
    std::filesystem::resize_file(file(), 40);
    torn += requests_to_slow_backend(false);
    EXPECT_TRUE(std::filesystem::exists(file() + ".aside"));
  }
  std::fprintf(stderr,
               "to the slow backend: %d without a snapshot, %d with a torn one, %d restored\n",
               lost, torn, restored);
  EXPECT_LT(3 * restored, 2 * lost);
  EXPECT_LT(3 * restored, 2 * torn);
}

// An exclusion must be restored even if the rest of the snapshot is too old. A single request to
// the admin server must include the backend again.
TEST_F(SnapshotProcessTest, ExclusionsSurviveAKill) {
  configure_snapshots(folder_.path);
  {
    const ProxyUnderTest proxy(hosts());
    ASSERT_EQ(proxy.admin_request("PUT", "/api/exclude?target=s-1").status, 200);
    ASSERT_TRUE(eventually([this] { return stored().excluded_backends.contains("s-1"); }));
  }
  Snapshot old = stored();
  old.written_at -= 1h;
  std::ofstream(file()) << snapshot::encode(old);
  const ProxyUnderTest proxy(hosts());
  TestConnection client = proxy.client();
  for (int i = 0; i < 8; ++i) {
    client.send(ProxyUnderTest::get("b" + std::to_string(i)));
    serve(fast_, "");
    expect_status(client, 200);
  }
  EXPECT_FALSE(slow_.pending(0ms));
  EXPECT_EQ(proxy.admin_request("PUT", "/api/include?target=s-1").status, 200);
  EXPECT_EQ(proxy.admin_request("PUT", "/api/exclude?target=s-2").status, 200);
  client.send(ProxyUnderTest::get("c"));
  serve(slow_, "");
  expect_status(client, 200);
}

TEST_F(SnapshotProcessTest, WritesNothingWithoutADirectory) {
  configure_snapshots("");
  requests_to_slow_backend(false);
  EXPECT_FALSE(std::filesystem::exists(file()));
}

}  // namespace
}  // namespace beechhill::test
