// What callers sent and what they were told, and the judgement of it.
//
//   caller_record Callers;
//   size_t Number = Callers.add(Request);
//   Callers.at(Number).Received += Data;
//   Callers.judge(Executions, Findings);

#ifndef MONSOONREEL_FAULT_MATRIX_CALLER_RECORD_H
#define MONSOONREEL_FAULT_MATRIX_CALLER_RECORD_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fault_matrix/fake_upstreams.h"
#include "monsoonreel/effect.h"

namespace monsoonreel::fault_matrix {

// One request as its caller sees it.
struct caller_request {
  uint64_t BodyHash = 0;
  int Tokens = 0; // of the whole answer
  bool Idempotent = true;
  std::string IdempotencyKey; // empty: none
  std::string KeyId;
  std::string Path;
  std::string Class;
  std::string Entry; // which it was sent to
  duration SentAt{};
  duration FinishedAt{};
  duration Timeout = std::chrono::seconds(12);

  std::string Received;
  bool Begun = false;
  bool Finished = false;
  bool Aborted = false;
  int FinalAnswers = 0;      // must become 1, or 0 when Disconnected
  bool Disconnected = false; // the caller left, or its entry died
  std::optional<refuse_request> Refusal;
};

class caller_record {
public:
  // Returns the number by which the request is known.
  size_t add(caller_request Request);
  caller_request &at(size_t Number) { return Requests[Number]; }
  const std::vector<caller_request> &all() const { return Requests; }

  // Adds each of the brief's promises to callers that was broken.
  void judge(const execution_record &Executions,
             std::vector<std::string> &Findings) const;

private:
  std::vector<caller_request> Requests;
};

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_CALLER_RECORD_H
