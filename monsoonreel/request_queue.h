// The requests that wait for a slot of one cell, in the order of a policy.
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

// Names an ask among all askers.
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
  steady_time Target; // when the target is missed unless the first token came
  // A later grant will probably miss the target.
  steady_time LatestGrant;
  steady_time GiveUp; // when nobody waits for it any more
  int PromptTokens = 0;
  int MaxTokens = 0;
  uint64_t PrefixHash = 0;
  bool Idempotent = false;
  bool Resumed = false;
  // It may run on an upstream that can be reclaimed.
  bool CheapAllowed = false;
  std::vector<upstream_name> Excluded;
  // Expected time in a slot: what a grant is charged to the organisation.
  duration ExpectedHold{};
};

// For the details of invariants.
std::string describe(const waiting_request &Request);

// What waits behind all that can still meet its target.
struct late_work {
  duration Work{}; // expected time in slots
  // The one to shed first, or nullptr; never a resumed one.
  const waiting_request *Victim = nullptr;
};

// Whether a waiting request can be granted a slot now.
using request_filter = std::function<bool(const waiting_request &)>;

class request_queue {
public:
  virtual ~request_queue() = default;

  virtual void push(waiting_request Request) = 0;
  // Takes out the next request in the policy's order that Fits.
  virtual std::optional<waiting_request> take(const request_filter &Fits,
                                              steady_time Now) = 0;
  // The same among the requests of one class.
  virtual std::optional<waiting_request> takeOfClass(const class_name &Class,
                                                     const request_filter &Fits,
                                                     steady_time Now) = 0;
  // The next request of any tier above Below that Fits, left in its place.
  virtual const waiting_request *
  peekAbove(tier Below, const request_filter &Fits, steady_time Now) const = 0;
  virtual std::optional<waiting_request> remove(const ask_key &Key) = 0;
  virtual const waiting_request *find(const ask_key &Key) const = 0;
  // The request to shed first: of the lowest tier among the classes that Sheds
  // accepts, of the organisation with most waiting for its weight, the one
  // with the latest deadline.
  virtual const waiting_request *
  shedCandidate(const std::function<bool(const class_name &)> &Sheds) const = 0;
  // The late requests of Tier. The victim is of Class, of the organisation with
  // most waiting for its weight, the one that became late last. Of very many a
  // bounded number is looked at.
  virtual late_work lateWork(tier Tier, const class_name &Class,
                             steady_time Now) const = 0;
  // Corrects what an organisation was charged by the time that was really
  // used.
  virtual void charge(const class_name &Class, tier Tier,
                      const organisation_name &Organisation, double Weight,
                      duration Used) = 0;

  virtual size_t size() const = 0;
  virtual size_t waitingOf(const class_name &Class) const = 0;
  // Whether a request of Class waits that Fits. Of many that are alike but for
  // the upstreams that failed them, a bounded number is looked at.
  virtual bool anyOfClass(const class_name &Class,
                          const request_filter &Fits) const = 0;
  // Expected time in slots of what would be granted before a new request.
  virtual duration workAhead(tier Tier, const organisation_name &Organisation,
                             double Weight) const = 0;
};

std::unique_ptr<request_queue> makeFairQueue();
std::unique_ptr<request_queue> makeFifoQueue();

} // namespace monsoonreel

#endif // MONSOONREEL_REQUEST_QUEUE_H
