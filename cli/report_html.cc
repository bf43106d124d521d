#include <algorithm>
#include <cmath>

#include "cli/report_render.h"
#include "spdlog/fmt/fmt.h"

namespace monsoonreel::cli {

namespace {

// Size and margin of a plot, in its units.
constexpr double width = 720;
constexpr double height = 180;
constexpr double margin = 40;
// The scale ends here, so that one bad step doesn't flatten the others.
constexpr double highest_rate = 20;
constexpr double lowest_top = 2;

constexpr const char *style = R"(
body { font-family: sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 0.5em 0 1.5em; }
th, td { padding: 0.2em 0.7em; text-align: right; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
tr.class { font-weight: bold; background: #f4f4f4; }
.fast { color: #b00020; } .slow { color: #a35200; }
svg { max-width: 50em; display: block; }
)";

std::string escape(const std::string &Text) {
  std::string Out;
  for (char C : Text) {
    if (C == '&')
      Out += "&amp;";
    else if (C == '<')
      Out += "&lt;";
    else if (C == '>')
      Out += "&gt;";
    else if (C == '"')
      Out += "&quot;";
    else
      Out += C;
  }
  return Out;
}

std::string cell(const std::string &Text) {
  return "<td>" + escape(Text) + "</td>";
}

std::string row(const std::string &Style, const std::string &Name,
                const burn_line &Line) {
  std::string Html = fmt::format("<tr class=\"{}\">{}", Style, cell(Name));
  Html += cell(fmt::format("{:.0f}", Line.Counts.total()));
  Html += cell(fmt::format("{:.0f}", Line.Counts.Missed));
  Html += cell(Line.Counts.total() > 0 ? percentText(Line.attainment()) : "-");
  Html += cell(percentText(Line.BudgetLeft));
  for (const window_burn &Window : Line.Windows)
    Html += cell(rateText(Window.Rate));
  return Html + fmt::format("<td class=\"{}\">{}</td></tr>\n",
                            alertName(Line.Alert), alertText(Line));
}

std::string table(const class_burn &Class, const burn_report &Report) {
  std::string Html = "<table>\n<tr><th></th><th>requests</th><th>missed</th>"
                     "<th>attained</th><th>budget left</th>";
  for (const burn_window &Window : Report.Windows)
    Html += "<th>burn " + escape(windowText(Window, Report.Range)) + "</th>";
  Html += "<th>alert</th></tr>\n";
  Html += row("class", "all organisations", Class.Line);
  for (const organisation_burn &Part : Class.Organisations)
    Html += row("", displayName(Part.Organisation), Part.Line);
  return Html + "</table>\n";
}

// The burn rate of one class over the range.
class plot {
public:
  explicit plot(const std::vector<std::optional<double>> &Rates)
      : Rates(Rates) {
    for (const std::optional<double> &Rate : Rates)
      Top = std::max(Top, std::min(Rate.value_or(0), highest_rate));
  }

  std::string render(const time_range &Range) const {
    std::string Svg = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {} {}\">\n",
        width, height);
    Svg += level(0, "#999", "") +
           level(1, "#b00020", " stroke-dasharray=\"4 3\"") +
           level(Top, "#ddd", "");
    Svg += curve();
    Svg += label(margin, height - margin + 18, "start", toText(Range.From));
    Svg += label(width - margin, height - margin + 18, "end", toText(Range.To));
    return Svg + "</svg>\n";
  }

private:
  double xOf(double Step) const {
    return margin +
           Step / static_cast<double>(Rates.size()) * (width - 2 * margin);
  }
  double yOf(double Rate) const {
    return height - margin - std::min(Rate, Top) / Top * (height - 2 * margin);
  }

  static std::string label(double X, double Y, const char *Anchor,
                           const std::string &Text) {
    return fmt::format("<text x=\"{:.1f}\" y=\"{:.1f}\" font-size=\"11\" "
                       "fill=\"#333\" text-anchor=\"{}\">{}</text>\n",
                       X, Y, Anchor, escape(Text));
  }

  std::string level(double Rate, const char *Colour, const char *Dash) const {
    double Y = yOf(Rate);
    return fmt::format("<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" "
                       "y2=\"{:.1f}\" stroke=\"{}\"{}/>\n",
                       margin, Y, width - margin, Y, Colour, Dash) +
           label(margin - 6, Y + 4, "end", fmt::format("{:.1f}", Rate));
  }

  // One horizontal piece for each step; none where there were no requests.
  std::string curve() const {
    std::string Path;
    bool IsDrawing = false;
    for (size_t I = 0; I < Rates.size(); ++I) {
      if (!Rates[I]) {
        IsDrawing = false;
        continue;
      }
      auto Step = static_cast<double>(I);
      Path += fmt::format("{}{:.1f} {:.1f}H{:.1f}", IsDrawing ? "L" : "M",
                          xOf(Step), yOf(*Rates[I]), xOf(Step + 1));
      IsDrawing = true;
    }
    return "<path fill=\"none\" stroke=\"#1f77b4\" stroke-width=\"1.5\" d=\"" +
           Path + "\"/>\n";
  }

  const std::vector<std::optional<double>> &Rates;
  double Top = lowest_top;
};

std::string section(const class_burn &Class, const burn_report &Report) {
  std::string Html =
      fmt::format("<h2>{}</h2>\n<p>objective {}</p>\n",
                  escape(Class.Class.Value), percentText(Class.Objective));
  if (!Class.Timeline.empty())
    Html += plot(Class.Timeline).render(Report.Range);
  return Html + table(Class, Report);
}

std::string coverage(const burn_report &Report) {
  std::string Html = "<h2>Entries</h2>\n<table>\n<tr><th></th><th>samples</th>"
                     "<th>restarts</th><th>first</th><th>last</th></tr>\n";
  for (const entry_coverage &Entry : Report.Entries)
    Html += "<tr>" + cell(Entry.Entry) + cell(std::to_string(Entry.Samples)) +
            cell(std::to_string(Entry.Restarts)) + cell(toText(Entry.First)) +
            cell(toText(Entry.Last)) + "</tr>\n";
  return Html + "</table>\n";
}

std::string findings(const burn_report &Report) {
  if (Report.Findings.empty())
    return "";
  return "<h2>Findings</h2>\n<pre>" + escape(Report.Findings.toString()) +
         "</pre>\n";
}

} // namespace

std::string renderHtml(const burn_report &Report) {
  std::string Html = fmt::format(
      "<!DOCTYPE html>\n<html lang=\"en\">\n<head><meta charset=\"utf-8\">"
      "<title>Service-level burn</title><style>{}</style></head>\n<body>\n"
      "<h1>Service-level burn</h1>\n<p>{} to {}. Plots show the burn rate; at "
      "1 "
      "(dashed) the budget is used up exactly. A window with * is longer than "
      "the data.</p>\n",
      style, toText(Report.Range.From), toText(Report.Range.To));
  for (const class_burn &Class : Report.Classes)
    Html += section(Class, Report);
  return Html + coverage(Report) + findings(Report) + "</body>\n</html>\n";
}

} // namespace monsoonreel::cli
