// monsoonreel-steward: follows the operator log, passes configuration on,
// closes and reports usage windows, and orders upstreams.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "io/io.h"
#include "monsoonreel/steward_node.h"

ABSL_FLAG(std::string, settings, "", "YAML file with this process's settings");
ABSL_FLAG(bool, check, false, "check the settings and end");

using namespace monsoonreel;

namespace {

std::unique_ptr<node> makeSteward(const node_identity &Self,
                                  const settings &Settings) {
  return steward_node_builder(Self).seeds(Settings.Seeds).build();
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage("Steward of a monsoonreel site.");
  absl::ParseCommandLine(Argc, Argv);
  auto Settings = loadSettings(absl::GetFlag(FLAGS_settings));
  if (!Settings)
    return Settings.error();
  if (absl::GetFlag(FLAGS_check))
    return status_ok;
  // Stewards serve no callers.
  Settings->Listen = {};
  return runNode(Argc, Argv, *Settings, makeSteward);
}
