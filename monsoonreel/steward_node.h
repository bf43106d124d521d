// The reducer of a steward process.
//
//   // Or by steward_node_builder:
//   steward_node Node(Identity, Seeds, default_snapshot_period);
//   Node.handle(Event, Effects);
//
// A steward runs on every entry VM. Every steward forwards the operator stream.
// Two stewards in each zone follow the log (`shouldFollowLog`). These also
// accept usage batches, close and report usage windows, order upstreams and
// write snapshots; the tasks that only one steward may do need a lease.
// `isClaimCoordinator` selects the stewards that handle claims.

#ifndef MONSOONREEL_STEWARD_NODE_H
#define MONSOONREEL_STEWARD_NODE_H

#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/claim_coordinator.h"
#include "monsoonreel/lease_holder.h"
#include "monsoonreel/membership.h"
#include "monsoonreel/node.h"
#include "monsoonreel/order_sender.h"
#include "monsoonreel/snapshot_scheduler.h"
#include "monsoonreel/state_sync.h"
#include "monsoonreel/stream_replica.h"
#include "monsoonreel/upstream_replacer.h"
#include "monsoonreel/usage_appender.h"
#include "monsoonreel/usage_closer.h"

namespace monsoonreel {

// Time between two reads of the platform's VM list.
constexpr duration vm_list_interval = std::chrono::seconds(5);
// Time between two checks of which stewards have to follow the log.
constexpr duration role_interval = std::chrono::milliseconds(500);
// The longest time that a draining steward waits for its leases to be released
// and its queued records to be written.
constexpr duration steward_drain_timeout = std::chrono::seconds(5);

class steward_node : public node {
public:
  steward_node(node_identity Identity, std::vector<address> Seeds,
               duration SnapshotPeriod);

  void handle(const event &Event, effect_list &Effects) override;
  std::string statusJson() const override;

  const ledger &operatorState() const { return Operator.state(); }
  const claim_table &claims() const { return Claims.table(); }

private:
  void onTick(const event &Event, effect_list &Effects);
  void onPeerMessage(const peer_message_received &Received, const event &Event,
                     effect_list &Effects);
  void onVmList(const vm_list_read &List, steady_time Now);
  void onDrain(steady_time Now);

  void chooseRole(steady_time Now);
  void tickClaims(const event &Event, effect_list &Effects);
  void readVmList(steady_time Now, effect_list &Effects);
  void finishDrain(steady_time Now, effect_list &Effects);
  // Processes the changes that the replicas replayed since the last call. When
  // FromLog is set, this node read them from the log and sends them to peers.
  void processChanges(const event &Event, bool FromLog, effect_list &Effects);
  void forwardRecords(const event &Event, bool FromLog, effect_list &Effects);
  // The configured length of usage windows, or the default when there is no
  // configuration yet.
  duration usageWindow() const;

  node_identity Self;
  call_counter Calls;
  membership Members;
  state_sync Sync;
  // The leases are declared before the replicas, which point to them.
  lease_holder UsageLease;
  lease_holder OrderLease;
  stream_replica Operator;
  stream_replica Usage;
  usage_appender UsageIntake;
  usage_closer UsageCloser;
  order_sender Orders;
  upstream_replacer Replacer;
  claim_coordinator Claims;
  log_follower ClaimsFollower;
  snapshot_scheduler OperatorSnapshots;
  snapshot_scheduler UsageSnapshots;

  steady_time NextRole = steady_time::min();
  steady_time NextVmList = steady_time::min();
  std::optional<steady_time> DrainDeadline;
  bool DrainFinished = false;
};

} // namespace monsoonreel

#endif // MONSOONREEL_STEWARD_NODE_H
