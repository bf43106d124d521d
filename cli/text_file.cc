#include "cli/text_file.h"

#include <fstream>
#include <iostream>
#include <sstream>

namespace monsoonreel::cli {

namespace {

nlohmann::json toJson(const finding &Finding) {
  return {{"file", Finding.Place.File},
          {"line", Finding.Place.Line},
          {"column", Finding.Place.Column},
          {"path", Finding.Place.Path},
          {"message", Finding.Message}};
}

} // namespace

std::optional<std::string> readTextFile(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream) {
    std::cerr << File << ": can't be read\n";
    return std::nullopt;
  }
  std::stringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

int reportFindings(const options &Options, const finding_list &Findings) {
  if (!Options.Json) {
    std::cerr << Findings.toString();
    return exit_findings;
  }
  output Output(Options.Json);
  Output.json() = {{"result", "findings"},
                   {"findings", nlohmann::json::array()}};
  for (const finding &Finding : Findings.all())
    Output.json()["findings"].push_back(toJson(Finding));
  Output.finish();
  return exit_findings;
}

} // namespace monsoonreel::cli
