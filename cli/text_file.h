// Reads files that operators write, and tells them what is wrong with them.
//
//   auto Text = readTextFile("site.yaml");
//   if (!Text)
//     return exit_findings;
//   auto Parsed = parseConfiguration(*Text, "site.yaml");
//   if (!Parsed)
//     return reportFindings(Options, Parsed.error());

#ifndef CLI_TEXT_FILE_H
#define CLI_TEXT_FILE_H

#include <optional>
#include <string>

#include "cli/options.h"

namespace monsoonreel::cli {

// Prints a line to standard error and returns nothing if File can't be read.
std::optional<std::string> readTextFile(const std::string &File);

// Prints all findings: as text to standard error, or as JSON to standard
// output. Returns exit_findings.
int reportFindings(const options &Options, const finding_list &Findings);

} // namespace monsoonreel::cli

#endif // CLI_TEXT_FILE_H
