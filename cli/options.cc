#include "cli/options.h"

#include <charconv>
#include <iostream>

namespace monsoonreel::cli {

std::optional<int64_t> parseVersion(const std::string &Text) {
  int64_t Version = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Version);
  if (Error != std::errc() || Stop != End || Version < 0)
    return std::nullopt;
  return Version;
}

void output::line(const std::string &Text) { text(Text + "\n"); }

void output::text(const std::string &Text) {
  if (!Json)
    std::cout << Text << std::flush;
}

void output::finish() {
  if (Json)
    std::cout << Object.dump(2) << "\n";
}

} // namespace monsoonreel::cli
