#include "monsoonreel/burn_report.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace monsoonreel {

namespace {

// Builds the lines of one class, which share the objective and the windows.
class burn_line_builder {
public:
  burn_line_builder(const burn_counter &Counter,
                    const std::vector<burn_window> &Windows,
                    std::optional<double> Objective)
      : Range(Counter.range()), Windows(Windows), Objective(Objective) {}

  burn_line make(const burn_totals &Totals) const {
    burn_line Line;
    Line.Counts = Totals.Whole;
    Line.Rate = rateOf(Totals.Whole);
    if (Line.Rate)
      Line.BudgetLeft = 1.0 - *Line.Rate;
    for (size_t I = 0; I < Windows.size(); ++I) {
      request_counts Counts =
          I < Totals.Windows.size() ? Totals.Windows[I] : request_counts();
      Line.Windows.push_back(
          {Counts, rateOf(Counts), Windows[I].Length > Range.length()});
    }
    if (!raiseAlert(Line, burn_alert::Fast, fast_burn_rate))
      raiseAlert(Line, burn_alert::Slow, slow_burn_rate);
    return Line;
  }

  std::optional<double> rateOf(const request_counts &Counts) const {
    return Objective ? burnRate(Counts, *Objective) : std::nullopt;
  }

private:
  // Sets the alert when the burn rates of all its windows exceed Threshold.
  // Returns whether it was set.
  bool raiseAlert(burn_line &Line, burn_alert Alert, double Threshold) const {
    bool Any = false;
    bool Partial = false;
    for (size_t I = 0; I < Windows.size(); ++I) {
      if (Windows[I].Alert != Alert)
        continue;
      if (Line.Windows[I].Rate.value_or(0) <= Threshold)
        return false;
      Any = true;
      Partial |= Line.Windows[I].IsPartial;
    }
    if (!Any)
      return false;
    Line.Alert = Alert;
    Line.IsAlertPartial = Partial;
    return true;
  }

  time_range Range;
  const std::vector<burn_window> &Windows;
  std::optional<double> Objective;
};

burn_totals sumOf(const class_totals &Class) {
  burn_totals Sum;
  for (const auto &[Name, Totals] : Class.Organisations) {
    Sum.Whole += Totals.Whole;
    Sum.Windows.resize(Totals.Windows.size());
    for (size_t I = 0; I < Totals.Windows.size(); ++I)
      Sum.Windows[I] += Totals.Windows[I];
  }
  return Sum;
}

bool isWorse(const organisation_burn &Left, const organisation_burn &Right) {
  if (Left.Line.attainment() != Right.Line.attainment())
    return Left.Line.attainment() < Right.Line.attainment();
  return Left.Line.Counts.Missed > Right.Line.Counts.Missed;
}

class_burn makeClass(const class_name &Name, const class_totals &Totals,
                     const burn_line_builder &Builder) {
  class_burn Class;
  Class.Class = Name;
  Class.Line = Builder.make(sumOf(Totals));
  for (const auto &[Organisation, Part] : Totals.Organisations)
    Class.Organisations.push_back({Organisation, Builder.make(Part)});
  std::stable_sort(Class.Organisations.begin(), Class.Organisations.end(),
                   isWorse);
  for (const request_counts &Step : Totals.Timeline)
    Class.Timeline.push_back(Builder.rateOf(Step));
  return Class;
}

} // namespace

const char *alertName(burn_alert Alert) {
  switch (Alert) {
  case burn_alert::None:
    return "";
  case burn_alert::Slow:
    return "slow";
  case burn_alert::Fast:
    break;
  }
  return "fast";
}

std::vector<burn_window> standardWindows() {
  using std::chrono::hours;
  using std::chrono::minutes;
  return {{"5 min", minutes(5), burn_alert::Fast},
          {"1 h", hours(1), burn_alert::Fast},
          {"6 h", hours(6), burn_alert::Slow},
          {"3 d", hours(72), burn_alert::Slow}};
}

std::vector<duration> lengthsOf(const std::vector<burn_window> &Windows) {
  std::vector<duration> Lengths;
  Lengths.reserve(Windows.size());
  for (const burn_window &Window : Windows)
    Lengths.push_back(Window.Length);
  return Lengths;
}

std::optional<double> burnRate(const request_counts &Counts, double Objective) {
  if (Counts.total() <= 0)
    return std::nullopt;
  double Budget = (1.0 - Objective) * Counts.total();
  if (Budget > 0)
    return Counts.Missed / Budget;
  return Counts.Missed > 0 ? std::numeric_limits<double>::infinity() : 0.0;
}

burn_report makeBurnReport(const burn_counter &Counter,
                           const std::vector<burn_window> &Windows,
                           const objective_map &Objectives,
                           finding_list Findings) {
  burn_report Report{
      Counter.range(), Windows, {}, Counter.entries(), std::move(Findings)};
  std::map<class_name, class_totals> Totals = Counter.classes();
  for (const auto &[Name, Objective] : Objectives)
    Totals.try_emplace(Name);
  for (const auto &[Name, Class] : Totals) {
    std::optional<double> Objective;
    if (auto Found = Objectives.find(Name); Found != Objectives.end())
      Objective = Found->second;
    else
      Report.Findings.add({"objectives", 0, 0, Name.Value},
                          "the class has no objective, so it has no burn rate");
    Report.Classes.push_back(
        makeClass(Name, Class, burn_line_builder(Counter, Windows, Objective)));
    Report.Classes.back().Objective = Objective;
  }
  return Report;
}

} // namespace monsoonreel
