// Several processes of the program that talk with each other and settle which backend is taken out,
// with faults between them. The verdict is that of the backends' books (nothing reaches one that
// staff have out, however it came there), of the clients', and of staff's own count.
#undef NDEBUG
#include <cassert>
#include <cstdio>

#include "cluster/disk_raft_storage.h"
#include "emulator/scenario_reader.h"
#include "maintenance/operator_commands.h"
#include "support/fault_plan_text.h"
#include "support/proxy_fixture.h"
#include "testbed/load_test.h"

namespace beechhill::test {
namespace {

// Five processes, three of them voters, before eight backends; a round of work over all of these
// takes some ten seconds.
constexpr const char* kDay = R"(
length = "18s"
warm_up = "1s"
[load]
rate = 100.0
[clients]
retry = "advised"
connections = 30
dealt_back = true
[proxies]
count = 5
notice = "300ms"
[discovery]
lag = "100ms"
spread = "100ms"
[group]
voters = 3
lease = "1500ms"
[rules]
drain_grace = "400ms"
[[class]]
name = "read"
part = 0.7
repeat = "repeatable"
work = "10ms"
aim = "600ms"
deadline = "1500ms"
[[class]]
name = "once"
part = 0.3
repeat = "once"
work = "10ms"
aim = "600ms"
deadline = "1500ms"
[[tier]]
name = "front"
nodes = 8
cell_size = 4
report = { every = "300ms", delay = "100ms" }
cold = { from = 0.5, span = "400ms" }
)";

emulator::Scenario day(const std::string& faults, const std::string& group = "") {
  std::string text = kDay + faults;
  text.insert(text.find("voters = 3"), group);
  return emulator::read_scenario(config::parse_toml(text, "day"), "day");
}

// `all`: every request of staff has ended. Else each that is open says why.
testbed::SocketRun play(const emulator::Scenario& s, bool all = true) {
  testbed::SocketRun run = testbed::play_on_sockets(s, PROXY_PROGRAM);
  std::fprintf(stderr,
               "asked %llu goodput %.3f excused %llu out %u at once %u open %u sent to out %llu "
               "ended %.1f s\n%s%s\n",
               static_cast<unsigned long long>(run.asked), run.result["goodput"].asDouble(),
               static_cast<unsigned long long>(run.excused), run.taken_out, run.most_at_once,
               run.open_requests, static_cast<unsigned long long>(run.sent_to_out),
               std::chrono::duration<double>(run.works_ended).count(), run.violation_text.c_str(),
               run.works_text.c_str());
  assert(run.sent_to_out == 0 && run.most_at_once <= s.group.most_out);
  assert(run.violations == 0 && run.wrong_answers == 0 &&
         run.result["all"]["unanswered"].asUInt64() == 0);
  assert(run.asked > 800 && run.taken_out > 0);
  if (all) {
    assert(run.open_requests == 0 && run.taken_out >= 8);
  }
  return run;
}

void all_backends_go_once() {
  assert(play(day("")).result["goodput"].asDouble() > 0.95);
}

// Voters die, one after another, whichever leads; then all at once.
void voters_die() {
  play(day(fault("proxy_crash", "3s", "1s", "proxies = 1\nfirst = 0") +
               fault("proxy_crash", "5s", "1s", "proxies = 1\nfirst = 1") +
               fault("proxy_crash", "7s", "1s", "proxies = 1\nfirst = 2"),
           "work = \"300ms\"\n"),
       false);
}
void all_voters_restart_at_once() {
  play(day(fault("proxy_crash", "4s", "300ms", "proxies = 3\nfirst = 0")), false);
}

// A process is stopped for long in the midst of it, and wakes up believing in old grants; first a
// follower, then one that votes.
void one_wakes_from_a_long_stop() {
  play(day(fault("proxy_stop", "3s", "5s", "proxies = 1\nfirst = 4") +
           fault("proxy_stop", "9s", "3s", "proxies = 1\nfirst = 0")),
       false);
}

// What they tell each other is lost, doubled, late and out of order all the time.
void talk_is_spoilt() {
  play(day(fault("talk_spoil", "1s", "15s", "factor = 0.15\ndelay = \"40ms\"")), false);
}

// One is cut off both ways with its clients' traffic, another hears nothing, a third is not heard.
void splits_with_traffic_on_both_sides() {
  play(day(fault("talk_cut", "2500ms", "3s", "proxies = 1\nfirst = 4") +
           fault("talk_cut", "6s", "2s", "proxies = 1\nfirst = 3\nway = \"back\"") +
           fault("talk_cut", "9s", "2s", "proxies = 1\nfirst = 0\nway = \"there\"")),
       false);
}

// A process that isolation silences is not waited for; it serves again when it is heard.
void isolation_ends_serving_where_staff_say_so() {
  play(
      day(fault("talk_cut", "2500ms", "8s", "proxies = 1\nfirst = 4"), "isolated_after = \"1s\"\n"),
      false);
}

// A voter's disk is wiped while it is down, another's put back; a third's fills up.
void voters_lose_what_they_kept() {
  play(day(fault("proxy_crash", "3s", "800ms", "proxies = 1\nfirst = 1") +
           fault("state_lost", "3400ms", "100ms", "proxies = 1\nfirst = 1")),
       false);
}
void a_voters_disk_is_put_back() {
  play(day(fault("state_old", "2s", "3400ms", "proxies = 1\nfirst = 2") +
           fault("proxy_crash", "5s", "800ms", "proxies = 1\nfirst = 2")),
       false);
}

// A drain, a backend's crash and a proxy's planned end in the middle of the round.
void a_round_beside_ordinary_trouble() {
  play(day(fault("drain", "3s", "2s", "nodes = 1") + fault("crash", "6s", "1s", "nodes = 1") +
           fault("proxy_end", "8s", "1500ms", "proxies = 1\nfirst = 3")),
       false);
}

// ---- A voter's disk

const std::string kFile = "beechhill-v.agreement";

using maintenance::DiskRaftStorage;
using maintenance::LogRecord;

void wait_durable(DiskRaftStorage& s) {
  const auto end = Clock::now() + kPatience;
  while (s.durable_records() < s.appended_records()) {
    assert(Clock::now() < end && !s.failed()), ::usleep(1000);
  }
}

LogRecord entries(std::uint64_t first, int count) {
  LogRecord r{LogRecord::RecordType::kAppend, first, {}, {}};
  for (int i = 0; i < count; ++i) {
    r.entries.push_back({1, 1, "entry " + std::to_string(i)});
  }
  return r;
}

void storage_outlasts_its_process() {
  const Folder folder;
  assert(!DiskRaftStorage::open(folder.path, "v"));
  {
    const auto s = DiskRaftStorage::found(folder.path, {"v", 3}, {entries(1, 2)});
    bool refused = false;
    try {
      DiskRaftStorage::open(folder.path, "v");
    } catch (const std::runtime_error&) {
      refused = true;
    }
    assert(refused);  // one process at a time
    s->append({LogRecord::RecordType::kTerm, 7, {}, {}});
    s->append({LogRecord::RecordType::kVote, 42, {}, {}});
    s->append(entries(0, 3));
    s->append({LogRecord::RecordType::kTruncate, 5, {}, {}});
    wait_durable(*s);
  }
  std::uint64_t written = 0;
  {
    const auto s = DiskRaftStorage::open(folder.path, "v");
    assert(s && s->voter().generation == 3 && s->state().term == 7 && s->state().vote == 42 &&
           s->state().entries.size() == 4);
    written = s->appended_records();
    assert(written == 6);  // its term among them
    maintenance::RaftSnapshot kept{4, 1, 1, {{"v#3", 1}}, "content"};
    s->append(
        {LogRecord::RecordType::kSnapshot, 1, {}, kept});  // the file is made anew, and counts on
    s->append(entries(0, 1));
    wait_durable(*s);
  }
  const auto s = DiskRaftStorage::open(folder.path, "v");
  assert(s && s->appended_records() == written + 2 && s->state().snapshot &&
         s->state().snapshot->data == "content" && s->state().first_index == 4 &&
         s->state().entries.size() == 2);
}

// A torn end is cut, as nobody was told of it; damage before sound records sets the whole aside.
void damage_is_told_from_a_torn_end() {
  const Folder folder;
  {
    const auto s = DiskRaftStorage::found(folder.path, {"v", 1}, {entries(1, 1)});
    s->append(entries(0, 1)), s->append(entries(0, 1));
    wait_durable(*s);
  }
  const std::string good = contents(folder.file(kFile));
  const auto with = [&](const std::string& text) {
    std::filesystem::remove(folder.file(kFile) + ".aside");
    std::ofstream(folder.file(kFile), std::ios::binary | std::ios::trunc) << text;
    const auto s = DiskRaftStorage::open(folder.path, "v");
    return s ? static_cast<int>(s->state().entries.size()) : -1;
  };
  assert(with(good) == 3);
  assert(with(good.substr(0, good.size() - 5)) == 2);
  std::string damaged = good;
  damaged[good.size() / 2] ^= 8;  // in the second of four records
  assert(with(damaged) == -1 && std::filesystem::exists(folder.file(kFile) + ".aside"));
  for (std::size_t i = 0; i < good.size(); i += 3) {
    damaged = good;
    damaged[i] ^= 1;
    const int left = with(damaged);
    assert(left == -1 || left == 2);  // never half taken, never with what was damaged
  }
}

void a_disk_that_fails_is_given_up() {
  const Folder folder;
  const auto s = DiskRaftStorage::found(folder.path, {"v", 1}, {entries(1, 1)});
  std::filesystem::remove(folder.file(kFile));
  std::filesystem::create_directory(folder.file(kFile));  // cannot be opened to write
  s->append(entries(0, 1));
  const auto end = Clock::now() + kPatience;
  while (!s->failed()) {
    assert(Clock::now() < end), ::usleep(1000);
  }
  assert(s->durable_records() < s->appended_records());
}

void reads_staffs_words() {
  using maintenance::parse_operator_command;
  std::string fault;
  const auto c = parse_operator_command(
      "request",
      {{"id", "r"}, {"machines", "a,b"}, {"at_once", "2"}, {"priority", "-3"}, {"by", "ana"}},
      fault);
  assert(c && c->request->select.ids.size() == 2 && c->request->max_concurrent == 2 &&
         c->request->priority == -3);
  const auto refused = [](const std::string& verb,
                          const std::map<std::string, std::string>& query) {
    std::string why;
    assert(!parse_operator_command(verb, query, why) && !why.empty());
    return why;
  };
  assert(refused("request", {{"id", "r"}}) ==
         "machines: missing, and no zone, cell or kind either");
  assert(refused("request", {{"id", "r"}, {"zone", "a"}, {"colour", "red"}}) == "colour: unknown");
  assert(refused("request", {{"id", "r"}, {"zone", "a"}, {"at_once", "0"}}).starts_with("at_once"));
  assert(refused("request", {{"id", "r"}, {"machines", "a,,b"}}).starts_with("machines"));
  assert(refused("done", {{"id", "r"}}) == "machine: missing");
  assert(refused("dance", {}) == "unknown call");
  assert(parse_operator_command("forget", {{"proxy", "p"}}, fault)->proxy == "p");
}

}  // namespace
}  // namespace beechhill::test

int main(int argc, char** argv) {
  using namespace beechhill::test;
  return run_named(
      argc, argv,
      {
          {"all_backends_go_once", all_backends_go_once},
          {"voters_die", voters_die},
          {"all_voters_restart_at_once", all_voters_restart_at_once},
          {"one_wakes_from_a_long_stop", one_wakes_from_a_long_stop},
          {"talk_is_spoilt", talk_is_spoilt},
          {"splits_with_traffic_on_both_sides", splits_with_traffic_on_both_sides},
          {"isolation_ends_serving_where_staff_say_so", isolation_ends_serving_where_staff_say_so},
          {"voters_lose_what_they_kept", voters_lose_what_they_kept},
          {"a_voters_disk_is_put_back", a_voters_disk_is_put_back},
          {"a_round_beside_ordinary_trouble", a_round_beside_ordinary_trouble},
          {"storage_outlasts_its_process", storage_outlasts_its_process},
          {"damage_is_told_from_a_torn_end", damage_is_told_from_a_torn_end},
          {"a_disk_that_fails_is_given_up", a_disk_that_fails_is_given_up},
          {"reads_staffs_words", reads_staffs_words},
      });
}
