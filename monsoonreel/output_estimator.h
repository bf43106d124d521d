// Estimates the output length of answers that are not complete yet.
//
//   output_estimator Estimator;
//   Estimator.observe(Class, Organisation, 212);
//   double Expected = Estimator.expected(Class, Organisation, MaxTokens);
//   double Left = Estimator.remaining(Class, Organisation, 100, MaxTokens);
//
// Lengths are recorded per class and organisation. For an organisation with
// fewer than `min_organisation_samples` the lengths of its class are used, and
// `default_output_tokens` when the class has none.

#ifndef MONSOONREEL_OUTPUT_ESTIMATOR_H
#define MONSOONREEL_OUTPUT_ESTIMATOR_H

#include <utility>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/decaying_histogram.h"
#include "monsoonreel/types.h"

namespace monsoonreel {

// Expected length before any answer was observed, in tokens.
constexpr double default_output_tokens = 240;
// Number of samples from which on an organisation's own lengths are used.
constexpr double min_organisation_samples = 20;
// Maximum number of pairs of class and organisation with their own lengths;
// further pairs use those of their class.
constexpr size_t max_output_histograms = 2048;

class output_estimator {
public:
  void observe(const class_name &Class, const organisation_name &Organisation,
               int OutputTokens);
  // Expected (mean) length in tokens, at most MaxTokens. MaxTokens 0 means no
  // limit.
  double expected(const class_name &Class,
                  const organisation_name &Organisation, int MaxTokens) const;
  // Median number of tokens that remain after Sent tokens, at least 1.
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
