// A token bucket.
//
//   token_bucket Bucket(Rate, Depth);
//   if (Bucket.tryTake(Now)) ...
//
// It starts full. With rate 0 only `add` fills it.

#ifndef MONSOONREEL_TOKEN_BUCKET_H
#define MONSOONREEL_TOKEN_BUCKET_H

#include <algorithm>

#include "monsoonreel/types.h"

namespace monsoonreel {

class token_bucket {
public:
  // Rate is in tokens per second; Depth is the maximum number of tokens.
  token_bucket(double Rate, double Depth)
      : Rate(Rate), Depth(Depth), Tokens(Depth) {}

  void setRate(double NewRate, double NewDepth) {
    Rate = NewRate;
    Depth = NewDepth;
    Tokens = std::min(Tokens, Depth);
  }
  void add(double Count) { Tokens = std::min(Depth, Tokens + Count); }
  void refill(steady_time Now) {
    if (Now > FilledAt && FilledAt != steady_time())
      add(Rate * std::chrono::duration<double>(Now - FilledAt).count());
    FilledAt = std::max(FilledAt, Now);
  }
  bool tryTake(steady_time Now) {
    refill(Now);
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }
  bool hasToken() const { return Tokens >= 1; }
  // Time until a token is available: zero when there is one, and
  // duration::max() when there is none and the rate is 0.
  duration untilToken() const {
    if (Tokens >= 1)
      return duration{};
    if (Rate <= 0)
      return duration::max();
    return std::chrono::ceil<duration>(
        std::chrono::duration<double>((1 - Tokens) / Rate));
  }
  bool isFull() const { return Tokens >= Depth; }

private:
  double Rate;
  double Depth;
  double Tokens;
  steady_time FilledAt;
};

} // namespace monsoonreel

#endif // MONSOONREEL_TOKEN_BUCKET_H
