#include "cli/report.h"

#include <fstream>
#include <iostream>
#include <optional>

#include "cli/report_folders.h"
#include "cli/report_objectives.h"
#include "cli/report_render.h"
#include "cli/report_scraper.h"
#include "io/clock.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::cli {

namespace {

constexpr duration least_every = std::chrono::milliseconds(100);

// Prints what is wrong with the way the command was called.
bool isUsable(const report_options &Report) {
  const char *Wrong = nullptr;
  if (Report.Folders.empty() == Report.Entries.empty())
    Wrong = "give either folders of saved metrics or --entries";
  else if (Report.Every < least_every || Report.For < Report.Every)
    Wrong = "--every must be 100ms or more, and --for no less than --every";
  for (const address &Entry : Report.Entries)
    if (!isAddress(Entry.Value))
      Wrong = "--entries takes ip:port, separated by commas";
  if (Wrong)
    std::cerr << Wrong << "\n";
  return !Wrong;
}

// Nothing when there is nothing to report on.
std::optional<burn_counter> countFolders(const report_options &Report,
                                         finding_list &Findings) {
  report_folders Folders(Report.Folders, Findings);
  auto Range = Folders.range();
  if (!Range)
    return std::nullopt;
  burn_counter Counter(*Range, lengthsOf(standardWindows()), Folders.maxGap());
  Folders.read(Counter, Findings);
  return Counter;
}

std::optional<burn_counter> countEntries(const report_options &Report,
                                         finding_list &Findings) {
  report_scraper Scraper(Report.Entries, Report.Every);
  wall_time Now = wallNow();
  burn_counter Counter({Now, Now + Report.For}, lengthsOf(standardWindows()),
                       Scraper.maxGap());
  if (!Scraper.run(Counter, Findings))
    return std::nullopt;
  return Counter;
}

bool writePage(const std::string &File, const burn_report &Report) {
  std::ofstream Stream(File);
  Stream << renderHtml(Report);
  Stream.close();
  if (!Stream)
    std::cerr << File << ": can't be written\n";
  return static_cast<bool>(Stream);
}

} // namespace

int printReport(const options &Options, const report_options &Report) {
  if (!isUsable(Report))
    return exit_usage;
  finding_list Findings;
  report_objectives Objectives = readObjectives(Options, Report, Findings);
  auto Counter = Report.Entries.empty() ? countFolders(Report, Findings)
                                        : countEntries(Report, Findings);
  if (!Counter) {
    std::cerr << Findings.toString() << "no metrics, so no report\n";
    return Report.Entries.empty() ? exit_findings : exit_unreachable;
  }
  Counter->finish(Findings);
  burn_report Burn =
      makeBurnReport(*Counter, standardWindows(),
                     Objectives.forClasses(*Counter), std::move(Findings));
  if (!Report.Html.empty() && !writePage(Report.Html, Burn))
    return exit_usage;
  output Output(Options.Json);
  Output.line(renderText(Burn));
  Output.json() = renderJson(Burn);
  Output.finish();
  return Burn.Findings.empty() ? exit_done : exit_findings;
}

} // namespace monsoonreel::cli
