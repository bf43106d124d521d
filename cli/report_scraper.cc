#include "cli/report_scraper.h"

#include <algorithm>

#include "cli/blocking_call.h"
#include "io/clock.h"
#include "spdlog/fmt/fmt.h"

namespace monsoonreel::cli {

namespace {

constexpr duration scrape_timeout = std::chrono::seconds(5);
constexpr int gap_factor = 3;
// Calls at once; more than this would wait inside the HTTP client.
constexpr size_t max_calls = 32;

} // namespace

report_scraper::report_scraper(const std::vector<address> &Entries,
                               duration Every)
    : Every(Every) {
  Targets.reserve(Entries.size());
  for (const address &Entry : Entries)
    Targets.push_back({Entry, 0, 0, {}, {}});
}

duration report_scraper::maxGap() const { return gap_factor * Every; }

bool report_scraper::run(burn_counter &Counter, finding_list &Findings) {
  // The wall clock may be set meanwhile, so the steady one ends the run.
  steady_time Next = steadyNow();
  const steady_time End = Next + Counter.range().length();
  while (true) {
    scrapeAll(Counter, Findings);
    steady_time Now = steadyNow();
    if (Now >= End)
      break;
    while (Next <= Now)
      Next += Every;
    Next = std::min(Next, End);
    pause(Next - Now);
  }
  reportFailures(Findings);
  return std::any_of(Targets.begin(), Targets.end(),
                     [](const target &T) { return T.Answers > 0; });
}

void report_scraper::scrapeAll(burn_counter &Counter, finding_list &Findings) {
  for (size_t Begin = 0; Begin < Targets.size(); Begin += max_calls) {
    size_t Count = std::min(max_calls, Targets.size() - Begin);
    std::vector<http_call> Calls;
    Calls.reserve(Count);
    for (size_t I = 0; I < Count; ++I)
      Calls.push_back({Targets[Begin + I].Entry, "GET", "/metrics", "",
                       std::min(Every, scrape_timeout)});
    std::vector<http_result> Results = callAllAndWait(Calls);
    // The last reading comes a little after the end of the range.
    wall_time At = std::min(wallNow(), Counter.range().To);
    for (size_t I = 0; I < Count; ++I)
      take(Targets[Begin + I], Results[I], At, Counter, Findings);
  }
}

void report_scraper::take(target &Target, const http_result &Result,
                          wall_time At, burn_counter &Counter,
                          finding_list &Findings) {
  if (Result.Status != 200) {
    if (Target.Failures++ == 0)
      Target.FirstFailure = At;
    Target.Error = Result.Status == 0 ? Result.Error
                                      : fmt::format("status {}", Result.Status);
    return;
  }
  ++Target.Answers;
  std::string Source = Target.Entry.Value + " at " + toText(At);
  if (auto Sample = parseBurnSample(Result.Body, Source, At, Findings))
    Counter.add(Target.Entry.Value, *Sample, Findings);
}

void report_scraper::reportFailures(finding_list &Findings) const {
  for (const target &Target : Targets)
    if (Target.Failures > 0)
      Findings.add({Target.Entry.Value, 0, 0, ""},
                   fmt::format("no metrics in {} of {} readings, first at {}: "
                               "{}",
                               Target.Failures,
                               Target.Failures + Target.Answers,
                               toText(Target.FirstFailure), Target.Error));
}

} // namespace monsoonreel::cli
