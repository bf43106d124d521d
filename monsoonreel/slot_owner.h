// The owner's side of the cells' queues: takes asks for slots, grants them in
// the order of the scheduling policy, refuses and preempts.
//
//   slot_owner Owner = slot_owner::builder()
//                          .incarnation(Self.Incarnation)
//                          .policy(makeSchedulingPolicy("tiered"))
//                          .build();
//   Owner.setConfiguration(Configuration, Map, Now, Replies, Effects);
//   Owner.onAsk(From, Ask, Now, Replies, Effects);
//   Owner.onTick(Now, Replies, Effects);
//
// Ownership is soft state. An owner serves every cell that it is asked for:
// which entry is asked is the askers' choice. Two owners of a cell for a moment
// mean too much concurrency for that moment, never a wrong answer. A slot whose
// asker stops renewing it expires.

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

// What operators are shown of one cell that this node owns.
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

  // Takes a new configuration. Cells that stay keep their queues and slots;
  // the waiting requests of cells that go are refused.
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
  // Expires slots and deadlines, polls the load of the upstreams whose cells
  // have been asked for, grants and preempts.
  void onTick(steady_time Now, slot_reply_list &Replies, effect_list &Effects);

  // Refuses all that wait and all asks from now on, so that askers go to the
  // next owner. Slots that run stay valid.
  void drain(steady_time Now, slot_reply_list &Replies, effect_list &Effects);

  // Load of the owned cells, for gossip. Owner names this node.
  std::vector<wire::pool_load> loads(steady_time Now) const;
  // Slots and waiting requests over all cells.
  size_t runningCount() const;
  size_t waitingCount() const;
  // For operators.
  std::vector<owned_cell_status> status(steady_time Now) const;

private:
  friend class builder;
  slot_owner(node_name Name, monsoonreel::incarnation Incarnation,
             std::shared_ptr<const scheduling_policy> Policy);

  struct owned_cell {
    cell_queue Queue;
    steady_time AskedAt;
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
