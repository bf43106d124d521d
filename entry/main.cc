// monsoonreel-entry: see docs/OPERATIONS.md.
//
//   monsoonreel-entry --settings entry-1.yaml
//   monsoonreel-entry --settings entry-1.yaml --check

#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "io/daemon.h"
#include "monsoonreel/monsoonreel.h"

ABSL_FLAG(std::string, settings, "", "File with the settings of this process");
ABSL_FLAG(bool, check, false, "Only check the settings");

int main(int Argc, char **Argv) {
  using namespace monsoonreel;
  absl::SetProgramUsageMessage("Runs one entry of monsoonreel.");
  absl::ParseCommandLine(Argc, Argv);
  auto Settings = loadSettings(absl::GetFlag(FLAGS_settings));
  if (!Settings)
    return Settings.error();
  if (Settings->Listen.empty()) {
    std::cerr << absl::GetFlag(FLAGS_settings)
              << ": listen: an entry needs an address for its callers\n";
    return status_findings;
  }
  if (absl::GetFlag(FLAGS_check))
    return status_ok;
  return runNode(Argc, Argv, *Settings,
                 [](const node_identity &Self, const settings &Chosen) {
                   return entry_node_builder(Self)
                       .seeds(Chosen.Seeds)
                       .policy(Chosen.Policy)
                       .build();
                 });
}
