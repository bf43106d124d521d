#include <algorithm>
#include <array>
#include <cmath>

#include <QJsonArray>
#include <absl/strings/str_format.h>

#include "load/run_report.h"

namespace monsoonreel::load {

namespace {

QJsonObject toJson(const percentiles &Values) {
  return {{"p50", Values.P50}, {"p95", Values.P95}, {"p99", Values.P99}};
}

QJsonObject toJson(const class_report &Class) {
  return {
      {"class", QString::fromStdString(Class.Class)},
      {"first_token_target_ms", Class.FirstTokenTargetMs},
      {"between_tokens_target_ms", Class.BetweenTokensTargetMs},
      {"objective", Class.Objective},
      {"offered", Class.Offered},
      {"attained", Class.Attained},
      {"attainment", Class.attainment()},
      {"complete", Class.Complete},
      {"wrong", Class.Wrong},
      {"not_run", Class.NotRun},
      {"unknown", Class.Unknown},
      {"rejected", Class.Rejected},
      {"broken", Class.Broken},
      {"timed_out", Class.TimedOut},
      {"not_connected", Class.NotConnected},
      {"first_token_ms", toJson(Class.FirstTokenMs)},
      {"gap_ms", toJson(Class.GapMs)},
      {"goodput_per_second", Class.GoodputPerSecond},
      {"tokens_delivered", qint64(Class.TokensDelivered)},
      {"worst_organisation", QString::fromStdString(Class.WorstOrganisation)},
      {"worst_attainment", Class.WorstAttainment},
      {"mean_attainment", Class.MeanAttainment}};
}

QJsonObject toJson(const usage_check &Usage) {
  return {{"windows", Usage.Windows},
          {"conflicts", Usage.Conflicts},
          {"old_fences", Usage.OldFences},
          {"requests_served", qint64(Usage.RequestsServed)},
          {"requests_reported", qint64(Usage.RequestsReported)},
          {"tokens_served", qint64(Usage.TokensServed)},
          {"tokens_reported", qint64(Usage.TokensReported)},
          {"organisations_short", Usage.OrganisationsShort}};
}

// Size and margins of the picture, in its units.
constexpr double width = 720;
constexpr double height = 420;
constexpr double margin = 56;
constexpr double least_ms = 1;
constexpr double most_ms = 100000;
constexpr int decades = 5; // between the two
constexpr std::array<const char *, 6> colours = {
    "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#17becf"};

double xOf(double Millis) {
  double Part = std::log10(std::clamp(Millis, least_ms, most_ms) / least_ms) /
                std::log10(most_ms / least_ms);
  return margin + Part * (width - 2 * margin);
}

double yOf(double Part) {
  return height - margin - Part * (height - 2 * margin);
}

std::string line(double X1, double Y1, double X2, double Y2,
                 const char *Style) {
  return absl::StrFormat(
      "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" %s/>\n", X1, Y1,
      X2, Y2, Style);
}

std::string label(double X, double Y, const std::string &Text,
                  const char *Colour) {
  return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" font-size=\"12\" "
                         "font-family=\"sans-serif\" fill=\"%s\">%s</text>\n",
                         X, Y, Colour, Text);
}

// The part of all requests offered whose first token came by a time.
std::string curve(const class_report &Class, const char *Colour) {
  std::string Points;
  for (size_t I = 0; I < Class.FirstTokens.size(); ++I)
    Points += absl::StrFormat("%.1f,%.1f ", xOf(Class.FirstTokens[I]),
                              yOf(double(I + 1) / Class.Offered));
  return absl::StrFormat("<polyline fill=\"none\" stroke=\"%s\" "
                         "stroke-width=\"1.5\" points=\"%s\"/>\n",
                         Colour, Points);
}

std::string grid() {
  constexpr const char *Grid = "stroke=\"#ccc\" stroke-width=\"0.5\"";
  std::string Text;
  for (int Power = 0; Power <= decades; ++Power) {
    double Millis = std::pow(10, Power);
    Text += line(xOf(Millis), yOf(0), xOf(Millis), yOf(1), Grid);
    Text += label(xOf(Millis) - 10, height - margin + 18,
                  absl::StrFormat("%.0f", Millis), "#333");
  }
  for (int Tenth = 0; Tenth <= 10; Tenth += 2) {
    Text += line(margin, yOf(Tenth / 10.0), width - margin, yOf(Tenth / 10.0),
                 Grid);
    Text += label(margin - 34, yOf(Tenth / 10.0) + 4,
                  absl::StrFormat("%.1f", Tenth / 10.0), "#333");
  }
  return Text;
}

std::string tableHead() {
  return absl::StrFormat(
      "%-12s %7s %7s %6s | %7s %7s %7s %7s | %6s %6s | %6s %5s %5s %5s %5s "
      "%5s | %s\n",
      "class", "offered", "attain", "object", "ttft50", "ttft95", "ttft99",
      "target", "gap95", "target", "notrun", "unkn", "rejec", "broke", "late",
      "wrong", "worst organisation / mean");
}

std::string tableRow(const class_report &Class) {
  return absl::StrFormat(
      "%-12s %7d %6.1f%% %5.0f%% | %7.0f %7.0f %7.0f %7.0f | %6.0f %6.0f | "
      "%6d %5d %5d %5d %5d %5d | %s %.2f / %.2f\n",
      Class.Class, Class.Offered, 100 * Class.attainment(),
      100 * Class.Objective, Class.FirstTokenMs.P50, Class.FirstTokenMs.P95,
      Class.FirstTokenMs.P99, Class.FirstTokenTargetMs, Class.GapMs.P95,
      Class.BetweenTokensTargetMs, Class.NotRun, Class.Unknown, Class.Rejected,
      Class.Broken, Class.TimedOut, Class.Wrong, Class.WorstOrganisation,
      Class.WorstAttainment, Class.MeanAttainment);
}

std::string usageLine(const usage_check &Usage) {
  return absl::StrFormat(
      "usage: %d windows, %d conflicts, %d old fences, requests %d served %d "
      "reported, tokens %d served %d reported, %d organisations short\n",
      Usage.Windows, Usage.Conflicts, Usage.OldFences, Usage.RequestsServed,
      Usage.RequestsReported, Usage.TokensServed, Usage.TokensReported,
      Usage.OrganisationsShort);
}

} // namespace

std::string toTable(const run_report &Report) {
  std::string Text = tableHead();
  for (const class_report &Class : Report.Classes)
    Text += tableRow(Class);
  Text += "refusals:";
  for (const auto &[Code, Count] : Report.RefusalCodes)
    Text += absl::StrFormat(" %s %d", Code, Count);
  Text += absl::StrFormat(
      "\ntokens made %d, delivered whole %d, wasted %.1f%%\n",
      Report.TokensMade, Report.TokensDelivered, 100 * Report.wastedPart());
  Text += absl::StrFormat("cost %.1f, on cheap upstreams %.1f%%\n", Report.Cost,
                          100 * Report.CheapPart);
  Text += absl::StrFormat(
      "false \"not run\" %d, ran twice %d, caller keys seen upstream %d, "
      "withdrawn %d of which answered late %d, records missing %d\n",
      Report.FalseNotRun, Report.RanTwice, Report.CallerKeysSeen,
      Report.Withdrawn, Report.RanAfterWithdrawal, Report.UpstreamsUnreachable);
  return Text + usageLine(Report.Usage);
}

QJsonObject toJson(const run_report &Report) {
  QJsonArray Classes;
  for (const class_report &Class : Report.Classes)
    Classes.append(toJson(Class));
  QJsonObject Codes;
  for (const auto &[Code, Count] : Report.RefusalCodes)
    Codes[QString::fromStdString(Code)] = Count;
  return {{"seconds", Report.Seconds},
          {"classes", Classes},
          {"refusals", Codes},
          {"tokens_made", qint64(Report.TokensMade)},
          {"tokens_delivered", qint64(Report.TokensDelivered)},
          {"wasted_part", Report.wastedPart()},
          {"cost", Report.Cost},
          {"cheap_part", Report.CheapPart},
          {"false_not_run", Report.FalseNotRun},
          {"ran_twice", Report.RanTwice},
          {"caller_keys_seen", Report.CallerKeysSeen},
          {"withdrawn", Report.Withdrawn},
          {"ran_after_withdrawal", Report.RanAfterWithdrawal},
          {"upstreams_unreachable", Report.UpstreamsUnreachable},
          {"usage", toJson(Report.Usage)}};
}

std::string toSvg(const run_report &Report) {
  std::string Text = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 %.0f %.0f\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      width, height);
  Text += grid();
  Text += label(width / 2 - 90, height - 14, "time to first token, ms", "#333");
  Text += label(margin, margin - 22,
                "part of the requests offered; dashed: target", "#333");
  for (size_t I = 0; I < Report.Classes.size(); ++I) {
    const class_report &Class = Report.Classes[I];
    const char *Colour = colours[I % colours.size()];
    Text += curve(Class, Colour);
    std::string Style = absl::StrFormat(
        "stroke=\"%s\" stroke-width=\"1\" stroke-dasharray=\"4 3\"", Colour);
    double Target = xOf(Class.FirstTokenTargetMs);
    Text += line(Target, yOf(0), Target, yOf(1), Style.c_str());
    Text +=
        label(margin + 8, margin + 14 + 16 * double(I), Class.Class, Colour);
  }
  return Text + "</svg>\n";
}

} // namespace monsoonreel::load
