// Keeps the request rates of upstreams, and this entry's share of them: the
// rates that upstreams state in their answers, and those of cold upstreams.
//
//   upstream_limits Limits(Self);
//   Limits.setEntries(Names, Now);             // all other live entries
//   Limits.onAnswer(Upstream, PerSecond, SentAt, Now);
//   Limits.onReport(Limit, Now);               // from another entry
//   Limits.setCold(Upstream, cold_limit{10.75, ColdUntil}, Now);
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
// starts without tokens, so a changed choice adds nothing. With a capacity of
// one token, n entries that share rate R send at most n + R requests within one
// second, and n is at most max(1, R). An entry that other
// entries do not know of, or whose list of entries is incomplete, adds up to
// the share that it computes; an entry therefore takes no share while it starts
// or drains.
//
// Cold upstreams. All entries know from the registry until when an upstream is
// cold, so these limits are not reported. An upstream that gets more than its
// rate crashes, so entries that cannot be reached keep their shares of cold
// limits for `lost_entry_time`: they may be alive in another part of a
// partitioned network. Where a stated limit applies as well, the lower rate
// holds.

#ifndef ROUTING_UPSTREAM_LIMITS_H
#define ROUTING_UPSTREAM_LIMITS_H

#include <map>
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
// An entry that became unreachable counts for so long in the shares of cold
// limits: longer than partitions of a network usually last.
constexpr duration lost_entry_time = std::chrono::minutes(10);

struct cold_limit {
  double PerSecond = 0; // of all entries together; 0: no requests
  steady_time Until;
};

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

  // Sets until when the upstream is cold; unset if it is not, or may get any
  // number of requests.
  void setCold(const upstream_name &Upstream,
               const std::optional<cold_limit> &Cold, steady_time Now);

  // Returns whether the upstream has no limit, or this entry may send it a
  // request now.
  bool maySend(const upstream_name &Upstream, steady_time Now) const;
  void onSent(const upstream_name &Upstream, steady_time Now);

  // Returns whether the upstream has a limit of either kind.
  bool hasLimit(const upstream_name &Upstream) const;
  // Returns the stated limit in requests per second, if there is one.
  std::optional<double> limitOf(const upstream_name &Upstream) const;
  // Returns this entry's share and the rate in requests per second, for logs.
  std::string describe(const upstream_name &Upstream) const;
  // Returns the number of upstreams with a stated limit.
  size_t size() const;

  struct summary {
    int Upstreams = 0;    // with a limit of either kind
    double PerSecond = 0; // sum of the rates that apply
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
    // When an entry received that answer; unset if none is known.
    std::optional<steady_time> HeardAt;
    bool HeardByOther = false;
    std::optional<cold_limit> Cold;
    double Share = 0; // of rate()
    token_bucket Bucket{0, 0};
    // Returns the rate that applies, if there is one.
    std::optional<double> rate() const;
  };
  // Returns nullptr if there is no room for another limit.
  limit *stateOf(const upstream_name &Upstream);
  // Returns whether the limit has changed.
  bool set(const upstream_name &Upstream, limit &Limit,
           std::optional<double> PerSecond, std::optional<steady_time> HeardAt,
           steady_time Now);
  double computeShare(const upstream_name &Upstream, double Rate,
                      const std::vector<std::string> &SharingOthers) const;
  void updateShare(const upstream_name &Upstream, limit &Limit,
                   steady_time Now) const;
  void updateShares(steady_time Now);
  void updateOthersOfCold();

  std::string Self;
  std::vector<std::string> Others;
  std::map<std::string, steady_time> LostAt; // unreachable entries
  std::vector<std::string> OthersOfCold;     // Others and unreachable entries
  bool IsSharing = true;
  int64_t Period = 0;
  absl::flat_hash_map<upstream_name, limit> Limits;
};

} // namespace monsoonreel

#endif // ROUTING_UPSTREAM_LIMITS_H
