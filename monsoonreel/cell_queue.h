// One cell's queue and slots, as its owner keeps them.
//
//   cell_queue Queue(Cell, Configuration, *Policy);
//   cell_step Step{Now, OwnerIncarnation, LastSlot, Replies, Effects};
//   Queue.ask(From, Ask, Step);
//   Queue.release(Slot, Report, Step);
//   Queue.tick(Step);
//
// Every call grants whatever can be granted after it. Invariants, checked here:
//   no-higher-tier-shed       nothing is shed while a lower tier holds a place
//                             beyond its class's minimum share
//   no-higher-tier-preempted  a slot is taken back for a higher tier only
//   class-not-starved         no waiting class is passed over more often than
//                             its minimum share allows, by grants that it could
//                             have had
//   no-grant-to-leaving       an upstream with a reclaim notice gets no grant
//   cheap-only-where-allowed  no grant on a reclaimable upstream for what may
//                             not be repeated or whose class forbids it

#ifndef MONSOONREEL_CELL_QUEUE_H
#define MONSOONREEL_CELL_QUEUE_H

#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "monsoonreel/admitted_share.h"
#include "monsoonreel/cell_upstreams.h"
#include "monsoonreel/configuration.h"
#include "monsoonreel/effect.h"
#include "monsoonreel/latency_tracker.h"
#include "monsoonreel/minimum_share.h"
#include "monsoonreel/output_estimator.h"
#include "monsoonreel/pool_map.h"
#include "monsoonreel/scheduling_policy.h"
#include "monsoonreel/slot_messages.h"
#include "monsoonreel/tier_demand.h"

namespace monsoonreel {

// A slot that its asker has not renewed for so long comes free.
constexpr duration slot_lifetime = std::chrono::seconds(7);
// Slots that are taken back in one step at most.
constexpr int max_preemptions_per_step = 4;
// How often hopeless waiting requests and expired slots are looked for.
constexpr duration review_period = std::chrono::milliseconds(100);

// The surroundings of one call.
struct cell_step {
  steady_time Now;
  incarnation Owner;
  int64_t &LastSlot; // counter of all cells of the owner
  slot_reply_list &Replies;
  effect_list &Effects;
};

class cell_queue {
public:
  cell_queue(const cell &Cell, const configuration &Configuration,
             const scheduling_policy &Policy);

  void configure(const cell &Cell, const configuration &Configuration);

  // Grants a slot, queues the ask or refuses it. One that is repeated gets the
  // answer that it has now.
  void ask(const slot_peer &From, const wire::slot_ask &Ask, cell_step &Step);
  // The asker no longer waits.
  void cancel(const ask_key &Key, cell_step &Step);
  // False: the slot is not of this cell.
  bool release(int64_t Slot, const slot_report &Report, cell_step &Step);
  // The asker still uses the slot.
  void renew(int64_t Slot, steady_time Now);
  void onLoadReport(const load_report &Report, cell_step &Step);
  void tick(cell_step &Step);
  // Refuses everything that waits.
  void refuseAll(wire::refusal_reason::type Reason, cell_step &Step);

  const cell_upstreams &upstreams() const { return Upstreams; }
  size_t waitingCount() const { return Queue->size(); }
  size_t runningCount() const { return Running.size(); }
  // Expected wait of a request of the lowest tier.
  duration expectedWait(steady_time Now) const;
  int freeSlots(steady_time Now) const;

private:
  struct running_slot {
    waiting_request Request;
    upstream_name Upstream;
    steady_time StartedAt;
    steady_time RenewedAt;
    bool Probe = false;
    // Granted by its class's minimum share, so it can't be taken back.
    bool Guaranteed = false;
    bool Preempting = false;
  };

  waiting_request makeRequest(const slot_peer &From, const wire::slot_ask &Ask,
                              steady_time Now) const;
  bool answerRepeated(const slot_peer &From, const ask_key &Key,
                      cell_step &Step);
  // What admission is told of Request.
  admission_view viewOf(const waiting_request &Request, steady_time Now) const;
  // Whether Request may wait; it is refused when it may not. It may also wait
  // while a lower tier holds a place that would be shed first.
  bool admit(const waiting_request &Request, cell_step &Step);
  // Sheds a late request of Request's class if Request can be in time before
  // those that are late.
  bool displaceLate(const waiting_request &Request, duration RetryAfter,
                    cell_step &Step);
  // For a full queue: sheds a request of a lower tier, or refuses Request.
  bool makePlace(const waiting_request &Request, cell_step &Step);
  // Whether admission would refuse Request, which waits, by its deadline.
  bool isHopeless(const waiting_request &Request, steady_time Now) const;
  // Whether Class holds places beyond those of its minimum share.
  bool holdsSpare(const class_name &Class) const;
  // Waiting requests of Class that its minimum share serves before they give
  // up.
  size_t guaranteedPlaces(const class_name &Class) const;
  // The request to shed first for one of Tier, or nullptr: of a lower tier, and
  // of a class that holds spare places.
  const waiting_request *spareBelow(tier Tier) const;
  duration expectedHold(const waiting_request &Request) const;
  // Base or longer, so that refused requests do not come back together.
  duration retryAfter(duration Base, cell_step &Step);

  void grantAll(cell_step &Step);
  // Guaranteed tells whether a minimum share decided.
  std::optional<waiting_request> takeNext(bool &Guaranteed, cell_step &Step);
  void grant(waiting_request Request, bool Guaranteed, cell_step &Step);
  void checkGrant(const waiting_request &Request, size_t Index,
                  cell_step &Step);
  void sendGrant(int64_t Slot, const running_slot &Running, cell_step &Step);
  static void sendQueued(const slot_peer &To, const ask_key &Key,
                         cell_step &Step);
  void countGrant(const class_name &Granted, size_t Index, cell_step &Step);

  // Takes slots back for requests that would miss their targets without.
  void preempt(cell_step &Step);
  bool isUrgent(const waiting_request &Request, steady_time Now) const;
  // The slot to take back for Request, or nullptr.
  running_slot *victimFor(const waiting_request &Request, int64_t &Slot,
                          steady_time Now);
  // Whether Slot may be taken back for a request of tier Above.
  static bool isPreemptible(const running_slot &Slot, tier Above);
  // Slots that could be taken back for a request of tier Above. Cheap: also
  // those on reclaimable upstreams.
  int preemptible(tier Above, bool Cheap) const;
  // Waiting requests of tier Lowest and of the tiers above it.
  size_t waitingUpTo(tier Lowest) const;
  tier lowestTier() const;

  // Key may be that of the waiting request itself, which goes away.
  void shed(const ask_key &Key, wire::refusal_reason::type Reason,
            duration RetryAfter, cell_step &Step);
  void refuse(const waiting_request &Request, wire::refusal_reason::type Reason,
              duration RetryAfter, cell_step &Step);
  void checkShed(const waiting_request &Request, cell_step &Step);
  void expireWaiting(cell_step &Step);
  void expireSlots(cell_step &Step);
  void reviewWaiting(cell_step &Step);
  // Request is refused after it was admitted.
  void withdraw(const waiting_request &Request);
  std::optional<waiting_request> removeWaiting(const ask_key &Key);
  void learn(const running_slot &Slot, const slot_report &Report,
             steady_time Now);

  cell Cell;
  std::map<class_name, service_class> Classes;
  std::map<organisation_name, double> Weights;
  policy_limits Limits;
  bool UsesTiers;
  std::unique_ptr<request_queue> Queue;
  std::unique_ptr<placement_policy> Placement;
  std::unique_ptr<admission_policy> Admission;
  cell_upstreams Upstreams;
  minimum_share Shares;
  tier_demand Demand;
  admitted_share Admitted;
  latency_tracker Latencies;
  output_estimator Outputs;
  decaying_histogram TokenGap; // microseconds between two tokens
  absl::btree_set<std::pair<steady_time, ask_key>> GiveUps;
  // Walked through, so its order must not depend on the process's hash seed.
  absl::btree_map<int64_t, running_slot> Running;
  absl::flat_hash_map<ask_key, int64_t> SlotOfAsk;
  int Preempting = 0;
  // Refused requests were told to come back up to then.
  steady_time PromisedUntil;
  steady_time NextReview;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CELL_QUEUE_H
