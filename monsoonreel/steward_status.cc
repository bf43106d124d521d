// Status of a steward for operators.

#include <nlohmann/json.hpp>

#include "monsoonreel/steward_node.h"

namespace monsoonreel {

namespace {

nlohmann::json streamStatus(const stream_replica &Replica) {
  return {{"applied", Replica.applied().Value},
          {"following", Replica.follower().isFollowing()},
          {"caught_up", Replica.follower().isCaughtUp()},
          {"last_snapshot", Replica.state().lastSnapshot().Value}};
}

void addLease(nlohmann::json &Leases, const stream_replica &Replica,
              const std::string &Name) {
  if (const wire::lease_state *Lease = Replica.state().findLease(Name))
    Leases[Name] = {{"holder", Lease->Holder},
                    {"fence", Lease->Fence},
                    {"released", Lease->Released}};
}

} // namespace

std::string steward_node::statusJson() const {
  const ledger &OperatorState = Operator.state();
  const ledger &UsageState = Usage.state();
  nlohmann::json Status;
  Status["name"] = Self.Name.Value;
  Status["zone"] = Self.Zone.Value;
  Status["role"] = "steward";
  Status["incarnation"] = Self.Incarnation.Value;
  Status["draining"] = DrainDeadline.has_value();
  Status["live_members"] = Members.liveCount();
  Status["ledger_offset"] = OperatorState.applied().Value;
  Status["configuration_offset"] = OperatorState.configOffset().Value;
  Status["live_keys"] = OperatorState.liveKeyCount();
  Status["last_closed_window"] = UsageState.lastClosedWindow();
  Status["unreported_windows"] = UsageState.unreportedWindows().size();
  Status["open_orders"] = OperatorState.openOrders().size();
  Status["streams"][OperatorState.stream()] = streamStatus(Operator);
  Status["streams"][UsageState.stream()] = streamStatus(Usage);
  Status["leases"] = nlohmann::json::object();
  addLease(Status["leases"], Usage, UsageLease.terms().Name);
  addLease(Status["leases"], Operator, OrderLease.terms().Name);
  return Status.dump();
}

} // namespace monsoonreel
