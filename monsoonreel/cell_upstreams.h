// The upstreams of a cell as their queue's owner sees them: what runs there,
// how well they answer, which of them may take a request.
//
//   cell_upstreams Upstreams;
//   Upstreams.configure(Cell.Upstreams);
//   if (Upstreams.hasRoom(Request, Now))
//     Candidates = Upstreams.candidates(Request, Now);
//
// Own observations go before load reports, which lag: a report only counts
// where it shows more work than this owner has granted, for example that of an
// owner before it.

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

// An upstream so many times slower than the median of its neighbours is
// ejected.
constexpr double straggler_factor = 3.0;
// Samples before an upstream's figures are compared.
constexpr int straggler_samples = 8;
// A load report older than this is not used.
constexpr duration report_lifetime = std::chrono::seconds(5);
// Prompt beginnings that a cell remembers.
constexpr size_t affinity_entries = 4096;

class cell_upstreams {
public:
  cell_upstreams() : Affinity(affinity_entries) {}

  // Upstreams that stay keep what is known of them.
  void configure(const std::vector<upstream> &Members);
  std::optional<size_t> find(const upstream_name &Name) const;
  const upstream &at(size_t Index) const { return States[Index].Upstream; }
  size_t size() const { return States.size(); }

  // Whether any upstream can take Request now.
  bool hasRoom(const waiting_request &Request, steady_time Now) const;
  // Whether Index could serve Request if it had a slot.
  bool suits(size_t Index, const waiting_request &Request,
             steady_time Now) const;
  // Whether any upstream could serve Request if it had a slot.
  bool anySuits(const waiting_request &Request, steady_time Now) const;
  std::vector<placement_candidate> candidates(const waiting_request &Request,
                                              steady_time Now) const;
  // Free and all slots of the upstreams in service, which are about to report
  // or have done so. Cheap: those that can be reclaimed count too.
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
    // Most that ran at once since the last load report, which lags.
    int Peak = 0;
    // Work of others that the last report showed.
    int Foreign = 0;
    steady_time ReportedAt;
    double PrefillTokens = 0;
    steady_time PrefillAt;
  };

  // Whether State takes requests other than probes. Cheap: also when it can be
  // reclaimed.
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
