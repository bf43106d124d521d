// Shortens a failing random run to the faults and the time that it needs.
//
//   if (auto Run = minimizeRun(Options))
//     std::cout << toString(*Run);
//
// The faults that struck are planned in place of the random ones, which gives
// the same run. Then faults are left out, by halves and finally one by one, and
// the end is drawn in, while the first finding stays. Two findings are the same
// when they differ in numbers only. What remains is short, and not always the
// shortest: a fault that only shifts later ones may stay.

#ifndef MONSOONREEL_FAULT_MATRIX_MINIMAL_RUN_H
#define MONSOONREEL_FAULT_MATRIX_MINIMAL_RUN_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fault_matrix/world.h"

namespace monsoonreel::fault_matrix {

// Runs that are spent on one failure.
constexpr int max_minimizing_runs = 60;

struct minimal_run {
  uint64_t Seed = 1;
  duration Length{};
  std::vector<struck_fault> Faults;
  std::string Finding;
  int Runs = 0; // that it took
};

// Empty when the run of Options, with its random faults, has no finding.
std::optional<minimal_run> minimizeRun(const world_options &Options,
                                       int MostRuns = max_minimizing_runs);

// The finding, the faults with their times and targets, and the command that
// repeats the run.
std::string toString(const minimal_run &Run);

// Faults as the command line has them: step#occurrence=fault, separated by
// commas, or "none". Empty when Text is malformed or names an unknown fault.
std::optional<std::vector<planned_fault>> parseFaults(const std::string &Text);
std::string toText(const std::vector<struck_fault> &Faults);

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_MINIMAL_RUN_H
