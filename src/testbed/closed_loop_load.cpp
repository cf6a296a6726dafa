#include "testbed/closed_loop_load.h"

#include <fmt/format.h>

#include <chrono>
#include <cmath>

#include "http/message.h"
#include "http/writer.h"
#include "testbed/http_client.h"
#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using runtime::Clock;
using runtime::Task;
using runtime::TimePoint;
using runtime::Wait;

namespace {

// Delay before a client sends its next request after one that was not served.
constexpr std::chrono::milliseconds kRetryDelay{10};

}  // namespace

ClosedLoopLoad::ClosedLoopLoad(runtime::Scheduler& scheduler, const emulator::Scenario& scenario,
                               sockaddr_in proxy, std::size_t clients)
    : scheduler_(scheduler), scenario_(scenario), proxy_(proxy), clients_(clients) {
}

Task<> ClosedLoopLoad::run(TimePoint until) {
  for (std::size_t client = 0; client < clients_; ++client) {
    ++running_;
    scheduler_.spawn(run_client(client, until));
  }
  while (running_ > 0) {
    Wait wait(scheduler_);
    wait.notified(all_ended_);
    co_await wait;
  }
}

Task<> ClosedLoopLoad::run_client(std::size_t client, TimePoint until) {
  std::unique_ptr<net::Stream> stream;
  std::string buffer;
  for (std::uint64_t number = 0; Clock::now() < until; ++number) {
    const bool served = co_await run_request(client, number, stream, buffer);
    if (served) {
      ++served_;
      continue;
    }
    ++not_served_;
    co_await sleep_for(scheduler_, kRetryDelay);
  }
  --running_;
  if (running_ == 0) {
    all_ended_.notify();
  }
}

Task<bool> ClosedLoopLoad::run_request(std::size_t client, std::uint64_t number,
                                       std::unique_ptr<net::Stream>& stream, std::string& buffer) {
  const emulator::ClassSpec& request_class = scenario_.classes[0];
  const TimePoint deadline = Clock::now() + request_class.settings.deadline;
  if (!stream) {
    std::unique_ptr<net::Stream> connected =
        co_await net::Stream::connect(scheduler_, proxy_, deadline);
    stream = std::move(connected);
    buffer.clear();
  }
  if (!stream) {
    co_return false;
  }
  const std::string target =
      fmt::format("/{}/x?work_us={}", request_class.name, std::llround(request_class.work_s * 1e6));
  const std::string trace_header = fmt::format("X-Trace-Id: {:x}-{:x}\r\n", client, number);
  const std::string request = http::write_request("GET", target, "proxy", trace_header, "");
  const HttpExchange reply = co_await exchange(*stream, request, buffer, deadline, deadline);
  if (!reply.complete || !reply.response.keep_alive()) {
    stream.reset();
  }
  co_return reply.complete&& reply.response.status == 200;
}

}  // namespace beechhill::testbed
