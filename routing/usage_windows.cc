#include "routing/usage_windows.h"

#include <algorithm>

namespace monsoonreel {

int64_t usage_windows::windowAt(wall_time TrueTime) const {
  return TrueTime.time_since_epoch() / Terms.Length;
}

wall_time usage_windows::endOf(int64_t Window) const {
  return wall_time((Window + 1) * Terms.Length);
}

void usage_windows::count(const organisation_name &Organisation,
                          wall_time TrueTime) {
  ++Own[windowAt(TrueTime)][Organisation.Value];
}

void usage_windows::forgetBefore(int64_t Window) {
  Own.erase(Own.begin(), Own.lower_bound(Window));
  Others.erase(Others.begin(), Others.lower_bound(Window));
}

std::vector<wire::window_counts>
usage_windows::ownWindows(int64_t First) const {
  std::vector<wire::window_counts> Windows;
  for (auto It = Own.lower_bound(First); It != Own.end(); ++It) {
    const auto &[Window, Counts] = *It;
    wire::window_counts Report;
    Report.Window = Window;
    for (const auto &[Organisation, Requests] : Counts) {
      wire::organisation_count Count;
      Count.Organisation = Organisation;
      Count.Requests = Requests;
      Report.Counts.push_back(std::move(Count));
    }
    Windows.push_back(std::move(Report));
  }
  return Windows;
}

void usage_windows::onReport(const address &From, int64_t Incarnation,
                             const std::vector<wire::window_counts> &Windows) {
  for (const wire::window_counts &Reported : Windows) {
    // A peer's clock may be far off; the number of windows is limited, so that
    // such reports do not accumulate.
    if (std::ssize(Others) >= 2 * Terms.kept() &&
        !Others.contains(Reported.Window))
      continue;
    counts &Known = Others[Reported.Window][{From, Incarnation}];
    for (const wire::organisation_count &Count : Reported.Counts) {
      int64_t &Requests = Known[Count.Organisation];
      Requests = std::max(Requests, Count.Requests);
    }
  }
}

wire::window_counts usage_windows::sum(int64_t Window) const {
  counts Sum;
  if (auto It = Own.find(Window); It != Own.end())
    Sum = It->second;
  if (auto It = Others.find(Window); It != Others.end())
    for (const auto &[Source, Counts] : It->second)
      for (const auto &[Organisation, Requests] : Counts)
        Sum[Organisation] += Requests;
  wire::window_counts Result;
  Result.Window = Window;
  for (const auto &[Organisation, Requests] : Sum) {
    wire::organisation_count Count;
    Count.Organisation = Organisation;
    Count.Requests = Requests;
    Result.Counts.push_back(std::move(Count));
  }
  return Result;
}

} // namespace monsoonreel
