// Makes hostile inputs out of valid ones.
//
//   input_mutator Mutator(Samples, Seed);
//   std::string Input = Mutator.next();
//
// An input is a sample with a few changes: bytes flipped, removed, repeated or
// set to extreme values, and parts of other samples put in. The same samples
// and seed give the same inputs.

#ifndef FUZZ_INPUT_MUTATOR_H
#define FUZZ_INPUT_MUTATOR_H

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace monsoonreel::fuzz {

class input_mutator {
public:
  // Samples must not be empty.
  input_mutator(std::vector<std::string> Samples, uint64_t Seed);

  std::string next();

private:
  // A number below Limit, which is positive.
  size_t below(size_t Limit);
  void change(std::string &Input);
  void flipBit(std::string &Input);
  void replaceByte(std::string &Input);
  void removePart(std::string &Input);
  void repeatPart(std::string &Input);
  void insertSample(std::string &Input);

  std::vector<std::string> Samples;
  std::mt19937_64 Random;
};

} // namespace monsoonreel::fuzz

#endif // FUZZ_INPUT_MUTATOR_H
