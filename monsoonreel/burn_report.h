// How fast each class and organisation uses up its error budget.
//
//   burn_report Report =
//       makeBurnReport(Counter, standardWindows(), Objectives, Findings);
//
// The error budget of an objective of 0.99 is the hundredth part of the
// requests that may miss their targets. A burn rate of 1 uses exactly that
// part; at a rate of 14.4 the budget of 30 days is gone after 50 hours. An
// alert asks for a long and a short window at once: the long one shows that the
// burn matters, the short one that it still goes on.

#ifndef MONSOONREEL_BURN_REPORT_H
#define MONSOONREEL_BURN_REPORT_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/burn_counter.h"

namespace monsoonreel {

enum class burn_alert { None, Slow, Fast };

// "", "slow" or "fast"
const char *alertName(burn_alert Alert);

// A window and the alert that it takes part in.
struct burn_window {
  std::string Name;
  duration Length{};
  burn_alert Alert = burn_alert::None;
};

// 5 min and 1 h for the fast alert, 6 h and 3 d for the slow one.
std::vector<burn_window> standardWindows();
std::vector<duration> lengthsOf(const std::vector<burn_window> &Windows);

constexpr double fast_burn_rate = 14.4;
constexpr double slow_burn_rate = 1.0;

// Part of the requests that must meet the targets, 0 to 1.
using objective_map = std::map<class_name, double>;

// One window of one line. No rate without requests or without an objective.
struct window_burn {
  request_counts Counts;
  std::optional<double> Rate;
  // The data begin after the window does.
  bool IsPartial = false;
};

// A whole class, or one organisation's part of it.
struct burn_line {
  request_counts Counts;
  std::vector<window_burn> Windows;
  std::optional<double> Rate; // over the whole range
  // Part of the range's budget that is left; negative when it is overdrawn.
  // Nothing without requests or without an objective.
  std::optional<double> BudgetLeft;
  burn_alert Alert = burn_alert::None;
  // A window of the alert is partial.
  bool IsAlertPartial = false;

  double attainment() const {
    return Counts.total() > 0 ? Counts.Met / Counts.total() : 1.0;
  }
};

struct organisation_burn {
  organisation_name Organisation;
  burn_line Line;
};

struct class_burn {
  class_name Class;
  std::optional<double> Objective;
  burn_line Line;
  // The worst attainment first.
  std::vector<organisation_burn> Organisations;
  // Burn rates of equal steps of the range; nothing without requests.
  std::vector<std::optional<double>> Timeline;
};

struct burn_report {
  time_range Range;
  std::vector<burn_window> Windows;
  std::vector<class_burn> Classes;
  std::vector<entry_coverage> Entries;
  finding_list Findings;
};

// Windows are those that the counter was made with. A class without an
// objective is a finding, and is reported without rates. Classes with an
// objective and without requests are reported with zero counts.
burn_report makeBurnReport(const burn_counter &Counter,
                           const std::vector<burn_window> &Windows,
                           const objective_map &Objectives,
                           finding_list Findings);

// The rate at which Counts use up the budget; infinite when the objective
// leaves none and a request missed. Nothing without requests.
std::optional<double> burnRate(const request_counts &Counts, double Objective);

} // namespace monsoonreel

#endif // MONSOONREEL_BURN_REPORT_H
