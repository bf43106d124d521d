// The asking entry's side: chooses a cell, asks its queue's owner for a slot
// and hands the answer to the request's state machine.
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
// The client holds the entry's own `slot_owner`. All slot messages of the entry
// go through `onMessage`, those to its owner part as well; when the owner that
// a request needs is the entry itself, no message is sent.
//
// A request has at most one ask or one slot at a time. An owner that does not
// answer in `ask_silence` is passed over for the next in `cell_owners` order,
// and the entry itself is asked when no other is left. A grant that nobody
// waits for is released at once with `NeverSent`.

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

// An owner that has not answered an ask for so long is passed over.
constexpr duration ask_silence = std::chrono::milliseconds(300);
// A waiting ask is repeated so often, which shows whether its owner lives.
constexpr duration ask_repeat = std::chrono::seconds(2);
// Asks for one request before it is refused.
constexpr int max_asks_per_request = 6;
// How often the slots that are held are renewed at their owners.
constexpr duration renewal_period = std::chrono::seconds(2);
// Loads of cells that were heard longer ago are not used.
constexpr duration load_lifetime = std::chrono::seconds(5);
// Ages of loads leave out the time on the way, so a load that comes by several
// members looks newer by up to this on the slower ways.
constexpr duration load_age_error = std::chrono::milliseconds(100);
// A request goes to the cell that has its prefix unless it waits there so much
// longer than elsewhere.
constexpr duration affinity_slack = std::chrono::milliseconds(50);
// Expected wait in the own zone before another zone is considered.
constexpr duration spill_wait = std::chrono::milliseconds(200);

class slot_client {
public:
  class builder;

  slot_client(slot_client &&) = default;

  // Also given on to the owner part. Call it before the first ask.
  void setConfiguration(const configuration &Configuration, steady_time Now,
                        effect_list &Effects, slot_outcome_list &Outcomes);
  // The entries that are alive, this one included or not, of all zones.
  void setPeers(std::vector<slot_peer> Peers);
  // Loads of cells as their owners gossip them. Of one cell, that which its
  // owner told last counts, less the own asks since it was heard first.
  void onLoads(const std::vector<wire::pool_load> &Loads, steady_time Now);
  // This node's own cells, for gossip.
  std::vector<wire::pool_load> loads(steady_time Now) const;

  // Asks for a slot. The outcome comes now or with a later event.
  void ask(const slot_request &Request, steady_time Now, uint64_t Random,
           effect_list &Effects, slot_outcome_list &Outcomes);
  // The request no longer wants a slot. Does nothing when it has no ask.
  void cancel(request_id Request, steady_time Now, effect_list &Effects,
              slot_outcome_list &Outcomes);
  // The work in the request's slot has ended. Does nothing without a slot.
  void release(request_id Request, const slot_report &Report, steady_time Now,
               effect_list &Effects, slot_outcome_list &Outcomes);

  // Takes slot_ask, slot_cancel, slot_release, slot_renew, slot_grant,
  // slot_refuse, slot_queued and slot_preempt. False: the message is none of
  // these.
  bool onMessage(const node_name &From, const address &FromAddress,
                 const wire::peer_message &Message, steady_time Now,
                 effect_list &Effects, slot_outcome_list &Outcomes);
  void onLoadReport(const load_report &Report, steady_time Now,
                    effect_list &Effects, slot_outcome_list &Outcomes);
  void onTick(steady_time Now, uint64_t Random, effect_list &Effects,
              slot_outcome_list &Outcomes);
  // The owner part takes nothing more; own requests go to other owners.
  void drain(steady_time Now, effect_list &Effects,
             slot_outcome_list &Outcomes);

  // The upstream's address in the configuration, or nullptr.
  const upstream *findUpstream(const upstream_name &Name) const;
  size_t waitingCount() const { return Asks.size(); }
  const slot_owner &owner() const { return Owner; }

private:
  friend class builder;

  // A request on its way to a slot: what was tried for it.
  struct pending_ask {
    slot_request Request;
    cell_name Cell;
    slot_peer Owner;
    steady_time SentAt;
    bool Queued = false;          // the owner has said that it waits
    bool NamesInFull = false;     // an owner may not have known short ones
    std::vector<node_name> Tried; // owners of Cell that did not answer
    std::vector<cell_name> Left;  // cells that gave no slot
    int Count = 0;
    // The latest refusal, for the case that no cell is left.
    slot_refused Refusal;
  };
  struct held_slot {
    int64_t Slot = 0;
    int64_t OwnerIncarnation = 0;
    slot_peer Owner;
  };
  struct cell_load {
    wire::pool_load Heard;
    int FreeSlots = 0;  // as heard, less the own asks since then
    steady_time ToldAt; // by its owner, as far as its age says
    steady_time SeenAt;
  };
  // The surroundings of one call.
  struct client_step {
    steady_time Now;
    effect_list &Effects;
    slot_outcome_list &Outcomes;
  };

  slot_client(node_identity Self, slot_owner Owner);

  std::vector<const cell *> usable(const std::vector<const cell *> &Cells,
                                   const pending_ask &Ask) const;
  const cell *chooseCell(const pending_ask &Ask, uint64_t Random,
                         steady_time Now) const;
  const cell *chooseOutside(const pending_ask &Ask, uint64_t Random,
                            steady_time Now) const;
  duration expectedWait(const cell &Cell, steady_time Now) const;
  bool hasKnownRoom(const cell &Cell, steady_time Now) const;
  // Finds the owners of the cells of each zone whose cells or entries changed.
  void refreshOwners();
  bool hasEntries(const zone_name &Zone) const;
  // False: every owner has been tried.
  bool chooseOwner(const cell &Cell, pending_ask &Ask) const;

  // Takes the request's next step: a cell, an owner, or the refusal.
  void proceed(pending_ask Ask, uint64_t Random, client_step &Step);
  void send(pending_ask Ask, client_step &Step);
  wire::slot_ask messageOf(int64_t Id, const pending_ask &Ask,
                           steady_time Now) const;
  std::optional<pending_ask> takeAsk(int64_t Id);
  void withdraw(int64_t Id, const pending_ask &Ask, client_step &Step);
  void sendTo(const slot_peer &To, const wire::peer_message &Message,
              client_step &Step);
  void deliver(const slot_reply_list &Replies, client_step &Step);
  bool toOwner(const slot_peer &From, const wire::peer_message &Message,
               client_step &Step);
  bool fromOwner(const slot_peer &From, const wire::peer_message &Message,
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
  std::map<zone_name, cell_owners> Owners; // of the zones with cells
  absl::flat_hash_map<cell_name, cell_load> Loads;
  // Walked through, so their order must not depend on the process's hash seed.
  absl::btree_map<int64_t, pending_ask> Asks;
  absl::btree_map<request_id, held_slot> Held;
  absl::flat_hash_map<request_id, int64_t> AskOf;
  int64_t LastAsk = 0;
  steady_time NextReview;
  steady_time NextRenewal;
};

class slot_client::builder {
public:
  builder &self(node_identity Value);
  // Name of the scheduling policy of the owner part; default "tiered".
  builder &policy(std::string Value);
  slot_client build();

private:
  node_identity Self;
  std::string Policy = "tiered";
};

} // namespace monsoonreel

#endif // MONSOONREEL_SLOT_CLIENT_H
