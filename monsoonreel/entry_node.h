// The reducer of an entry. It serves callers' requests, runs the queues of the
// cells that it owns, and takes part in membership, replication, claims and
// usage metering.
//
//   entry_node Node(Identity, Seeds, "tiered"); // or by entry_node_builder
//   Node.handle(Event, Effects);
//
// It replays the operator stream from records that stewards and other entries
// forward, and never reads the log itself.

#ifndef MONSOONREEL_ENTRY_NODE_H
#define MONSOONREEL_ENTRY_NODE_H

#include <string>
#include <vector>

#include "monsoonreel/claim_client.h"
#include "monsoonreel/ledger.h"
#include "monsoonreel/membership.h"
#include "monsoonreel/node.h"
#include "monsoonreel/organisation_limit.h"
#include "monsoonreel/request_table.h"
#include "monsoonreel/retry_budget.h"
#include "monsoonreel/slot_client.h"
#include "monsoonreel/state_sync.h"
#include "monsoonreel/usage_holder.h"
#include "monsoonreel/usage_meter.h"

namespace monsoonreel {

// Period at which the modules get new lists of live peers.
constexpr duration peer_refresh_period = std::chrono::milliseconds(200);
// Period at which gauges are set.
constexpr duration gauge_period = std::chrono::seconds(1);
// Retry delay that callers get while this entry drains; other entries can serve
// them.
constexpr duration drain_retry_after = std::chrono::seconds(1);
// The longest time that a draining entry waits for its usage to be logged,
// counted from the end of its last request. A second VM is expected to hold the
// usage by then.
constexpr duration drain_usage_timeout = std::chrono::seconds(5);

class entry_node : public node {
public:
  entry_node(node_identity Identity, const std::vector<address> &Seeds,
             const std::string &Policy);

  void handle(const event &Event, effect_list &Effects) override;
  std::string statusJson() const override;

private:
  void onEvent(const tick &Tick, const event &Event, effect_list &Effects);
  void onEvent(const request_arrived &Arrived, const event &Event,
               effect_list &Effects);
  void onEvent(const caller_disconnected &Gone, const event &Event,
               effect_list &Effects);
  void onEvent(const attempt_headers &Headers, const event &Event,
               effect_list &Effects);
  void onEvent(const attempt_chunk &Chunk, const event &Event,
               effect_list &Effects);
  void onEvent(const attempt_finished &Finished, const event &Event,
               effect_list &Effects);
  void onEvent(const attempt_failed &Failed, const event &Event,
               effect_list &Effects);
  void onEvent(const load_report &Report, const event &Event,
               effect_list &Effects);
  void onEvent(const peer_message_received &Received, const event &Event,
               effect_list &Effects);
  void onEvent(const vm_list_read &List, const event &Event,
               effect_list &Effects);
  void onEvent(const drain_requested &Drain, const event &Event,
               effect_list &Effects);
  // Ignores all other events.
  template <typename Body>
  void onEvent(const Body &, const event &, effect_list &) {}

  void apply(const stream_delivery &Delivery, const event &Event,
             effect_list &Effects);
  // Returns false when the snapshot can't be used.
  bool restore(const wire::snapshot &Snapshot, const event &Event,
               effect_list &Effects);
  void onLedgerChange(const ledger_change &Change, const event &Event,
                      effect_list &Effects);
  void useConfiguration(const event &Event, effect_list &Effects);
  // The stewards that may log usage: those of the own zone, or those of all
  // zones when the own zone has none, so that its requests are still billed.
  std::vector<wire::member> usageStewards() const;
  // The entries that may hold this one's usage, in order of preference.
  std::vector<wire::member>
  usageHolders(const std::vector<wire::member> &Entries) const;
  void refreshPeers(steady_time Now);
  void checkReadiness(steady_time Now);
  void setGauges(const event &Event, effect_list &Effects);
  void checkDrain(const event &Event, effect_list &Effects);

  node_identity Identity;
  membership Members;
  ledger Ledger;
  state_sync Sync;
  slot_client Slots;
  claim_client Claims;
  usage_meter Usage;
  usage_holder HeldUsage;
  retry_budget Retries;
  organisation_limit Limits;
  request_table Requests;
  steady_time NextPeerRefresh;
  steady_time NextGauges;
  bool Ready = false;
  bool Draining = false;
  bool DrainReported = false;
  steady_time DrainIdleSince;
};

} // namespace monsoonreel

#endif // MONSOONREEL_ENTRY_NODE_H
