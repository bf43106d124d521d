// Closes usage windows and reports them to the platform, under the lease
// "usage".
//
//   usage_closer Closer(UsageLease);
//   Closer.onTick(Now, Wall, Random, Window, Usage, Effects);
//   Closer.onClosed(); // when a close record was replayed
//   Closer.onReportAnswered(Answer, Usage.writer());
//
// A window is closed by a log record. Its figures are those of the replay up to
// that record, so all stewards compute the same ones. Windows are reported in
// order, only after the close record was read back and only while the lease is
// held. A report is resent with the same figures until the platform
// acknowledges it. A steward that takes over the lease sends the windows
// without a `usage_reported` record. The platform may have received them
// already, and then receives the same figures again.
//
// A window ends when the wall clock passes a multiple of the window length. A
// jump of the wall clock makes a window longer or shorter, but never changes
// the figures of a closed window or counts usage twice. A window without usage
// is not closed.

#ifndef MONSOONREEL_USAGE_CLOSER_H
#define MONSOONREEL_USAGE_CLOSER_H

#include <cstdint>
#include <optional>
#include <vector>

#include "monsoonreel/effect.h"
#include "monsoonreel/event.h"
#include "monsoonreel/lease_holder.h"
#include "monsoonreel/stream_replica.h"

namespace monsoonreel {

constexpr duration report_backoff_min = std::chrono::milliseconds(500);
constexpr duration report_backoff_max = std::chrono::seconds(30);

class usage_closer {
public:
  explicit usage_closer(const lease_holder &Lease);

  void onTick(steady_time Now, wall_time Wall, uint64_t Random,
              duration WindowLength, stream_replica &Usage,
              effect_list &Effects);
  // Must be called when a close record was replayed, whichever steward wrote
  // it.
  void onClosed();
  void onReportAnswered(const usage_report_answered &Answer,
                        record_writer &Writer);

private:
  void closeWindow(stream_replica &Usage);
  void sendReport(steady_time Now, uint64_t Random, const ledger &Usage,
                  effect_list &Effects);
  bool isSameFigure(const wire::closed_window &Window) const;

  const lease_holder &Lease;
  // The number of window lengths since the epoch at the last tick.
  std::optional<int64_t> WindowIndex;
  bool CloseDue = false;
  std::optional<writer_ticket> PendingClose;

  // The last window that was sent, with its figures.
  std::optional<wire::closed_window> Sent;
  steady_time NextReport = steady_time::min();
  int Failures = 0;
  std::optional<writer_ticket> PendingReported;
};

} // namespace monsoonreel

#endif // MONSOONREEL_USAGE_CLOSER_H
