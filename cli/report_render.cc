#include "cli/report_render.h"

#include <algorithm>
#include <cmath>

#include "spdlog/fmt/fmt.h"

namespace monsoonreel::cli {

namespace {

constexpr size_t organisations_in_text = 5;
constexpr const char *partial_note = "* the data begin after the window does\n";

std::string lineText(const std::string &Name, const std::string &Objective,
                     const burn_line &Line) {
  std::string Text = fmt::format(
      "{:<24} {:>9} {:>9.0f} {:>8.0f} {:>8} {:>9}", Name, Objective,
      Line.Counts.total(), Line.Counts.Missed,
      Line.Counts.total() > 0 ? percentText(Line.attainment()) : "-",
      percentText(Line.BudgetLeft));
  for (const window_burn &Window : Line.Windows)
    Text += fmt::format(" {:>7}", rateText(Window.Rate));
  return Text + fmt::format("  {}\n", alertText(Line));
}

std::string headText(const burn_report &Report) {
  int Restarts = 0;
  for (const entry_coverage &Entry : Report.Entries)
    Restarts += Entry.Restarts;
  std::string Text = fmt::format(
      "service-level burn from {} to {} ({} s), {} entries, {} restarts\n\n",
      toText(Report.Range.From), toText(Report.Range.To),
      std::chrono::round<std::chrono::seconds>(Report.Range.length()).count(),
      Report.Entries.size(), Restarts);
  Text += fmt::format("{:<24} {:>9} {:>9} {:>8} {:>8} {:>9}", "class",
                      "objective", "requests", "missed", "attained", "left");
  for (const burn_window &Window : Report.Windows)
    Text += fmt::format(" {:>7}", windowText(Window, Report.Range));
  return Text + "  alert\n";
}

// JSON has no infinite number; null stands for it.
nlohmann::json jsonNumber(const std::optional<double> &Value) {
  if (!Value || !std::isfinite(*Value))
    return nullptr;
  return *Value;
}

nlohmann::json lineJson(const burn_line &Line, const burn_report &Report) {
  nlohmann::json Windows = nlohmann::json::array();
  for (size_t I = 0; I < Line.Windows.size(); ++I) {
    const window_burn &Window = Line.Windows[I];
    Windows.push_back(
        {{"window", Report.Windows[I].Name},
         {"seconds",
          std::chrono::duration<double>(Report.Windows[I].Length).count()},
         {"met", Window.Counts.Met},
         {"missed", Window.Counts.Missed},
         {"burn_rate", jsonNumber(Window.Rate)},
         {"partial", Window.IsPartial}});
  }
  return {{"met", Line.Counts.Met},
          {"missed", Line.Counts.Missed},
          {"burn_rate", jsonNumber(Line.Rate)},
          {"budget_left", jsonNumber(Line.BudgetLeft)},
          {"alert", alertName(Line.Alert)},
          {"alert_partial", Line.IsAlertPartial},
          {"windows", Windows}};
}

nlohmann::json classJson(const class_burn &Class, const burn_report &Report) {
  nlohmann::json Object = lineJson(Class.Line, Report);
  Object["class"] = Class.Class.Value;
  Object["objective"] = jsonNumber(Class.Objective);
  Object["organisations"] = nlohmann::json::array();
  for (const organisation_burn &Part : Class.Organisations) {
    nlohmann::json Below = lineJson(Part.Line, Report);
    Below["organisation"] = Part.Organisation.Value;
    Object["organisations"].push_back(std::move(Below));
  }
  Object["timeline"] = nlohmann::json::array();
  for (const std::optional<double> &Rate : Class.Timeline)
    Object["timeline"].push_back(jsonNumber(Rate));
  return Object;
}

nlohmann::json entryJson(const entry_coverage &Entry) {
  return {{"entry", Entry.Entry},
          {"samples", Entry.Samples},
          {"restarts", Entry.Restarts},
          {"first", toText(Entry.First)},
          {"last", toText(Entry.Last)}};
}

} // namespace

std::string percentText(const std::optional<double> &Part) {
  return Part ? fmt::format("{:.1f}%", 100 * *Part) : "-";
}

std::string rateText(const std::optional<double> &Rate) {
  return Rate ? fmt::format("{:.2f}", *Rate) : "-";
}

std::string alertText(const burn_line &Line) {
  return std::string(alertName(Line.Alert)) +
         (Line.IsAlertPartial ? " (partial)" : "");
}

std::string displayName(const organisation_name &Organisation) {
  return Organisation.empty() ? "(open route)" : Organisation.Value;
}

std::string windowText(const burn_window &Window, const time_range &Range) {
  return Window.Name + (Window.Length > Range.length() ? "*" : "");
}

std::string renderText(const burn_report &Report) {
  std::string Text = headText(Report);
  for (const class_burn &Class : Report.Classes) {
    Text +=
        lineText(Class.Class.Value, percentText(Class.Objective), Class.Line);
    size_t Shown = std::min(Class.Organisations.size(), organisations_in_text);
    for (size_t I = 0; I < Shown; ++I)
      Text += lineText("  " + displayName(Class.Organisations[I].Organisation),
                       "", Class.Organisations[I].Line);
    if (Shown < Class.Organisations.size())
      Text += fmt::format("  and {} organisations that attained more\n",
                          Class.Organisations.size() - Shown);
  }
  if (std::any_of(Report.Windows.begin(), Report.Windows.end(),
                  [&](const burn_window &Window) {
                    return Window.Length > Report.Range.length();
                  }))
    Text += partial_note;
  if (!Report.Findings.empty())
    Text += "\nfindings:\n" + Report.Findings.toString();
  return Text;
}

nlohmann::json renderJson(const burn_report &Report) {
  nlohmann::json Object = {
      {"from", toText(Report.Range.From)},
      {"to", toText(Report.Range.To)},
      {"classes", nlohmann::json::array()},
      {"entries", nlohmann::json::array()},
      {"findings", nlohmann::json::array()},
  };
  for (const class_burn &Class : Report.Classes)
    Object["classes"].push_back(classJson(Class, Report));
  for (const entry_coverage &Entry : Report.Entries)
    Object["entries"].push_back(entryJson(Entry));
  for (const finding &Finding : Report.Findings.all())
    Object["findings"].push_back({{"place", Finding.Place.File},
                                  {"line", Finding.Place.Line},
                                  {"path", Finding.Place.Path},
                                  {"message", Finding.Message}});
  return Object;
}

} // namespace monsoonreel::cli
