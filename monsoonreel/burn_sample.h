// One sample of an entry's counters of requests that met or missed their
// targets.
//
//   finding_list Findings;
//   auto Sample = parseBurnSample(Text, "entry-1/1700000000", At, Findings);
//
// The text is the response of an entry's /metrics endpoint, in the Prometheus
// text format. Only `monsoonreel_targets_total` and
// `process_start_time_seconds` are read; lines of other metrics are skipped.

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

// Requests that met their class's targets and requests that missed them. Counts
// are fractional when a window begins between two samples.
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

inline request_counts operator*(double Factor, const request_counts &Counts) {
  return {Factor * Counts.Met, Factor * Counts.Missed};
}

struct burn_sample {
  wall_time At;
  // When the process started, by its own clock. Older entries don't export it.
  std::optional<wall_time> StartedAt;
  // Counter values since the process started.
  std::map<burn_key, request_counts> Counts;
};

// Parses a whole response. Returns nullopt, and adds a finding with Source and
// the line, when the text is empty, truncated or malformed: a sample with a
// missing series would look like a restart.
std::optional<burn_sample> parseBurnSample(const std::string &Text,
                                           const std::string &Source,
                                           wall_time At,
                                           finding_list &Findings);

} // namespace monsoonreel

#endif // MONSOONREEL_BURN_SAMPLE_H
