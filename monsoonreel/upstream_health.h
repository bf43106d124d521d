// Health of one upstream as observed by the owner of a queue, which decides
// whether the upstream is granted requests.
//
//   upstream_health Health;
//   Health.onResult(Report, WasProbe, Now);
//   switch (Health.admits(Now)) { ... }
//
// A circuit breaker. A silent upstream or `failures_to_open` consecutive
// failures open the circuit at once. The owner also opens it when the upstream
// is far slower than others (`eject`). An open circuit admits nothing until its
// pause has passed, then one probe at a time on a new connection. The pause
// doubles with every failed probe. A successful probe closes the circuit.
//
// A reclaim notice is independent of the circuit: a leaving upstream admits
// nothing, even when all its results are good. A reclaimable upstream may have
// received its notice before this owner became responsible for it. It therefore
// admits nothing before its first load report, for at most `first_report_wait`.

#ifndef MONSOONREEL_UPSTREAM_HEALTH_H
#define MONSOONREEL_UPSTREAM_HEALTH_H

#include <optional>

#include "monsoonreel/slot_messages.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Number of consecutive failures that open the circuit.
constexpr int failures_to_open = 3;
constexpr duration first_pause = std::chrono::seconds(1);
constexpr duration longest_pause = std::chrono::seconds(60);
// A probe without a result counts as failed after this time.
constexpr duration upstream_probe_timeout = std::chrono::seconds(10);
// After this time without a load report, an upstream is admitted based on its
// results alone.
constexpr duration first_report_wait = std::chrono::seconds(2);

enum class admission_state { Open, ProbeOnly, Closed, Leaving, Unreported };

class upstream_health {
public:
  // Handles the result of a request, as reported by the node that held the
  // slot. WasProbe is whether the slot was granted as a probe.
  void onResult(const slot_report &Report, bool WasProbe, steady_time Now);
  // Opens the circuit: no new requests until a probe succeeds.
  void eject(steady_time Now);
  // Sets whether the upstream is leaving, according to a load report. Ends the
  // wait for the first report.
  void setLeaving(bool Value);
  // Admits nothing until a load report shows that the upstream is not leaving.
  void awaitReport() { AwaitsReport = true; }
  // Ends the wait for the first load report after `first_report_wait`.
  void onTick(steady_time Now);
  void onProbeGranted(steady_time Now);

  // `Closed` is the circuit breaker's closed state: all work is admitted.
  admission_state admits(steady_time Now) const;
  // Exponentially weighted mean time to the first token; zero before any was
  // observed.
  duration firstToken() const { return FirstToken; }
  int samples() const { return Samples; }

private:
  void addFirstTokenSample(duration Seen);

  bool Ejected = false;
  bool Leaving = false;
  bool AwaitsReport = false;
  std::optional<steady_time> AwaitedSince;
  bool Probing = false;
  steady_time PauseEnd;
  steady_time ProbeEnd;
  duration Pause = first_pause;
  int FailuresInRow = 0;
  int Samples = 0;
  duration FirstToken{};
};

} // namespace monsoonreel

#endif // MONSOONREEL_UPSTREAM_HEALTH_H
