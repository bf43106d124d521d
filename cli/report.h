// `monsoonreel report`: service-level burn from the metrics of entries.
//
//   report_options Report;
//   Report.Entries = {address("10.0.1.1:7200")};
//   return printReport(Options, Report);

#ifndef CLI_REPORT_H
#define CLI_REPORT_H

#include <string>
#include <vector>

#include "cli/options.h"

namespace monsoonreel::cli {

struct report_options {
  // Folders of saved metrics, one for each entry, or folders of such folders.
  std::vector<std::string> Folders;
  // Admin addresses of entries that are read by the command itself.
  std::vector<address> Entries;
  duration Every = std::chrono::seconds(10);
  duration For = std::chrono::minutes(5);
  // A configuration file with the classes' objectives; empty: the document in
  // force, when options::Platform is given.
  std::string Site;
  // "0.99" for all classes, or "chat=0.95,booking=0.99". Goes before Site.
  std::string Objectives;
  // Where to write the page; empty for none.
  std::string Html;
};

// Prints the report as text or JSON. Returns exit_findings when an input was
// bad or missing and the report is made from the rest, exit_unreachable when
// no entry answered.
int printReport(const options &Options, const report_options &Report);

} // namespace monsoonreel::cli

#endif // CLI_REPORT_H
