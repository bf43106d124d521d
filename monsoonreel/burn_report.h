// Computes how fast each class and organisation consumes its error budget.
//
//   burn_report Report =
//       makeBurnReport(Counter, standardWindows(), Objectives, Findings);
//
// With an objective of 0.99, the error budget is the 1% of the requests that
// may miss their targets. A burn rate of 1 consumes exactly the budget; at a
// rate of 14.4 the budget of 30 days is exhausted after 50 hours. An alert
// requires a long and a short window to exceed its rate at the same time: the
// long one shows that the burn is significant, the short one that it still
// continues.

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

// A time window and the alert that is evaluated over it.
struct burn_window {
  std::string Name;
  duration Length{};
  burn_alert Alert = burn_alert::None;
};

// 5 min and 1 h for the fast alert, 6 h and 3 d for the slow one.
std::vector<burn_window> standardWindows();
std::vector<duration> lengthsOf(const std::vector<burn_window> &Windows);

// An alert is raised when the burn rates of all its windows exceed these.
constexpr double fast_burn_rate = 14.4;
constexpr double slow_burn_rate = 1.0;

// The fraction, 0 to 1, of each class's requests that must meet the targets.
using objective_map = std::map<class_name, double>;

// The burn of one line over one window. Rate is empty without requests or
// without an objective.
struct window_burn {
  request_counts Counts;
  std::optional<double> Rate;
  // Whether the data begin later than the window.
  bool IsPartial = false;
};

// The figures of a whole class or of one organisation within it.
struct burn_line {
  request_counts Counts;
  std::vector<window_burn> Windows;
  std::optional<double> Rate; // over the whole range
  // Fraction of the range's error budget that is left; negative when the budget
  // is exceeded. Empty without requests or without an objective.
  std::optional<double> BudgetLeft;
  burn_alert Alert = burn_alert::None;
  // Whether a window of the alert is partial.
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
  // Sorted by attainment, lowest first.
  std::vector<organisation_burn> Organisations;
  // Burn rates of equal steps of the range; empty for a step without requests.
  std::vector<std::optional<double>> Timeline;
};

struct burn_report {
  time_range Range;
  std::vector<burn_window> Windows;
  std::vector<class_burn> Classes;
  std::vector<entry_coverage> Entries;
  finding_list Findings;
};

// Windows must be those that Counter was constructed with. A class without an
// objective adds a finding and is reported without rates. A class with an
// objective but without requests is reported with zero counts.
burn_report makeBurnReport(const burn_counter &Counter,
                           const std::vector<burn_window> &Windows,
                           const objective_map &Objectives,
                           finding_list Findings);

// The rate at which Counts consume the error budget: infinite when the
// objective leaves no budget and a request missed its targets, empty without
// requests.
std::optional<double> burnRate(const request_counts &Counts, double Objective);

} // namespace monsoonreel

#endif // MONSOONREEL_BURN_REPORT_H
