// Keeps the request rates that upstreams state in their answers, and this
// entry's share of them.
//
//   upstream_limits Limits(Self);
//   Limits.setEntries(Names, Now);             // all other live entries
//   Limits.onAnswer(Upstream, PerSecond, SentAt, Now);
//   Limits.onReport(Limit, Now);               // from another entry
//   if (Limits.maySend(Upstream, Now)) {
//     Limits.onSent(Upstream, Now);
//     ...
//   }
//
// Load pattern: an upstream in need states how many requests per second it
// takes from all entries together, for as long as its answers say so. A rate of
// one request per second cannot be split evenly among hundreds of entries, so
// only as many entries send to the upstream as it takes requests per second,
// chosen by rendezvous hashing. Each of them has an equal part of the rate. The
// choice changes every `limit_share_period`, so that an upstream is not left to
// entries without callers, and no entry is without a share for long. Entries
// report the limits that they hear of to each other.
//
// Error bound. When all entries know the same entries and the same limit L, all
// together send at most 4 L + max(1, L) requests within any 4 s. A new share
// starts without tokens, so a changed choice adds nothing. An entry that other
// entries do not know of, or whose list of entries is incomplete, adds up to
// the share that it computes; an entry therefore takes no share while it starts
// or drains.

#ifndef ROUTING_UPSTREAM_LIMITS_H
#define ROUTING_UPSTREAM_LIMITS_H

#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"
#include "monsoonreel/token_bucket.h"

namespace monsoonreel {

// Several times the interval between the requests of the lowest limit.
constexpr duration limit_share_period = std::chrono::seconds(20);
// Requests per second up to which an upstream is tried whatever it states,
// because only an answer can end a limit.
constexpr double min_request_limit = 0.1;
// An entry sends bursts of up to its share over this time.
constexpr duration limit_burst_time = std::chrono::milliseconds(250);
// How long an answer's limit is reported to other entries: several report
// intervals.
constexpr duration limit_report_time = std::chrono::seconds(3);
// A limit that no answer has stated for this time is forgotten.
constexpr duration limit_expiry = std::chrono::minutes(10);
// Maximum number of limits in one report; the newest are reported.
constexpr size_t max_reported_limits = 64;
// Maximum number of upstreams whose limits are kept.
constexpr size_t max_limits = 4096;

class upstream_limits {
public:
  explicit upstream_limits(std::string Self) : Self(std::move(Self)) {}

  void setEntries(std::vector<std::string> Others, steady_time Now);
  // With false, this entry takes no share of any limit.
  void setSharing(bool Value, steady_time Now);
  // TrueTime is the time that all entries agree on.
  void onTick(steady_time Now, wall_time TrueTime);

  // Handles an answer to a request that was sent at SentAt. PerSecond is unset
  // if it states no limit. Returns whether the upstream's limit has changed.
  bool onAnswer(const upstream_name &Upstream, std::optional<double> PerSecond,
                steady_time SentAt, steady_time Now);
  // Handles an answer that another entry received. Returns whether the
  // upstream's limit has changed.
  bool onReport(const wire::upstream_limit &Limit, steady_time Now);

  // Returns whether the upstream has no limit, or this entry may send it a
  // request now.
  bool maySend(const upstream_name &Upstream, steady_time Now) const;
  void onSent(const upstream_name &Upstream, steady_time Now);

  // Returns the limit in requests per second, if there is one.
  std::optional<double> limitOf(const upstream_name &Upstream) const;
  // Returns this entry's share and the limit in requests per second, for logs.
  std::string describe(const upstream_name &Upstream) const;
  // Returns the number of upstreams with a limit.
  size_t size() const;

  struct summary {
    int Upstreams = 0;    // with a limit
    double PerSecond = 0; // sum of the limits
    double Share = 0;     // this entry's part of it
    duration OldestAge{}; // since the answers that stated the limits
  };
  // Adds the upstream's limit to Sum, if it has one.
  void addTo(summary &Sum, const upstream_name &Upstream,
             steady_time Now) const;
  // Returns the sum over all upstreams.
  summary total(steady_time Now) const;

  // Returns the limits in recent answers, newest first. With OwnOnly, only
  // those in answers that this entry received.
  std::vector<wire::upstream_limit> recent(bool OwnOnly, steady_time Now) const;

private:
  struct limit {
    std::optional<double> PerSecond; // unset: the last answer stated none
    steady_time HeardAt;             // when an entry received that answer
    bool HeardByOther = false;
    double Share = 0; // of PerSecond
    token_bucket Bucket{0, 0};
  };
  // Returns nullptr if there is no room for another limit.
  limit *stateOf(const upstream_name &Upstream);
  // Returns whether the limit has changed.
  bool set(const upstream_name &Upstream, limit &Limit,
           std::optional<double> PerSecond, steady_time HeardAt,
           steady_time Now);
  double computeShare(const upstream_name &Upstream, double PerSecond) const;
  void updateShare(const upstream_name &Upstream, limit &Limit,
                   steady_time Now) const;
  void updateShares(steady_time Now);

  std::string Self;
  std::vector<std::string> Others;
  bool IsSharing = true;
  int64_t Period = 0;
  absl::flat_hash_map<upstream_name, limit> Limits;
};

} // namespace monsoonreel

#endif // ROUTING_UPSTREAM_LIMITS_H
