// The reducer of a steward process.
//
//   steward_node Node(Identity, Seeds, default_snapshot_period);
//   Node.handle(Event, Effects); // or by steward_node_builder
//
// A steward runs on every entry VM. All of them pass the operator stream on.
// Two in each zone follow the log (`shouldFollow`); these also take usage
// batches, close and report windows, order upstreams and write snapshots, the
// exclusive ones of these under a lease. `isClaimDesk` chooses those that take
// claims.

#ifndef MONSOONREEL_STEWARD_NODE_H
#define MONSOONREEL_STEWARD_NODE_H

#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/claim_desk.h"
#include "monsoonreel/lease_holder.h"
#include "monsoonreel/membership.h"
#include "monsoonreel/node.h"
#include "monsoonreel/order_desk.h"
#include "monsoonreel/snapshot_scheduler.h"
#include "monsoonreel/state_sync.h"
#include "monsoonreel/stream_replica.h"
#include "monsoonreel/upstream_replacer.h"
#include "monsoonreel/usage_closer.h"
#include "monsoonreel/usage_desk.h"

namespace monsoonreel {

constexpr duration vm_list_interval = std::chrono::seconds(5);
// Between two looks at who has to follow the log.
constexpr duration role_interval = std::chrono::milliseconds(500);
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
  // Passes on what the replicas replayed since the last call. FromLog: this
  // node read it itself, so its peers need it.
  void passOnChanges(const event &Event, bool FromLog, effect_list &Effects);
  void passOnRecords(const event &Event, bool FromLog, effect_list &Effects);
  // The configured length of usage windows; the default before there is any.
  duration usageWindow() const;

  node_identity Self;
  call_counter Calls;
  membership Members;
  state_sync Sync;
  // The leases come before the replicas that point to them.
  lease_holder UsageLease;
  lease_holder OrderLease;
  stream_replica Operator;
  stream_replica Usage;
  usage_desk UsageDesk;
  usage_closer UsageCloser;
  order_desk Orders;
  upstream_replacer Replacer;
  claim_desk Claims;
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
