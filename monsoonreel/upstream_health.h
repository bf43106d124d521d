// What a queue's owner has seen of one upstream, and whether it gets work.
//
//   upstream_health Health;
//   Health.onResult(Report, WasProbe, Now);
//   switch (Health.admits(Now)) { ... }
//
// A circuit breaker: silence and repeated failures open it at once, and so does
// the owner when the upstream is far slower than its neighbours (`eject`). An
// open circuit admits nothing until its pause has passed, then one probe at a
// time on a new connection. The pause doubles with every failed probe. A
// probe that succeeds closes the circuit.
//
// A reclaim notice is separate from the circuit: a leaving upstream admits
// nothing, however well it answers. An upstream that can be reclaimed may have
// had its notice before this owner was asked for it, so it admits nothing
// before its first load report either, for at most `first_report_wait`.

#ifndef MONSOONREEL_UPSTREAM_HEALTH_H
#define MONSOONREEL_UPSTREAM_HEALTH_H

#include <optional>

#include "monsoonreel/slot_messages.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Failures in a row that open the circuit.
constexpr int failures_to_open = 3;
constexpr duration first_pause = std::chrono::seconds(1);
constexpr duration longest_pause = std::chrono::seconds(60);
// A probe that has no result for so long has failed.
constexpr duration upstream_probe_timeout = std::chrono::seconds(10);
// An upstream that reports nothing for so long is judged by its answers alone.
constexpr duration first_report_wait = std::chrono::seconds(2);

enum class admission_state { Open, ProbeOnly, Closed, Leaving, Unreported };

class upstream_health {
public:
  // Takes what an asker saw. WasProbe: the slot was granted as a probe.
  void onResult(const slot_report &Report, bool WasProbe, steady_time Now);
  // No new work until a probe succeeds.
  void eject(steady_time Now);
  // From the first load report on.
  void setLeaving(bool Value);
  // Nothing is admitted until a load report shows that it is not leaving.
  void awaitReport() { AwaitsReport = true; }
  // Ends the wait for a report that does not come.
  void onTick(steady_time Now);
  void onProbeGranted(steady_time Now);

  // `Closed` is the circuit breaker's closed state: all work is admitted.
  admission_state admits(steady_time Now) const;
  // Recent mean time to the first token; zero before any was seen.
  duration firstToken() const { return FirstToken; }
  int samples() const { return Samples; }

private:
  void learn(duration Seen);

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
