// Times that the platform states for a site, and what follows from them.
//
//   routing_terms Terms;
//   Terms.Bounds = Settings.Bounds;
//   duration Period = Terms.Bounds.upstreamReadPeriod();
//
// A larger site states longer times; reads and leases follow them, so that the
// same code keeps them everywhere and calls no more often than it has to.

#ifndef ROUTING_SITE_BOUNDS_H
#define ROUTING_SITE_BOUNDS_H

#include <algorithm>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

struct site_bounds {
  // From the store's taking in of an upstream's leave until it must have no new
  // work.
  duration LeaveKnown = std::chrono::milliseconds(2000);
  // From a configuration's acknowledgement until it is in force everywhere.
  duration ConfigInForce = std::chrono::milliseconds(2000);
  // From the end of a usage window until its report is due.
  duration UsageDue = std::chrono::seconds(10);
  // Between two reports of an upstream to the platform.
  duration UpstreamReport = std::chrono::milliseconds(1200);
  // From the request to end until the process is killed.
  duration ShutdownTime = std::chrono::seconds(8);

  bool operator==(const site_bounds &) const = default;

  // Several reads fit into LeaveKnown, so that one may fail and the next reader
  // may have to take over.
  duration upstreamReadPeriod() const { return LeaveKnown * 9 / 40; }
  // A later reader of upstreams waits so much longer than the earlier ones of
  // its zone, which have told what they read by then.
  duration laterReaderPatience() const { return LeaveKnown / 8; }
  // A later reader tries a failing store only so often.
  duration laterReaderRetry() const { return 2 * LeaveKnown; }
  // How long the store holds a read of the configuration back. A read that a
  // silent connection has swallowed is noticed within half of ConfigInForce.
  duration configReadWait() const { return ConfigInForce / 5; }
  // After the store's return, for lapsed entries of upstreams to come back. The
  // platform states about two seconds, but an upstream that has really left may
  // not be used for longer than LeaveKnown.
  duration lapseGrace() const {
    return std::min<duration>(std::chrono::milliseconds(2200),
                              LeaveKnown * 9 / 10);
  }
  // So long an entry that tells no usage is waited for.
  duration usageLongestWait() const { return UsageDue * 3 / 5; }
  // A successor to the duties has to be in charge within UsageDue.
  duration dutyLease() const { return UsageDue * 2 / 5; }
  // After the request to end, new requests are still served for so long,
  // because the platform's balancer sends them until it has missed two probes,
  // one a second.
  duration drainServingTime() const {
    return std::min<duration>(std::chrono::milliseconds(2600),
                              ShutdownTime / 3);
  }
};

} // namespace monsoonreel

#endif // ROUTING_SITE_BOUNDS_H
