// The classes' objectives for a report: from a flag, a configuration file or
// the document in force.

#ifndef CLI_REPORT_OBJECTIVES_H
#define CLI_REPORT_OBJECTIVES_H

#include <optional>

#include "cli/report.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::cli {

struct report_objectives {
  objective_map Classes;
  std::optional<double> Default; // of a class that is not in Classes

  // Objectives of all classes that the counter saw or that are given.
  objective_map forClasses(const burn_counter &Counter) const;
};

// Each source goes before the next: the flag, the file, the platform. What is
// wrong with one of them is a finding.
report_objectives readObjectives(const options &Options,
                                 const report_options &Report,
                                 finding_list &Findings);

} // namespace monsoonreel::cli

#endif // CLI_REPORT_OBJECTIVES_H
