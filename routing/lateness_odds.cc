#include "routing/lateness_odds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoonreel {

namespace {

constexpr double lowest_ratio = 0.5;
constexpr double buckets_per_octave = 4;
// Factor by which the weight of an observation falls with each later one, as
// for the first events of engine_model.
constexpr double decay = 0.995;
constexpr double prior_weight = 64;
// Half of the events are later than predicted. A seventh of the engines being
// two and a half times slower for a while is common on shared machines.
constexpr std::array<std::pair<double, double>, 5> prior_beyond = {
    {{0.5, 1}, {1, 0.5}, {1.5, 0.15}, {2.5, 0.1}, {4, 0}}};

double priorBeyond(double Ratio) {
  if (Ratio <= prior_beyond.front().first)
    return 1;
  for (size_t I = 1; I < prior_beyond.size(); ++I) {
    auto [Left, High] = prior_beyond[I - 1];
    auto [Right, Low] = prior_beyond[I];
    if (Ratio < Right)
      return High +
             (Low - High) * std::log(Ratio / Left) / std::log(Right / Left);
  }
  return 0;
}

} // namespace

double lateness_odds::positionOf(double Ratio) {
  // In this order, std::max turns NaN into the first argument.
  double Octaves = std::log2(std::max(1e-6, Ratio) / lowest_ratio);
  return std::clamp(1 + Octaves * buckets_per_octave, 0.0,
                    static_cast<double>(bucket_count));
}

lateness_odds::lateness_odds() {
  for (size_t I = 1; I + 1 < bucket_count; ++I) {
    auto Edge = [](size_t Bucket) {
      return lowest_ratio *
             std::exp2(static_cast<double>(Bucket - 1) / buckets_per_octave);
    };
    Weights[I] =
        prior_weight * (priorBeyond(Edge(I)) - priorBeyond(Edge(I + 1)));
  }
  update();
}

void lateness_odds::add(double Ratio) {
  if (!(Ratio > 0))
    return;
  for (double &Weight : Weights)
    Weight *= decay;
  auto Bucket = static_cast<size_t>(positionOf(Ratio));
  Weights[std::min(Bucket, bucket_count - 1)] += 1;
  update();
}

void lateness_odds::update() {
  FromBucket[bucket_count] = 0;
  for (size_t I = bucket_count; I-- > 0;)
    FromBucket[I] = FromBucket[I + 1] + Weights[I];
  double Sum = FromBucket[0];
  for (double &Share : FromBucket)
    Share /= Sum;
}

double lateness_odds::beyond(double Ratio) const {
  double Position = positionOf(Ratio);
  auto Bucket = static_cast<size_t>(Position);
  if (Bucket >= bucket_count)
    return 0;
  double Part = Position - static_cast<double>(Bucket);
  return FromBucket[Bucket] +
         Part * (FromBucket[Bucket + 1] - FromBucket[Bucket]);
}

} // namespace monsoonreel
