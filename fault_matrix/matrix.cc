#include "fault_matrix/matrix.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace monsoonreel::fault_matrix {

namespace {

// The occurrences of a step that are struck.
constexpr std::array<int, 2> Occurrences = {1, 7};
constexpr size_t max_findings_printed = 4;

cell_result runCell(const matrix_cell &Cell, world_options Options) {
  Options.Seed = Cell.Seed;
  world World(Options);
  for (const planned_fault &Fault : Cell.Faults)
    World.plan(Fault);
  World.run();
  bool Reached = World.struck().size() >= Cell.Faults.size();
  return {Cell, Reached, World.findings()};
}

void count(const cell_result &Result, matrix_report &Report) {
  if (!Result.Findings.empty()) {
    ++Report.Failed;
    Report.Failures.push_back(Result);
  } else if (Result.Reached) {
    ++Report.Passed;
  } else {
    ++Report.Unreached;
  }
}

void runOnThreads(const std::function<void()> &Work, int Threads) {
  std::vector<std::thread> Workers;
  Workers.reserve(static_cast<size_t>(Threads));
  for (int Number = 0; Number < Threads; ++Number)
    Workers.emplace_back(Work);
  for (std::thread &Worker : Workers)
    Worker.join();
}

// Runs all cells on some threads and counts them in the order of the cells, so
// that the report does not depend on the threads.
matrix_report runAll(const std::vector<matrix_cell> &Cells,
                     const world_options &Options, int Threads) {
  std::vector<cell_result> Results(Cells.size());
  std::atomic<size_t> Next = 0;
  auto Work = [&] {
    for (size_t Place = Next++; Place < Cells.size(); Place = Next++)
      Results[Place] = runCell(Cells[Place], Options);
  };
  runOnThreads(Work, Threads);
  matrix_report Report;
  for (const cell_result &Result : Results)
    count(Result, Report);
  return Report;
}

// Lowers Least to Value.
void keepLeast(std::atomic<size_t> &Least, size_t Value) {
  size_t Known = Least;
  while (Value < Known && !Least.compare_exchange_weak(Known, Value)) {
  }
}

// Steps none of whose cells was reached.
std::vector<std::string> unreachedSteps(const world_options &Options) {
  world World(Options);
  World.run();
  std::vector<std::string> Missing;
  for (const step_name &Step : allSteps())
    if (!World.occurred().contains(Step))
      Missing.push_back(Step);
  return Missing;
}

} // namespace

std::string matrix_cell::name() const {
  std::string Text;
  for (const planned_fault &Fault : Faults) {
    if (!Text.empty())
      Text += " + ";
    Text += Fault.Step + " #" + std::to_string(Fault.Occurrence) + " " +
            toText(Fault.Fault);
  }
  return (Text.empty() ? "" : Text + " ") + "seed " + std::to_string(Seed);
}

std::string matrix_report::toString() const {
  std::string Text = "cells run " + std::to_string(Passed + Failed) +
                     ", passed " + std::to_string(Passed) + ", failed " +
                     std::to_string(Failed) + ", not reached " +
                     std::to_string(Unreached) + "\n";
  if (!UnreachedSteps.empty()) {
    Text += "steps that do not occur:";
    for (const std::string &Step : UnreachedSteps)
      Text += " " + Step;
    Text += "\n";
  }
  for (const cell_result &Failure : Failures) {
    Text += "FAILED " + Failure.Cell.name() + "\n";
    size_t Printed = std::min(Failure.Findings.size(), max_findings_printed);
    for (size_t Place = 0; Place < Printed; ++Place)
      Text += "    " + Failure.Findings[Place] + "\n";
  }
  return Text;
}

std::vector<matrix_cell> singleCells() {
  std::vector<matrix_cell> Cells;
  for (const step_name &Step : allSteps())
    for (fault Fault : allFaults())
      for (int Occurrence : Occurrences)
        Cells.push_back({{{Step, Fault, Occurrence}}, 1});
  return Cells;
}

std::vector<matrix_cell> faultlessCells(uint64_t First, size_t Count) {
  std::vector<matrix_cell> Cells;
  Cells.reserve(Count);
  for (uint64_t Seed = First; Seed < First + Count; ++Seed)
    Cells.push_back({{}, Seed});
  return Cells;
}

std::vector<matrix_cell> pairCells(size_t Count, uint64_t Seed) {
  std::vector<matrix_cell> Singles = singleCells();
  std::mt19937_64 Random(Seed);
  std::vector<matrix_cell> Cells;
  for (size_t Number = 0; Number < Count; ++Number) {
    matrix_cell Cell;
    for (int Fault = 0; Fault < 2; ++Fault)
      Cell.Faults.push_back(Singles[Random() % Singles.size()].Faults[0]);
    Cell.Seed = 1 + Random() % 1000;
    Cells.push_back(std::move(Cell));
  }
  return Cells;
}

matrix_report runMatrix(const std::vector<matrix_cell> &Cells, int Threads) {
  world_options Options;
  matrix_report Report = runAll(Cells, Options, Threads);
  Report.UnreachedSteps = unreachedSteps(Options);
  return Report;
}

// All cells before the first failure are run, so that the result does not
// depend on the threads.
std::optional<cell_result> findFailure(const std::vector<matrix_cell> &Cells,
                                       const world_options &Options,
                                       int Threads) {
  std::atomic<size_t> Next = 0;
  std::atomic<size_t> First = Cells.size();
  std::mutex Mutex;
  std::map<size_t, cell_result> Failures;
  auto Work = [&] {
    for (size_t Place = Next++; Place < First; Place = Next++) {
      cell_result Result = runCell(Cells[Place], Options);
      if (Result.Findings.empty())
        continue;
      keepLeast(First, Place);
      std::lock_guard Lock(Mutex);
      Failures[Place] = std::move(Result);
    }
  };
  runOnThreads(Work, Threads);
  if (Failures.empty())
    return std::nullopt;
  return Failures.begin()->second;
}

matrix_report runRandom(uint64_t First, int Count, duration Length,
                        duration FaultPeriod, int Threads) {
  std::vector<matrix_cell> Cells =
      faultlessCells(First, static_cast<size_t>(Count));
  world_options Options;
  Options.Length = Length;
  Options.RandomFaultPeriod = FaultPeriod;
  return runAll(Cells, Options, Threads);
}

} // namespace monsoonreel::fault_matrix
