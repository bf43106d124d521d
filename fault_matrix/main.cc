// fault-matrix: every fault at every step, or long runs with random faults.
//
//   fault-matrix                          all single faults
//   fault-matrix --pairs=5000             random pairs, drawn from --seed
//   fault-matrix --random=1000 --minutes=10
//   fault-matrix --step=append/usage_close --fault=answer-lost
//   fault-matrix --seed=7 --milliseconds=90000 --faults=read/call#3=lost
//   fault-matrix --zones=7 --nodes_per_zone=24 --faults=read/call#9=lost
//   fault-matrix --without=1              a mechanism taken away: should fail
//   fault-matrix --mutations              each mechanism taken away in turn
//   fault-matrix --mutation_tests         names of the unit tests that do so
//
// A random run that fails is shortened, and the command to repeat it printed.
// Exit status 1 when a run had a finding, or a mutation that has to be caught
// was not.

#include <algorithm>
#include <iostream>
#include <optional>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "fault_matrix/matrix.h"
#include "fault_matrix/minimal_run.h"
#include "fault_matrix/mutations.h"
#include "monsoonreel/mechanism.h"

ABSL_FLAG(int, pairs, 0, "Number of pairs of faults to run");
ABSL_FLAG(int, random, 0, "Number of seeds to run with random faults");
ABSL_FLAG(int, minutes, 10, "Virtual minutes of each random run");
ABSL_FLAG(int, fault_seconds, 20, "Mean seconds between two random faults");
ABSL_FLAG(uint64_t, seed, 1, "First seed");
ABSL_FLAG(int, threads, 0, "Threads; 0 for one for each core");
ABSL_FLAG(std::string, step, "", "Run only this step");
ABSL_FLAG(std::string, fault, "", "Run only this fault");
ABSL_FLAG(std::string, faults, "",
          "Run one cell of these faults: step#occurrence=fault,...");
ABSL_FLAG(int64_t, milliseconds, 50'000,
          "Virtual length of the run of --faults");
ABSL_FLAG(int, zones, 2, "Zones of the run of --faults or --outcomes");
ABSL_FLAG(int, nodes_per_zone, 2,
          "Entries, and as many stewards, in each zone of such a run");
ABSL_FLAG(bool, outcomes, false,
          "Print how the requests of one run without faults ended");
ABSL_FLAG(bool, mutations, false, "Take each mechanism away in turn");
ABSL_FLAG(bool, mutation_tests, false,
          "Print the unit tests that take a mechanism away, one a line");
ABSL_FLAG(int, without, -1,
          "Number of a mechanism, in the order of mechanism.h, to take away");

namespace {

using namespace monsoonreel;
using namespace monsoonreel::fault_matrix;

int threadCount() {
  int Wanted = absl::GetFlag(FLAGS_threads);
  return Wanted > 0 ? Wanted
                    : static_cast<int>(std::thread::hardware_concurrency());
}

std::vector<matrix_cell> selectedCells() {
  std::vector<matrix_cell> Cells;
  std::string Step = absl::GetFlag(FLAGS_step);
  std::string Fault = absl::GetFlag(FLAGS_fault);
  for (matrix_cell &Cell : singleCells()) {
    const planned_fault &Planned = Cell.Faults[0];
    if (!Step.empty() && Planned.Step != Step)
      continue;
    if (!Fault.empty() && toText(Planned.Fault) != Fault)
      continue;
    Cell.Seed = absl::GetFlag(FLAGS_seed);
    Cells.push_back(std::move(Cell));
  }
  return Cells;
}

matrix_report runSelected() {
  int Threads = threadCount();
  uint64_t Seed = absl::GetFlag(FLAGS_seed);
  if (int Count = absl::GetFlag(FLAGS_random))
    return runRandom(
        Seed, Count, std::chrono::minutes(absl::GetFlag(FLAGS_minutes)),
        std::chrono::seconds(absl::GetFlag(FLAGS_fault_seconds)), Threads);
  if (int Count = absl::GetFlag(FLAGS_pairs))
    return runMatrix(pairCells(static_cast<size_t>(Count), Seed), Threads);
  return runMatrix(selectedCells(), Threads);
}

// Failures beyond these are printed only as they are.
constexpr size_t most_shortened = 3;

void printShortened(const matrix_report &Report) {
  size_t Count = std::min(Report.Failures.size(), most_shortened);
  for (size_t Place = 0; Place < Count; ++Place) {
    world_options Options;
    Options.Seed = Report.Failures[Place].Cell.Seed;
    Options.Length = std::chrono::minutes(absl::GetFlag(FLAGS_minutes));
    Options.RandomFaultPeriod =
        std::chrono::seconds(absl::GetFlag(FLAGS_fault_seconds));
    if (std::optional<minimal_run> Run = minimizeRun(Options))
      std::cout << toString(*Run);
  }
}

world_options siteOptions() {
  world_options Options;
  Options.Seed = absl::GetFlag(FLAGS_seed);
  Options.Zones = absl::GetFlag(FLAGS_zones);
  Options.NodesPerZone = absl::GetFlag(FLAGS_nodes_per_zone);
  Options.Length = std::chrono::milliseconds(absl::GetFlag(FLAGS_milliseconds));
  return Options;
}

// Runs the cell of --faults. Returns the exit status.
int runFaults(const std::string &Text) {
  std::optional<std::vector<planned_fault>> Faults = parseFaults(Text);
  if (!Faults) {
    std::cerr << "--faults is not step#occurrence=fault,...\n";
    return 1;
  }
  matrix_cell Cell{*Faults, absl::GetFlag(FLAGS_seed)};
  std::optional<cell_result> Failure = findFailure({Cell}, siteOptions(), 1);
  std::cout << (Failure ? "FAILED " : "passed ") << Cell.name() << "\n";
  if (!Failure)
    return 0;
  for (const std::string &Finding : Failure->Findings)
    std::cout << "    " << Finding << "\n";
  return 1;
}

// Returns the exit status.
int printOutcomes() {
  world World(siteOptions());
  World.run();
  for (const auto &[Outcome, Count] : World.outcomes())
    std::cout << Outcome << " " << Count << "\n";
  for (const std::string &Finding : World.findings())
    std::cout << "FAILED " << Finding << "\n";
  return World.findings().empty() ? 0 : 1;
}

// Returns whether all that has to be caught was.
bool runMutations() {
  bool AsExpected = true;
  std::cout << "mechanism | caught by | unit test\n";
  for (const mutation &Mutation : allMutations()) {
    mutation_result Result = runMutation(Mutation, threadCount());
    AsExpected &= Result.isAsExpected();
    std::cout << toString(Result) << std::endl;
  }
  return AsExpected;
}

void printMutationTests() {
  for (const mutation &Mutation : allMutations())
    if (Mutation.UnitTest[0] != '\0')
      std::cout << Mutation.UnitTest << "\n";
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage("Runs the fault matrix.");
  absl::ParseCommandLine(Argc, Argv);
  if (absl::GetFlag(FLAGS_mutation_tests)) {
    printMutationTests();
    return 0;
  }
  if (absl::GetFlag(FLAGS_mutations))
    return runMutations() ? 0 : 1;
  std::optional<disabled_mechanism> Without;
  if (int Number = absl::GetFlag(FLAGS_without); Number >= 0)
    Without.emplace(static_cast<mechanism>(Number));
  if (absl::GetFlag(FLAGS_outcomes))
    return printOutcomes();
  if (std::string Faults = absl::GetFlag(FLAGS_faults); !Faults.empty())
    return runFaults(Faults);
  matrix_report Report = runSelected();
  std::cout << Report.toString();
  if (absl::GetFlag(FLAGS_random) > 0)
    printShortened(Report);
  return Report.Failed == 0 ? 0 : 1;
}
