// The owner's side of the slot protocol: receives asks for slots, grants them
// in the order of the scheduling policy, refuses and preempts.
//
//   slot_owner Owner = slot_owner::builder()
//                          .incarnation(Self.Incarnation)
//                          .policy(makeSchedulingPolicy("tiered"))
//                          .build();
//   Owner.setConfiguration(Configuration, Map, Now, Replies, Effects);
//   Owner.onAsk(From, Ask, Now, Replies, Effects);
//   Owner.onTick(Now, Replies, Effects);
//
// Ownership is soft state. An owner serves every cell that it is asked for; the
// askers choose the owner. While a cell has two owners, its upstreams may get
// more concurrent requests than configured, but answers remain correct. A slot
// whose asker stops renewing it expires.

#ifndef MONSOONREEL_SLOT_OWNER_H
#define MONSOONREEL_SLOT_OWNER_H

#include <map>
#include <memory>
#include <vector>

#include "monsoonreel/cell_queue.h"
#include "monsoonreel/configuration.h"
#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/pool_map.h"
#include "monsoonreel/scheduling_policy.h"
#include "monsoonreel/short_names.h"
#include "monsoonreel/slot_messages.h"

namespace monsoonreel {

// The status of the upstreams and cells that this node owns, for operators.
struct upstream_status {
  upstream_name Upstream;
  int InFlight = 0;
  admission_state State = admission_state::Closed;
};
struct owned_cell_status {
  cell_name Cell;
  size_t Waiting = 0;
  size_t Running = 0;
  duration ExpectedWait{};
  std::vector<upstream_status> Upstreams;
};

class slot_owner {
public:
  class builder;

  slot_owner(slot_owner &&) = default;

  // Sets a new configuration. Cells that remain keep their queues and slots.
  // The waiting requests of removed cells are refused.
  void setConfiguration(const configuration &Configuration, const pool_map &Map,
                        steady_time Now, slot_reply_list &Replies,
                        effect_list &Effects);

  void onAsk(const slot_peer &From, const wire::slot_ask &Ask, steady_time Now,
             slot_reply_list &Replies, effect_list &Effects);
  void onCancel(const slot_peer &From, const wire::slot_cancel &Cancel,
                steady_time Now, slot_reply_list &Replies,
                effect_list &Effects);
  void onRelease(const wire::slot_release &Release, steady_time Now,
                 slot_reply_list &Replies, effect_list &Effects);
  void onRenew(const wire::slot_renew &Renew, steady_time Now);
  void onLoadReport(const load_report &Report, steady_time Now,
                    slot_reply_list &Replies, effect_list &Effects);
  // Expires slots and waiting requests, polls the load of the upstreams of
  // active cells, grants and preempts.
  void onTick(steady_time Now, slot_reply_list &Replies, effect_list &Effects);

  // Refuses all waiting requests and all further asks, so that askers go to the
  // next owner. Granted slots stay valid.
  void drain(steady_time Now, slot_reply_list &Replies, effect_list &Effects);

  // The loads of the owned cells, for gossip.
  std::vector<wire::pool_load> loads(steady_time Now) const;
  // Numbers of granted slots and of waiting requests over all cells.
  size_t runningCount() const;
  size_t waitingCount() const;
  std::vector<owned_cell_status> status(steady_time Now) const;

private:
  friend class builder;
  slot_owner(node_name Name, monsoonreel::incarnation Incarnation,
             std::shared_ptr<const scheduling_policy> Policy);

  struct owned_cell {
    cell_queue Queue;
    steady_time LastAskAt;
  };

  cell_step step(steady_time Now, slot_reply_list &Replies,
                 effect_list &Effects);
  cell_queue *queueFor(const cell_name &Name, steady_time Now);
  void pollLoads(steady_time Now, effect_list &Effects);

  node_name Name;
  monsoonreel::incarnation Incarnation;
  std::shared_ptr<const scheduling_policy> Policy;
  configuration Configuration;
  pool_map Map;
  short_names Names;
  std::map<cell_name, owned_cell> Queues;
  std::map<upstream_name, cell_name> CellOfUpstream;
  steady_time NextPoll;
  int64_t LastSlot = 0;
  bool Draining = false;
};

class slot_owner::builder {
public:
  builder &name(node_name Value);
  builder &incarnation(monsoonreel::incarnation Value);
  // Default: tiered.
  builder &policy(std::shared_ptr<const scheduling_policy> Value);
  slot_owner build();

private:
  node_name Name;
  monsoonreel::incarnation Incarnation;
  std::shared_ptr<const scheduling_policy> Policy;
};

} // namespace monsoonreel

#endif // MONSOONREEL_SLOT_OWNER_H
