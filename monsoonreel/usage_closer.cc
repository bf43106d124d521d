#include "monsoonreel/usage_closer.h"

#include "monsoonreel/invariant.h"

namespace monsoonreel {

usage_closer::usage_closer(const lease_holder &Lease) : Lease(Lease) {}

void usage_closer::onTick(steady_time Now, wall_time Wall, uint64_t Random,
                          duration WindowLength, stream_replica &Usage,
                          effect_list &Effects) {
  record_writer &Writer = Usage.writer();
  if (PendingClose && !Writer.isQueued(*PendingClose))
    PendingClose.reset();
  if (PendingReported && !Writer.isQueued(*PendingReported))
    PendingReported.reset();
  int64_t WindowIndexNow = Wall.time_since_epoch() / WindowLength;
  if (WindowIndex && *WindowIndex != WindowIndexNow)
    CloseDue = true;
  WindowIndex = WindowIndexNow;
  if (!Lease.mayAct(Now, max_report_delay))
    return;
  if (CloseDue && !PendingClose && !Lease.isClaiming())
    closeWindow(Usage);
  if (!PendingReported && Now >= NextReport)
    sendReport(Now, Random, Usage.state(), Effects);
}

void usage_closer::closeWindow(stream_replica &Usage) {
  const ledger &State = Usage.state();
  if (State.openUsage().empty()) {
    CloseDue = false;
    return;
  }
  wire::usage_close Record;
  Record.Window = State.lastClosedWindow() + 1;
  Record.Fence = Lease.fence()->Value;
  wire::log_record Logged;
  Logged.__set_UsageClose(Record);
  PendingClose = Usage.writer().enqueue(std::move(Logged));
}

void usage_closer::onClosed() { CloseDue = false; }

void usage_closer::sendReport(steady_time Now, uint64_t Random,
                              const ledger &Usage, effect_list &Effects) {
  if (Usage.unreportedWindows().empty())
    return;
  const wire::closed_window &Window = Usage.unreportedWindows().front();
  std::string Number = std::to_string(Window.Window);
  if (!invariantHolds(Effects, isSameFigure(Window),
                      "usage-window-single-figure", Number) ||
      !invariantHolds(Effects, Lease.coversWrite(Now, max_report_delay),
                      "usage-report-under-lease", Number))
    return;
  if (!Sent || Sent->Window != Window.Window)
    Failures = 0;
  Sent = Window;
  // Resent after this backoff when no answer arrives.
  NextReport = Now + backoffAfter(++Failures + 1, report_backoff_min,
                                  report_backoff_max, Random);
  Effects.push_back(send_usage_report{Window.Window, Lease.fence()->Value,
                                      Window.Figures,
                                      Lease.notAfter(max_report_delay)});
}

bool usage_closer::isSameFigure(const wire::closed_window &Window) const {
  return !Sent || Sent->Window != Window.Window ||
         Sent->Figures == Window.Figures;
}

void usage_closer::onReportAnswered(const usage_report_answered &Answer,
                                    record_writer &Writer) {
  if (Answer.Error || PendingReported || !Sent || Sent->Window != Answer.Window)
    return;
  wire::usage_reported Record;
  Record.Window = Answer.Window;
  wire::log_record Logged;
  Logged.__set_UsageReported(Record);
  PendingReported = Writer.enqueue(std::move(Logged));
}

} // namespace monsoonreel
