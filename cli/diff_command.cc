// Shows how a document differs from the one in force, line by line.

#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <vector>

#include "cli/commands.h"
#include "cli/operator_log.h"

namespace monsoonreel {

namespace {

std::vector<std::string> linesOf(std::istream &Input) {
  std::vector<std::string> Lines;
  for (std::string Line; std::getline(Input, Line);)
    Lines.push_back(Line);
  return Lines;
}

void printMissing(const std::vector<std::string> &Lines,
                  const std::vector<std::string> &Others, char Mark) {
  std::multiset<std::string> Known(Others.begin(), Others.end());
  for (const std::string &Line : Lines) {
    auto Found = Known.find(Line);
    if (Found == Known.end())
      std::cout << Mark << " " << Line << std::endl;
    else
      Known.erase(Found);
  }
}

} // namespace

exit_status diffFile(const command_context &Context, const std::string &File) {
  std::ifstream Input(File);
  if (!Input) {
    std::cerr << File << ": can't be read" << std::endl;
    return exit_status::Findings;
  }
  operator_log Log(Context.Platform);
  if (auto Error = Log.catchUp()) {
    std::cerr << *Error << std::endl;
    return exit_status::Unreachable;
  }
  std::istringstream InForce(Log.state().document());
  std::vector<std::string> Old = linesOf(InForce);
  std::vector<std::string> New = linesOf(Input);
  printMissing(Old, New, '-');
  printMissing(New, Old, '+');
  return exit_status::Done;
}

} // namespace monsoonreel
