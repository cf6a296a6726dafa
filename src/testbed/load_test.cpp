#include "testbed/load_test.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>

#include "experiments/experiment.h"
#include "experiments/plot.h"
#include "testbed/load_generator.h"
#include "testbed/proxy_process.h"
#include "testbed/state_directory_faults.h"
#ifdef BEECHHILL_CLUSTER
#include "cluster/disk_raft_storage.h"
#include "maintenance/raft_node.h"
#include "testbed/datagram_fault_proxy.h"
#endif

namespace beechhill::testbed {

using namespace std::chrono_literals;
using runtime::Clock;
using runtime::Task;
using runtime::Wait;

namespace {

// Sixteen small nodes, of which two go silent for 6 s and come back cold: the day of `demo`.
constexpr const char* kDemo = R"(
name = "demo"
length = "20s"
warm_up = "2s"
[load]
utilisation = 0.5
[clients]
retries = 2
[[class]]
name = "read"
part = 0.7
repeat = "repeatable"
work = "20ms"
aim = "400ms"
deadline = "1500ms"
[[class]]
name = "write"
part = 0.3
repeat = "by_key"
group = "cell"
work = "15ms"
aim = "300ms"
deadline = "1s"
worth = 3
[[tenant]]
name = "north"
share = 0.6
[[tenant]]
name = "south"
share = 0.4
[[tier]]
name = "front"
nodes = 16
cores = 1
slots = 8
room = 16
speed = [0.7, 1.1]
cold = { from = 0.2, span = "5s" }
report = { every = "500ms", delay = "100ms", noise = 0.02 }
[[fault]]
kind = "silent"
at = "7s"
for = "6s"
nodes = 2
)";

class Run {
 public:
  Run(const emulator::Scenario& scenario, const std::string& program,
      const std::function<void(const std::string&)>& progress)
      : s_(scenario),
        books_(s_, s_.proxies, [this] { return clock_.now(); }),
        fleet_(scheduler_, clock_, s_, &books_),
        struck_(s_.proxies),
        progress_(progress) {
    found_group();
    for (std::uint32_t i = 0; i < s_.proxies; ++i) {
      const sockaddr_in address = ports_.emplace_back().address();
      Json::Value config =
          proxy_config(s_, proxy_name(i), net::to_string(address), fleet_, s_.seed * 1000 + i, i);
      if (s_.group.voters > 0) {
        config["admin_addr"] = net::to_string(doors_.emplace_back().address());
      }
      proxies_.push_back(std::make_unique<ProxyProcess>(folder_, program, std::move(config),
                                                        address, operator_file(i)));
    }
  }

  SocketRun play() {
    scheduler_.spawn(then_stop(scheduler_, all()));
    scheduler_.run();
    SocketRun& out = out_;
    out.metrics = load_->metrics();
    for (auto& p : proxies_) {
      p->go_on(), p->ask_to_end();
    }
    for (auto& p : proxies_) {
      p->end(), out.proxy_cpu_s += p->cpu_s();
    }
    out.result = load_->metrics().to_json(true);
    out.wrong_answers = load_->wrong_answers();
    out.latest_start = load_->latest_start();
    out.asked = load_->asked();
    out.last_back = last_back_;
    judge(out);
    for (const char* event :
         {"snapshot_found", "snapshot_set_aside", "snapshot_lost", "recalled"}) {
      for (const auto& p : proxies_) {
        out.said[event] += p->said(event);
      }
    }
    for (const auto& p : proxies_) {
      out.recalled += p->summed("recalled", "backends"),
          out.voided += p->summed("recalled", "void");
    }
    std::uint64_t taken = 0, connections = 0;
    for (const auto& n : fleet_.nodes()) {
      taken += n->taken(), connections += n->connections();
    }
    out.result["attempts"] = static_cast<Json::UInt64>(taken);
    out.result["node_connections"] = static_cast<Json::UInt64>(connections);
    out.result["attempts_per_request"] =
        out.asked > 0 ? static_cast<double>(taken) / static_cast<double>(out.asked) : 0;
    out.result["proxy_cpu_us_per_request"] =
        out.asked > 0 ? 1e6 * out.proxy_cpu_s / static_cast<double>(out.asked) : 0;
    out.sent_to_out = books_.sent_to_out();
    return std::move(out_);
  }

 private:
  // Of the operator file's parts, snapshots are on where the scenario has them.
  std::string operator_file(std::uint32_t i) {
    if (!s_.snapshot_every && s_.group.voters == 0) {
      return {};
    }
    const std::string name = proxy_name(i);
    if (states_.size() <= i) {
      states_.push_back(std::make_unique<StateDirectoryFaults>(
          folder_.file(name + ".state"), fmt::format("beechhill-{}.snapshot.new", name),
          s_.seed + i));
    }
    std::string text;
    if (s_.snapshot_every) {
      text = fmt::format("[snapshot]\nfolder = \"{}\"\nevery = \"{}ms\"\n", states_[i]->path(),
                         *s_.snapshot_every / 1ms);
    }
    return text + group_file(i);
  }

  static std::string proxy_name(std::uint32_t i) { return fmt::format("proxy-{}", i); }

#ifdef BEECHHILL_CLUSTER
  std::string group_file(std::uint32_t i) const {
    if (s_.group.voters == 0) {
      return {};
    }
    const emulator::ClusterSpec& g = s_.group;
    std::string voters;
    for (std::uint32_t v = 0; v < g.voters; ++v) {
      voters += fmt::format("{}\"{}\"", v > 0 ? ", " : "", proxy_name(v));
    }
    return fmt::format(
        "[membership]\nlisten = \"{}\"\nadvertise = \"{}\"\nseeds = [\"{}\", \"{}\"]\nkey_file = "
        "\"{}\"\ninterval = \"200ms\"\n"
        "[maintenance]\nvoters = [{}]\nfolder = \"{}\"\nlease = \"{}ms\"\nisolated_after = "
        "\"{}ms\"\nmost_out = {}\n"
        "most_out_zone = {}\nmost_out_cell = {}\nreserve = {}\nput_off = \"2s\"\ncalm = "
        "\"2s\"\napproval = false\n",
        board_->listens(i), board_->reached(i), board_->reached(0), board_->reached(1 % s_.proxies),
        folder_.file("key"), voters, states_[i]->path(), g.lease / 1ms, g.isolated_after / 1ms,
        g.most_out, g.most_out, g.most_out, g.reserve);
  }

  // The key, and what each voter's storage begins with: what the installation does once.
  void found_group() {
    if (s_.group.voters == 0) {
      return;
    }
    board_ = std::make_unique<DatagramFaultProxy>(scheduler_, s_.proxies, s_.seed);
    std::ofstream(folder_.file("key")) << std::string(64, 'c') << "\n";
    std::vector<std::string> voters;
    for (std::uint32_t v = 0; v < s_.group.voters; ++v) {
      voters.push_back(proxy_name(v));
    }
    for (std::uint32_t i = 0; i < s_.proxies; ++i) {
      const std::string name = proxy_name(i);
      states_.push_back(std::make_unique<StateDirectoryFaults>(
          folder_.file(name + ".state"), fmt::format("beechhill-{}.snapshot.new", name),
          s_.seed + i));
      if (i < s_.group.voters) {
        maintenance::DiskRaftStorage::found(states_[i]->path(), {name, 1},
                                            maintenance::initial_records(voters));
      }
    }
  }

  void strike_talk(const emulator::FaultSpec& f, const std::vector<std::uint32_t>& struck,
                   bool begins) {
    if (f.kind == emulator::FaultKind::kTalkSpoil) {
      return board_->spoil(begins ? f.factor : 0, begins ? f.factor / 3 : 0,
                           begins ? f.delay : Duration{0});
    }
    std::vector<bool> inside(s_.proxies);
    for (const std::uint32_t i : struck) {
      inside[i] = true;
    }
    for (std::uint32_t a = 0; a < s_.proxies; ++a) {
      for (std::uint32_t b = 0; b < s_.proxies; ++b) {
        if (inside[a] == inside[b]) {
          continue;
        }
        if (f.way == emulator::Direction::kBoth ||
            inside[a] == (f.way == emulator::Direction::kThere)) {
          board_->cut(a, b, begins);
        }
      }
    }
  }

  // Two of staff, who do not know of each other, each with half of all backends; then what is out
  // is worked on and started again.
  Task<> staff() {
    std::string halves[2];
    for (const auto& n : fleet_.nodes()) {
      halves[n->id() % 2] +=
          fmt::format("{}node-{}", halves[n->id() % 2].empty() ? "" : ",", n->id());
    }
    std::set<EndpointId> in_work;
    std::map<EndpointId, Clock::time_point> ends;
    std::map<EndpointId, std::uint64_t> fences;
    std::set<EndpointId> done;  // and it is not settled yet
    bool asked[2] = {false, false};
    for (std::uint32_t turn = 0;; ++turn) {
      for (int h = 0; h < 2; ++h) {
        if (asked[h]) {
          continue;
        }
        const std::string target =
            fmt::format("/api/maintenance/request?id=half-{}&at_once=2&by=staff-{}&machines={}", h,
                        h, halves[h]);
        const HttpAnswer answer = co_await call_http(
            scheduler_, doors_[(turn + 3 * h) % s_.proxies].address(), "PUT", target, 2s);
        asked[h] = answer.status == 200;
      }
      const HttpAnswer list = co_await call_http(scheduler_, doors_[turn % s_.proxies].address(),
                                                 "GET", "/api/maintenance", 2s);
      Json::Value root;
      if (list.status == 200 && read_json(list.body, root)) {
        out_.works_text = list.body;
        for (const Json::Value& c : root["courses"]) {
          const auto node = static_cast<EndpointId>(std::stoul(c["machine"].asString().substr(5)));
          if (c["step"].asString() == "out" && done.contains(node)) {
            const std::string target =
                fmt::format("/api/maintenance/done?id={}&machine={}", c["request"].asString(),
                            c["machine"].asString());
            const HttpAnswer answer = co_await call_http(
                scheduler_, doors_[turn % s_.proxies].address(), "PUT", target, 2s);
            if (answer.status == 200) {
              done.erase(node);
            }
          }
          if (c["step"].asString() != "out" || in_work.contains(node) ||
              fences[node] == c["fence"].asUInt64()) {
            continue;
          }
          fences[node] = c["fence"].asUInt64();
          in_work.insert(node);
          ends[node] = Clock::now() + s_.group.work;
          books_.out(node, true);
          out_.most_at_once =
              std::max(out_.most_at_once, static_cast<std::uint32_t>(in_work.size()));
        }
        out_.open_requests = 0;
        for (const Json::Value& q : root["requests"]) {
          out_.open_requests += q["stage"].asString() == "approved";
        }
        if (asked[0] && asked[1] && out_.open_requests == 0 && out_.works_ended == Time{0}) {
          out_.works_ended = clock_.now();
        }
      }
      for (auto it = in_work.begin(); it != in_work.end();) {
        if (Clock::now() < ends[*it]) {
          ++it;
          continue;
        }
        books_.out(*it, false);
        fleet_.restart(*it);
        ++out_.taken_out;
        done.insert(*it);
        it = in_work.erase(it);
      }
      Wait wait(scheduler_);
      wait.until(Clock::now() + 100ms);
      co_await wait;
    }
  }

  static bool read_json(const std::string& text, Json::Value& root) {
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    return reader->parse(text.data(), text.data() + text.size(), &root, nullptr);
  }
#else
  std::string group_file(std::uint32_t) const { return {}; }
  void found_group() {
    if (s_.group.voters > 0) {
      throw std::invalid_argument("group: this build has no membership (BEECHHILL_CLUSTER)");
    }
  }
  void strike_talk(const emulator::FaultSpec&, const std::vector<std::uint32_t>&, bool) {}
  Task<> staff() { co_return; }
#endif

  struct Struck {  // by the plan, just now
    std::uint32_t down = 0, stopped = 0;
    std::uint64_t life = 0;
  };

  void judge(SocketRun& out) const {
    const emulator::RuleChecker& rules = books_.rules();
    out.violations = rules.all();
    out.excused = books_.excused();
    for (const emulator::Violation& v : rules.violations()) {
      out.violation_text +=
          fmt::format("{:.3f} {}: {}\n{}", std::chrono::duration<double>(v.at).count(),
                      name_of(v.rule), v.what, v.trace);
    }
    const auto from = static_cast<std::size_t>(s_.warm_up / 1s);
    const auto most = [from](const std::vector<std::vector<std::uint32_t>>& of_nodes) {
      std::uint32_t most = 0;
      for (const auto& by_second : of_nodes) {
        for (std::size_t i = from; i < by_second.size(); ++i) {
          most = std::max(most, by_second[i]);
        }
      }
      return most;
    };
    out.most_connections = most(books_.connections());
    out.most_arrivals = most(books_.arrivals());
    out.most_lists = *std::max_element(books_.lists().begin(), books_.lists().end());
    for (const emulator::Rule r : emulator::kRules) {
      out.result["rules"][name_of(r)] = static_cast<Json::UInt64>(rules.count(r));
    }
    out.result["excused"] = static_cast<Json::UInt64>(out.excused);
    out.result["most_connections"] = out.most_connections;
    out.result["most_arrivals"] = out.most_arrivals;
    out.result["most_lists"] = out.most_lists;
  }

  Task<> all() {
    std::vector<sockaddr_in> addresses;
    for (auto& p : proxies_) {
      p->start(), addresses.push_back(p->address());
    }
    for (auto& p : proxies_) {
      co_await until_ready(scheduler_, *p);
    }
    clock_.zero = Clock::now();  // the day begins
    load_ = std::make_unique<Load>(scheduler_, clock_, s_, std::move(addresses), books_);
    scheduler_.spawn(
        fleet_.play_faults([this](const emulator::FaultSpec& fault,
                                  const std::vector<std::uint32_t>& struck, bool begins) {
          if (emulator::strikes_talk(fault.kind)) {
            return strike_talk(fault, struck, begins);
          }
          for (const std::uint32_t i : struck) {
            strike(fault, i, begins);
          }
        }));
    if (s_.group.voters > 0 && s_.group.work_on_all) {
      scheduler_.spawn(staff());
    }
    if (progress_) {
      scheduler_.spawn(tell());
    }
    co_await load_->run();
  }

  // The faults of one kind may overlap at a proxy: the last to end brings it back.
  void strike(const emulator::FaultSpec& f, std::uint32_t i, bool begins) {
    const emulator::FaultKind kind = f.kind;
    if (emulator::strikes_state(kind)) {
      return states_[i]->strike(kind, begins,
                                std::chrono::duration_cast<std::chrono::milliseconds>(f.delay));
    }
    Struck& struck = struck_[i];
    ProxyProcess& p = *proxies_[i];
    if (kind == emulator::FaultKind::kProxyStop) {
      struck.stopped += begins ? 1 : -1;
      begins ? p.stop() : struck.stopped == 0 ? p.go_on() : void();
      begins ? books_.disturbed(i) : books_.undisturbed(i, false);
      if (!begins) {
        last_back_ = clock_.now();
      }
      return;
    }
    struck.down += begins ? 1 : -1;
    if (begins) {
      books_.disturbed(i);
      if (struck.down > 1) {
        return;
      }
      ++struck.life;
      kind == emulator::FaultKind::kProxyEnd ? p.ask_to_end() : p.kill();
      scheduler_.spawn(front_learns(
          i, struck.life, kind == emulator::FaultKind::kProxyEnd ? Duration{0} : s_.proxy_notice));
    } else if (struck.down > 0) {
      books_.undisturbed(i, false);
    } else {
      p.kill();  // an end in good order that has lasted too long
      p.start();
      if (struck.stopped > 0) {
        p.stop();
      }
      ++struck.life;
      scheduler_.spawn(comes_back(i, struck.life));
    }
  }

  Task<> front_learns(std::uint32_t i, std::uint64_t life, Duration after) {
    Wait wait(scheduler_);
    wait.until(Clock::now() + after);
    co_await wait;
    if (struck_[i].life == life) {
      load_->offer(i, false);
    }
  }

  Task<> comes_back(std::uint32_t i, std::uint64_t life) {
    books_.undisturbed(i, true);
    books_.disturbed(i);
    while (struck_[i].life == life) {
      const bool up = co_await ready(scheduler_, proxies_[i]->address());
      if (up) {
        break;
      }
      Wait wait(scheduler_);
      wait.until(Clock::now() + 20ms);
      co_await wait;
    }
    books_.undisturbed(i, false);
    if (struck_[i].life != life) {
      co_return;
    }
    last_back_ = clock_.now();
    load_->offer(i, true);
    load_->deal_back(i);
  }

  Task<> tell() {
    for (;;) {
      std::string faults;
      for (const emulator::FaultSpec& f : s_.faults) {
        if (clock_.now() >= f.at && clock_.now() < f.at + f.length) {
          faults = "  (a fault is on)";
        }
      }
      progress_(fmt::format("{:3.0f} s of {:g}: asked {}, served {}, open {}{}",
                            std::chrono::duration<double>(clock_.now()).count(),
                            std::chrono::duration<double>(s_.length).count(), load_->asked(),
                            load_->served(), load_->open(), faults));
      Wait wait(scheduler_);
      wait.until(Clock::now() + 500ms);
      co_await wait;
    }
  }

  const emulator::Scenario& s_;
  experiments::TempFolder folder_;
  runtime::Scheduler scheduler_;
  TestbedClock clock_;
  ObservationLog books_;
  Fleet fleet_;
  std::vector<ReservedPort> ports_;  // of the proxies, also while they are away
  std::vector<ReservedPort> doors_;  // of operators
#ifdef BEECHHILL_CLUSTER
  std::unique_ptr<DatagramFaultProxy> board_;
#endif
  SocketRun out_;
  std::vector<std::unique_ptr<StateDirectoryFaults>> states_;  // by proxy; none where none is kept
  std::vector<std::unique_ptr<ProxyProcess>> proxies_;
  std::vector<Struck> struck_;
  std::unique_ptr<Load> load_;
  Time last_back_{0};
  std::function<void(const std::string&)> progress_;
};

// What one request costs the proxy's core, by the number of clients that are busy at once.
class CostRun {
 public:
  CostRun(const emulator::Scenario& scenario, const std::string& program)
      : s_(scenario), fleet_(scheduler_, clock_, s_) {
    const sockaddr_in address = port_.address();
    Json::Value config =
        proxy_config(s_, "proxy-0", net::to_string(address), fleet_, s_.seed * 1000);
    config["limits"]["sockets"] = 16'384;
    proxy_ = std::make_unique<ProxyProcess>(folder_, program, std::move(config), address);
  }
  void measure(const std::vector<std::size_t>& clients, double seconds) {
    scheduler_.spawn(then_stop(scheduler_, all(clients, seconds)));
    scheduler_.run();
    proxy_->end();
  }

 private:
  Task<> all(std::vector<std::size_t> clients, double seconds) {
    proxy_->start();
    co_await until_ready(scheduler_, *proxy_);
    const auto span =
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    for (const std::size_t n : clients) {
      ClosedLoad load(scheduler_, s_, proxy_->address(), n);
      const double before = proxy_->cpu_now_s();
      const auto begun = Clock::now();
      co_await load.run(begun + span);
      const double took = std::chrono::duration<double>(Clock::now() - begun).count();
      const double cpu = proxy_->cpu_now_s() - before;
      const auto done = static_cast<double>(std::max<std::uint64_t>(1, load.served()));
      fmt::print(
          "{:>7} nodes {:>7} clients {:>9.0f} served/s {:>8.1f} us CPU/request {:>7} not served "
          "{:>6} KiB RSS\n",
          s_.tiers[0].nodes, n, done / took, 1e6 * cpu / done, load.other(), proxy_->rss_kib());
      std::fflush(stdout);
    }
  }

  const emulator::Scenario& s_;
  experiments::TempFolder folder_;
  runtime::Scheduler scheduler_;
  TestbedClock clock_;
  Fleet fleet_;
  const ReservedPort port_;
  std::unique_ptr<ProxyProcess> proxy_;
};

Json::Value as_row(const SocketRun& run, const emulator::Scenario& s, const char* policy) {
  Json::Value row = experiments::row_of(s, policy, run.result);
  row["result"]["wrong_answers"] = static_cast<Json::UInt64>(run.wrong_answers);
  return row;
}

void print(const SocketRun& run) {
  const Json::Value& r = run.result;
  fmt::print("{:<16} {:>8} {:>9} {:>7} {:>8} {:>7} {:>8} {:>8}\n", "", "asked", "in time", "late",
             "refused", "failed", "p50 ms", "p99 ms");
  const auto line = [](const std::string& name, const Json::Value& c, const Json::Value* times) {
    fmt::print("{:<16} {:>8} {:>9.4f} {:>7} {:>8} {:>7}", name, c["asked"].asUInt64(),
               c["goodput"].asDouble(), c["late"].asUInt64(), c["refused"].asUInt64(),
               c["failed"].asUInt64());
    if (times) {
      fmt::print(" {:>8.1f} {:>8.1f}", 1e3 * (*times)["p50_s"].asDouble(),
                 1e3 * (*times)["p99_s"].asDouble());
    }
    fmt::print("\n");
  };
  line("all", r["all"], &r);
  for (const std::string& name : r["classes"].getMemberNames()) {
    line("class " + name, r["classes"][name], &r["classes"][name]);
  }
  for (const std::string& name : r["tenants"].getMemberNames()) {
    line("tenant " + name, r["tenants"][name], nullptr);
  }
  fmt::print(
      "attempts/request {:.3f}  connections to nodes {}  proxy CPU {:.0f} us/request  load at most "
      "{:.1f} ms late\n",
      r["attempts_per_request"].asDouble(), r["node_connections"].asUInt64(),
      r["proxy_cpu_us_per_request"].asDouble(),
      std::chrono::duration<double, std::milli>(run.latest_start).count());
}

class ShownProgress {
 public:
  void operator()(const std::string& text) {
    if (!::isatty(STDERR_FILENO)) {
      return;
    }
    std::fprintf(stderr, "\r\033[K%s", text.c_str());
    std::fflush(stderr);
    shown_ = true;
  }
  ~ShownProgress() {
    if (shown_) {
      std::fputs("\r\033[K", stderr);
    }
  }

 private:
  bool shown_ = false;
};

emulator::Scenario scenario_from(const std::string& file) {
  if (file.empty()) {
    return emulator::read_scenario(config::parse_toml(kDemo, "demo"), "demo");
  }
  return emulator::read_scenario(emulator::load_scenario(file), file);
}

int sockets(const std::string& file, const std::string& program, const std::string& json,
            const std::string& html) {
  const emulator::Scenario s = scenario_from(file);
  fmt::print("{}: {} stand-in nodes, {} real prox{}, {:.0f} requests/s for {:g} s\n", s.name,
             s.tiers[0].nodes, s.proxies, s.proxies == 1 ? "y" : "ies", emulator::rate_per_s(s),
             std::chrono::duration<double>(s.length).count());
  std::fflush(stdout);
  SocketRun run;
  {
    ShownProgress progress;
    run = play_on_sockets(s, program, [&progress](const std::string& text) { progress(text); });
  }
  print(run);
  const Json::Value row = as_row(run, s, "real proxy");
  if (!json.empty()) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    std::ofstream out(json);
    if (!(out << Json::writeString(builder, row) << "\n").flush()) {
      throw std::runtime_error(json + ": cannot be written");
    }
  }
  if (!html.empty()) {
    std::ofstream out(html);
    if (!(out << experiments::html_report(s.name + ": the real proxy before stand-in nodes", {row},
                                          {}))
             .flush()) {
      throw std::runtime_error(html + ": cannot be written");
    }
    fmt::print("report: {}\n", html);
  }
  if (run.wrong_answers > 0) {
    std::fprintf(stderr, "%llu answers were not the ones to their requests\n",
                 static_cast<unsigned long long>(run.wrong_answers));
    return 3;
  }
  return 0;
}

void cost(std::uint32_t nodes, const std::vector<std::size_t>& clients, double seconds,
          const std::string& program) {
  const std::string text =
      "length = \"10s\"\n[load]\nrate = 1.0\n[[class]]\nname = \"read\"\nwork = \"1us\"\nspread = "
      "\"fixed\"\naim = \"5s\"\n"
      "deadline = \"10s\"\n[[tier]]\nname = \"front\"\ncores = 4\nroom = 100000\nconnection = { "
      "work = \"0us\" }\nnodes = " +
      std::to_string(nodes) + "\n";
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  ::signal(SIGPIPE, SIG_IGN);
  const emulator::Scenario s = emulator::read_scenario(config::parse_toml(text, "cost"), "cost");
  CostRun run(s, program);
  run.measure(clients, seconds);
}

Task<> until_told(runtime::Scheduler& scheduler, net::Fd signals, Clock::time_point at) {
  runtime::IoSource io(scheduler, signals.get());
  Wait wait(scheduler);
  wait.readable(io).until(at);
  co_await wait;
  scheduler.stop();
}

int nodes(const std::string& file, const std::string& config_file, const std::string& listen,
          double seconds) {
  const emulator::Scenario s = scenario_from(file);
  sigset_t mask;
  sigemptyset(&mask);
  for (const int number : {SIGTERM, SIGINT}) {
    sigaddset(&mask, number);
  }
  sigprocmask(SIG_BLOCK, &mask, nullptr);
  net::Fd signals(::signalfd(-1, &mask, SFD_NONBLOCK | SFD_CLOEXEC));
  runtime::Scheduler scheduler;
  TestbedClock clock;
  Fleet fleet(scheduler, clock, s);
  const Json::Value config = proxy_config(s, "proxy-0", listen, fleet, s.seed * 1000);
  if (!config_file.empty()) {
    std::ofstream out(config_file);
    if (!(out << config << "\n").flush()) {
      throw std::runtime_error(config_file + ": cannot be written");
    }
  }
  fmt::print("discovery {}\n", fleet.agent(0).address());
  for (const auto& n : fleet.nodes()) {
    fmt::print("node-{} {}\n", n->id(), n->address());
  }
  std::fflush(stdout);
  scheduler.spawn(fleet.play_faults({}));
  const auto span =
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
  scheduler.spawn(until_told(scheduler, std::move(signals), Clock::now() + span));
  scheduler.run();
  return 0;
}

}  // namespace

std::string program_beside_us() {
  std::error_code error;
  return (std::filesystem::read_symlink("/proc/self/exe", error).parent_path() / "beechhill")
      .string();
}

SocketRun play_on_sockets(const emulator::Scenario& scenario, const std::string& program,
                          const std::function<void(const std::string&)>& progress) {
  if (::access(program.c_str(), X_OK) != 0) {
    throw std::runtime_error(program + ": no program that can be started");
  }
  ::signal(SIGPIPE, SIG_IGN);
  Run run(scenario, program, progress);
  return run.play();
}

void add_socket_commands(CLI::App& app, int& code) {
  struct Options {
    std::string file, program = program_beside_us(), json, html, config, listen = "127.0.0.1:18080";
    double seconds = 86'400, seconds_each = 5;
    std::uint32_t nodes = 15;
    std::vector<std::size_t> clients{64, 400, 2000};
  };
  const auto o = std::make_shared<Options>();
  CLI::App* c = app.add_subcommand(
      "fake-backends", "Play fake backends and their discovery on loopback until told to end");
  c->add_option("scenario", o->file,
                "Scenario file of one tier (TOML); a small day of its own if absent");
  c->add_option("--config", o->config,
                "Write a proxy's configuration (GW_CONFIG) for these nodes here");
  c->add_option("--listen", o->listen, "The proxy's address in it")->capture_default_str();
  c->add_option("--for", o->seconds, "Seconds, at the most")->check(CLI::Range(0.1, 1e6));
  c->callback([o, &code] { code = nodes(o->file, o->config, o->listen, o->seconds); });

  c = app.add_subcommand("load-test",
                         "Play a scenario of one tier with real proxies before stand-in nodes");
  c->add_option("scenario", o->file, "Scenario file (TOML)")->required();
  c->add_option("--proxy", o->program, "The proxy program")->capture_default_str();
  c->add_option("--json", o->json, "Write the result here, as one line that `plot` reads");
  c->add_option("--html", o->html, "Draw the result into this page");
  c->callback([o, &code] { code = sockets(o->file, o->program, o->json, o->html); });

  c = app.add_subcommand("cost",
                         "What a request costs the proxy, by the number of busy clients; stand-in "
                         "nodes that do no work");
  c->add_option("--nodes", o->nodes, "Stand-in nodes")
      ->check(CLI::Range(1u, 4000u))
      ->capture_default_str();
  c->add_option("--clients", o->clients, "Busy clients, one measurement each")
      ->check(CLI::Range(1u, 10'000u))
      ->capture_default_str();
  c->add_option("--seconds", o->seconds_each, "For each")
      ->check(CLI::Range(0.5, 600.0))
      ->capture_default_str();
  c->add_option("--proxy", o->program, "The proxy program")->capture_default_str();
  c->callback([o] { cost(o->nodes, o->clients, o->seconds_each, o->program); });

  c = app.add_subcommand("demo",
                         "A first run: nodes, discovery, the real proxy and a load; two nodes go "
                         "silent and come back");
  c->add_option("--proxy", o->program, "The proxy program")->capture_default_str();
  c->add_option("--html", o->html, "Where the report goes; demo.html if absent");
  c->callback(
      [o, &code] { code = sockets("", o->program, "", o->html.empty() ? "demo.html" : o->html); });
}

}  // namespace beechhill::testbed
