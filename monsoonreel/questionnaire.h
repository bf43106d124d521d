// A team's answers about its organisations, requests and upstreams, from which
// the configuration of its site is generated.
//
//   std::cout << questionnaireTemplate(); // every question, explained
//
//   auto Answers = parseQuestionnaire(Text, "questionnaire.yaml");
//   if (!Answers)
//     std::cerr << Answers.error().toString();
//   else
//     std::cout << toConfigurationDocument(*Answers, "questionnaire.yaml");
//
// Answers that contradict each other or can't be met are findings with the
// place and what to change: a target below what the upstreams can do, a request
// that must not be repeated on upstreams that may vanish, a request that no
// upstream serves, a peak that the upstreams have no room for.

#ifndef MONSOONREEL_QUESTIONNAIRE_H
#define MONSOONREEL_QUESTIONNAIRE_H

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "monsoonreel/configuration.h"
#include "monsoonreel/finding.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Upstreams of one pool in one zone that are alike.
struct upstream_group {
  pool_name Pool;
  upstream_kind Kind = upstream_kind::Engine;
  zone_name Zone;
  bool Cheap = false;
  double Cost = 1.0;
  int Concurrency = 8;
  // The least time to the first token (engine) or the answer (service), and
  // between tokens, on an idle upstream; zero where not known.
  duration FirstTokenFloor{};
  duration BetweenTokensFloor{};
  struct machine {
    upstream_name Name;
    address Address;
    bool ChecksFence = false;
  };
  std::vector<machine> Machines;
};

// One kind of request; it becomes a class and a route.
struct request_kind {
  service_class Class;
  pool_name Pool;
  // Whether the pool is one of services, not engines.
  bool IsService = false;
  std::string Path;
  // Must never run twice.
  bool RunsOnce = false;
  // Served without a key.
  bool Open = false;
  // Load to be met within the target; zero where not known.
  double PeakPerSecond = 0.0;
  duration TypicalTime{};
};

struct questionnaire {
  std::vector<upstream_group> Upstreams;
  std::vector<request_kind> Requests;
  std::vector<organisation> Organisations;
  policy_limits Limits;
};

// Checks all answers and reports all findings together. File is used in the
// places of the findings only.
tl::expected<questionnaire, finding_list>
parseQuestionnaire(const std::string &Document, const std::string &File);

// The configuration document that the answers ask for; `parseConfiguration`
// accepts it. Source is named in its first line.
std::string toConfigurationDocument(const questionnaire &Answers,
                                    const std::string &Source);

// A questionnaire with every question explained and an example answer for
// each, to be edited. It has no findings as it is.
std::string questionnaireTemplate();

} // namespace monsoonreel

#endif // MONSOONREEL_QUESTIONNAIRE_H
