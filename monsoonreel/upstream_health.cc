#include "monsoonreel/upstream_health.h"

#include <algorithm>

#include "monsoonreel/mechanism.h"

namespace monsoonreel {

namespace {

// A new sample has weight 1 / mean_divisor in the mean time to the first token.
constexpr int mean_divisor = 8;

} // namespace

void upstream_health::addFirstTokenSample(duration Seen) {
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
      // Discards the old mean, which may have been the reason for the ejection.
      Samples = 0;
    }
    if (Report.FirstToken > duration{})
      addFirstTokenSample(Report.FirstToken);
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
    // A cancelled request still gives a sample of the time to the first token.
    if (Report.FirstToken > duration{})
      addFirstTokenSample(Report.FirstToken);
    return;
  case wire::slot_result::NeverSent:
    return;
  }
}

void upstream_health::eject(steady_time Now) {
  if (!isEnabled(mechanism::UpstreamEjection))
    return;
  // Late failures of requests granted before the ejection do not extend the
  // pause.
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
