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
// Answers that contradict each other or can't be satisfied are findings with
// their place and a suggested change: a target below the fastest time of the
// upstreams, a request that must not be repeated on reclaimable upstreams,
// a request that no upstream serves, a peak load above the capacity of the
// upstreams.

#ifndef MONSOONREEL_QUESTIONNAIRE_H
#define MONSOONREEL_QUESTIONNAIRE_H

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "monsoonreel/configuration.h"
#include "monsoonreel/finding.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Identical upstreams of one pool in one zone.
struct upstream_group {
  pool_name Pool;
  upstream_kind Kind = upstream_kind::Engine;
  zone_name Zone;
  bool Cheap = false;
  double Cost = 1.0;
  int Concurrency = 8;
  // The shortest time to the first token (engine) or to the whole answer
  // (service), and between two tokens, on an idle upstream. Zero when unknown.
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
  // Whether it must never run twice.
  bool RunsOnce = false;
  // Whether it is served without a key.
  bool Open = false;
  // Peak load to be served within the targets, in requests per second, and the
  // time that one request takes. Zero when unknown.
  double PeakPerSecond = 0.0;
  duration TypicalTime{};
};

struct questionnaire {
  std::vector<upstream_group> Upstreams;
  std::vector<request_kind> Requests;
  std::vector<organisation> Organisations;
  policy_limits Limits;
};

// Parses and checks all answers, and returns all findings together when there
// are any. File is only used as the file name in the findings.
tl::expected<questionnaire, finding_list>
parseQuestionnaire(const std::string &Document, const std::string &File);

// Generates the configuration document for Answers, which `parseConfiguration`
// accepts. Its first line names Source.
std::string toConfigurationDocument(const questionnaire &Answers,
                                    const std::string &Source);

// A questionnaire for users to edit, with an explanation and an example answer
// for every question. It parses without findings.
std::string questionnaireTemplate();

} // namespace monsoonreel

#endif // MONSOONREEL_QUESTIONNAIRE_H
