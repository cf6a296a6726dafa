// Callbacks through which libraft uses the disk, the network, the clock, random numbers and the
// state machine.
#include <algorithm>
#include <array>
#include <utility>

#include "maintenance/raft_node_impl.h"

namespace beechhill::maintenance {
namespace {

// Number of preallocated CommandResult values. libraft carries pointers to them as results.
constexpr std::size_t kCommandResultCount = 256;

CommandResult* as_pointer(CommandResult result) {
  static std::array<CommandResult, kCommandResultCount> values = [] {
    std::array<CommandResult, kCommandResultCount> all{};
    for (std::size_t i = 0; i < all.size(); ++i) {
      all.at(i) = static_cast<CommandResult>(i);
    }
    return all;
  }();
  return &values.at(static_cast<std::size_t>(result));
}

}  // namespace

void RaftNode::Impl::set_io_callbacks() {
  io_.version = 2;
  io_.impl = this;
  io_.init = [](raft_io*, raft_id, const char*) { return 0; };
  io_.close = [](raft_io* io, raft_io_close_cb done) { impl_of(io).on_closed_ = done; };
  io_.load = load;
  io_.start = start_io;
  io_.bootstrap = [](raft_io*, const raft_configuration*) { return int{RAFT_CANTBOOTSTRAP}; };
  io_.recover = [](raft_io*, const raft_configuration*) { return int{RAFT_INVALID}; };
  io_.set_term = [](raft_io* io, raft_term term) {
    impl_of(io).storage_.append(LogRecord::set_term(term));
    return 0;
  };
  io_.set_vote = [](raft_io* io, raft_id candidate) {
    impl_of(io).storage_.append(LogRecord::set_vote(candidate));
    return 0;
  };
  io_.send = send;
  io_.append = append;
  io_.truncate = [](raft_io* io, raft_index index) {
    impl_of(io).storage_.append(LogRecord::truncate(index));
    return 0;
  };
  io_.snapshot_put = put_snapshot;
  io_.snapshot_get = get_snapshot;
  io_.time = [](raft_io* io) {
    return static_cast<raft_time>(impl_of(io).now_ / std::chrono::milliseconds(1));
  };
  io_.random = random_between;
  io_.async_work = run_async_work;
}

void RaftNode::Impl::set_fsm_callbacks() {
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = apply;
  fsm_.snapshot = take_snapshot;
  fsm_.restore = restore;
}

// ---- libraft's I/O

int RaftNode::Impl::load(raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot,
                         raft_index* first_index, raft_entry** entries, size_t* count) {
  const DurableState& state = impl_of(io).storage_.state();
  *term = state.term;
  *vote = state.vote;
  *first_index = state.first_index;
  *count = state.entries.size();
  *entries = make_entries(state.entries);
  *snapshot = state.snapshot ? make_snapshot(*state.snapshot) : nullptr;
  return 0;
}

int RaftNode::Impl::start_io(raft_io* io, unsigned tick_ms, raft_io_tick_cb tick,
                             raft_io_recv_cb recv) {
  Impl& impl = impl_of(io);
  impl.tick_interval_ = std::chrono::milliseconds(tick_ms);
  impl.on_tick_ = tick;
  impl.on_receive_ = recv;
  return 0;
}

int RaftNode::Impl::send(raft_io* io, raft_io_send* request, const raft_message* message,
                         raft_io_send_cb done) {
  Impl& impl = impl_of(io);
  impl.queue_message(*message);
  impl.deferred_.emplace_back([request, done] { done(request, 0); });
  return 0;
}

int RaftNode::Impl::append(raft_io* io, raft_io_append* request, const raft_entry entries[],
                           unsigned count, raft_io_append_cb done) {
  Impl& impl = impl_of(io);
  const std::uint64_t required =
      impl.storage_.append(LogRecord::append(0, entries_of(entries, count)));
  impl.writes_.push_back({required, [request, done](int status) { done(request, status); }});
  return 0;
}

int RaftNode::Impl::put_snapshot(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                                 const raft_snapshot* snapshot, raft_io_snapshot_put_cb done) {
  Impl& impl = impl_of(io);
  const std::uint64_t required =
      impl.storage_.append(LogRecord::take_snapshot(trailing, snapshot_of(*snapshot)));
  impl.writes_.push_back({required, [request, done](int status) { done(request, status); }});
  return 0;
}

int RaftNode::Impl::get_snapshot(raft_io* io, raft_io_snapshot_get* request,
                                 raft_io_snapshot_get_cb done) {
  Impl& impl = impl_of(io);
  if (!impl.storage_.state().snapshot) {
    return RAFT_NOTFOUND;
  }
  impl.deferred_.emplace_back(
      [&impl, request, done] { done(request, make_snapshot(*impl.storage_.state().snapshot), 0); });
  return 0;
}

int RaftNode::Impl::random_between(raft_io* io, int min, int max) {
  const auto range = static_cast<std::uint64_t>(std::max(1, max - min));
  return min + static_cast<int>(impl_of(io).random_() % range);
}

int RaftNode::Impl::run_async_work(raft_io* io, raft_io_async_work* request,
                                   raft_io_async_work_cb done) {
  impl_of(io).deferred_.emplace_back([request, done] { done(request, request->work(request)); });
  return 0;
}

// ---- libraft's state machine

int RaftNode::Impl::apply(raft_fsm* fsm, const raft_buffer* buffer, void** result) {
  Impl& impl = impl_of(fsm);
  const auto command = decode(content_of(*buffer));
  const LogIndex index = raft_last_applied(&impl.raft_) + 1;
  *result = as_pointer(command ? impl.state_machine_.apply(index, *command)
                               : CommandResult::kUndecodable);
  return 0;
}

int RaftNode::Impl::take_snapshot(raft_fsm* fsm, raft_buffer* buffers[], unsigned* count) {
  *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  **buffers = make_buffer(impl_of(fsm).state_machine_.snapshot());
  *count = 1;
  return 0;
}

int RaftNode::Impl::restore(raft_fsm* fsm, raft_buffer* buffer) {
  if (!impl_of(fsm).state_machine_.restore(content_of(*buffer))) {
    return RAFT_MALFORMED;
  }
  raft_free(buffer->base);
  return 0;
}

}  // namespace beechhill::maintenance
