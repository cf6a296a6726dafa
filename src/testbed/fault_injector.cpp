#include "testbed/fault_injector.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "testbed/task_helpers.h"

namespace beechhill::testbed {

using emulator::FaultKind;
using emulator::FaultSpec;
using runtime::Task;

FaultInjector::FaultInjector(runtime::Scheduler& scheduler, const TestbedClock& clock,
                             const emulator::Scenario& scenario, FakeServices& services,
                             ObservationLog* observations, ProxyFaultHandler handler)
    : scheduler_(scheduler),
      clock_(clock),
      scenario_(scenario),
      services_(services),
      observations_(observations),
      handler_(std::move(handler)),
      affected_backends_(scenario.faults.size()) {
}

Task<> FaultInjector::run() {
  struct Transition {
    Time at{0};
    std::size_t fault = 0;
    FaultPhase phase = FaultPhase::kBegins;
  };
  std::vector<Transition> transitions;
  for (std::size_t i = 0; i < scenario_.faults.size(); ++i) {
    const FaultSpec& fault = scenario_.faults[i];
    transitions.push_back({fault.at, i, FaultPhase::kBegins});
    transitions.push_back({fault.at + fault.length, i, FaultPhase::kEnds});
  }
  std::stable_sort(transitions.begin(), transitions.end(),
                   [](const Transition& a, const Transition& b) { return a.at < b.at; });
  for (const Transition& transition : transitions) {
    co_await sleep_until(scheduler_, clock_.time_point(transition.at));
    if (transition.phase == FaultPhase::kBegins) {
      begin(transition.fault);
    } else {
      end(transition.fault);
    }
  }
}

void FaultInjector::begin(std::size_t index) {
  const FaultSpec& fault = scenario_.faults[index];
  affected_backends_[index] = emulator::affected_backends(scenario_, index, services_.endpoints());
  apply_to_proxies(fault, FaultPhase::kBegins);
  if (fault.kind == FaultKind::kStaleList) {
    services_.set_list_delay(fault.delay);
  }
  if (fault.kind == FaultKind::kLateReports) {
    set_report_delay(fault.delay);
  }
  for (const EndpointId id : affected_backends_[index]) {
    if (emulator::affects_links(fault.kind)) {
      apply_to_links(fault, id, FaultPhase::kBegins);
    }
    begin_at_backend(fault, services_.backend(id));
  }
}

void FaultInjector::end(std::size_t index) {
  const FaultSpec& fault = scenario_.faults[index];
  if (fault.kind == FaultKind::kStaleList) {
    services_.set_list_delay(Duration{0});
  }
  apply_to_proxies(fault, FaultPhase::kEnds);
  if (fault.kind == FaultKind::kLateReports) {
    set_report_delay(Duration{0});
  }
  for (const EndpointId id : affected_backends_[index]) {
    if (emulator::affects_links(fault.kind)) {
      apply_to_links(fault, id, FaultPhase::kEnds);
    }
    end_at_backend(fault, services_.backend(id));
  }
}

void FaultInjector::begin_at_backend(const FaultSpec& fault, FakeBackend& backend) {
  switch (fault.kind) {
    case FaultKind::kErrors:
      backend.set_error_rate(fault.factor);
      break;
    case FaultKind::kSlow:
      backend.set_slowdown(fault.factor);
      break;
    case FaultKind::kDrain:
      services_.publish(backend, EndpointStatus::kDraining);
      break;
    case FaultKind::kCrash:
      backend.set_state(FakeBackend::State::kStopped);
      services_.publish(backend, EndpointStatus::kRemoved);
      break;
    case FaultKind::kSilent:
      backend.set_state(FakeBackend::State::kUnresponsive);
      if (scenario_.silent_notice > Duration{0} && scenario_.silent_notice < fault.length) {
        services_.publish(backend, EndpointStatus::kRemoved, scenario_.silent_notice);
      }
      break;
    default:
      break;
  }
}

void FaultInjector::end_at_backend(const FaultSpec& fault, FakeBackend& backend) {
  switch (fault.kind) {
    case FaultKind::kErrors:
      backend.set_error_rate(0);
      break;
    case FaultKind::kSlow:
      backend.set_slowdown(1);
      break;
    case FaultKind::kDrain:
      services_.restart_backend(backend.id());
      break;
    case FaultKind::kCrash:
    case FaultKind::kSilent:
      backend.set_state(FakeBackend::State::kServing);
      services_.publish(backend, EndpointStatus::kUp);
      break;
    default:
      break;
  }
}

void FaultInjector::set_report_delay(Duration delay) {
  for (const auto& backend : services_.backends()) {
    backend->set_report_delay(delay);
  }
}

void FaultInjector::apply_to_links(const FaultSpec& fault, EndpointId backend, FaultPhase phase) {
  const bool begins = phase == FaultPhase::kBegins;
  for (std::size_t proxy = 0; proxy < services_.proxies_with_faulty_links(); ++proxy) {
    TcpFaultProxy& link = services_.link(proxy, backend);
    if (fault.kind == FaultKind::kPartition) {
      link.set_partitioned(begins && fault.way != emulator::Direction::kBack,
                           begins && fault.way != emulator::Direction::kThere);
    }
    if (fault.kind == FaultKind::kLinkDelay) {
      link.set_delay(begins ? fault.delay : Duration{0});
    }
    if (fault.kind == FaultKind::kLinkReset) {
      if (begins) {
        link.reset_connections();
      }
    } else if (observations_) {
      observations_->set_partitioned(proxy, backend, begins);
    }
  }
}

void FaultInjector::apply_to_proxies(const FaultSpec& fault, FaultPhase phase) {
  const bool begins = phase == FaultPhase::kBegins;
  const std::vector<std::uint32_t> affected = emulator::affected_proxies(scenario_, fault);
  if (fault.kind == FaultKind::kDiscoverySilent) {
    for (const std::uint32_t proxy : affected) {
      services_.discovery(proxy).set_unresponsive(begins);
    }
  } else if (fault.kind == FaultKind::kDiscoveryRewound) {
    for (const std::uint32_t proxy : affected) {
      services_.discovery(proxy).rewind(begins ? std::optional(clock_.now() - fault.delay)
                                               : std::nullopt);
    }
  } else if (handler_ && (!affected.empty() || emulator::affects_gossip(fault.kind))) {
    handler_(fault, affected, phase);
  }
}

}  // namespace beechhill::testbed
