#include "monsoonreel/output_estimator.h"

#include <algorithm>

namespace monsoonreel {

namespace {

constexpr double lowest_length = 1;
constexpr double highest_length = 32768;

double bounded(double Tokens, int MaxTokens) {
  return MaxTokens > 0 ? std::min<double>(Tokens, MaxTokens) : Tokens;
}

} // namespace

void output_estimator::observe(const class_name &Class,
                               const organisation_name &Organisation,
                               int OutputTokens) {
  if (OutputTokens <= 0)
    return;
  decaying_histogram Empty(lowest_length, highest_length);
  ByClass.try_emplace(Class, Empty).first->second.add(OutputTokens);
  auto Key = std::make_pair(Class, Organisation);
  auto Known = ByOrganisation.find(Key);
  if (Known != ByOrganisation.end())
    Known->second.add(OutputTokens);
  else if (ByOrganisation.size() < max_output_histograms)
    ByOrganisation.emplace(Key, Empty).first->second.add(OutputTokens);
}

const decaying_histogram *
output_estimator::find(const class_name &Class,
                       const organisation_name &Organisation) const {
  auto Own = ByOrganisation.find(std::make_pair(Class, Organisation));
  if (Own != ByOrganisation.end() &&
      Own->second.weight() >= min_organisation_samples)
    return &Own->second;
  auto All = ByClass.find(Class);
  return All == ByClass.end() ? nullptr : &All->second;
}

double output_estimator::expected(const class_name &Class,
                                  const organisation_name &Organisation,
                                  int MaxTokens) const {
  const decaying_histogram *Lengths = find(Class, Organisation);
  return bounded(Lengths ? Lengths->mean() : default_output_tokens, MaxTokens);
}

double output_estimator::remaining(const class_name &Class,
                                   const organisation_name &Organisation,
                                   int Sent, int MaxTokens) const {
  constexpr double Median = 0.5;
  const decaying_histogram *Lengths = find(Class, Organisation);
  double Whole = Lengths ? Lengths->quantileAbove(Median, Sent)
                         : std::max<double>(default_output_tokens, Sent);
  return std::max(1.0, bounded(Whole, MaxTokens) - Sent);
}

} // namespace monsoonreel
