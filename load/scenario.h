// A load scenario: the mix of traffic, its bursts, and the faults by time.
//
//   auto Parsed = parseScenario(Text, "burst.yaml");
//   if (!Parsed)
//     std::cerr << Parsed.error().toString();
//
// Points in time are parts of the whole run, from 0 to 1, so that a scenario
// can be run for any time. The targets of the classes are those of the site's
// configuration.

#ifndef LOAD_SCENARIO_H
#define LOAD_SCENARIO_H

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::load {

// One kind of request in the mix.
struct traffic {
  class_name Class;
  std::string Path;
  std::string Model;  // empty: a plain service
  double Share = 0.0; // of all requests
  int PromptTokens = 0;
  int PrefixTokens = 0; // at the start of the prompt, shared by requests
  int MaxTokens = 0;
  bool Stream = false;
  bool Keyed = false; // sends an idempotency key
  bool Idempotent = true;
  duration Timeout = std::chrono::seconds(30);
};

struct caller_share {
  organisation_name Organisation;
  double Weight = 1.0;
};

// For part of the run, one class comes Factor times as often.
struct burst {
  class_name Class;
  double At = 0.0;
  double Length = 0.0;
  double Factor = 1.0;
};

// A fault of a stand-in. Exactly one of Upstream, Zone and Platform says whom
// it concerns.
struct planned_fault {
  double At = 0.0;
  std::string Upstream;   // the upstream of this name
  std::string Zone;       // all upstreams of this zone
  bool CheapOnly = false; // of those, only the ones that can be reclaimed
  bool Platform = false;  // the platform
  std::string Json;       // for the control port
};

struct withdrawal {
  double At = 0.0;
  organisation_name Organisation;
};

struct scenario {
  // At load 1.0.
  double RequestsPerSecond = 1.0;
  double Load = 1.0;
  std::vector<traffic> Traffic;
  std::vector<caller_share> Organisations;
  std::vector<burst> Bursts;
  std::vector<planned_fault> Faults;
  std::vector<withdrawal> Withdrawals;
};

tl::expected<scenario, finding_list> parseScenario(const std::string &Document,
                                                   const std::string &File);

} // namespace monsoonreel::load

#endif // LOAD_SCENARIO_H
