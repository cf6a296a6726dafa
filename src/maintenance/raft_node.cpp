#include "maintenance/raft_node.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <set>
#include <stdexcept>
#include <utility>

extern "C" {
#include <raft.h>
}

#include "base/byte_codec.h"

namespace beechhill::maintenance {

using base::ByteReader;
using base::ByteWriter;

namespace {

constexpr unsigned kSnapshotAfter = 512, kTrailing = 64;  // entries, of some hundred bytes each
constexpr std::size_t kLongestAddress = 80, kMostEntries = 64;
constexpr std::size_t kMostProposed = 256;
constexpr std::size_t kMostOutgoing = 1'024;  // beyond, the oldest are lost, as on any network

raft_id id_of(const std::string& address) {
  return raft_digest(address.c_str(), 0) >> 1 | 1;
}

// Of the library's own heap, which it frees.
raft_buffer buffer(std::string_view text) {
  raft_buffer b{raft_malloc(std::max<std::size_t>(1, text.size())), text.size()};
  if (!b.base) {
    throw std::bad_alloc();
  }
  std::memcpy(b.base, text.data(), text.size());
  return b;
}

std::string_view text(const raft_buffer& b) {
  return {static_cast<const char*>(b.base), b.len};
}

void set_servers(raft_configuration& c, const std::vector<RaftServer>& servers) {
  raft_configuration_init(&c);
  for (const RaftServer& s : servers) {
    raft_configuration_add(&c, id_of(s.address), s.address.c_str(), s.role);
  }
}

std::vector<RaftServer> servers_in(const raft_configuration& c) {
  std::vector<RaftServer> all;
  for (unsigned i = 0; i < c.n; ++i) {
    all.push_back({c.servers[i].address, c.servers[i].role});
  }
  return all;
}

raft_entry* entries_from(const std::vector<LogEntry>& entries) {
  if (entries.empty()) {
    return nullptr;
  }
  std::size_t size = 1;
  for (const LogEntry& e : entries) {
    size += e.data.size();
  }
  auto* const all = static_cast<raft_entry*>(raft_calloc(entries.size(), sizeof(raft_entry)));
  char* batch = static_cast<char*>(raft_malloc(size));
  char* at = batch;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const LogEntry& e = entries[i];
    std::memcpy(at, e.data.data(), e.data.size());
    all[i] = {e.term, e.type, {at, e.data.size()}, batch};
    at += e.data.size();
  }
  return all;
}

std::vector<LogEntry> entries_in(const raft_entry* entries, unsigned n) {
  std::vector<LogEntry> all;
  for (unsigned i = 0; i < n; ++i) {
    all.push_back({entries[i].term, entries[i].type, std::string(text(entries[i].buf))});
  }
  return all;
}

}  // namespace

std::optional<Voter> parse_voter(std::string_view address) {
  const auto at = address.rfind('#');
  if (at == std::string_view::npos || at == 0 || at + 1 == address.size()) {
    return std::nullopt;
  }
  Voter v{std::string(address.substr(0, at)), 0};
  for (const char c : address.substr(at + 1)) {
    if (c < '0' || c > '9' || v.generation > 100'000'000) {
      return std::nullopt;
    }
    v.generation = v.generation * 10 + static_cast<std::uint32_t>(c - '0');
  }
  return v;
}

std::vector<LogRecord> initial_records(const std::vector<std::string>& voters) {
  std::vector<RaftServer> servers;
  for (const std::string& name : voters) {
    servers.push_back({Voter{name, 1}.address(), RAFT_VOTER});
  }
  std::sort(servers.begin(), servers.end(), [](const RaftServer& a, const RaftServer& b) {
    return a.address < b.address;
  });  // the same everywhere
  raft_configuration c;
  set_servers(c, servers);
  raft_buffer encoded{};
  const int error = raft_configuration_encode(&c, &encoded);
  raft_configuration_close(&c);
  if (error != 0) {
    throw std::runtime_error(raft_strerror(error));
  }
  LogRecord first{
      LogRecord::RecordType::kAppend, 1, {{1, RAFT_CHANGE, std::string(text(encoded))}}, {}};
  raft_free(encoded.base);
  return {{LogRecord::RecordType::kTerm, 1, {}, {}}, std::move(first)};
}

struct RaftNode::Impl {
  Impl(RaftNode& o, const Voter& s, RaftStorage& st, MaintenanceStateMachine& l, std::uint64_t seed)
      : owner(o), self(s), storage(st), ledger(l), random(seed) {}

  RaftNode& owner;
  const Voter self;
  RaftStorage& storage;
  MaintenanceStateMachine& ledger;
  std::mt19937_64 random;
  Time now{0}, tick_every{100'000}, next_tick{0};
  raft_io io{};
  raft_fsm fsm{};
  raft r{};
  raft_io_tick_cb on_tick = nullptr;
  raft_io_recv_cb on_recv = nullptr;
  raft_io_close_cb on_closed = nullptr;

  struct Said {
    std::uint64_t after = 0;  // records that must be durable
    Outgoing message;
  };
  std::deque<Said> said;
  struct Written {
    std::uint64_t after = 0;
    std::function<void(int)> done;
  };
  std::deque<Written> written;
  std::deque<std::function<void()>>
      later;  // what the library wants to be called back, never from within a call of its own
  struct Proposal {
    struct raft_apply request{};
    Impl* impl = nullptr;
    Done done;
  };
  std::set<Proposal*> proposals;
  raft_change change{};
  std::optional<Voter> joining;  // one change of the voters at a time
  bool changing = false;
  std::map<std::string, std::pair<std::uint32_t, std::uint64_t>>
      seen;  // of other voters' storages: generation, records

  static Impl& of(raft_io* i) { return *static_cast<Impl*>(i->impl); }

  void start(const RaftTiming& timing) {
    io.version = 2, io.impl = this;
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* i, raft_io_close_cb cb) { of(i).on_closed = cb; };
    io.load = [](raft_io* i, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                 raft_index* first, raft_entry** entries, size_t* n) {
      const DurableState& image = of(i).storage.state();
      *term = image.term, *vote = image.vote, *first = image.first_index, *n = image.entries.size();
      *entries = entries_from(image.entries);
      *snapshot = image.snapshot ? made(*image.snapshot) : nullptr;
      return 0;
    };
    io.start = [](raft_io* i, unsigned ms, raft_io_tick_cb tick, raft_io_recv_cb recv) {
      of(i).tick_every = std::chrono::milliseconds(ms);
      of(i).on_tick = tick, of(i).on_recv = recv;
      return 0;
    };
    io.bootstrap = [](raft_io*, const raft_configuration*) { return int{RAFT_CANTBOOTSTRAP}; };
    io.recover = [](raft_io*, const raft_configuration*) { return int{RAFT_INVALID}; };
    io.set_term = [](raft_io* i, raft_term term) {
      return of(i).write({LogRecord::RecordType::kTerm, term, {}, {}}), 0;
    };
    io.set_vote = [](raft_io* i, raft_id id) {
      return of(i).write({LogRecord::RecordType::kVote, id, {}, {}}), 0;
    };
    io.send = [](raft_io* i, raft_io_send* request, const raft_message* m, raft_io_send_cb cb) {
      of(i).say(*m);
      of(i).later.push_back([request, cb] { cb(request, 0); });
      return 0;
    };
    io.append = [](raft_io* i, raft_io_append* request, const raft_entry entries[], unsigned n,
                   raft_io_append_cb cb) {
      const std::uint64_t after =
          of(i).write({LogRecord::RecordType::kAppend, 0, entries_in(entries, n), {}});
      of(i).written.push_back({after, [request, cb](int status) { cb(request, status); }});
      return 0;
    };
    io.truncate = [](raft_io* i, raft_index index) {
      return of(i).write({LogRecord::RecordType::kTruncate, index, {}, {}}), 0;
    };
    io.snapshot_put = [](raft_io* i, unsigned trailing, raft_io_snapshot_put* request,
                         const raft_snapshot* s, raft_io_snapshot_put_cb cb) {
      RaftSnapshot kept{
          s->index, s->term, s->configuration_index, servers_in(s->configuration), {}};
      for (unsigned b = 0; b < s->n_bufs; ++b) {
        kept.data += text(s->bufs[b]);
      }
      const std::uint64_t after =
          of(i).write({LogRecord::RecordType::kSnapshot, trailing, {}, std::move(kept)});
      of(i).written.push_back({after, [request, cb](int status) { cb(request, status); }});
      return 0;
    };
    io.snapshot_get = [](raft_io* i, raft_io_snapshot_get* request, raft_io_snapshot_get_cb cb) {
      Impl& me = of(i);
      if (!me.storage.state().snapshot) {
        return int{RAFT_NOTFOUND};
      }
      me.later.push_back(
          [&me, request, cb] { cb(request, made(*me.storage.state().snapshot), 0); });
      return 0;
    };
    io.time = [](raft_io* i) {
      return static_cast<raft_time>(of(i).now / std::chrono::milliseconds(1));
    };
    io.random = [](raft_io* i, int min, int max) {
      return min +
             static_cast<int>(of(i).random() % static_cast<std::uint64_t>(std::max(1, max - min)));
    };
    io.async_work = [](raft_io* i, raft_io_async_work* request, raft_io_async_work_cb cb) {
      of(i).later.push_back([request, cb] { cb(request, request->work(request)); });
      return 0;
    };
    fsm.version = 1, fsm.data = this;
    fsm.apply = [](raft_fsm* f, const raft_buffer* buf, void** result) {
      Impl& me = *static_cast<Impl*>(f->data);
      const auto command = decode(text(*buf));
      const char* reason =
          command ? me.ledger.apply(raft_last_applied(&me.r) + 1, *command) : "not_read";
      *result = const_cast<char*>(reason);
      return 0;
    };
    fsm.snapshot = [](raft_fsm* f, raft_buffer* bufs[], unsigned* n) {
      *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
      **bufs = buffer(static_cast<Impl*>(f->data)->ledger.snapshot());
      *n = 1;
      return 0;
    };
    fsm.restore = [](raft_fsm* f, raft_buffer* buf) {
      if (!static_cast<Impl*>(f->data)->ledger.restore(text(*buf))) {
        return int{RAFT_MALFORMED};
      }
      raft_free(buf->base);
      return 0;
    };
    const std::string address = self.address();
    check(raft_init(&r, &io, &fsm, id_of(address), address.c_str()));
    raft_set_election_timeout(
        &r, static_cast<unsigned>(timing.election_timeout / std::chrono::milliseconds(1)));
    raft_set_heartbeat_timeout(
        &r, static_cast<unsigned>(timing.heartbeat_interval / std::chrono::milliseconds(1)));
    raft_set_snapshot_threshold(&r, kSnapshotAfter);
    raft_set_snapshot_trailing(&r, kTrailing);
    raft_set_pre_vote(&r, true);
    check(raft_start(&r));
    next_tick = now;
  }

  void check(int error) {
    if (error != 0) {
      throw std::runtime_error(std::string("agreement: ") + raft_strerror(error) + ": " +
                               raft_errmsg(&r));
    }
  }

  static raft_snapshot* made(const RaftSnapshot& k) {
    auto* const s = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    s->index = k.index, s->term = k.term, s->configuration_index = k.configuration_index;
    set_servers(s->configuration, k.servers);
    s->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    s->bufs[0] = buffer(k.data);
    s->n_bufs = 1;
    return s;
  }

  std::uint64_t write(LogRecord record) { return storage.append(std::move(record)); }

  // ---- Messages

  void say(const raft_message& m) {
    const auto to = parse_voter(m.server_address);
    if (!to) {
      return;
    }
    ByteWriter w;
    w.text(self.address())
        .text(m.server_address)
        .number(storage.appended_records())
        .number(static_cast<std::uint8_t>(m.type));
    switch (m.type) {
      case RAFT_IO_APPEND_ENTRIES: {
        const raft_append_entries& a = m.append_entries;
        // More would not pass at once; what is left out is asked for again.
        const unsigned n = std::min<unsigned>(a.n_entries, kMostEntries);
        w.number(a.term)
            .number(a.prev_log_index)
            .number(a.prev_log_term)
            .number(a.leader_commit)
            .number(static_cast<std::uint16_t>(n));
        for (const LogEntry& e : entries_in(a.entries, n)) {
          w.number(e.term).number(e.type).blob(e.data);
        }
        break;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT:
        w.number(m.append_entries_result.term)
            .number(m.append_entries_result.rejected)
            .number(m.append_entries_result.last_log_index);
        break;
      case RAFT_IO_REQUEST_VOTE: {
        const raft_request_vote& v = m.request_vote;
        w.number(v.term)
            .number(v.candidate_id)
            .number(v.last_log_index)
            .number(v.last_log_term)
            .number(v.disrupt_leader)
            .number(v.pre_vote);
        break;
      }
      case RAFT_IO_REQUEST_VOTE_RESULT:
        w.number(m.request_vote_result.term)
            .number(m.request_vote_result.vote_granted)
            .number(static_cast<std::uint8_t>(m.request_vote_result.pre_vote));
        break;
      case RAFT_IO_INSTALL_SNAPSHOT: {
        const raft_install_snapshot& s = m.install_snapshot;
        w.number(s.term)
            .number(s.last_index)
            .number(s.last_term)
            .number(s.conf_index)
            .number(static_cast<std::uint8_t>(s.conf.n));
        for (const RaftServer& server : servers_in(s.conf)) {
          w.text(server.address).number(static_cast<std::uint8_t>(server.role));
        }
        w.blob(text(s.data));
        break;
      }
      case RAFT_IO_TIMEOUT_NOW:
        w.number(m.timeout_now.term)
            .number(m.timeout_now.last_log_index)
            .number(m.timeout_now.last_log_term);
        break;
      default:
        return;
    }
    said.push_back({storage.appended_records(), {to->name, w.bytes()}});
    if (said.size() > kMostOutgoing) {
      said.pop_front();
    }
  }

  void hear(std::string_view bytes) {
    ByteReader in(bytes);
    const std::string from = in.text(kLongestAddress), to = in.text(kLongestAddress);
    const auto records = in.number<std::uint64_t>();
    const auto type = in.number<std::uint8_t>();
    const auto voter = parse_voter(from);
    if (!in.ok() || !voter || voter->name == self.name) {
      return;
    }
    if (type == kRolledBack) {
      if (to == self.address() && records > storage.appended_records()) {
        owner.rolled_back_ = true;
      }
      return;
    }
    if (to != self.address() || on_recv == nullptr) {
      return;
    }
    // A storage only grows: one that has become less has been put back, and what its voter says
    // rests on what it forgot.
    auto& known = seen[voter->name];
    if (voter->generation < known.first) {
      return;
    }
    if (voter->generation == known.first && records < known.second) {
      ByteWriter w;
      w.text(self.address()).text(from).number(known.second).number(kRolledBack);
      said.push_back({0, {voter->name, w.bytes()}});
      return;
    }
    raft_message m{};
    m.type = type, m.server_id = id_of(from), m.server_address = from.c_str();
    switch (type) {
      case RAFT_IO_APPEND_ENTRIES: {
        raft_append_entries& a = m.append_entries;
        a.term = in.number<std::uint64_t>(), a.prev_log_index = in.number<std::uint64_t>(),
        a.prev_log_term = in.number<std::uint64_t>();
        a.leader_commit = in.number<std::uint64_t>();
        std::vector<LogEntry> entries;
        for (auto n = in.number<std::uint16_t>(); n > 0 && in.ok(); --n) {
          LogEntry& e = entries.emplace_back();
          e.term = in.number<std::uint64_t>(), e.type = in.number<std::uint16_t>();
          e.data = in.blob();
        }
        if (!in.done() || entries.size() > kMostEntries) {
          return;
        }
        a.entries = entries_from(entries), a.n_entries = static_cast<unsigned>(entries.size());
        break;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT: {
        raft_append_entries_result& a = m.append_entries_result;
        a.term = in.number<std::uint64_t>(), a.rejected = in.number<std::uint64_t>(),
        a.last_log_index = in.number<std::uint64_t>();
        break;
      }
      case RAFT_IO_REQUEST_VOTE: {
        raft_request_vote& v = m.request_vote;
        v.term = in.number<std::uint64_t>(), v.candidate_id = in.number<std::uint64_t>(),
        v.last_log_index = in.number<std::uint64_t>();
        v.last_log_term = in.number<std::uint64_t>(), v.disrupt_leader = in.number<bool>(),
        v.pre_vote = in.number<bool>();
        break;
      }
      case RAFT_IO_REQUEST_VOTE_RESULT: {
        raft_request_vote_result& v = m.request_vote_result;
        v.term = in.number<std::uint64_t>(), v.vote_granted = in.number<bool>();
        v.pre_vote = static_cast<raft_tribool>(
            std::min<std::uint8_t>(in.number<std::uint8_t>(), raft_tribool_false));
        break;
      }
      case RAFT_IO_INSTALL_SNAPSHOT: {
        raft_install_snapshot& s = m.install_snapshot;
        s.term = in.number<std::uint64_t>(), s.last_index = in.number<std::uint64_t>(),
        s.last_term = in.number<std::uint64_t>();
        s.conf_index = in.number<std::uint64_t>();
        std::vector<RaftServer> servers;
        for (auto n = in.number<std::uint8_t>(); n > 0 && in.ok(); --n) {
          RaftServer& server = servers.emplace_back();
          server.address = in.text(kLongestAddress), server.role = in.number<std::uint8_t>();
        }
        const std::string_view content = in.blob();
        MaintenanceStateMachine probe;
        if (!in.done() || !probe.restore(content)) {
          return;
        }
        set_servers(s.conf, servers);
        s.data = buffer(content);
        break;
      }
      case RAFT_IO_TIMEOUT_NOW:
        m.timeout_now.term = in.number<std::uint64_t>(),
        m.timeout_now.last_log_index = in.number<std::uint64_t>();
        m.timeout_now.last_log_term = in.number<std::uint64_t>();
        break;
      default:
        return;
    }
    if (!in.done()) {
      return;  // what was made for the message is empty here, but for the two above, which are read
               // whole
    }
    known = {voter->generation, records};
    on_recv(&io, &m);
  }
  static constexpr std::uint8_t kRolledBack = 200;

  // ---- The disk, and what waits to be called back

  void settle() {
    const std::uint64_t durable = storage.durable_records();
    for (int turns = 0; turns < 1'000;
         ++turns) {  // each turn may make more; an end of it in any case
      if (!later.empty()) {
        const auto call = std::move(later.front());
        later.pop_front();
        call();
      } else if (!written.empty() && written.front().after <= durable) {
        const auto call = std::move(written.front().done);
        written.pop_front();
        call(0);
      } else {
        break;
      }
    }
    if (storage.failed() && !owner.halted_) {
      halt();
    }
  }

  void halt() {
    owner.halted_ = true;
    said.clear();
  }

  void stop() {
    for (Proposal* p : proposals) {
      p->done = {};  // nobody waits any more
    }
    // What is out comes back as if it were done, while the library is still in order; nothing of it
    // is said to anybody.
    for (int turns = 0; turns < 10'000 && !(later.empty() && written.empty()); ++turns) {
      if (!later.empty()) {
        const auto call = std::move(later.front());
        later.pop_front();
        call();
        continue;
      }
      const auto call = std::move(written.front().done);
      written.pop_front();
      call(0);
    }
    raft_close(&r, [](raft*) {});
    while (!later.empty() || !written.empty()) {
      for (const auto& call : std::exchange(later, {})) {
        call();
      }
      for (const auto& w : std::exchange(written, {})) {
        w.done(RAFT_CANCELED);
      }
    }
    // Only now: until its requests have come back, the library's log is in use.
    if (on_closed) {
      on_closed(&io);
    }
    const std::set<Proposal*> left = std::exchange(proposals, {});
    for (Proposal* p : left) {
      delete p;
    }
  }

  void propose(const Command& command, Done done) {
    const auto end = [&done](const char* reason) {
      if (done) {
        done(reason);
      }
    };
    if (owner.halted_ || raft_state(&r) != RAFT_LEADER || proposals.size() >= kMostProposed) {
      return end("not_leader");
    }
    auto* const p = new Proposal{{}, this, done};
    p->request.data = p;
    const raft_buffer buf = buffer(encode(command));
    proposals.insert(p);
    const int error = raft_apply(&r, &p->request, &buf, 1,
                                 [](struct raft_apply* request, int status, void* result) {
                                   auto* const p = static_cast<Proposal*>(request->data);
                                   if (p->impl->proposals.erase(p) == 0) {
                                     return;
                                   }
                                   const Done done = std::move(p->done);
                                   delete p;
                                   if (done) {
                                     done(status == 0 ? static_cast<const char*>(result) : "lost");
                                   }
                                 });
    if (error == 0) {
      return;
    }
    raft_free(buf.base);
    proposals.erase(p);
    delete p;
    end("not_leader");
  }

  // Out with the generation that has lost its storage, in with the next, and then it votes.
  std::uint32_t readmit(const std::string& name) {
    if (owner.halted_ || changing || raft_state(&r) != RAFT_LEADER || name == self.name) {
      return 0;
    }
    std::vector<std::pair<Voter, int>> of_name;
    for (const RaftServer& s : servers_in(r.configuration)) {
      if (const auto v = parse_voter(s.address); v && v->name == name) {
        of_name.emplace_back(*v, s.role);
      }
    }
    if (of_name.empty()) {
      return 0;
    }
    std::sort(of_name.begin(), of_name.end(),
              [](const auto& a, const auto& b) { return a.first.generation < b.first.generation; });
    const auto done = [](raft_change* c, int) { static_cast<Impl*>(c->data)->changing = false; };
    change.data = this;
    const auto& [newest, role] = of_name.back();
    int error = 0;
    std::uint32_t generation = newest.generation;
    if (role == RAFT_VOTER) {
      // The next one is added before the old one goes, so that its name stays known.
      generation += 1;
      const Voter next{name, generation};
      error = raft_add(&r, &change, id_of(next.address()), next.address().c_str(), done);
    } else if (of_name.size() > 1) {
      error = raft_remove(&r, &change, id_of(of_name.front().first.address()), done);
    } else {
      error = raft_assign(&r, &change, id_of(newest.address()), RAFT_VOTER, done);
    }
    changing = error == 0;
    return error == 0 ? generation : 0;
  }
};

RaftNode::RaftNode(Time now, const Voter& self, RaftStorage& storage,
                   MaintenanceStateMachine& ledger, const RaftTiming& timing, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(*this, self, storage, ledger, seed)) {
  impl_->now = now;
  impl_->start(timing);
  due_ = now;
}

RaftNode::~RaftNode() {
  impl_->stop();
}

void RaftNode::tick(Time now) {
  impl_->now = now;
  if (halted_) {
    return;
  }
  impl_->settle();
  if (now >= impl_->next_tick && !halted_) {
    impl_->next_tick = now + impl_->tick_every;
    impl_->on_tick(&impl_->io);
    impl_->settle();
  }
  due_ = impl_->next_tick;
}

void RaftNode::receive(Time now, std::string_view bytes) {
  impl_->now = now;
  if (halted_) {
    return;
  }
  impl_->hear(bytes);
  impl_->settle();
}

std::vector<RaftNode::Outgoing> RaftNode::take_outgoing() {
  std::vector<Outgoing> out;
  const std::uint64_t durable = impl_->storage.durable_records();
  while (!halted_ && !impl_->said.empty() && impl_->said.front().after <= durable) {
    out.push_back(std::move(impl_->said.front().message));
    impl_->said.pop_front();
  }
  return out;
}

bool RaftNode::is_leader() const {
  return !halted_ && raft_state(&impl_->r) == RAFT_LEADER;
}

std::string RaftNode::leader() const {
  raft_id id = 0;
  const char* address = nullptr;
  if (!halted_) {
    raft_leader(&impl_->r, &id, &address);
  }
  const auto voter = address ? parse_voter(address) : std::nullopt;
  return voter ? voter->name : std::string();
}

std::uint64_t RaftNode::term() const {
  return impl_->r.current_term;
}

std::vector<Voter> RaftNode::voters() const {
  std::vector<Voter> all;
  for (const RaftServer& s : servers_in(impl_->r.configuration)) {
    if (const auto v = parse_voter(s.address); v && s.role == RAFT_VOTER) {
      all.push_back(*v);
    }
  }
  return all;
}

std::uint32_t RaftNode::joining_generation(const std::string& name) const {
  std::uint32_t newest = 0;
  for (const RaftServer& s : servers_in(impl_->r.configuration)) {
    if (const auto v = parse_voter(s.address); v && v->name == name && s.role != RAFT_VOTER) {
      newest = std::max(newest, v->generation);
    }
  }
  return newest;
}

std::vector<std::string> RaftNode::pending_readmissions() const {
  std::map<std::string, int> counts;
  std::vector<std::string> names;
  for (const RaftServer& s : servers_in(impl_->r.configuration)) {
    if (const auto v = parse_voter(s.address);
        v && (++counts[v->name] == 2 || s.role != RAFT_VOTER)) {
      names.push_back(v->name);
    }
  }
  return names;
}

void RaftNode::propose(const Command& command, Done done) {
  impl_->propose(command, std::move(done));
}
std::size_t RaftNode::pending_proposals() const {
  return impl_->proposals.size();
}
std::uint32_t RaftNode::readmit(const std::string& name) {
  return impl_->readmit(name);
}

}  // namespace beechhill::maintenance
