// Reads the metrics of running entries at regular times for a report.
//
//   report_scraper Scraper(Entries, Every);
//   burn_counter Counter(Range, Windows, Scraper.maxGap());
//   Scraper.run(Counter, Findings);

#ifndef CLI_REPORT_SCRAPER_H
#define CLI_REPORT_SCRAPER_H

#include <string>
#include <vector>

#include "io/http_call.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::cli {

class report_scraper {
public:
  // Entries are admin addresses.
  report_scraper(const std::vector<address> &Entries, duration Every);

  duration maxGap() const;
  // Reads until the counter's range is over, whose beginning should be the
  // present. An entry that did not answer is one finding. False when none
  // ever did.
  bool run(burn_counter &Counter, finding_list &Findings);

private:
  struct target {
    address Entry;
    int Answers = 0;
    int Failures = 0;
    wall_time FirstFailure;
    std::string Error; // of the last failure
  };

  void scrapeAll(burn_counter &Counter, finding_list &Findings);
  static void take(target &Target, const http_result &Result, wall_time At,
                   burn_counter &Counter, finding_list &Findings);
  void reportFailures(finding_list &Findings) const;

  std::vector<target> Targets;
  duration Every;
};

} // namespace monsoonreel::cli

#endif // CLI_REPORT_SCRAPER_H
