#include "monsoonreel/upstream_health.h"

#include <algorithm>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// Weight of a new sample in the mean time to the first token: 1 / 8.
constexpr int mean_divisor = 8;

} // namespace

void upstream_health::learn(duration Seen) {
  FirstToken =
      Samples == 0 ? Seen : FirstToken + (Seen - FirstToken) / mean_divisor;
  ++Samples;
}

void upstream_health::onResult(const slot_report &Report, bool WasProbe,
                               steady_time Now) {
  if (WasProbe)
    Probing = false;
  switch (Report.Result) {
  case wire::slot_result::Completed:
    FailuresInRow = 0;
    if (WasProbe) {
      Ejected = false;
      Pause = first_pause;
      // The old mean is what it was ejected for.
      Samples = 0;
    }
    if (Report.FirstToken > duration{})
      learn(Report.FirstToken);
    return;
  case wire::slot_result::Failed:
    ++FailuresInRow;
    if (WasProbe || FailuresInRow >= failures_to_open)
      eject(Now);
    return;
  case wire::slot_result::Silent:
    eject(Now);
    return;
  case wire::slot_result::Cancelled:
    // A cancelled request still shows how soon the upstream began.
    if (Report.FirstToken > duration{})
      learn(Report.FirstToken);
    return;
  case wire::slot_result::NeverSent:
    return;
  }
}

void upstream_health::eject(steady_time Now) {
  if (!isEnabled(mechanism::UpstreamEjection))
    return;
  // Late failures of work that was granted before do not lengthen the pause.
  if (Ejected && Now < PauseEnd)
    return;
  if (Ejected)
    Pause = std::min(Pause * 2, longest_pause);
  Ejected = true;
  FailuresInRow = 0;
  PauseEnd = Now + Pause;
}

void upstream_health::setLeaving(bool Value) {
  Leaving = Value;
  AwaitsReport = false;
}

void upstream_health::onTick(steady_time Now) {
  if (!AwaitsReport)
    return;
  if (!AwaitedSince)
    AwaitedSince = Now;
  AwaitsReport = Now - *AwaitedSince < first_report_wait;
}

void upstream_health::onProbeGranted(steady_time Now) {
  Probing = true;
  ProbeEnd = Now + upstream_probe_timeout;
}

admission_state upstream_health::admits(steady_time Now) const {
  if (isEnabled(mechanism::LeavingStopsGrants)) {
    if (Leaving)
      return admission_state::Leaving;
    if (AwaitsReport)
      return admission_state::Unreported;
  }
  if (!Ejected)
    return admission_state::Closed;
  bool MayProbe = Now >= PauseEnd && (!Probing || Now >= ProbeEnd);
  return MayProbe ? admission_state::ProbeOnly : admission_state::Open;
}

} // namespace monsoonreel
