/// The clients of an emulated deployment: their operations, their attempts at proxies, and the
/// connections over which they send.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/clients.h"
#include "emulator/event_queue.h"
#include "emulator/random.h"
#include "emulator/slab.h"

namespace beechhill::emulator {

struct Simulation;

/// How a client's attempt at a proxy ended.
enum class ClientOutcome {
  kSucceeded,
  /// The proxy says that it has not run, so that it may be repeated.
  kRejected,
  kFailed,
  /// The proxy died or did not read it in time: no answer.
  kConnectionLost,
  /// No proxy took it.
  kUnreachable,
};

struct ClientAttemptResult {
  ClientOutcome outcome = ClientOutcome::kFailed;
  /// Of a rejection; 0: none given.
  Duration retry_after{0};
  /// Core-seconds at speed 1 that went into a success.
  double useful_work_s = 0;
};

/// Owns the operations in progress, the arrivals, and which proxy each client connection leads to.
class ClientPopulation {
 public:
  explicit ClientPopulation(Simulation& sim);

  /// Deals the connections out to the proxies of the first tier, which must exist.
  void assign_connections();
  /// A proxy is back: moves an even part of the connections to it.
  void rebalance_to(std::uint32_t proxy);

  void schedule_next_arrival();
  void on_arrival();
  void on_retry_due(OperationId id);
  /// The client gives up an attempt that its proxy, being paused, has not read.
  void on_timeout(OperationId id, std::uint32_t attempt);

  /// Whether the operation's latest attempt is at a paused proxy, unread.
  bool waits_unread(OperationId id);
  void mark_read(OperationId id);
  /// Ends an attempt: the operation is over, or its client tries again later.
  void end_attempt(OperationId id, const ClientAttemptResult& result);

 private:
  struct ClientOperation {
    Time arrived_at{0};
    Time deadline{0};
    ClassId class_id = 0;
    TenantId tenant = kNoTenant;
    double work_s = 0;
    double weight = 0;
    std::uint32_t attempts = 0;
    std::uint32_t connection = 0;
    // Whether the latest attempt was rejected rather than failed.
    bool rejected = false;
    // Whether the latest attempt is at a paused proxy, unread.
    bool unread = false;
  };

  void start_attempt(OperationId id);
  bool connect(std::uint32_t connection);
  void finish(OperationId id, bool succeeded, double useful_work_s);

  Simulation& sim_;
  Arrivals arrivals_;
  std::optional<Arrival> next_arrival_;
  Stream random_;
  // By connection: the proxy that it leads to.
  std::vector<std::uint32_t> connections_;
  Slab<ClientOperation> operations_;
};

}  // namespace beechhill::emulator
