// Snapshots: what may be believed of one, what a damaged one does, and what becomes of processes
// that find one.
#include <atomic>
#include <map>
#include <memory>
#include <random>
#include <semaphore>

#include "snapshot/snapshot_store.h"
#include "support/proxy_fixture.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace beechhill::test {
namespace {

using snapshot::EndpointRecord;
using snapshot::Snapshot;
using snapshot::SnapshotStore;

const std::string kFile = "beechhill-t.snapshot";

Snapshot sample() {
  return {"t",
          "z/0/ver",
          7,
          1'000'000ms,
          {{"s-1", 5ms, 999'000ms, {12.25, 0.5, 3, 2}}, {"s \"2\"", 0ms, 1ms, {}}},
          {"s-9"}};
}

void is_believed_only_where_it_may() {
  const Snapshot s = sample();
  const auto read = snapshot::decode(snapshot::encode(s));
  assert(read && read->name == s.name && read->settings_hash == s.settings_hash &&
         read->incarnation == 7 && read->written_at == s.written_at);
  assert(read->records.size() == 2 && read->records[0].stats.weighted_rates == 12.25 &&
         read->records[0].stats.weighted_latency_ratios == 3 && read->records[1].host == "s \"2\"");
  const auto why = [&s](const char* name, const char* fleet, std::chrono::milliseconds now) {
    const char* reason = snapshot::rejection_reason(s, name, fleet, now);
    return std::string(reason ? reason : "");
  };
  assert(why("t", "z/0/ver", s.written_at + 5s).empty() &&
         why("t", "z/0/ver", s.written_at - 1s).empty());
  assert(why("u", "z/0/ver", s.written_at) == "another_process" &&
         why("t", "z/1/ver", s.written_at) == "other_settings");
  assert(why("t", "z/0/ver", s.written_at - 1min) == "from_the_future" &&
         why("t", "z/0/ver", s.written_at + 1h) == "too_old");
  const EndpointStats e{40, 2, 6, 3};
  const auto left = [&e](std::chrono::seconds age) { return snapshot::discounted(e, age, false); };
  assert(left(0s)->weighted_utilizations == 2 && left(-1s)->response_weight == 3 &&
         std::abs(left(60s)->weighted_rates - 40 / std::exp(1)) < 1e-9);
  assert(!left(10min) && !snapshot::discounted(e, 0s, true));
  assert(!snapshot::discounted({1e9, 2, 0, 0}, 0s, false) &&
         !snapshot::discounted({40, 2, 300, 3}, 0s, false));  // absurd
}

// Cut at every byte, bits turned over, parts doubled and versions swapped: none is taken, not by
// half, and none crashes.
void damage_is_never_taken() {
  const std::string good = snapshot::encode(sample());
  const auto taken = [](const std::string& text) {
    return LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(text.data()),
                                  text.size()) == 1;
  };
  assert(taken(good));
  for (std::size_t i = 0; i < good.size(); ++i) {
    assert(!taken(good.substr(0, i)));
  }
  std::mt19937 random(11);
  for (int i = 0; i < 100'000; ++i) {
    std::string bad = good;
    for (unsigned n = 1 + random() % 3; n > 0; --n) {
      const std::size_t at = random() % bad.size();
      if (random() % 3 == 0) {
        bad.insert(at, bad.substr(random() % bad.size(), random() % 20));
      } else {
        bad[at] = static_cast<char>(bad[at] ^ (1 << random() % 8));
      }
    }
    assert(bad == good || !taken(bad));
  }
  std::string other = good;
  other.replace(other.find("\"format\":2"), 10, "\"format\":1");  // an older one
  assert(!taken(other));
}

// The second of two that claim one name serves without; what cannot be used is set aside once;
// lives are counted.
void keeps_one_process_apart() {
  const Folder folder;
  {
    SnapshotStore keeper(folder.path, "t", "f");
    assert(!keeper.load(1000ms));
    bool refused = false;
    try {
      const SnapshotStore second(folder.path, "t", "f");
    } catch (const std::runtime_error&) {
      refused = true;
    }
    assert(refused);
    keeper.save_async({{"s-1", 0ms, 900ms, {10, 0.5, 0, 0}}}, {"s-7"}, 1000ms);
  }  // its end writes what waits
  SnapshotStore keeper(folder.path, "t", "f");
  const auto found = keeper.load(2000ms);
  assert(found && found->incarnation == 1 && found->records.size() == 1);
  const auto old = keeper.load(10h);
  assert(old && old->records.empty() &&
         old->excluded_backends.contains("s-7"));  // a ban does not age
  assert(!std::filesystem::exists(folder.file(kFile)) &&
         std::filesystem::exists(folder.file(kFile) + ".aside"));
}

// A disk that hangs, then is full: keep() comes back at once, only the newest is written, and the
// end does not wait.
void a_bad_disk_costs_snapshots_only() {
  const Folder folder;
  const auto held = std::make_shared<std::counting_semaphore<8>>(0);
  const auto calls = std::make_shared<std::atomic<int>>(0);
  {
    SnapshotStore keeper(folder.path, "t", "f",
                         [held, calls](const std::string&, const std::string&) {
                           ++*calls;
                           held->acquire();
                           errno = ENOSPC;
                           return false;
                         });
    keeper.save_async({}, {}, 1ms);
    const auto end = Clock::now() + kPatience;
    while (*calls == 0) {
      assert(Clock::now() < end), ::usleep(1000);
    }
    for (int i = 0; i < 1000; ++i) {
      keeper.save_async({}, {}, 2ms);  // would hang here if one waited for the disk
    }
    assert(*calls == 1);
    held->release();
    while (*calls < 2) {
      assert(Clock::now() < end), ::usleep(1000);
    }
  }
  assert(*calls == 2);
  held->release(4);
  assert(!std::filesystem::exists(folder.file(kFile)));
}

// Processes of one name, one after another, each killed: before backends of which the first says
// that it is full and slow.
struct Lives {
  explicit Lives(bool kept) {
    std::ofstream(folder.path + "/op.toml")
        << "[snapshot]\nfolder = \"" << (kept ? folder.path : "") << "\"\nevery = \"100ms\"\n";
    ::setenv("BEECHHILL_OPERATOR", (folder.path + "/op.toml").c_str(), 1);
  }
  ~Lives() { ::unsetenv("BEECHHILL_OPERATOR"); }
  // Where the requests of a life go, one after another. With `reports` the backends tell their
  // load, and it ends once a snapshot of that stands; without, the process has only what it began
  // with.
  std::string life(bool reports) {
    Proxy proxy(hosts());
    Wire client = proxy.client();
    std::string went;
    for (int i = 0; i < 16; ++i) {
      client.send(Proxy::get("a" + std::to_string(i)));
      const auto end = Clock::now() + kPatience;
      const Door* door = nullptr;
      while (!door) {
        assert(Clock::now() < end);
        if (slow.pending(1ms)) {
          door = &slow;
        }
        if (!door && quick.pending(1ms)) {
          door = &quick;
        }
      }
      went += door == &slow ? 's' : 'q';
      Wire wire = door->accept();
      wire.request();
      const std::string load = door == &slow ? "0.95, served_ps=2" : "0.50, served_ps=20";
      wire.reply(
          200,
          "Connection: close\r\n" +
              (reports ? "Endpoint-Load-Metrics: TEXT cpu_share=" + load + ", pending=0\r\n" : ""),
          "");
      expect_status(client, 200);
    }
    const auto end = Clock::now() + kPatience;
    while (reports && left().records.size() != 2) {
      assert(Clock::now() < end), ::usleep(5000);
    }
    return went;
  }
  std::string hosts() const {
    return "[" + host_json("s-1", slow.address()) + "," + host_json("s-2", quick.address()) + "]";
  }
  Snapshot left() const {  // what stands there, as far as it is whole
    return snapshot::decode(contents(folder.file(kFile))).value_or(Snapshot{});
  }
  const Folder folder;
  Door slow, quick;
};

// What was learned spares the slow one from the first request on, over several lives; a torn state
// is set aside, and it and a lost one are the same as none.
void a_killed_process_remembers() {
  Lives lives(true);
  const std::string file = lives.folder.file(kFile);
  std::ptrdiff_t lost = 0, torn = 0, kept = 0;
  const auto to_slow = [&lives] {
    const std::string went = lives.life(false);
    return std::count(went.begin(), went.end(), 's');
  };
  for (int i = 0; i < 3; ++i) {
    std::filesystem::remove(file);
    lost += to_slow();
    lives.life(true);
    kept += to_slow();
    std::filesystem::resize_file(file, 40);
    torn += to_slow();
    assert(std::filesystem::exists(file + ".aside"));
  }
  std::fprintf(stderr, "to the slow one: %td with nothing, %td torn, %td kept\n", lost, torn, kept);
  assert(3 * kept < 2 * lost && 3 * kept < 2 * torn);
}

// What an operator left out stays so through a kill, even where all else that was kept is too old;
// and comes back by one call.
void a_ban_outlasts_a_kill() {
  Lives lives(true);
  const auto end = Clock::now() + kPatience;
  {
    const Proxy proxy(lives.hosts());
    assert(proxy.call("PUT", "/api/exclude?target=s-1").status == 200);
    while (!lives.left().excluded_backends.contains("s-1")) {
      assert(Clock::now() < end), ::usleep(5000);
    }
  }
  Snapshot old = lives.left();
  old.written_at -= 1h;
  std::ofstream(lives.folder.file(kFile)) << snapshot::encode(old);
  const Proxy proxy(lives.hosts());
  Wire client = proxy.client();
  const auto ask = [&](const Door& door, const std::string& id) {
    client.send(Proxy::get(id));
    Wire wire = door.accept();
    wire.request();
    wire.reply(200, "Connection: close\r\n", "");
    expect_status(client, 200);
  };
  for (int i = 0; i < 8; ++i) {
    ask(lives.quick, "b" + std::to_string(i));
  }
  assert(!lives.slow.pending(0ms));
  assert(proxy.call("PUT", "/api/include?target=s-1").status == 200 &&
         proxy.call("PUT", "/api/exclude?target=s-2").status == 200);
  ask(lives.slow, "c");
}

void is_off_unless_asked_for() {
  Lives lives(false);
  lives.life(false);
  assert(!std::filesystem::exists(lives.folder.file(kFile)));
}

}  // namespace
}  // namespace beechhill::test

int main(int argc, char** argv) {
  using namespace beechhill::test;
  return run_named(argc, argv,
                   {
                       {"is_believed_only_where_it_may", is_believed_only_where_it_may},
                       {"damage_is_never_taken", damage_is_never_taken},
                       {"keeps_one_process_apart", keeps_one_process_apart},
                       {"a_bad_disk_costs_snapshots_only", a_bad_disk_costs_snapshots_only},
                       {"a_killed_process_remembers", a_killed_process_remembers},
                       {"a_ban_outlasts_a_kill", a_ban_outlasts_a_kill},
                       {"is_off_unless_asked_for", is_off_unless_asked_for},
                   });
}
