// Time limits that the platform sets for a site, and values derived from them.
//
//   routing_terms Terms;
//   Terms.Bounds = Settings.Bounds;
//   duration Period = Terms.Bounds.upstreamReadPeriod();
//
// A larger site has longer limits. Reads and leases scale with them, so that
// they are met everywhere with as few calls as possible.

#ifndef ROUTING_SITE_BOUNDS_H
#define ROUTING_SITE_BOUNDS_H

#include <algorithm>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

struct site_bounds {
  // Time from the store's acceptance of the record that an upstream is leaving
  // until that upstream must receive no new requests.
  duration LeaveDeadline = std::chrono::milliseconds(2000);
  // Time from the acknowledgement of a configuration until it is in force at
  // all entries.
  duration ConfigInForce = std::chrono::milliseconds(2000);
  // Time from the end of a usage window until its report is due.
  duration UsageDue = std::chrono::seconds(10);
  // Interval between two reports of an upstream to the platform.
  duration UpstreamReport = std::chrono::milliseconds(1200);
  // Time from the acknowledgement of an evacuation order until no request may
  // reach an upstream of the zone.
  duration EvacuationInForce = std::chrono::milliseconds(5000);
  // A cold upstream accepts, in any second, its configured rate times
  // ColdOverrun, plus ColdAllowance requests.
  double ColdOverrun = 1;
  double ColdAllowance = 0;
  // Time from the shutdown request until the process is killed.
  duration ShutdownTime = std::chrono::seconds(8);

  bool operator==(const site_bounds &) const = default;

  // Several reads fit into LeaveDeadline, so that one read may fail and the
  // next reader can take over.
  duration upstreamReadPeriod() const { return LeaveDeadline * 9 / 40; }
  // Additional read delay of a later reader, so that the earlier readers of its
  // zone have announced their reads by then.
  duration laterReaderDelay() const { return LeaveDeadline / 8; }
  // Interval at which a later reader calls a failing store.
  duration laterReaderRetryPeriod() const { return 2 * LeaveDeadline; }
  // How long the store holds a read of the configuration open. A read that was
  // lost on a silent connection is detected within half of ConfigInForce.
  // Evacuation orders are read from the same feed.
  duration configReadWait() const {
    return std::min(ConfigInForce, EvacuationInForce) / 5;
  }
  // How long an evacuation order stays in force that the store may have lost:
  // the operator reacts to a restore as late as to a rejected configuration.
  duration lostOrderGrace() const { return 2 * ConfigInForce; }
  // Rate that all entries together keep to at an upstream that accepts
  // PerSecond requests per second while it is cold. With rate R, they send at
  // most R requests in one second beyond the R requests that their token
  // buckets hold. With R below 1, one request in a second is possible.
  double coldRate(double PerSecond) const {
    double Most = PerSecond * ColdOverrun + ColdAllowance;
    return Most < 1 ? 0 : std::min(PerSecond, Most / 2);
  }
  // Time for lapsed entries of upstreams to return after the store has
  // recovered. The platform states about two seconds, but an upstream that has
  // really left may not be used for longer than LeaveDeadline.
  duration lapseGrace() const {
    return std::min<duration>(std::chrono::milliseconds(2200),
                              LeaveDeadline * 9 / 10);
  }
  // Maximum time to wait for the counts of an entry that does not report its
  // usage.
  duration maxUsageWait() const { return UsageDue * 3 / 5; }
  // Duration of the duty lease. A successor has to hold the lease within
  // UsageDue.
  duration dutyLease() const { return UsageDue * 2 / 5; }
  // How long new requests are still served after the shutdown request. The
  // platform's load balancer sends them until two of its probes have failed,
  // one per second.
  duration drainServingTime() const {
    return std::min<duration>(std::chrono::milliseconds(2600),
                              ShutdownTime / 3);
  }
  // Time from the shutdown request until the requests that are still open are
  // given up and answered. It leaves time for the answers to arrive.
  duration drainTime() const { return ShutdownTime * 7 / 8; }
};

} // namespace monsoonreel

#endif // ROUTING_SITE_BOUNDS_H
