// The queue and the slots of one cell, held by the cell's owner.
//
//   cell_queue Queue(Cell, Configuration, *Policy);
//   cell_step Step{Now, OwnerIncarnation, LastSlot, Replies, Effects};
//   Queue.ask(From, Ask, Step);
//   Queue.release(Slot, Report, Step);
//   Queue.tick(Step);
//
// All calls but `configure`, `renew` and `refuseAll` also grant every slot that
// can be granted. Invariants that are checked here:
//   no-higher-tier-shed       no request is shed while a class of a lower tier
//                             has more waiting requests than its minimum share
//                             guarantees
//   no-higher-tier-preempted  a slot is preempted only for a higher tier
//   class-not-starved         the number of consecutive grants that a waiting
//                             class could have used but did not get stays
//                             within the bound set by its minimum share
//   no-grant-to-leaving       an upstream with a reclaim notice gets no grant
//   cheap-only-where-allowed  no grant on a reclaimable upstream for a request
//                             that is not idempotent or whose class forbids it

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

// A slot that its asker has not renewed for this long expires.
constexpr duration slot_lifetime = std::chrono::seconds(7);
// Upper bound of the slots that are preempted in one step.
constexpr int max_preemptions_per_step = 4;
// Interval of the checks for expired slots and for waiting requests that can no
// longer be served in time.
constexpr duration review_period = std::chrono::milliseconds(100);

// The inputs and outputs that all calls of one event share.
struct cell_step {
  steady_time Now;
  incarnation Owner;
  int64_t &LastSlot; // last slot number, shared by all cells of the owner
  slot_reply_list &Replies;
  effect_list &Effects;
};

class cell_queue {
public:
  cell_queue(const cell &Cell, const configuration &Configuration,
             const scheduling_policy &Policy);

  void configure(const cell &Cell, const configuration &Configuration);

  // Grants a slot, queues the ask or refuses it. A repeated ask is answered
  // with its current state.
  void ask(const slot_peer &From, const wire::slot_ask &Ask, cell_step &Step);
  // Removes the ask from the queue: the asker no longer waits.
  void cancel(const ask_key &Key, cell_step &Step);
  // Returns false when the slot does not belong to this cell.
  bool release(int64_t Slot, const slot_report &Report, cell_step &Step);
  // Extends the slot's lifetime: the asker still uses it.
  void renew(int64_t Slot, steady_time Now);
  void onLoadReport(const load_report &Report, cell_step &Step);
  void tick(cell_step &Step);
  // Refuses all waiting requests.
  void refuseAll(wire::refusal_reason::type Reason, cell_step &Step);

  const cell_upstreams &upstreams() const { return Upstreams; }
  size_t waitingCount() const { return Queue->size(); }
  size_t runningCount() const { return Running.size(); }
  // Expected wait of a new request of the lowest tier.
  duration expectedWait(steady_time Now) const;
  int freeSlots(steady_time Now) const;

private:
  struct running_slot {
    waiting_request Request;
    upstream_name Upstream;
    steady_time StartedAt;
    steady_time RenewedAt;
    bool Probe = false;
    // Granted by its class's minimum share, so it can't be preempted.
    bool Guaranteed = false;
    bool Preempting = false;
  };

  waiting_request makeRequest(const slot_peer &From, const wire::slot_ask &Ask,
                              steady_time Now) const;
  bool answerRepeated(const slot_peer &From, const ask_key &Key,
                      cell_step &Step);
  // The admission policy's inputs for Request.
  admission_view admissionViewOf(const waiting_request &Request,
                                 steady_time Now) const;
  // Returns whether Request may wait, and refuses it otherwise. It may also
  // wait while a request of a lower tier would be shed before it.
  bool admit(const waiting_request &Request, cell_step &Step);
  // Sheds one late request of Request's class if Request would be in time when
  // it is served before the late ones. Returns whether it did.
  bool displaceLate(const waiting_request &Request, duration RetryAfter,
                    cell_step &Step);
  // Called when the queue is full. Sheds a request of a lower tier and returns
  // true, or else refuses Request and returns false.
  bool makeRoomInQueue(const waiting_request &Request, cell_step &Step);
  // Whether admission would now refuse the waiting Request by its deadline.
  bool wouldMissDeadline(const waiting_request &Request, steady_time Now) const;
  // Whether more requests of Class wait than its minimum share guarantees.
  bool exceedsGuaranteedPlaces(const class_name &Class) const;
  // Number of waiting requests of Class that its minimum share can serve within
  // the longest allowed queue wait.
  size_t guaranteedPlaces(const class_name &Class) const;
  // The request to shed first in favour of one of Tier, or nullptr. It is of a
  // lower tier and of a class that exceeds its guaranteed places.
  const waiting_request *shedCandidateBelow(tier Tier) const;
  duration expectedHold(const waiting_request &Request) const;
  // At least Base. Successive refusals get increasing times, so that the
  // refused requests do not all retry at once.
  duration retryAfter(duration Base, cell_step &Step);

  void grantAll(cell_step &Step);
  // Takes the next request that fits a free slot out of the queue. Sets
  // Guaranteed to whether its class's minimum share selected it.
  std::optional<waiting_request> takeNext(bool &Guaranteed, cell_step &Step);
  void grant(waiting_request Request, bool Guaranteed, cell_step &Step);
  void checkGrant(const waiting_request &Request, size_t Index,
                  cell_step &Step);
  void sendGrant(int64_t Slot, const running_slot &Running, cell_step &Step);
  static void sendQueued(const slot_peer &To, const ask_key &Key,
                         cell_step &Step);
  void countGrant(const class_name &Granted, size_t Index, cell_step &Step);

  // Preempts slots for requests that would otherwise miss their targets.
  void preempt(cell_step &Step);
  bool isUrgent(const waiting_request &Request, steady_time Now) const;
  // The slot to preempt for Request, or nullptr.
  running_slot *victimFor(const waiting_request &Request, int64_t &Slot,
                          steady_time Now);
  // Whether Slot may be preempted for a request of tier Above.
  static bool isPreemptible(const running_slot &Slot, tier Above);
  // Number of slots that could be preempted for a request of tier Above. If
  // Cheap, this includes those on reclaimable upstreams.
  int preemptible(tier Above, bool Cheap) const;
  // Number of waiting requests of tier Lowest and higher tiers.
  size_t waitingUpTo(tier Lowest) const;
  tier lowestTier() const;

  // Removes and refuses a waiting request. Key may refer to that request's own
  // key, which is destroyed by the removal.
  void shed(const ask_key &Key, wire::refusal_reason::type Reason,
            duration RetryAfter, cell_step &Step);
  void refuse(const waiting_request &Request, wire::refusal_reason::type Reason,
              duration RetryAfter, cell_step &Step);
  void checkShed(const waiting_request &Request, cell_step &Step);
  void expireWaiting(cell_step &Step);
  void expireSlots(cell_step &Step);
  void reviewWaiting(cell_step &Step);
  // Takes back the admission of Request, which is refused after all.
  void undoAdmission(const waiting_request &Request);
  std::optional<waiting_request> removeWaiting(const ask_key &Key);
  void recordOutcome(const running_slot &Slot, const slot_report &Report,
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
  absl::btree_set<std::pair<steady_time, ask_key>> WaitDeadlines;
  // It is iterated over, so its order must not depend on the hash seed.
  absl::btree_map<int64_t, running_slot> Running;
  absl::flat_hash_map<ask_key, int64_t> SlotOfAsk;
  int Preempting = 0;
  // The latest retry time that was sent with a refusal.
  steady_time LastRetryAt;
  steady_time NextReview;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CELL_QUEUE_H
