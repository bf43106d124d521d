// Adds up the growth of the entries' counters over windows of time.
//
//   burn_counter Counter({From, To}, {std::chrono::minutes(5)}, MaxGap);
//   for (const burn_sample &Sample : SamplesOfOneEntryInOrder)
//     Counter.add("entry-1", Sample, Findings);
//   Counter.finish(Findings);
//   use(Counter.classes());
//
// An entry's counters start from zero when it restarts. A restart is seen by
// the process's start time, and where entries don't give it by a counter that
// fell. All counters of the entry then count from zero, also those that look as
// if they had only grown. What was counted between the last sample and the
// restart is lost. An entry that started within the range counts from zero too.
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
  // The part of this range that lies in Other, 0 to 1. An instant lies in a
  // range when it is after its beginning and not after its end.
  double partWithin(const time_range &Other) const;
};

// The growth of one pair of class and organisation.
struct burn_totals {
  request_counts Whole;
  std::vector<request_counts> Windows; // in the order of the windows
};

struct class_totals {
  std::map<organisation_name, burn_totals> Organisations;
  std::vector<request_counts> Timeline; // timeline_steps equal steps
};

struct entry_coverage {
  std::string Entry;
  int Samples = 0;
  int Restarts = 0;
  // The first sample, or the start of an entry that started within the range.
  wall_time First;
  wall_time Last;
};

class burn_counter {
public:
  static constexpr int timeline_steps = 60;

  // Every window ends where Range ends. Two samples of an entry further apart
  // than MaxGap are a finding.
  burn_counter(time_range Range, const std::vector<duration> &Windows,
               duration MaxGap);

  // An entry's samples come in the order in which they were taken. Samples
  // from before or after the range count in part.
  void add(const std::string &Entry, const burn_sample &Sample,
           finding_list &Findings);
  // Adds a finding for each entry that covers the range in part only.
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
  // Of the timeline.
  duration stepLength() const;
  int stepOf(wall_time Time) const;

  time_range Range;
  std::vector<time_range> Windows;
  duration MaxGap;
  std::map<std::string, entry_state> Entries;
  std::map<class_name, class_totals> Classes;
};

// "2026-03-01T06:30:00Z"
std::string toText(wall_time Time);

} // namespace monsoonreel

#endif // MONSOONREEL_BURN_COUNTER_H
