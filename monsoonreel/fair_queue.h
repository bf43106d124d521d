// The queue of the tiered policy: strict priority of tiers, then weighted
// fairness between organisations, then earliest deadline first.
//
//   std::unique_ptr<request_queue> Queue = makeFairQueue();
//
// The organisations of a tier share by start-time fair queuing: each
// organisation has a virtual time, and a grant advances it by the expected slot
// time divided by the organisation's weight. The organisation with the smallest
// virtual time is next. Past use counts, so a small organisation's request goes
// before the rest of another one's burst. An organisation that was idle starts
// at the queue's virtual time and gains nothing from having been idle.
//
// Within an organisation the request with the earliest `LatestGrant` is first.
// Requests that can no longer meet their target (`LatestGrant` has passed) come
// after all requests of the tier that can, regardless of the organisation,
// because they would only make others late as well.
//
// A class's requests are kept in two lanes, one for those that may run on
// reclaimable upstreams and one for the others, because often only one kind of
// upstream has room. Operations cost O(log n) in the number of waiting
// requests, but `workAhead` and `shedCandidate` are linear in the number of
// waiting organisations.

#ifndef MONSOONREEL_FAIR_QUEUE_H
#define MONSOONREEL_FAIR_QUEUE_H

#include <map>
#include <memory>
#include <utility>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"

#include "monsoonreel/request_queue.h"

namespace monsoonreel {

// Upper bound of the requests of one lane that are tried in search of one that
// fits the free upstreams.
constexpr int max_fit_tries = 4;
// Upper bound of the requests of one lane that are tried when only the
// existence of a fitting request matters.
constexpr int max_any_tries = 32;
// Upper bound of the late requests of one organisation in a lane that are
// counted.
constexpr int max_late_tries = 32;
// When a tier has more organisations than this, those without waiting requests
// are removed unless their virtual time is ahead of the queue's.
constexpr size_t max_idle_organisations = 1024;

class fair_queue : public request_queue {
public:
  void push(waiting_request Request) override;
  std::optional<waiting_request> take(const request_filter &Fits,
                                      steady_time Now) override;
  std::optional<waiting_request> takeOfClass(const class_name &Class,
                                             const request_filter &Fits,
                                             steady_time Now) override;
  const waiting_request *peekAbove(tier Below, const request_filter &Fits,
                                   steady_time Now) const override;
  std::optional<waiting_request> remove(const ask_key &Key) override;
  const waiting_request *find(const ask_key &Key) const override;
  const waiting_request *shedCandidate(
      const std::function<bool(const class_name &)> &Sheds) const override;
  late_work lateWork(tier Tier, const class_name &Class,
                     steady_time Now) const override;
  void charge(const class_name &Class, tier Tier,
              const organisation_name &Organisation, double Weight,
              duration Used) override;
  size_t size() const override { return Requests.size(); }
  size_t waitingOf(const class_name &Class) const override;
  bool anyOfClass(const class_name &Class,
                  const request_filter &Fits) const override;
  duration workAhead(tier Tier, const organisation_name &Organisation,
                     double Weight) const override;

private:
  // Requests of one organisation in a lane, by LatestGrant and then arrival.
  using deadline_key = std::pair<steady_time, uint64_t>;
  using request_order = absl::btree_map<deadline_key, const waiting_request *>;

  struct lane {
    // Ordered by name, so that ties are resolved deterministically.
    absl::btree_map<organisation_name, request_order> ByOrganisation;
    // Organisations with waiting requests by virtual time.
    absl::btree_set<std::pair<double, organisation_name>> Backlogged;
  };
  using lane_key = std::pair<class_name, bool>; // class, cheap allowed

  struct share {
    double VirtualTime = 0; // seconds of slot time divided by weight
    double Weight = 1;
    size_t Waiting = 0;
    duration Work{}; // expected slot time of the waiting requests
  };
  struct tier_state {
    absl::flat_hash_map<organisation_name, share> Shares;
    std::map<lane_key, lane> Lanes;
    double Clock = 0; // virtual time of the latest grant
    size_t Waiting = 0;
    duration Work{};
  };
  struct stored {
    waiting_request Request;
    uint64_t Sequence = 0;
  };
  struct choice {
    double VirtualTime = 0;
    steady_time LatestGrant;
    const waiting_request *Request = nullptr;
  };

  static late_work lateInOrder(const request_order &Order, steady_time Now);
  static bool anyInLane(const lane &Lane, const request_filter &Fits);
  // Skips requests whose LatestGrant is before From.
  static choice nextInLane(const lane &Lane, const request_filter &Fits,
                           steady_time From);
  static choice nextFrom(const tier_state &State, const class_name *Class,
                         const request_filter &Fits, steady_time From);
  // If Class is nullptr, requests of any class are considered.
  static const waiting_request *nextInTier(const tier_state &State,
                                           const class_name *Class,
                                           const request_filter &Fits,
                                           steady_time Now);
  std::optional<waiting_request> grant(const waiting_request *Next);
  static void setVirtualTime(tier_state &State,
                             const organisation_name &Organisation,
                             share &Share, double VirtualTime);
  static void dropIdle(tier_state &State);

  std::map<tier, tier_state> Tiers;
  absl::flat_hash_map<ask_key, std::unique_ptr<stored>> Requests;
  absl::flat_hash_map<class_name, size_t> WaitingByClass;
  uint64_t LastSequence = 0;
};

} // namespace monsoonreel

#endif // MONSOONREEL_FAIR_QUEUE_H
