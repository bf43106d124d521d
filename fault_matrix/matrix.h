// Runs the cells of the fault matrix: every fault at every step.
//
//   matrix_report Report = runMatrix(singleCells(), Threads);
//   std::cout << Report.toString();
//
// The cells are the product of `allSteps` and `allFaults`. A step that does not
// occur in the fixed traffic leaves its cells unreached, which is counted and
// never taken for a pass.

#ifndef MONSOONREEL_FAULT_MATRIX_MATRIX_H
#define MONSOONREEL_FAULT_MATRIX_MATRIX_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fault_matrix/world.h"

namespace monsoonreel::fault_matrix {

// One run: its faults and its seed.
struct matrix_cell {
  std::vector<planned_fault> Faults;
  uint64_t Seed = 1;
  std::string name() const;
};

struct cell_result {
  matrix_cell Cell;
  bool Reached = false; // every fault struck
  std::vector<std::string> Findings;
};

struct matrix_report {
  int Passed = 0;
  int Failed = 0;
  int Unreached = 0;
  std::vector<cell_result> Failures;
  std::vector<std::string> UnreachedSteps;
  // Totals, then each failed cell with its findings.
  std::string toString() const;
};

// Each fault at the first and a later occurrence of each step.
std::vector<matrix_cell> singleCells();
// Cells without planned faults, of the seeds First to First + Count - 1.
std::vector<matrix_cell> faultlessCells(uint64_t First, size_t Count);
// Count pairs, drawn from Seed.
std::vector<matrix_cell> pairCells(size_t Count, uint64_t Seed);

matrix_report runMatrix(const std::vector<matrix_cell> &Cells, int Threads);

// The first of Cells that has findings; none is run after it.
std::optional<cell_result> findFailure(const std::vector<matrix_cell> &Cells,
                                       const world_options &Options,
                                       int Threads);

// Runs seeds First to First + Count - 1 with random faults for Length each.
// The report's cells have no planned faults.
matrix_report runRandom(uint64_t First, int Count, duration Length,
                        duration FaultPeriod, int Threads);

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_MATRIX_H
