// monsoonreel-steward: see docs/OPERATIONS.md.
//
//   monsoonreel-steward --settings steward-1.yaml
//   monsoonreel-steward --settings steward-1.yaml --check

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
  absl::SetProgramUsageMessage("Runs one steward of monsoonreel.");
  absl::ParseCommandLine(Argc, Argv);
  auto Settings = loadSettings(absl::GetFlag(FLAGS_settings));
  if (!Settings)
    return Settings.error();
  if (absl::GetFlag(FLAGS_check))
    return status_ok;
  // Stewards serve no callers.
  Settings->Listen = {};
  return runNode(
      Argc, Argv, *Settings,
      [](const node_identity &Self, const settings &Chosen) {
        return steward_node_builder(Self).seeds(Chosen.Seeds).build();
      });
}
