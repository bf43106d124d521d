#include "monsoonreel/finding.h"

#include <utility>

namespace monsoonreel {

void finding_list::add(input_place Place, std::string Message) {
  Findings.push_back({std::move(Place), std::move(Message)});
}

std::string finding_list::toString() const {
  std::string Text;
  for (const finding &F : Findings) {
    Text += F.Place.File + ":";
    if (F.Place.Line > 0)
      Text += std::to_string(F.Place.Line) + ":";
    if (F.Place.Column > 0)
      Text += std::to_string(F.Place.Column) + ":";
    Text += " ";
    if (!F.Place.Path.empty())
      Text += F.Place.Path + ": ";
    Text += F.Message + "\n";
  }
  return Text;
}

} // namespace monsoonreel
