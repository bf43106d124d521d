// Everything that is parsed, as targets of hostile input.
//
//   for (const target &Target : targets())
//     Target.Run(Input); // must return, whatever the bytes are
//
// A target fails by ending the process: by a crash, a sanitizer's report, or an
// exception that nobody takes.

#ifndef FUZZ_TARGETS_H
#define FUZZ_TARGETS_H

#include <functional>
#include <string>
#include <vector>

namespace monsoonreel::fuzz {

struct target {
  std::string Name;
  // Returns whether a parser took Input as valid.
  std::function<bool(const std::string &Input)> Run;
  // Valid inputs, each of which Run takes.
  std::vector<std::string> Samples;
};

// Settings, configuration, questionnaire, messages, log records, snapshots,
// load reports, the platform's answers, heads of requests, and messages of
// peers as an entry and a steward take them.
std::vector<target> targets();

// Runs Target on Runs inputs that are made from Seed.
void runTarget(const target &Target, uint64_t Seed, int Runs);

} // namespace monsoonreel::fuzz

#endif // FUZZ_TARGETS_H
