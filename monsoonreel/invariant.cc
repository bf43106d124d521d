#include "monsoonreel/invariant.h"

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <string>

namespace monsoonreel {

namespace {
std::atomic<bool> AbortOnBreach = false;
} // namespace

void abortOnBreach(bool Abort) { AbortOnBreach = Abort; }

bool invariantHolds(effect_list &Effects, bool Condition,
                    std::string_view Invariant, std::string_view Detail) {
  if (Condition)
    return true;
  if (AbortOnBreach) {
    std::cerr << "invariant broken: " << Invariant << ": " << Detail
              << std::endl;
    std::abort();
  }
  Effects.push_back(report_breach{std::string(Invariant), std::string(Detail)});
  return false;
}

} // namespace monsoonreel
