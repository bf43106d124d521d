#include "cli/options.h"

#include <iostream>

namespace monsoonreel::cli {

void output::line(const std::string &Text) {
  if (!Json)
    std::cout << Text << "\n";
}

void output::finish() {
  if (Json)
    std::cout << Object.dump(2) << "\n";
}

} // namespace monsoonreel::cli
