// The asking entry's side of the slot protocol: chooses a cell, asks the owner
// of the cell's queue for a slot and returns the outcome to the request's state
// machine.
//
//   slot_client Client = slot_client::builder().self(Identity).build();
//   Client.setConfiguration(Configuration, Now, Effects, Outcomes);
//   Client.setPeers(LivePeers);
//   Client.ask(Request, Now, Random, Effects, Outcomes);
//   ...
//   Client.onMessage(From, FromAddress, Message, Now, Effects, Outcomes);
//   for (const slot_outcome &Outcome : Outcomes)
//     ...
//   Client.release(Request.Request, Report, Now, Effects, Outcomes);
//
// The client contains the entry's own `slot_owner`. All slot messages that the
// entry receives go through `onMessage`, including those for this owner. When
// the entry itself owns the cell, no message is sent.
//
// A request has at most one ask or one slot at a time. If an owner does not
// answer within `ask_timeout`, the next one in `cell_owners` order is asked,
// and the entry itself when no other is left. A grant without a matching ask is
// released at once with `NeverSent`.

#ifndef MONSOONREEL_SLOT_CLIENT_H
#define MONSOONREEL_SLOT_CLIENT_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"

#include "monsoonreel/cell_owners.h"
#include "monsoonreel/configuration.h"
#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/node.h"
#include "monsoonreel/pool_map.h"
#include "monsoonreel/short_names.h"
#include "monsoonreel/slot_messages.h"
#include "monsoonreel/slot_owner.h"

namespace monsoonreel {

// If an owner does not answer an ask within this time, the next one is asked.
constexpr duration ask_timeout = std::chrono::milliseconds(300);
// Interval at which a queued ask is repeated, to detect that its owner has
// failed.
constexpr duration ask_repeat_period = std::chrono::seconds(2);
// Upper bound of the asks for one request before it is refused.
constexpr int max_asks_per_request = 6;
// Interval at which held slots are renewed at their owners.
constexpr duration renewal_period = std::chrono::seconds(2);
// Cell loads that were received longer ago are ignored.
constexpr duration load_lifetime = std::chrono::seconds(5);
// The age of a load does not include its transmission times, so a copy that
// arrives through several members may appear newer by up to this time.
constexpr duration load_age_error = std::chrono::milliseconds(100);
// A request goes to the cell that its prefix selects unless the expected wait
// there exceeds that elsewhere by more than this.
constexpr duration affinity_slack = std::chrono::milliseconds(50);
// Another zone is considered when the expected wait in the entry's own zone is
// at least this long.
constexpr duration spillover_wait = std::chrono::milliseconds(200);

class slot_client {
public:
  class builder;

  slot_client(slot_client &&) = default;

  // Also configures the entry's own slot owner. Must be called before the first
  // ask.
  void setConfiguration(const configuration &Configuration, steady_time Now,
                        effect_list &Effects, slot_outcome_list &Outcomes);
  // Sets the live entries of all zones. This entry is added if it is missing.
  void setPeers(std::vector<slot_peer> Peers);
  // Takes the loads of cells that their owners gossip. For each cell the most
  // recently measured load counts, minus the asks that this entry has sent
  // since it first received that load.
  void onLoads(const std::vector<wire::pool_load> &Loads, steady_time Now);
  // The loads of the cells that this node owns, for gossip.
  std::vector<wire::pool_load> loads(steady_time Now) const;

  // Asks for a slot. The outcome is added to Outcomes now or in a later call.
  void ask(const slot_request &Request, steady_time Now, uint64_t Random,
           effect_list &Effects, slot_outcome_list &Outcomes);
  // Cancels the request's ask. Does nothing when there is none.
  void cancel(request_id Request, steady_time Now, effect_list &Effects,
              slot_outcome_list &Outcomes);
  // Releases the request's slot. Does nothing when it has none.
  void release(request_id Request, const slot_report &Report, steady_time Now,
               effect_list &Effects, slot_outcome_list &Outcomes);

  // Handles slot_ask, slot_cancel, slot_release, slot_renew, slot_grant,
  // slot_refuse, slot_queued and slot_preempt. Returns false for any other
  // message.
  bool onMessage(const node_name &From, const address &FromAddress,
                 const wire::peer_message &Message, steady_time Now,
                 effect_list &Effects, slot_outcome_list &Outcomes);
  void onLoadReport(const load_report &Report, steady_time Now,
                    effect_list &Effects, slot_outcome_list &Outcomes);
  void onTick(steady_time Now, uint64_t Random, effect_list &Effects,
              slot_outcome_list &Outcomes);
  // The entry's own slot owner refuses all further asks, so the entry's own
  // requests go to other owners.
  void drain(steady_time Now, effect_list &Effects,
             slot_outcome_list &Outcomes);

  // The upstream in the configuration, or nullptr.
  const upstream *findUpstream(const upstream_name &Name) const;
  size_t waitingCount() const { return Asks.size(); }
  const slot_owner &owner() const { return Owner; }

private:
  friend class builder;

  // The state of an ask whose outcome is open.
  struct pending_ask {
    slot_request Request;
    cell_name Cell;
    slot_peer Owner;
    steady_time SentAt;
    bool Queued = false;      // the owner has confirmed that it is queued
    bool NamesInFull = false; // set in case the owner has no short names
    std::vector<node_name>
        TriedOwners; // owners of Cell that did not serve the ask
    std::vector<cell_name> ExcludedCells; // cells that granted no slot
    int Count = 0;                        // asks sent so far
    // The latest refusal, which is returned when no cell remains.
    slot_refused Refusal;
  };
  struct held_slot {
    int64_t Slot = 0;
    int64_t OwnerIncarnation = 0;
    slot_peer Owner;
  };
  struct cell_load {
    wire::pool_load Latest;
    int FreeSlots = 0;      // of Latest, minus this entry's asks since then
    steady_time MeasuredAt; // when its owner measured it, judging by its age
    steady_time ReceivedAt; // when the latest copy was received
  };
  // The inputs and outputs that all steps of one call share.
  struct client_step {
    steady_time Now;
    effect_list &Effects;
    slot_outcome_list &Outcomes;
  };

  slot_client(node_identity Self, slot_owner Owner);

  std::vector<const cell *> usableCells(const std::vector<const cell *> &Cells,
                                        const pending_ask &Ask) const;
  const cell *chooseCell(const pending_ask &Ask, uint64_t Random,
                         steady_time Now) const;
  const cell *chooseOutside(const pending_ask &Ask, uint64_t Random,
                            steady_time Now) const;
  duration expectedWait(const cell &Cell, steady_time Now) const;
  bool hasReportedFreeSlots(const cell &Cell, steady_time Now) const;
  // Recomputes the owners in each zone whose cells or entries changed.
  void refreshOwners();
  bool hasEntries(const zone_name &Zone) const;
  // Sets Ask.Owner. Returns false when every owner has been tried.
  bool chooseOwner(const cell &Cell, pending_ask &Ask) const;

  // Chooses a cell and an owner and sends the ask, or returns the refusal when
  // there is none left.
  void sendNextAsk(pending_ask Ask, uint64_t Random, client_step &Step);
  void send(pending_ask Ask, client_step &Step);
  wire::slot_ask messageOf(int64_t Id, const pending_ask &Ask,
                           steady_time Now) const;
  std::optional<pending_ask> takeAsk(int64_t Id);
  void sendCancel(int64_t Id, const pending_ask &Ask, client_step &Step);
  void sendTo(const slot_peer &To, const wire::peer_message &Message,
              client_step &Step);
  void deliver(const slot_reply_list &Replies, client_step &Step);
  bool handleAsOwner(const slot_peer &From, const wire::peer_message &Message,
                     client_step &Step);
  bool handleAsAsker(const slot_peer &From, const wire::peer_message &Message,
                     client_step &Step);
  void onGrant(const slot_peer &From, const wire::slot_grant &Grant,
               client_step &Step);
  void onRefuse(const wire::slot_refuse &Refuse, client_step &Step);
  void onQueued(const wire::slot_queued &Queued, client_step &Step);
  void onPreempt(const slot_peer &From, const wire::slot_preempt &Preempt,
                 client_step &Step);
  void reviewAsks(uint64_t Random, client_step &Step);
  void renewSlots(client_step &Step);

  node_identity Self;
  slot_owner Owner;
  pool_map Map;
  short_names Names;
  std::map<upstream_name, upstream> Upstreams;
  std::map<node_name, slot_peer> Peers;
  std::map<zone_name, cell_owners> Owners; // for the zones with cells
  absl::flat_hash_map<cell_name, cell_load> Loads;
  // These are iterated over, so their order must not depend on the hash seed.
  absl::btree_map<int64_t, pending_ask> Asks;
  absl::btree_map<request_id, held_slot> Held;
  absl::flat_hash_map<request_id, int64_t> AskByRequest;
  int64_t LastAsk = 0;
  steady_time NextReview;
  steady_time NextRenewal;
};

class slot_client::builder {
public:
  builder &self(node_identity Value);
  // Name of the slot owner's scheduling policy; "tiered" by default.
  builder &policy(std::string Value);
  slot_client build();

private:
  node_identity Self;
  std::string Policy = "tiered";
};

} // namespace monsoonreel

#endif // MONSOONREEL_SLOT_CLIENT_H
