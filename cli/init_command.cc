#include <iostream>

#include "cli/commands.h"
#include "cli/text_file.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::cli {

int initialise(const options &Options, const std::string &File) {
  if (File.empty()) {
    std::cout << questionnaireTemplate();
    return exit_done;
  }
  auto Text = readTextFile(File);
  if (!Text)
    return exit_findings;
  auto Answers = parseQuestionnaire(*Text, File);
  if (!Answers)
    return reportFindings(Options, Answers.error());
  std::string Name = File.substr(File.find_last_of('/') + 1);
  std::string Document = toConfigurationDocument(*Answers, Name);
  output Output(Options.Json);
  Output.json() = {{"result", "generated"}, {"document", Document}};
  Output.text(Document);
  Output.finish();
  return exit_done;
}

} // namespace monsoonreel::cli
