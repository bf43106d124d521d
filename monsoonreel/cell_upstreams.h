// The state of a cell's upstreams as known to the owner of the cell's queue:
// their load, their health, and which of them may take a request.
//
//   cell_upstreams Upstreams;
//   Upstreams.configure(Cell.Upstreams);
//   if (Upstreams.hasRoom(Request, Now))
//     Candidates = Upstreams.candidates(Request, Now);
//
// The owner's own observations take precedence over load reports, which lag. A
// report only counts where it shows more work than this owner has granted, for
// example work that a previous owner granted.

#ifndef MONSOONREEL_CELL_UPSTREAMS_H
#define MONSOONREEL_CELL_UPSTREAMS_H

#include <optional>
#include <vector>

#include "monsoonreel/configuration.h"
#include "monsoonreel/event.h"
#include "monsoonreel/placement.h"
#include "monsoonreel/prefix_affinity.h"
#include "monsoonreel/request_queue.h"
#include "monsoonreel/slot_messages.h"
#include "monsoonreel/upstream_health.h"

namespace monsoonreel {

// An upstream whose time to the first token exceeds the median of the cell's
// other upstreams by this factor is ejected.
constexpr double straggler_factor = 3.0;
// Number of samples before an upstream's latency is compared.
constexpr int straggler_samples = 8;
// Load reports older than this are ignored.
constexpr duration report_lifetime = std::chrono::seconds(5);
// Number of prompt prefixes that a cell remembers.
constexpr size_t affinity_entries = 4096;

class cell_upstreams {
public:
  cell_upstreams() : Affinity(affinity_entries) {}

  // Replaces the cell's upstreams. Those that remain keep their state.
  void configure(const std::vector<upstream> &Members);
  std::optional<size_t> find(const upstream_name &Name) const;
  const upstream &at(size_t Index) const { return States[Index].Upstream; }
  size_t size() const { return States.size(); }

  // Whether any upstream has a free slot for Request now.
  bool hasRoom(const waiting_request &Request, steady_time Now) const;
  // Whether Index could serve Request if it had a slot.
  bool canServe(size_t Index, const waiting_request &Request,
                steady_time Now) const;
  // Whether any upstream could serve Request if it had a slot.
  bool anyCanServe(const waiting_request &Request, steady_time Now) const;
  std::vector<placement_candidate> candidates(const waiting_request &Request,
                                              steady_time Now) const;
  // Free slots and all slots of the upstreams in service, which includes those
  // whose first report is awaited. If Cheap, reclaimable upstreams count too.
  int freeSlots(bool Cheap, steady_time Now) const;
  int slots(bool Cheap, steady_time Now) const;

  // Whether a grant at Index now is a probe of an ejected upstream.
  bool isProbe(size_t Index, steady_time Now) const;
  void onGrant(size_t Index, const waiting_request &Request, steady_time Now);
  void onRelease(size_t Index, const slot_report &Report, bool WasProbe,
                 steady_time Now);
  void onLoadReport(const load_report &Report, steady_time Now);
  void onTick(steady_time Now);
  admission_state admits(size_t Index, steady_time Now) const;
  int inFlight(size_t Index) const { return States[Index].InFlight; }

private:
  struct state {
    upstream Upstream;
    upstream_health Health;
    int InFlight = 0;
    // Maximum of InFlight since the last load report. Reports lag, so the work
    // they show may have ended since.
    int PeakInFlight = 0;
    // Requests in the last report beyond those that this owner granted.
    int OtherOwnersWork = 0;
    steady_time ReportedAt;
    double PrefillTokens = 0;
    steady_time PrefillAt;
  };

  // Whether State takes, or will take after its first report, requests other
  // than probes. Reclaimable upstreams are in service only if Cheap.
  static bool isInService(const state &State, bool Cheap, steady_time Now);
  int load(const state &State, steady_time Now) const;
  int unused(const state &State, steady_time Now) const;
  int room(const state &State, steady_time Now) const;
  double prefill(const state &State, steady_time Now) const;
  duration medianFirstToken(size_t Except) const;
  bool isSlow(size_t Index, duration FirstToken) const;
  void ejectIfSlow(size_t Index, steady_time Now);

  std::vector<state> States;
  prefix_affinity Affinity;
};

} // namespace monsoonreel

#endif // MONSOONREEL_CELL_UPSTREAMS_H
