#include "cli/text_diff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace monsoonreel::cli {

namespace {

using lines = std::vector<std::string>;

lines split(const std::string &Text) {
  lines Lines;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Lines.push_back(Line);
  return Lines;
}

// Length of the longest common subsequence of the tails at each pair of lines.
std::vector<std::vector<int>> commonTails(const lines &Old, const lines &New) {
  std::vector<std::vector<int>> Length(Old.size() + 1,
                                       std::vector<int>(New.size() + 1));
  for (size_t I = Old.size(); I-- > 0;)
    for (size_t J = New.size(); J-- > 0;)
      Length[I][J] = Old[I] == New[J]
                         ? Length[I + 1][J + 1] + 1
                         : std::max(Length[I + 1][J], Length[I][J + 1]);
  return Length;
}

} // namespace

std::string diffLines(const std::string &OldText, const std::string &NewText) {
  if (OldText == NewText)
    return "";
  lines Old = split(OldText);
  lines New = split(NewText);
  auto Length = commonTails(Old, New);
  std::string Out;
  size_t I = 0;
  size_t J = 0;
  while (I < Old.size() || J < New.size()) {
    if (I < Old.size() && J < New.size() && Old[I] == New[J]) {
      Out += " " + Old[I++] + "\n";
      ++J;
    } else if (J == New.size() ||
               (I < Old.size() && Length[I + 1][J] >= Length[I][J + 1])) {
      Out += "-" + Old[I++] + "\n";
    } else {
      Out += "+" + New[J++] + "\n";
    }
  }
  return Out;
}

} // namespace monsoonreel::cli
