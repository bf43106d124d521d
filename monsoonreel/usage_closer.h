// Closes usage windows and reports them, under the lease "usage".
//
//   usage_closer Closer(UsageLease);
//   Closer.onTick(Now, Wall, Random, Window, Usage, Effects);
//   Closer.onClosed();                       // when a close was replayed
//   Closer.onReportAnswered(Answer, Usage.writer());
//
// A window is closed by a record, and its figures are what the replay has
// before that record, so everybody has the same ones. Reports go out in the
// order of the windows, only after the close was read back and only under the
// lease, with the same figures as often as it takes. A steward that takes over
// sends the windows that no `usage_reported` record names: the platform may
// have them already, and gets the same figures again.
//
// Windows are cut where the wall clock passes a multiple of their length. A
// wall clock that jumps makes a window longer or shorter, but never changes a
// figure or counts anything twice. A window without usage is not closed.

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
  // A window was closed by anybody.
  void onClosed();
  void onReportAnswered(const usage_report_answered &Answer,
                        record_writer &Writer);

private:
  void closeWindow(stream_replica &Usage);
  void sendReport(steady_time Now, uint64_t Random, const ledger &Usage,
                  effect_list &Effects);
  bool isSameFigure(const wire::closed_window &Window) const;

  const lease_holder &Lease;
  // The number of window lengths since the epoch, when last looked at.
  std::optional<int64_t> Slot;
  bool CloseDue = false;
  std::optional<writer_ticket> Close;

  // The window that was sent last, with its figures.
  std::optional<wire::closed_window> Sent;
  steady_time NextReport = steady_time::min();
  int Failures = 0;
  std::optional<writer_ticket> Reported;
};

} // namespace monsoonreel

#endif // MONSOONREEL_USAGE_CLOSER_H
