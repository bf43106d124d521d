// Counts the requests of each organisation that began to run, by usage window
// and over all entries.
//
//   usage_windows Usage(usage_terms{seconds(5), seconds(10)});
//   Usage.count(Organisation, TrueTime);
//   Report.Windows = Usage.ownWindows(First); // sent to other entries
//   Usage.onReport(From, Incarnation, Report.Windows);
//   wire::window_counts Sum = Usage.sum(Window);
//
// An entry also holds the counts that other entries have reported to it, so it
// can report a window even for an entry that has failed since its last report.
// Counts of different incarnations of an entry are added, because a restarted
// entry begins at zero.

#ifndef ROUTING_USAGE_WINDOWS_H
#define ROUTING_USAGE_WINDOWS_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

struct usage_terms {
  duration Length = std::chrono::seconds(5); // length of a window
  // Time from the end of a window until its report is due.
  duration Due = std::chrono::seconds(10);

  // Number of windows before the current one that are still reported. They
  // cover a start or a change of the lease holder, even if windows are short.
  int64_t reported() const {
    return std::max<int64_t>(4, (2 * Due + Length - duration(1)) / Length);
  }
  // Number of windows that are kept: enough for an outage of the platform's
  // interfaces.
  int64_t kept() const { return 3 * reported(); }
};

class usage_windows {
public:
  explicit usage_windows(usage_terms Terms) : Terms(Terms) {}

  const usage_terms &terms() const { return Terms; }

  int64_t windowAt(wall_time TrueTime) const;
  wall_time endOf(int64_t Window) const;

  void count(const organisation_name &Organisation, wall_time TrueTime);
  // Removes windows that will not be reported any more. Windows that have been
  // reported are kept for a while, because the store may lose their figures
  // when it is restored from a backup.
  void forgetBefore(int64_t Window);

  // Returns this entry's counts from the window First on.
  std::vector<wire::window_counts> ownWindows(int64_t First = 0) const;
  void onReport(const address &From, int64_t Incarnation,
                const std::vector<wire::window_counts> &Windows);

  // Returns the known counts of a window over all entries.
  wire::window_counts sum(int64_t Window) const;

private:
  using counts = std::map<std::string, int64_t>;
  using source = std::pair<address, int64_t>; // entry address and incarnation

  usage_terms Terms;
  std::map<int64_t, counts> Own;
  std::map<int64_t, std::map<source, counts>> Others;
};

} // namespace monsoonreel

#endif // ROUTING_USAGE_WINDOWS_H
