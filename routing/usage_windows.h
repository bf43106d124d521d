// Requests of each organisation that began to run, by usage window, counted by
// all entries together.
//
//   usage_windows Usage(usage_terms{seconds(5), seconds(10)});
//   Usage.count(Organisation, TrueTime);
//   Report.Windows = Usage.ownWindows();      // told to every entry
//   Usage.onReport(From, Incarnation, Report.Windows);
//   wire::window_counts Sum = Usage.sum(Window);
//
// Every entry holds the counts of every other one, so any of them can report a
// window, also for an entry that has died since its last report. Counts of
// another incarnation are added up, because a restarted entry begins at zero.

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
  duration Length = std::chrono::seconds(5); // of a window
  // From the end of a window until its report is due.
  duration Due = std::chrono::seconds(10);

  // Windows before the present one that are still reported. They reach back
  // over a start or a change of the holder of duties, also where windows are
  // short.
  int64_t reported() const {
    return std::max<int64_t>(4, (2 * Due + Length - duration(1)) / Length);
  }
  // Long enough to outlive an outage of the platform's interfaces.
  int64_t kept() const { return 3 * reported(); }
};

class usage_windows {
public:
  explicit usage_windows(usage_terms Terms) : Terms(Terms) {}

  const usage_terms &terms() const { return Terms; }

  int64_t windowAt(wall_time TrueTime) const;
  wall_time endOf(int64_t Window) const;

  void count(const organisation_name &Organisation, wall_time TrueTime);
  // Forgets windows that nobody will report any more.
  void forgetBefore(int64_t Window);

  std::vector<wire::window_counts> ownWindows() const;
  void onReport(const address &From, int64_t Incarnation,
                const std::vector<wire::window_counts> &Windows);

  // What is known of a window over all entries.
  wire::window_counts sum(int64_t Window) const;

private:
  using counts = std::map<std::string, int64_t>;
  using source = std::pair<address, int64_t>; // entry and incarnation

  usage_terms Terms;
  std::map<int64_t, counts> Own;
  std::map<int64_t, std::map<source, counts>> Others;
};

} // namespace monsoonreel

#endif // ROUTING_USAGE_WINDOWS_H
