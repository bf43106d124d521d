#include "cli/report_objectives.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include "cli/log_session.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::cli {

namespace {

constexpr const char *flag_place = "--objective";

std::optional<double> parseObjective(const std::string &Text) {
  double Value = 0;
  auto Result = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size() ||
      !(Value >= 0 && Value <= 1))
    return std::nullopt;
  return Value;
}

void readFlag(const std::string &Text, report_objectives &Objectives,
              finding_list &Findings) {
  std::istringstream Stream(Text);
  for (std::string Item; std::getline(Stream, Item, ',');) {
    size_t Equals = Item.find('=');
    bool IsDefault = Equals == std::string::npos;
    auto Value = parseObjective(IsDefault ? Item : Item.substr(Equals + 1));
    if (!Value)
      Findings.add({flag_place, 0, 0, ""}, Item + " is not a part from 0 to 1");
    else if (IsDefault)
      Objectives.Default = Value;
    else
      Objectives.Classes[class_name(Item.substr(0, Equals))] = *Value;
  }
}

void readDocument(const std::string &Document, const std::string &Place,
                  report_objectives &Objectives, finding_list &Findings) {
  auto Parsed = parseConfiguration(Document, Place);
  if (!Parsed) {
    for (const finding &Finding : Parsed.error().all())
      Findings.add(Finding.Place, Finding.Message);
    return;
  }
  for (const auto &[Name, Class] : Parsed->Classes)
    Objectives.Classes[Name] = Class.Objective;
}

void readFile(const std::string &File, report_objectives &Objectives,
              finding_list &Findings) {
  std::ifstream Stream(File);
  std::ostringstream Text;
  if (!Stream || !(Text << Stream.rdbuf()))
    return Findings.add({File, 0, 0, ""}, "can't be read");
  readDocument(Text.str(), File, Objectives, Findings);
}

void readPlatform(const options &Options, report_objectives &Objectives,
                  finding_list &Findings) {
  log_session Session(Options);
  if (!Session.replay())
    return Findings.add({Options.Platform.Value, 0, 0, ""},
                        "the platform can't be reached, so the objectives in "
                        "force are unknown");
  readDocument(Session.state().document(), Options.Platform.Value, Objectives,
               Findings);
}

} // namespace

objective_map report_objectives::forClasses(const burn_counter &Counter) const {
  objective_map Result = Classes;
  if (Default)
    for (const auto &[Name, Totals] : Counter.classes())
      Result.try_emplace(Name, *Default);
  return Result;
}

report_objectives readObjectives(const options &Options,
                                 const report_options &Report,
                                 finding_list &Findings) {
  report_objectives Objectives;
  if (!Report.Site.empty())
    readFile(Report.Site, Objectives, Findings);
  else if (!Options.Platform.empty())
    readPlatform(Options, Objectives, Findings);
  report_objectives Given;
  readFlag(Report.Objectives, Given, Findings);
  // A single value of the flag is meant for all classes.
  if (Given.Default)
    for (auto &[Name, Value] : Objectives.Classes)
      Value = *Given.Default;
  for (const auto &[Name, Value] : Given.Classes)
    Objectives.Classes[Name] = Value;
  Objectives.Default = Given.Default;
  return Objectives;
}

} // namespace monsoonreel::cli
