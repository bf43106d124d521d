// Upstreams that other entries have reported as failing, at an entry that
// places requests for them.
//
//   reported_failures Reported;
//   Reported.onReport(From, Service, Names, EngineCount, Now);
//   if (Reported.isPaused(Upstream, Now)) ... // try others
//
// Load pattern: many upstreams crash at once and stay listed for some seconds.
// Without this, each of dozens of entries is sent to each of them once.
//
// One report can come from an entry whose own network fails. An upstream is
// therefore paused only after a second report, and the reports of one entry
// count for at most `max_reported_share` of the upstreams of each service.

#ifndef ROUTING_REPORTED_FAILURES_H
#define ROUTING_REPORTED_FAILURES_H

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Two reports within this time confirm each other.
constexpr duration report_confirmation_window = std::chrono::seconds(1);
// Reports go on while the upstream fails, so a short pause is enough.
constexpr duration reported_pause = std::chrono::seconds(1);
constexpr double max_reported_share = 0.25;

class reported_failures {
public:
  // Handles that an entry avoids these of the Upstreams of a service.
  void onReport(const address &From, const pool_name &Service,
                const std::vector<std::string> &Names, size_t Upstreams,
                steady_time Now);
  bool isPaused(const upstream_name &Upstream, steady_time Now) const;
  void forget(const upstream_name &Upstream) { States.erase(Upstream); }
  void onTick(steady_time Now);

private:
  struct state {
    steady_time ReportedAt = steady_time::min();
    steady_time PausedUntil = steady_time::min();
  };
  // The upstreams of a service that count as reported by one entry.
  struct reporter {
    absl::flat_hash_map<upstream_name, steady_time> Reported;
  };

  absl::flat_hash_map<upstream_name, state> States;
  absl::flat_hash_map<std::pair<address, pool_name>, reporter> Reporters;
  steady_time NextSweep = steady_time::min();
};

} // namespace monsoonreel

#endif // ROUTING_REPORTED_FAILURES_H
