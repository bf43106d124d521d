// The requests that wait for a slot of one cell, ordered by a policy.
//
//   std::unique_ptr<request_queue> Queue = makeFairQueue();
//   Queue->push(std::move(Waiting));
//   auto Next = Queue->take([&](const waiting_request &W) { ... }, Now);
//
// Implementations: `makeFairQueue` (tiers, then organisations by weight, then
// deadlines) and `makeFifoQueue` (arrival).

#ifndef MONSOONREEL_REQUEST_QUEUE_H
#define MONSOONREEL_REQUEST_QUEUE_H

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/slot_messages.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Identifies an ask among those of all askers.
struct ask_key {
  node_name Asker;
  int64_t Incarnation = 0;
  int64_t Ask = 0;

  auto operator<=>(const ask_key &) const = default;
  bool operator==(const ask_key &) const = default;
  template <typename H> friend H AbslHashValue(H State, const ask_key &K) {
    return H::combine(std::move(State), K.Asker, K.Incarnation, K.Ask);
  }
};

struct waiting_request {
  ask_key Key;
  slot_peer From;
  class_name Class;
  tier Tier;
  organisation_name Organisation;
  double Weight = 1; // of the organisation
  steady_time ArrivedAt;
  steady_time Target; // by when the first token is due
  // A grant after this time will probably miss the target.
  steady_time LatestGrant;
  steady_time WaitDeadline; // when the request stops waiting
  int PromptTokens = 0;
  int MaxTokens = 0;
  uint64_t PrefixHash = 0;
  bool Idempotent = false;
  bool Resumed = false;
  // Whether it may run on a reclaimable upstream.
  bool CheapAllowed = false;
  std::vector<upstream_name> Excluded;
  // Expected slot time, which is charged to the organisation on a grant.
  duration ExpectedHold{};
};

// Describes a request in reports of broken invariants.
std::string describe(const waiting_request &Request);

// The waiting requests that can no longer meet their target.
struct late_work {
  duration Work{}; // expected slot time
  // The request to shed first, or nullptr; never a resumed one.
  const waiting_request *Victim = nullptr;
};

// Whether a waiting request can be granted a slot now.
using request_filter = std::function<bool(const waiting_request &)>;

class request_queue {
public:
  virtual ~request_queue() = default;

  virtual void push(waiting_request Request) = 0;
  // Removes and returns the next request in the policy's order that Fits
  // accepts.
  virtual std::optional<waiting_request> take(const request_filter &Fits,
                                              steady_time Now) = 0;
  // Like `take`, but considers only the requests of one class.
  virtual std::optional<waiting_request> takeOfClass(const class_name &Class,
                                                     const request_filter &Fits,
                                                     steady_time Now) = 0;
  // Returns the next request of any tier above Below that Fits accepts, without
  // removing it.
  virtual const waiting_request *
  peekAbove(tier Below, const request_filter &Fits, steady_time Now) const = 0;
  virtual std::optional<waiting_request> remove(const ask_key &Key) = 0;
  virtual const waiting_request *find(const ask_key &Key) const = 0;
  // The request to shed first. Considers the classes that Sheds accepts, and of
  // these the lowest tier. Within it, selects the organisation with the most
  // waiting requests per weight, and that organisation's request with the
  // latest deadline.
  virtual const waiting_request *
  shedCandidate(const std::function<bool(const class_name &)> &Sheds) const = 0;
  // The late requests of Tier. The victim is of Class, from the organisation
  // with the most waiting requests per weight, and became late last. The number
  // of requests that are examined is bounded.
  virtual late_work lateWork(tier Tier, const class_name &Class,
                             steady_time Now) const = 0;
  // Adds Used to the slot time that the organisation is charged, to correct the
  // estimate that a grant charged. Used may be negative.
  virtual void charge(const class_name &Class, tier Tier,
                      const organisation_name &Organisation, double Weight,
                      duration Used) = 0;

  virtual size_t size() const = 0;
  virtual size_t waitingOf(const class_name &Class) const = 0;
  // Whether a waiting request of Class is accepted by Fits. The number of
  // requests that are examined is bounded, because most differ only in their
  // excluded upstreams.
  virtual bool anyOfClass(const class_name &Class,
                          const request_filter &Fits) const = 0;
  // Expected slot time of the requests that would be granted before a new one.
  virtual duration workAhead(tier Tier, const organisation_name &Organisation,
                             double Weight) const = 0;
};

std::unique_ptr<request_queue> makeFairQueue();
std::unique_ptr<request_queue> makeFifoQueue();

} // namespace monsoonreel

#endif // MONSOONREEL_REQUEST_QUEUE_H
