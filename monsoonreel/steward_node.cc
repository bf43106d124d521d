#include "monsoonreel/steward_node.h"

#include <utility>

#include "monsoonreel/claim_routing.h"

namespace monsoonreel {

steward_node::steward_node(node_identity Identity, std::vector<address> Seeds,
                           duration SnapshotPeriod)
    : Self(std::move(Identity)),
      Members(Self, wire::member_role::Steward, std::move(Seeds)),
      Sync(Self, std::string(operator_stream)),
      UsageLease({std::string(usage_lease)}, Self),
      OrderLease({orderLeaseName(Self.Zone)}, Self),
      Operator(operator_stream, Self, Calls), Usage(usage_stream, Self, Calls),
      UsageCloser(UsageLease), Orders(Self.Zone, OrderLease),
      Replacer(Self.Zone), Claims(Self, Calls),
      ClaimsFollower(std::string(claims_stream), Claims),
      OperatorSnapshots(SnapshotPeriod), UsageSnapshots(SnapshotPeriod) {
  Operator.addLease(OrderLease);
  Usage.addLease(UsageLease);
}

void steward_node::handle(const event &Event, effect_list &Effects) {
  if (std::holds_alternative<tick>(Event.Body))
    onTick(Event, Effects);
  else if (const auto *Message =
               std::get_if<peer_message_received>(&Event.Body))
    onPeerMessage(*Message, Event, Effects);
  else if (const auto *List = std::get_if<vm_list_read>(&Event.Body))
    onVmList(*List, Event.Now);
  else if (const auto *Report = std::get_if<usage_report_answered>(&Event.Body))
    UsageCloser.onReportAnswered(*Report, Usage.writer());
  else if (const auto *Order = std::get_if<order_answered>(&Event.Body))
    Orders.onAnswer(*Order, Operator.writer());
  else if (std::holds_alternative<drain_requested>(Event.Body))
    onDrain(Event.Now);
  Operator.onEvent(Event, Effects);
  Usage.onEvent(Event, Effects);
  dispatchLogEvent(Event, ClaimsFollower, Claims, Effects);
  bool FromLog = std::holds_alternative<log_records_read>(Event.Body);
  processChanges(Event, FromLog, Effects);
}

void steward_node::onTick(const event &Event, effect_list &Effects) {
  steady_time Now = Event.Now;
  uint64_t Random = Event.Random;
  Members.onTick(Now, Random, Operator.applied(), Effects);
  chooseRole(Now);
  Operator.onTick(Now, Random, Effects);
  Usage.onTick(Now, Random, Effects);
  Sync.onTick(Now, Members.highestLedgerOffset(), Effects);
  OperatorSnapshots.onTick(Now, Random, Operator, Effects);
  UsageSnapshots.onTick(Now, Random, Usage, Effects);
  UsageIntake.onTick(Now, Usage.writer());
  UsageCloser.onTick(Now, Event.Wall, Random, usageWindow(), Usage, Effects);
  Orders.onTick(Now, Random, Operator, Effects);
  tickClaims(Event, Effects);
  readVmList(Now, Effects);
  finishDrain(Now, Effects);
}

void steward_node::chooseRole(steady_time Now) {
  if (Now < NextRole)
    return;
  NextRole = Now + role_interval;
  bool Follow =
      !DrainDeadline &&
      shouldFollowLog(Self.Name,
                      Members.alive(wire::member_role::Steward, Self.Zone));
  // While appended records are queued, this node keeps following the log to
  // read them back.
  Operator.follower().setFollowing(Follow || Operator.writer().queued() > 0);
  Usage.follower().setFollowing(Follow || Usage.writer().queued() > 0);
  UsageLease.setWanted(Follow);
  ClaimsFollower.setFollowing(isClaimCoordinator(Members));
}

void steward_node::tickClaims(const event &Event, effect_list &Effects) {
  ClaimsFollower.onTick(Event.Now, Event.Random, Effects);
  claim_coordinator_tick Tick;
  Tick.Now = Event.Now;
  Tick.Wall = Event.Wall;
  Tick.CaughtUp = ClaimsFollower.isCaughtUp();
  Tick.Window = Operator.state().config().Limits.ClaimWindow;
  Claims.onTick(Tick, Members, Effects);
}

duration steward_node::usageWindow() const {
  duration Window = Operator.state().config().Limits.UsageWindow;
  return Window > duration{} ? Window : policy_limits().UsageWindow;
}

void steward_node::readVmList(steady_time Now, effect_list &Effects) {
  if (Now < NextVmList || !Operator.follower().isFollowing())
    return;
  NextVmList = Now + vm_list_interval;
  Effects.push_back(read_vm_list{});
}

void steward_node::onVmList(const vm_list_read &List, steady_time Now) {
  Members.onVmList(List, Now);
  if (DrainDeadline || !Operator.follower().isFollowing())
    return;
  for (order_request &Request :
       Replacer.onVmList(List, Operator.state().config()))
    Orders.request(std::move(Request));
}

void steward_node::onPeerMessage(const peer_message_received &Received,
                                 const event &Event, effect_list &Effects) {
  if (Members.onMessage(Received, Event.Now, Effects))
    return;
  stream_delivery Delivery;
  if (Sync.onMessage(Received, Event.Now, Members.livePeers(), Event.Random,
                     Delivery, Effects)) {
    if (Delivery.Snapshot &&
        !Operator.restoreSnapshot(log_offset{Delivery.Snapshot->CoversOffset},
                                  Delivery.Snapshot->State, Event.Now,
                                  Effects)) {
      Sync.restart(Operator.applied());
      return;
    }
    for (const wire::stored_record &Record : Delivery.Records)
      Operator.applyRecord(log_offset{Record.Offset}, Record.Bytes, Event.Now,
                           Effects);
    return;
  }
  if (Claims.onMessage(Received, Event.Now, Members, Effects))
    return;
  if (Usage.follower().isFollowing() && !DrainDeadline)
    UsageIntake.onMessage(Received, Usage.state(), Effects);
}

void steward_node::processChanges(const event &Event, bool FromLog,
                                  effect_list &Effects) {
  for (const ledger_change &Change : Operator.takeChanges())
    Orders.onChange(Change);
  bool UsageChanged = Usage.takeRestored();
  for (const ledger_change &Change : Usage.takeChanges()) {
    UsageChanged = UsageChanged || Change.UsageChanged;
    if (Change.ClosedWindow)
      UsageCloser.onClosed();
  }
  if (UsageChanged)
    UsageIntake.onUsageChanged(Usage.state(), Effects);
  Usage.takeRecords();
  forwardRecords(Event, FromLog, Effects);
}

void steward_node::forwardRecords(const event &Event, bool FromLog,
                                  effect_list &Effects) {
  std::vector<wire::stored_record> Records = Operator.takeRecords();
  bool Restored = Operator.takeRestored();
  if (!FromLog)
    return;
  if (Restored)
    Sync.keepSnapshot(Operator.applied(),
                      encodeState(Operator.state().state()));
  else if (!Records.empty())
    Sync.onLogRecords(Records, Members.livePeers(), Event.Random, Effects);
  if (std::optional<steady_time> FreshAt = Operator.follower().freshAt())
    Members.freshness().onLogRead(Operator.applied(), *FreshAt);
}

void steward_node::onDrain(steady_time Now) {
  if (DrainDeadline)
    return;
  DrainDeadline = Now + steward_drain_timeout;
  Members.announceLeaving();
  UsageLease.release();
  OrderLease.release();
}

void steward_node::finishDrain(steady_time Now, effect_list &Effects) {
  if (!DrainDeadline || DrainFinished)
    return;
  bool Settled = UsageLease.isReleased() && OrderLease.isReleased() &&
                 Operator.writer().queued() + Usage.writer().queued() == 0;
  if (!Settled && Now < *DrainDeadline)
    return;
  DrainFinished = true;
  Effects.push_back(drain_finished{});
}

} // namespace monsoonreel
