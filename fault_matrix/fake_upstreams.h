// Upstreams as entries see them: engines that stream tokens, and a plain
// service whose calls must not repeat.
//
// An engine's answer is a function of the request, so that a caller can tell a
// whole answer of its own from anything else.

#ifndef MONSOONREEL_FAULT_MATRIX_FAKE_UPSTREAMS_H
#define MONSOONREEL_FAULT_MATRIX_FAKE_UPSTREAMS_H

#include <map>
#include <optional>
#include <string>

#include "monsoonreel/types.h"

namespace monsoonreel::fault_matrix {

// The token at Index of the answer to the request with this body hash.
std::string tokenText(uint64_t BodyHash, int Index);
// The whole answer.
std::string answerText(uint64_t BodyHash, int Tokens);

struct fake_upstream {
  bool Cheap = false;
  // When its reclaim notice came; empty: it is not leaving.
  std::optional<duration> LeavingSince;
  duration RefusesUntil{};
  // Grows with each crash and each loss of the open connections.
  int Generation = 0;
};

// How often work was begun at any upstream.
class execution_record {
public:
  // BodyHash is what was asked for, Caller the number of the caller's request.
  void begin(uint64_t BodyHash, size_t Caller) {
    ++ByBody[BodyHash];
    ++ByCaller[Caller];
  }
  int countOfBody(uint64_t BodyHash) const { return find(ByBody, BodyHash); }
  int countOfCaller(size_t Caller) const { return find(ByCaller, Caller); }

private:
  template <typename Key>
  static int find(const std::map<Key, int> &Counts, Key Wanted) {
    auto Found = Counts.find(Wanted);
    return Found == Counts.end() ? 0 : Found->second;
  }

  std::map<uint64_t, int> ByBody;
  std::map<size_t, int> ByCaller;
};

} // namespace monsoonreel::fault_matrix

#endif // MONSOONREEL_FAULT_MATRIX_FAKE_UPSTREAMS_H
