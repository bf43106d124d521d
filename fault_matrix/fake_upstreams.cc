#include "fault_matrix/fake_upstreams.h"

namespace monsoonreel::fault_matrix {

std::string tokenText(uint64_t BodyHash, int Index) {
  return std::to_string(BodyHash % 100003) + ":" + std::to_string(Index) + " ";
}

std::string answerText(uint64_t BodyHash, int Tokens) {
  std::string Text;
  for (int Index = 0; Index < Tokens; ++Index)
    Text += tokenText(BodyHash, Index);
  return Text;
}

} // namespace monsoonreel::fault_matrix
