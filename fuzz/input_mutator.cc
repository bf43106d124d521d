#include "fuzz/input_mutator.h"

#include <array>
#include <utility>

namespace monsoonreel::fuzz {

namespace {

constexpr size_t max_changes = 8;
constexpr size_t longest_part = 64;

// Ends of ranges, and characters that mean something in the formats read here.
constexpr std::array<unsigned char, 16> TellingBytes = {
    0x00, 0x01, 0x7f, 0x80, 0xff, '\n', '\r', ' ',
    ':',  '{',  '}',  '[',  '"',  '-',  '0',  '9'};

} // namespace

input_mutator::input_mutator(std::vector<std::string> Samples, uint64_t Seed)
    : Samples(std::move(Samples)), Random(Seed) {}

std::string input_mutator::next() {
  std::string Input = Samples[below(Samples.size())];
  for (size_t Changes = 1 + below(max_changes); Changes > 0; --Changes)
    change(Input);
  return Input;
}

size_t input_mutator::below(size_t Limit) { return Random() % Limit; }

void input_mutator::change(std::string &Input) {
  if (Input.empty())
    return insertSample(Input);
  switch (below(5)) {
  case 0:
    return replaceByte(Input);
  case 1:
    return removePart(Input);
  case 2:
    return repeatPart(Input);
  case 3:
    return insertSample(Input);
  default:
    return flipBit(Input);
  }
}

void input_mutator::flipBit(std::string &Input) {
  char &Byte = Input[below(Input.size())];
  Byte = static_cast<char>(static_cast<unsigned char>(Byte) ^ (1U << below(8)));
}

void input_mutator::replaceByte(std::string &Input) {
  Input[below(Input.size())] =
      static_cast<char>(TellingBytes[below(TellingBytes.size())]);
}

void input_mutator::removePart(std::string &Input) {
  Input.erase(below(Input.size()), 1 + below(longest_part));
}

void input_mutator::repeatPart(std::string &Input) {
  std::string Part = Input.substr(below(Input.size()), 1 + below(longest_part));
  Input.insert(below(Input.size()), Part);
}

void input_mutator::insertSample(std::string &Input) {
  const std::string &Other = Samples[below(Samples.size())];
  if (Other.empty())
    return;
  std::string Part = Other.substr(below(Other.size()), 1 + below(longest_part));
  Input.insert(Input.empty() ? 0 : below(Input.size()), Part);
}

} // namespace monsoonreel::fuzz
