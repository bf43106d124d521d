// monsoonreel: the operators' command line.
//
//   monsoonreel check site.yaml
//   monsoonreel apply site.yaml --platform 10.0.0.1:7900 --nodes 10.0.1.1:7200
//   monsoonreel key give kitchen-42 --platform 10.0.0.1:7900
//
// Exit statuses are in options.h and in the help text.

#include <iostream>
#include <sstream>

#include <QCoreApplication>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>

#include "cli/commands.h"
#include "cli/report.h"

ABSL_FLAG(std::string, platform, "", "the platform's address, ip:port");
ABSL_FLAG(std::string, nodes, "",
          "admin addresses of entries and stewards, separated by commas");
ABSL_FLAG(std::string, author, "operator", "name that goes with an edit");
ABSL_FLAG(int64_t, base, -1,
          "version that the file was edited from; by default the one in its "
          "first line as written by `show`, else the one in force");
ABSL_FLAG(int, timeout_seconds, 15, "how long to wait for an effect");
ABSL_FLAG(std::string, output, "text", "text or json");
ABSL_FLAG(std::string, entries, "",
          "report: admin addresses of entries to read, separated by commas");
ABSL_FLAG(absl::Duration, every, absl::Seconds(10),
          "report: time between two readings");
ABSL_FLAG(absl::Duration, for, absl::Minutes(5),
          "report: how long to read the entries");
ABSL_FLAG(std::string, site, "",
          "report: configuration file with the objectives");
ABSL_FLAG(std::string, objective, "",
          "report: 0.99 for all classes, or chat=0.95,booking=0.99");
ABSL_FLAG(std::string, html, "", "report: file to write the page to");
ABSL_FLAG(std::string, entry, "",
          "explain: address of an entry's metrics, host:port");
ABSL_FLAG(std::string, host, "", "explain: host of the request");
ABSL_FLAG(std::string, path, "", "explain: path of the request");
ABSL_FLAG(std::string, key, "", "explain: key of the caller");
ABSL_FLAG(std::string, tokens, "", "explain: PROMPT,OUTPUT");
ABSL_FLAG(std::string, parts, "", "explain: ID:TOKENS,...");
ABSL_FLAG(bool, json, false, "explain: print the answer as JSON");

namespace {

using namespace monsoonreel;
using namespace monsoonreel::cli;

constexpr const char *help = R"(Operates a monsoonreel site.

  init                 print a questionnaire, to be filled in
  init FILE            print the configuration that a questionnaire asks for
  check FILE           check a configuration and print all findings
  apply FILE           put a configuration in force
  diff FILE            compare a file with the configuration in force
  show                 print the configuration in force with its version
  rollback [VERSION]   put an earlier configuration in force as a new version
  key give ORG         make a key; it is shown this once
  key withdraw ID      withdraw a key
  key list             list keys
  status               show nodes, versions and leases
  drain ADMIN          let a node end what it runs, and end
  report [FOLDER...]   service-level burn by class and organisation, from saved
                       metrics or from --entries
  explain              where an entry would send a request now, and why; see
                       --entry, --host, --path, --key, --tokens and --parts
  reference            print the page of all keys of configuration and settings

Exit status: 0 done, 1 wrong use, 2 findings, 3 conflict, 4 platform or node not
reached, 5 done but not in force everywhere in time. For explain: 1 not
explained, 2 wrong use.)";

int usage() {
  std::cerr << help << "\n";
  return exit_usage;
}

std::vector<address> splitNodes(const std::string &Text) {
  std::vector<address> Nodes;
  std::istringstream Stream(Text);
  for (std::string Node; std::getline(Stream, Node, ',');)
    if (!Node.empty())
      Nodes.emplace_back(Node);
  return Nodes;
}

duration toDuration(absl::Duration Value) {
  return absl::ToChronoMicroseconds(Value);
}

report_options readReportOptions(const std::vector<std::string> &Words) {
  report_options Report;
  Report.Folders.assign(Words.begin() + 1, Words.end());
  Report.Entries = splitNodes(absl::GetFlag(FLAGS_entries));
  Report.Every = toDuration(absl::GetFlag(FLAGS_every));
  Report.For = toDuration(absl::GetFlag(FLAGS_for));
  Report.Site = absl::GetFlag(FLAGS_site);
  Report.Objectives = absl::GetFlag(FLAGS_objective);
  Report.Html = absl::GetFlag(FLAGS_html);
  return Report;
}

explain_options readExplainOptions(bool Json) {
  explain_options Asked;
  Asked.Entry = absl::GetFlag(FLAGS_entry);
  Asked.Host = absl::GetFlag(FLAGS_host);
  Asked.Path = absl::GetFlag(FLAGS_path);
  Asked.Key = absl::GetFlag(FLAGS_key);
  Asked.Tokens = absl::GetFlag(FLAGS_tokens);
  Asked.Parts = absl::GetFlag(FLAGS_parts);
  Asked.Json = Json || absl::GetFlag(FLAGS_json);
  return Asked;
}

options readOptions() {
  options Options;
  Options.Platform = address(absl::GetFlag(FLAGS_platform));
  Options.Nodes = splitNodes(absl::GetFlag(FLAGS_nodes));
  Options.Author = absl::GetFlag(FLAGS_author);
  Options.Base = absl::GetFlag(FLAGS_base);
  Options.Timeout = std::chrono::seconds(absl::GetFlag(FLAGS_timeout_seconds));
  Options.Json = absl::GetFlag(FLAGS_output) == "json";
  return Options;
}

// The commands that need the platform.
int runOnLog(const options &Options, const std::vector<std::string> &Words) {
  const std::string &Command = Words[0];
  if (Options.Platform.empty()) {
    std::cerr << "give the platform's address by --platform\n";
    return exit_usage;
  }
  if (Command == "show")
    return showDocument(Options);
  if (Command == "rollback") {
    auto Version = Words.size() > 1 ? parseVersion(Words[1]) : 0;
    return Version ? rollback(Options, *Version) : usage();
  }
  if (Words.size() < 2)
    return usage();
  if (Command == "apply")
    return applyFile(Options, Words[1]);
  if (Command == "diff")
    return diffFile(Options, Words[1]);
  if (Command == "key" && Words[1] == "list")
    return listKeys(Options);
  if (Command == "key" && Words.size() > 2 && Words[1] == "give")
    return giveKey(Options, Words[2]);
  if (Command == "key" && Words.size() > 2 && Words[1] == "withdraw")
    return withdrawKey(Options, Words[2]);
  return usage();
}

int run(const options &Options, const std::vector<std::string> &Words) {
  if (Words.empty())
    return usage();
  if (Words[0] == "init")
    return initialise(Options, Words.size() > 1 ? Words[1] : "");
  if (Words[0] == "check" && Words.size() > 1)
    return checkFile(Options, Words[1]);
  if (Words[0] == "status")
    return showStatus(Options);
  if (Words[0] == "drain" && Words.size() > 1)
    return drainNode(Options, Words[1]);
  if (Words[0] == "explain")
    return explainRequest(readExplainOptions(Options.Json));
  if (Words[0] == "reference")
    return printReference();
  if (Words[0] == "report")
    return printReport(Options, readReportOptions(Words));
  return runOnLog(Options, Words);
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(help);
  std::vector<char *> Words = absl::ParseCommandLine(Argc, Argv);
  QCoreApplication Application(Argc, Argv);
  std::string Format = absl::GetFlag(FLAGS_output);
  if (Format != "text" && Format != "json") {
    std::cerr << "--output is text or json and not \"" << Format << "\"\n";
    return exit_usage;
  }
  return run(readOptions(),
             std::vector<std::string>(Words.begin() + 1, Words.end()));
}
