// The load generator.
//
//   monsoonreel-load --site examples/yuzunoki.yaml --seconds 30 --seed 1
//       --scenario examples/yuzunoki-burst.yaml --entries 127.0.0.1:7000
//       --keys keys.txt
//
// The file of keys has lines of an organisation and its key. With --list it
// prints the site's upstreams and the scenario's withdrawals for scripts, and
// sends nothing.

#include <cstdint>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include <QCoreApplication>
#include <QJsonDocument>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "load/load_run.h"

ABSL_FLAG(std::string, site, "", "configuration of the site");
ABSL_FLAG(std::string, scenario, "", "the scenario");
ABSL_FLAG(std::vector<std::string>, entries, {}, "ip:port of each entry");
ABSL_FLAG(std::string, keys, "", "file of organisations and keys");
ABSL_FLAG(std::string, platform_control, "127.0.0.1:9000",
          "control port of the platform's stand-in");
ABSL_FLAG(double, load, 0, "part of capacity, in place of the scenario's");
ABSL_FLAG(int, seconds, 30, "length of the run");
ABSL_FLAG(int, settle, 0, "seconds from the last answer to the records");
ABSL_FLAG(uint64_t, seed, 1, "seed of the arrivals");
ABSL_FLAG(std::string, json, "", "file for the report as JSON");
ABSL_FLAG(std::string, svg, "", "file for the plot");
ABSL_FLAG(bool, list, false, "print upstreams and withdrawals only");

namespace {

using namespace monsoonreel;

std::string readFile(const std::string &Name) {
  std::ifstream File(Name);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

load::entry_endpoint parseEndpoint(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return {};
  int Port = std::atoi(Text.c_str() + Colon + 1);
  return {Text.substr(0, Colon), static_cast<quint16>(Port)};
}

std::map<std::string, std::string> readKeys(const std::string &Name) {
  std::map<std::string, std::string> Keys;
  std::ifstream File(Name);
  std::string Organisation;
  std::string Key;
  while (File >> Organisation >> Key)
    Keys[Organisation] = Key;
  return Keys;
}

void printList(const configuration &Site, const load::scenario &Scenario) {
  for (const auto &[Name, Up] : Site.Upstreams)
    std::cout << "upstream " << Name.Value << ' '
              << (Up.Kind == upstream_kind::Service ? "service" : "engine")
              << ' ' << Up.Zone.Value << ' ' << Up.Address.Value << ' '
              << Up.Concurrency << '\n';
  for (const auto &[Name, Organisation] : Site.Organisations)
    std::cout << "organisation " << Name.Value << '\n';
  for (const load::withdrawal &Withdrawal : Scenario.Withdrawals)
    std::cout << "withdraw " << Withdrawal.At << ' '
              << Withdrawal.Organisation.Value << '\n';
}

load::load_settings settingsFromFlags() {
  load::load_settings Settings;
  for (const std::string &Entry : absl::GetFlag(FLAGS_entries))
    Settings.Entries.push_back(parseEndpoint(Entry));
  Settings.Keys = readKeys(absl::GetFlag(FLAGS_keys));
  Settings.PlatformControl =
      parseEndpoint(absl::GetFlag(FLAGS_platform_control));
  Settings.Length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
  Settings.Settle = std::chrono::seconds(absl::GetFlag(FLAGS_settle));
  Settings.Seed = absl::GetFlag(FLAGS_seed);
  return Settings;
}

void writeReport(const load::run_report &Report) {
  std::cout << load::toTable(Report) << std::flush;
  if (std::string Name = absl::GetFlag(FLAGS_json); !Name.empty())
    std::ofstream(Name)
        << QJsonDocument(load::toJson(Report)).toJson().toStdString();
  if (std::string Name = absl::GetFlag(FLAGS_svg); !Name.empty())
    std::ofstream(Name) << load::toSvg(Report);
}

} // namespace

int main(int Argc, char **Argv) {
  absl::ParseCommandLine(Argc, Argv);
  QCoreApplication App(Argc, Argv);
  std::string SiteName = absl::GetFlag(FLAGS_site);
  std::string ScenarioName = absl::GetFlag(FLAGS_scenario);
  auto Site = parseConfiguration(readFile(SiteName), SiteName);
  auto Scenario = load::parseScenario(readFile(ScenarioName), ScenarioName);
  if (!Site || !Scenario) {
    std::cerr << (Site ? "" : Site.error().toString())
              << (Scenario ? "" : Scenario.error().toString());
    return 1;
  }
  if (absl::GetFlag(FLAGS_list)) {
    printList(*Site, *Scenario);
    return 0;
  }
  load::load_settings Settings = settingsFromFlags();
  if (Settings.Entries.empty()) {
    std::cerr << "monsoonreel-load: --entries is missing\n";
    return 1;
  }
  if (double Load = absl::GetFlag(FLAGS_load); Load > 0)
    Scenario->Load = Load;
  load::load_run Run(std::move(Settings), *Scenario, *Site);
  Run.start([](const load::run_report &Report) {
    writeReport(Report);
    QCoreApplication::quit();
  });
  return QCoreApplication::exec();
}
