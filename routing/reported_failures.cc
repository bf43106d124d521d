#include "routing/reported_failures.h"

#include <algorithm>

namespace monsoonreel {

void reported_failures::onReport(const address &From, const pool_name &Service,
                                 const std::vector<std::string> &Names,
                                 size_t Upstreams, steady_time Now) {
  if (Names.empty())
    return;
  auto Most =
      std::max<size_t>(1, static_cast<size_t>(max_reported_share *
                                              static_cast<double>(Upstreams)));
  auto &Known = Reporters[{From, Service}].Reported;
  absl::erase_if(Known, [&](const auto &Each) {
    return Now - Each.second >= report_confirmation_window;
  });
  for (const std::string &Text : Names) {
    upstream_name Name(Text);
    if (Known.size() >= Most && !Known.contains(Name))
      continue;
    Known[Name] = Now;
    state &State = States[Name];
    bool IsConfirmed = State.ReportedAt != steady_time::min() &&
                       Now - State.ReportedAt < report_confirmation_window;
    State.ReportedAt = Now;
    if (IsConfirmed)
      State.PausedUntil = Now + reported_pause;
  }
}

bool reported_failures::isPaused(const upstream_name &Upstream,
                                 steady_time Now) const {
  auto It = States.find(Upstream);
  return It != States.end() && Now < It->second.PausedUntil;
}

void reported_failures::onTick(steady_time Now) {
  if (Now < NextSweep)
    return;
  NextSweep = Now + report_confirmation_window;
  absl::erase_if(States, [&](const auto &Each) {
    return Now >= Each.second.PausedUntil &&
           Now - Each.second.ReportedAt >= report_confirmation_window;
  });
  absl::erase_if(Reporters, [&](auto &Each) {
    absl::erase_if(Each.second.Reported, [&](const auto &Report) {
      return Now - Report.second >= report_confirmation_window;
    });
    return Each.second.Reported.empty();
  });
}

} // namespace monsoonreel
