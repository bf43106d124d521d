#include "monsoonreel/entry_node.h"

#include <algorithm>
#include <utility>
#include <variant>

#include <nlohmann/json.hpp>

#include "monsoonreel/host.h"
#include "monsoonreel/log_follower.h"
#include "monsoonreel/mechanism.h"
#include "monsoonreel/request_admission.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

namespace {

refuse_request refuseDraining(request_id Request) {
  refuse_request Refusal;
  Refusal.Request = Request;
  Refusal.Status = 503;
  Refusal.Code = "shutting-down";
  Refusal.Message = "This entry is shutting down; ask another one.";
  Refusal.RetryAfter = drain_retry_after;
  return Refusal;
}

slot_peer toSlotPeer(const wire::member &Member) {
  return {node_name(Member.Name), address(Member.Address),
          zone_name(Member.Zone)};
}

} // namespace

entry_node::entry_node(node_identity Identity,
                       const std::vector<address> &Seeds,
                       const std::string &Policy)
    : Identity(std::move(Identity)),
      Members(this->Identity, wire::member_role::Entry, Seeds),
      Ledger(operator_stream),
      Sync(this->Identity, std::string(operator_stream)),
      Slots(slot_client::builder().self(this->Identity).policy(Policy).build()),
      Claims(this->Identity), Usage(this->Identity),
      HeldUsage(this->Identity.Incarnation),
      Requests({Slots, Claims, Members, Usage, Retries, this->Identity.Zone}) {}

void entry_node::handle(const event &Event, effect_list &Effects) {
  std::visit([&](const auto &Body) { onEvent(Body, Event, Effects); },
             Event.Body);
  Requests.onClaimResults(Claims.takeResults(), Event, Effects);
  checkDrain(Event, Effects);
}

// ------------------------------------------------------- callers, upstreams

void entry_node::onEvent(const request_arrived &Arrived, const event &Event,
                         effect_list &Effects) {
  if (Draining) {
    Effects.push_back(refuseDraining(Arrived.Request));
    return;
  }
  admission_result Result =
      admitRequest(Arrived, Ledger, Members.freshness(), Event.Now);
  if (auto *Refusal = std::get_if<refuse_request>(&Result)) {
    Effects.push_back(count_metric{"monsoonreel_inadmissible_total",
                                   {{"code", Refusal->Code}}});
    Effects.push_back(std::move(*Refusal));
    return;
  }
  const auto &Admitted = std::get<admitted_request>(Result);
  duration Wait = Limits.admit(Admitted.Organisation, Event.Now);
  if (Wait > duration::zero()) {
    refuse_request Refusal;
    Refusal.Request = Arrived.Request;
    Refusal.Status = 429;
    Refusal.Code = "organisation-limit";
    Refusal.Message = "Your organisation's limit of requests is reached.";
    Refusal.RetryAfter = Wait;
    Effects.push_back(std::move(Refusal));
    return;
  }
  Requests.onArrival(Arrived, Admitted, Event, Effects);
}

void entry_node::onEvent(const caller_disconnected &Gone, const event &Event,
                         effect_list &Effects) {
  Requests.onCallerGone(Gone.Request, Event, Effects);
}

void entry_node::onEvent(const attempt_headers &Headers, const event &Event,
                         effect_list &Effects) {
  Requests.onHeaders(Headers, Event, Effects);
}

void entry_node::onEvent(const attempt_chunk &Chunk, const event &Event,
                         effect_list &Effects) {
  Requests.onChunk(Chunk, Event, Effects);
}

void entry_node::onEvent(const attempt_finished &Finished, const event &Event,
                         effect_list &Effects) {
  Requests.onFinished(Finished, Event, Effects);
}

void entry_node::onEvent(const attempt_failed &Failed, const event &Event,
                         effect_list &Effects) {
  Requests.onFailed(Failed, Event, Effects);
}

void entry_node::onEvent(const load_report &Report, const event &Event,
                         effect_list &Effects) {
  slot_outcome_list Outcomes;
  Slots.onLoadReport(Report, Event.Now, Effects, Outcomes);
  Requests.onSlotOutcomes(Outcomes, Event, Effects);
}

// -------------------------------------------------------------------- peers

void entry_node::onEvent(const peer_message_received &Received,
                         const event &Event, effect_list &Effects) {
  if (Members.onMessage(Received, Event.Now, Effects)) {
    Slots.onLoads(Members.receivedLoads(Event.Now), Event.Now);
    return;
  }
  stream_delivery Delivery;
  if (Sync.onMessage(Received, Event.Now, Members.livePeers(), Event.Random,
                     Delivery, Effects)) {
    apply(Delivery, Event, Effects);
    return;
  }
  if (Claims.onMessage(Received, Event.Now, Members, Effects) ||
      Usage.onMessage(Received) || HeldUsage.onMessage(Received, Effects))
    return;
  slot_outcome_list Outcomes;
  Slots.onMessage(Received.From, Received.FromAddress, Received.Message,
                  Event.Now, Effects, Outcomes);
  Requests.onSlotOutcomes(Outcomes, Event, Effects);
}

void entry_node::onEvent(const vm_list_read &List, const event &Event,
                         effect_list &) {
  Members.onVmList(List, Event.Now);
}

void entry_node::refreshPeers(steady_time Now) {
  if (Now < NextPeerRefresh)
    return;
  NextPeerRefresh = Now + peer_refresh_period;
  std::vector<wire::member> Entries = Members.alive(wire::member_role::Entry);
  std::vector<slot_peer> Peers;
  Peers.reserve(Entries.size());
  for (const wire::member &Entry : Entries)
    Peers.push_back(toSlotPeer(Entry));
  Slots.setPeers(std::move(Peers));
  Limits.setEntries(static_cast<int>(Entries.size()));
  Usage.setPeers(logFollowerOrder(usageStewards()), usageHolders(Entries));
  Members.setOwnLoads(Slots.loads(Now), Now);
  for (incarnation Source : HeldUsage.sources())
    if (!Members.mayBeRunning(Source))
      HeldUsage.onSourceDead(Source);
}

std::vector<wire::member> entry_node::usageStewards() const {
  std::vector<wire::member> Stewards =
      Members.alive(wire::member_role::Steward, Identity.Zone);
  return Stewards.empty() ? Members.alive(wire::member_role::Steward)
                          : Stewards;
}

std::vector<wire::member>
entry_node::usageHolders(const std::vector<wire::member> &Entries) const {
  std::vector<wire::member> Holders;
  for (const wire::member &Entry : Entries)
    if (Entry.Name != Identity.Name.Value)
      Holders.push_back(Entry);
  // Usage that another machine holds survives the loss of this one. Among those
  // machines the own zone comes first, because it stays reachable when zones
  // are partitioned.
  std::string Host = hostOf(Identity.Address);
  std::stable_sort(Holders.begin(), Holders.end(),
                   [&](const wire::member &A, const wire::member &B) {
                     auto Rank = [&](const wire::member &M) {
                       return std::pair(hostOf(address(M.Address)) == Host,
                                        M.Zone != Identity.Zone.Value);
                     };
                     return Rank(A) < Rank(B);
                   });
  return Holders;
}

// ------------------------------------------------------------ configuration

void entry_node::apply(const stream_delivery &Delivery, const event &Event,
                       effect_list &Effects) {
  if (Delivery.Snapshot && !restore(*Delivery.Snapshot, Event, Effects)) {
    Sync.restart(Ledger.applied());
    return;
  }
  for (const wire::stored_record &Record : Delivery.Records)
    onLedgerChange(
        Ledger.apply(log_offset{Record.Offset}, Record.Bytes, Effects), Event,
        Effects);
  Members.freshness().onApplied(Ledger.applied());
}

bool entry_node::restore(const wire::snapshot &Snapshot, const event &Event,
                         effect_list &Effects) {
  auto State = decodeLedgerState(Snapshot.State);
  if (!State ||
      !Ledger.restore(log_offset{Snapshot.CoversOffset}, *State, Effects))
    return false;
  useConfiguration(Event, Effects);
  // A snapshot does not list the keys that were withdrawn since the last
  // applied record.
  for (const key_hash &Hash : Requests.keysInUse())
    if (!Ledger.findKey(Hash))
      Requests.withdrawKey(Hash, Event, Effects);
  return true;
}

void entry_node::onLedgerChange(const ledger_change &Change, const event &Event,
                                effect_list &Effects) {
  if (Change.ConfigurationChanged)
    useConfiguration(Event, Effects);
  for (const key_hash &Hash : Change.WithdrawnKeys)
    Requests.withdrawKey(Hash, Event, Effects);
}

void entry_node::useConfiguration(const event &Event, effect_list &Effects) {
  slot_outcome_list Outcomes;
  Slots.setConfiguration(Ledger.config(), Event.Now, Effects, Outcomes);
  Retries.setRatio(Ledger.config().Limits.RetryBudget);
  Limits.setConfiguration(Ledger.config());
  Requests.onSlotOutcomes(Outcomes, Event, Effects);
  Effects.push_back(log_line{log_level::Info,
                             "configuration in force: offset=" +
                                 std::to_string(Ledger.configOffset().Value)});
}

// --------------------------------------------------------------- time, end

void entry_node::onEvent(const tick &, const event &Event,
                         effect_list &Effects) {
  refreshPeers(Event.Now);
  Members.onTick(Event.Now, Event.Random, Ledger.applied(), Effects);
  Sync.onTick(Event.Now, Members.highestLedgerOffset(), Effects);
  Claims.onTick(Event.Now, Members, Effects);
  Usage.onTick(Event.Now, Event.Random, Effects);
  HeldUsage.onTick(Event.Now, Event.Random, usageStewards(), Effects);
  slot_outcome_list Outcomes;
  Slots.onTick(Event.Now, Event.Random, Effects, Outcomes);
  Requests.onSlotOutcomes(Outcomes, Event, Effects);
  Requests.onTick(Event, Effects);
  checkReadiness(Event.Now);
  setGauges(Event, Effects);
}

// An entry that has no configuration, or no recent message from a node that
// reads the log, refuses every request. A load balancer should not send it any.
void entry_node::checkReadiness(steady_time Now) {
  constexpr bool Idempotent = true;
  Ready = !Draining && Ledger.configOffset().Value > 0 &&
          mayTrustKeys(keyTrustOf(Ledger.config().Limits, Idempotent),
                       Members.freshness(), Now);
}

void entry_node::setGauges(const event &Event, effect_list &Effects) {
  if (Event.Now < NextGauges)
    return;
  NextGauges = Event.Now + gauge_period;
  auto Set = [&](const char *Name, double Value) {
    Effects.push_back(set_gauge{Name, {}, Value});
  };
  Set("monsoonreel_active_requests", static_cast<double>(Requests.size()));
  Set("monsoonreel_ledger_offset", static_cast<double>(Ledger.applied().Value));
  Set("monsoonreel_configuration_offset",
      static_cast<double>(Ledger.configOffset().Value));
  Set("monsoonreel_live_members", static_cast<double>(Members.liveCount()));
  if (auto Age = Members.freshness().age(Event.Now))
    Set("monsoonreel_log_age_seconds",
        std::chrono::duration<double>(*Age).count());
}

void entry_node::onEvent(const drain_requested &, const event &Event,
                         effect_list &Effects) {
  if (Draining)
    return;
  Draining = true;
  DrainIdleSince = Event.Now;
  Members.announceLeaving();
  slot_outcome_list Outcomes;
  Slots.drain(Event.Now, Effects, Outcomes);
  Requests.onSlotOutcomes(Outcomes, Event, Effects);
}

void entry_node::checkDrain(const event &Event, effect_list &Effects) {
  if (!Draining || DrainReported)
    return;
  bool Idle = Requests.empty() || !isEnabled(mechanism::DrainWaits);
  if (!Idle) {
    DrainIdleSince = Event.Now;
    return;
  }
  Usage.flush();
  bool AllLogged = Claims.isIdle() && Usage.isLogged() && HeldUsage.empty();
  bool MayWait = Event.Now - DrainIdleSince < drain_usage_timeout;
  if (!AllLogged && MayWait)
    return;
  DrainReported = true;
  Effects.push_back(drain_finished{});
}

// ------------------------------------------------------------------- status

std::string entry_node::statusJson() const {
  nlohmann::json Status;
  Status["name"] = Identity.Name.Value;
  Status["role"] = "entry";
  Status["zone"] = Identity.Zone.Value;
  Status["incarnation"] = Identity.Incarnation.Value;
  Status["ledger_offset"] = Ledger.applied().Value;
  Status["configuration_offset"] = Ledger.configOffset().Value;
  Status["live_keys"] = Ledger.liveKeyCount();
  Status["active_requests"] = Requests.size();
  Status["granted_slots"] = Slots.owner().runningCount();
  Status["draining"] = Draining;
  Status["ready"] = Ready;
  for (const wire::member &Member : Members.alive(wire::member_role::Entry))
    Status["entries"].push_back(Member.Name);
  for (const wire::member &Member : Members.alive(wire::member_role::Steward))
    Status["stewards"].push_back(Member.Name);
  return Status.dump();
}

} // namespace monsoonreel
