// Requests of each organisation that began to run, by usage window, counted by
// all entries together.
//
//   usage_windows Usage(seconds(5), Self);
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

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Windows that are kept: longer than the platform waits for a report, and long
// enough to outlive an outage of its interfaces.
constexpr int64_t kept_windows = 12;

class usage_windows {
public:
  explicit usage_windows(duration Length) : Length(Length) {}

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

  duration Length;
  std::map<int64_t, counts> Own;
  std::map<int64_t, std::map<source, counts>> Others;
};

} // namespace monsoonreel

#endif // ROUTING_USAGE_WINDOWS_H
