// Runs hostile inputs against everything that is parsed.
//
//   fuzz-inputs --runs=100000 --seed=7
//   fuzz-inputs --target=request-head --runs=1000000
//
// Best built by `cmake --preset sanitize`. A failure ends the process; the
// target's name is the last line printed, and the same seed fails again.

#include <cstdint>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "fuzz/targets.h"

ABSL_FLAG(std::string, target, "", "only this target");
ABSL_FLAG(uint64_t, seed, 1, "where the inputs come from");
ABSL_FLAG(int, runs, 10000, "inputs for each target");

int main(int Argc, char **Argv) {
  using namespace monsoonreel::fuzz;
  absl::ParseCommandLine(Argc, Argv);
  std::string Only = absl::GetFlag(FLAGS_target);
  int Ran = 0;
  for (const target &Target : targets()) {
    if (!Only.empty() && Only != Target.Name)
      continue;
    std::cout << Target.Name << std::endl;
    runTarget(Target, absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_runs));
    ++Ran;
  }
  std::cout << Ran << " targets, " << absl::GetFlag(FLAGS_runs)
            << " inputs each\n";
  return Ran == 0 ? 1 : 0;
}
