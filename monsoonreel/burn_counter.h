// Sums the growth of the entries' counters over time windows.
//
//   burn_counter Counter({From, To}, {std::chrono::minutes(5)}, MaxGap);
//   for (const burn_sample &Sample : SamplesOfOneEntryInOrder)
//     Counter.add("entry-1", Sample, Findings);
//   Counter.finish(Findings);
//   use(Counter.classes());
//
// An entry's counters restart from zero when its process restarts. A restart is
// detected by a changed process start time or, when an entry doesn't export
// one, by a counter that decreased. All counters of the entry are then counted
// from zero, including those whose values only increased. Requests counted
// between the last sample and the restart are lost. The counters of an entry
// that started within the range are counted from zero as well.
//
// The growth between two samples is spread evenly over the time between them.
// Only the last sample of each entry is kept, so memory does not grow with the
// number of samples.

#ifndef MONSOONREEL_BURN_COUNTER_H
#define MONSOONREEL_BURN_COUNTER_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "monsoonreel/burn_sample.h"

namespace monsoonreel {

// From is before To.
struct time_range {
  wall_time From;
  wall_time To;

  duration length() const { return To - From; }
  // The fraction of this range, 0 to 1, that lies within Other. A range of
  // length zero lies within Other when it is after Other.From and not after
  // Other.To.
  double fractionWithin(const time_range &Other) const;
};

// The growth of the counters of one class and organisation.
struct burn_totals {
  request_counts Whole;
  std::vector<request_counts> Windows; // in the order of the counter's windows
};

struct class_totals {
  std::map<organisation_name, burn_totals> Organisations;
  std::vector<request_counts> Timeline; // one element for each step
};

struct entry_coverage {
  std::string Entry;
  int Samples = 0;
  int Restarts = 0;
  // Time of the first sample, or the process start of an entry that started
  // within the range.
  wall_time First;
  wall_time Last;
};

class burn_counter {
public:
  // Number of equal steps into which the timeline divides the range.
  static constexpr int timeline_steps = 60;

  // Windows are lengths; every window ends where Range ends. A gap longer than
  // MaxGap between two samples of an entry adds a finding.
  burn_counter(time_range Range, const std::vector<duration> &Windows,
               duration MaxGap);

  // Adds one sample. The samples of an entry must be added in the order in
  // which they were taken. Growth between two samples is counted in proportion
  // to its overlap with the range.
  void add(const std::string &Entry, const burn_sample &Sample,
           finding_list &Findings);
  // Adds a finding for each entry whose samples cover only part of the range.
  void finish(finding_list &Findings) const;

  const time_range &range() const { return Range; }
  const std::map<class_name, class_totals> &classes() const { return Classes; }
  std::vector<entry_coverage> entries() const;

private:
  struct entry_state {
    entry_coverage Coverage;
    burn_sample Previous;
  };

  void addGrowth(entry_state &State, const burn_sample &Sample,
                 finding_list &Findings);
  void addCounts(const burn_key &Key, const request_counts &Growth,
                 const time_range &Between);
  // Length of one timeline step, and the index of the step that contains Time,
  // clamped to the timeline.
  duration stepLength() const;
  int stepOf(wall_time Time) const;

  time_range Range;
  std::vector<time_range> Windows;
  duration MaxGap;
  std::map<std::string, entry_state> Entries;
  std::map<class_name, class_totals> Classes;
};

// Formats Time in UTC, such as "2026-03-01T06:30:00Z".
std::string toText(wall_time Time);

} // namespace monsoonreel

#endif // MONSOONREEL_BURN_COUNTER_H
