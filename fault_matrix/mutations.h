// Runs the site with one mechanism taken away at a time, which the matrix has
// to notice.
//
//   for (const mutation &Mutation : allMutations())
//     std::cout << toString(runMutation(Mutation, Threads)) << "\n";
//
// A mutation runs without faults first, then under the cells that fit it, then
// under random faults, until the first finding; the cell that has it must pass
// with the mechanism in place. Seeds are fixed. A mechanism whose loss breaks
// no promise in this traffic names the unit test that takes it away.

#ifndef MONSOONREEL_FAULT_MATRIX_MUTATIONS_H
#define MONSOONREEL_FAULT_MATRIX_MUTATIONS_H

#include <optional>
#include <string>
#include <vector>

#include "fault_matrix/matrix.h"
#include "monsoonreel/mechanism.h"

namespace monsoonreel::fault_matrix {

struct mutation {
  mechanism Mechanism{};
  const char *Name = "";
  // Of the cells that fit: the step, and the fault.
  const char *Step = "";
  std::optional<fault> Fault;
  // Whether a run of the site has to notice.
  bool CaughtByMatrix = false;
  // The unit test that takes the mechanism away, as fixture.name; or empty.
  const char *UnitTest = "";
};

// One for each mechanism, in the order of mechanism.h.
const std::vector<mutation> &allMutations();

struct mutation_result {
  mutation Mutation;
  std::optional<cell_result> Failure;
  // The same cell fails with the mechanism in place, so that it shows nothing.
  bool FailsAnyway = false;
  // What had to be caught was.
  bool isAsExpected() const {
    return !FailsAnyway && (Failure.has_value() || !Mutation.CaughtByMatrix);
  }
};

mutation_result runMutation(const mutation &Mutation, int Threads);

// A line: mechanism, cell, finding, unit test.
std::string toString(const mutation_result &Result);

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_MUTATIONS_H
