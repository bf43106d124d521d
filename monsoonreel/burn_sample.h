// One reading of an entry's counters of requests within their targets.
//
//   finding_list Findings;
//   auto Sample = parseBurnSample(Text, "entry-1/1700000000", At, Findings);
//
// The text is what an entry answers on /metrics, in Prometheus's text format.
// Only `monsoonreel_targets_total` and `process_start_time_seconds` are read;
// lines of other metrics are skipped.

#ifndef MONSOONREEL_BURN_SAMPLE_H
#define MONSOONREEL_BURN_SAMPLE_H

#include <map>
#include <optional>
#include <string>

#include "monsoonreel/finding.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

struct burn_key {
  class_name Class;
  organisation_name Organisation;

  auto operator<=>(const burn_key &) const = default;
};

// Requests that met their class's targets and requests that missed them.
// Fractions arise where a window begins between two samples.
struct request_counts {
  double Met = 0;
  double Missed = 0;

  double total() const { return Met + Missed; }
  request_counts &operator+=(const request_counts &Other) {
    Met += Other.Met;
    Missed += Other.Missed;
    return *this;
  }
};

inline request_counts operator*(double Part, const request_counts &Counts) {
  return {Part * Counts.Met, Part * Counts.Missed};
}

struct burn_sample {
  wall_time At;
  // When the process started, by its own clock; older entries don't say.
  std::optional<wall_time> StartedAt;
  // Since the process started.
  std::map<burn_key, request_counts> Counts;
};

// Nothing when the text can't be used as a whole, for it is empty or cut off:
// a missing series would look like a restart. Findings name Source and line.
std::optional<burn_sample> parseBurnSample(const std::string &Text,
                                           const std::string &Source,
                                           wall_time At,
                                           finding_list &Findings);

} // namespace monsoonreel

#endif // MONSOONREEL_BURN_SAMPLE_H
