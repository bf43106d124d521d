// Bounds the number of log lines.
//
//   line_budget Lines;
//   if (Lines.take(Now)) write(Line);
//   if (int64_t Lost = Lines.takeDropped(Now)) ... say so in one line ...
//
// Under load a process keeps `lines_per_second` lines; what is left out is
// counted and said once a second. Warnings and errors have a budget of their
// own, so that a flood of ordinary lines can't hide them.

#ifndef IO_LINE_BUDGET_H
#define IO_LINE_BUDGET_H

#include "monsoonreel/monsoonreel.h"
#include "monsoonreel/token_bucket.h"

namespace monsoonreel {

// About 120 bytes a line: 24 KB a second at most.
constexpr double lines_per_second = 200;
constexpr double line_burst = 400;

class line_budget {
public:
  bool take(log_level Level, steady_time Now) {
    bool Important = Level >= log_level::Warning;
    bool Taken = (Important ? ImportantLines : Lines).tryTake(Now);
    Dropped += Taken ? 0 : 1;
    return Taken;
  }
  // The number of lines left out since the last call; at most once a second.
  int64_t takeDropped(steady_time Now) {
    if (Dropped == 0 || Now - SaidAt < std::chrono::seconds(1))
      return 0;
    SaidAt = Now;
    return std::exchange(Dropped, 0);
  }

private:
  token_bucket Lines{lines_per_second, line_burst};
  token_bucket ImportantLines{lines_per_second, line_burst};
  int64_t Dropped = 0;
  steady_time SaidAt;
};

} // namespace monsoonreel

#endif // IO_LINE_BUDGET_H
