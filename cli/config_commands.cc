#include <charconv>
#include <iostream>
#include <optional>

#include "cli/commands.h"
#include "cli/log_session.h"
#include "cli/site_view.h"
#include "cli/text_diff.h"
#include "cli/text_file.h"
#include "monsoonreel/monsoonreel.h"
#include "spdlog/fmt/fmt.h"

namespace monsoonreel::cli {

namespace {

// `show` begins a document with this line, so that `apply` knows which version
// it was edited from.
constexpr std::string_view version_prefix = "# version: ";

// Reads and checks a document; prints its findings.
std::optional<std::string> readDocument(const options &Options,
                                        const std::string &File) {
  auto Text = readTextFile(File);
  if (!Text)
    return std::nullopt;
  auto Parsed = parseConfiguration(*Text, File);
  if (Parsed)
    return Text;
  reportFindings(Options, Parsed.error());
  return std::nullopt;
}

// The version in a document's first line, or -1.
int64_t versionLine(const std::string &Document) {
  if (!Document.starts_with(version_prefix))
    return -1;
  int64_t Version = -1;
  const char *Start = Document.data() + version_prefix.size();
  std::from_chars(Start, Document.data() + Document.size(), Version);
  return Version;
}

std::string withoutVersionLine(const std::string &Document) {
  if (versionLine(Document) < 0)
    return Document;
  size_t End = Document.find('\n');
  return End == std::string::npos ? "" : Document.substr(End + 1);
}

int reportConflict(const log_session &Session, const std::string &Mine,
                   int64_t Base, output &Output) {
  int64_t InForce = Session.state().configOffset().Value;
  std::string Difference = diffLines(Session.state().document(), Mine);
  Output.line(fmt::format(
      "conflict: this was edited from version {}, but version {} is in force",
      Base, InForce));
  Output.line("-in force  +yours");
  Output.line(Difference);
  Output.line("see `monsoonreel show`, merge, and apply again");
  Output.json() = {{"result", "conflict"},
                   {"base", Base},
                   {"in_force", InForce},
                   {"difference", Difference}};
  Output.finish();
  return exit_conflict;
}

int appendDocument(const options &Options, log_session &Session,
                   const std::string &Document, int64_t Base) {
  output Output(Options.Json);
  if (Session.state().document() == Document) {
    int64_t Version = Session.state().configOffset().Value;
    Output.line(fmt::format("already in force as version {}", Version));
    Output.json() = {{"result", "unchanged"}, {"version", Version}};
    int Status = waitInForce(Options, log_offset{Version}, Output);
    Output.finish();
    return Status;
  }
  if (Base != Session.state().configOffset().Value)
    return reportConflict(Session, Document, Base, Output);
  wire::log_record Record;
  Record.__set_ConfigEdit(makeEdit(log_offset{Base}, Session.state().document(),
                                   Document, Options.Author));
  append_outcome Outcome = Session.append(std::move(Record));
  if (Outcome.Status == append_status::Void)
    return reportConflict(Session, Document, Base, Output);
  if (Outcome.Status == append_status::Unknown) {
    std::cerr << "no answer in time; the change may still take effect. Run the "
                 "same command again: a repeat is harmless\n";
    return exit_unreachable;
  }
  Output.line(fmt::format("version {} accepted, edited from version {}",
                          Outcome.Offset.Value, Base));
  Output.json() = {{"result", "accepted"},
                   {"version", Outcome.Offset.Value},
                   {"base", Base}};
  int Status = waitInForce(Options, Outcome.Offset, Output);
  Output.finish();
  return Status;
}

} // namespace

int checkFile(const options &Options, const std::string &File) {
  if (!readDocument(Options, File))
    return exit_findings;
  output Output(Options.Json);
  Output.line(File + ": no findings");
  Output.json()["result"] = "no findings";
  Output.finish();
  return exit_done;
}

int printReference() {
  std::cout << configurationPage();
  return exit_done;
}

int applyFile(const options &Options, const std::string &File) {
  auto Document = readDocument(Options, File);
  if (!Document)
    return exit_findings;
  auto Session = openLog(Options);
  if (!Session)
    return exit_unreachable;
  int64_t Base = Options.Base >= 0 ? Options.Base : versionLine(*Document);
  if (Base < 0)
    Base = Session->state().configOffset().Value;
  return appendDocument(Options, *Session, withoutVersionLine(*Document), Base);
}

int diffFile(const options &Options, const std::string &File) {
  auto Document = readDocument(Options, File);
  if (!Document)
    return exit_findings;
  auto Session = openLog(Options);
  if (!Session)
    return exit_unreachable;
  output Output(Options.Json);
  std::string Difference =
      diffLines(Session->state().document(), withoutVersionLine(*Document));
  Output.line(Difference.empty() ? "no difference" : Difference);
  Output.json() = {{"in_force", Session->state().configOffset().Value},
                   {"difference", Difference}};
  Output.finish();
  return exit_done;
}

int showDocument(const options &Options) {
  auto Session = openLog(Options);
  if (!Session)
    return exit_unreachable;
  output Output(Options.Json);
  int64_t Version = Session->state().configOffset().Value;
  Output.line(fmt::format("{}{}", version_prefix, Version));
  Output.text(Session->state().document());
  Output.json() = {{"version", Version},
                   {"document", Session->state().document()}};
  Output.finish();
  return exit_done;
}

int rollback(const options &Options, int64_t Version) {
  auto Session = openLog(Options);
  if (!Session)
    return exit_unreachable;
  int64_t InForce = Session->state().configOffset().Value;
  const auto &Documents = Session->documents();
  auto Found = Documents.find(Version);
  if (Version == 0) {
    Found = Documents.lower_bound(InForce);
    Found = Found == Documents.begin() ? Documents.end() : std::prev(Found);
  }
  if (Found == Documents.end()) {
    std::cerr << "the log no longer holds that version; apply the document "
                 "from a file\n";
    return exit_conflict;
  }
  return appendDocument(Options, *Session, Found->second, InForce);
}

} // namespace monsoonreel::cli
