/// The clients of an emulated deployment: their operations, their attempts at proxies, and their
/// connections.
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

/// Result of a client's attempt at a proxy.
enum class ClientOutcome {
  kSucceeded,
  /// The proxy states that the request was not executed, so that a retry is safe.
  kRejected,
  kFailed,
  /// The client got no answer: the proxy died or did not read the request in time.
  kConnectionLost,
  /// No proxy accepted the connection, or the proxy died before it read the request.
  kUnreachable,
};

struct ClientAttemptResult {
  ClientOutcome outcome = ClientOutcome::kFailed;
  /// Retry-After of a rejection; 0: the rejection has none.
  Duration retry_after{0};
  /// Work that contributed to a successful answer, in core-seconds at speed 1.
  double useful_work_s = 0;
};

/// Owns the operations in progress, the arrivals, and the mapping of client connections to proxies.
class ClientPopulation {
 public:
  explicit ClientPopulation(Simulation& sim);

  /// Distributes the connections over the proxies of the first tier, which must already exist.
  void assign_connections();
  /// Moves an even share of the connections to a proxy that has been restarted.
  void rebalance_to(std::uint32_t proxy);

  void schedule_next_arrival();
  void on_arrival();
  void on_retry_due(OperationId id);
  /// Ends an attempt whose client has timed out while its paused proxy had not read the request.
  void on_timeout(OperationId id, std::uint32_t attempt);

  /// Whether the operation's latest attempt is at a paused proxy that has not read it.
  bool waits_unread(OperationId id);
  void mark_read(OperationId id);
  /// Ends an attempt: completes the operation or schedules a retry.
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
    // Whether the latest attempt was rejected, as opposed to failed.
    bool rejected = false;
    // Whether the latest attempt is at a paused proxy that has not read it.
    bool unread = false;
  };

  void start_attempt(OperationId id);
  bool connect(std::uint32_t connection);
  void finish(OperationId id, bool succeeded, double useful_work_s);

  Simulation& sim_;
  Arrivals arrivals_;
  std::optional<Arrival> next_arrival_;
  Stream random_;
  // Index of the proxy that each connection leads to, by index of the connection.
  std::vector<std::uint32_t> connections_;
  Slab<ClientOperation> operations_;
};

}  // namespace beechhill::emulator
