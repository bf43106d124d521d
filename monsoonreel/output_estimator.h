// Estimates the length of answers that are not there yet.
//
//   output_estimator Estimator;
//   Estimator.observe(Class, Organisation, 212);
//   double Usual = Estimator.expected(Class, Organisation, MaxTokens);
//   double Left = Estimator.remaining(Class, Organisation, 100, MaxTokens);
//
// Lengths are kept per class and organisation; until an organisation has
// `trusted_samples`, the class's figures are used, and `default_output_tokens`
// before there are any.

#ifndef MONSOONREEL_OUTPUT_ESTIMATOR_H
#define MONSOONREEL_OUTPUT_ESTIMATOR_H

#include <utility>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/decaying_histogram.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Expected length before any answer was seen, in tokens.
constexpr double default_output_tokens = 240;
// Answers of an organisation before its own figures count.
constexpr double trusted_samples = 20;
// Pairs of class and organisation that are kept; others use the class's.
constexpr size_t max_output_histograms = 2048;

class output_estimator {
public:
  void observe(const class_name &Class, const organisation_name &Organisation,
               int OutputTokens);
  // Mean length in tokens, at most MaxTokens unless that is 0.
  double expected(const class_name &Class,
                  const organisation_name &Organisation, int MaxTokens) const;
  // Median of the tokens still to come after Sent of them.
  double remaining(const class_name &Class,
                   const organisation_name &Organisation, int Sent,
                   int MaxTokens) const;
  size_t size() const { return ByOrganisation.size(); }

private:
  const decaying_histogram *find(const class_name &Class,
                                 const organisation_name &Organisation) const;

  absl::flat_hash_map<std::pair<class_name, organisation_name>,
                      decaying_histogram>
      ByOrganisation;
  absl::flat_hash_map<class_name, decaying_histogram> ByClass;
};

} // namespace monsoonreel

#endif // MONSOONREEL_OUTPUT_ESTIMATOR_H
