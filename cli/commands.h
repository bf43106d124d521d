// The commands of the `monsoonreel` program. Each returns its exit status.

#ifndef CLI_COMMANDS_H
#define CLI_COMMANDS_H

#include <string>

#include "cli/options.h"

namespace monsoonreel::cli {

// Prints the configuration that a questionnaire asks for, or without a file the
// template of a questionnaire.
int initialise(const options &Options, const std::string &File);

// Configuration files.
int checkFile(const options &Options, const std::string &File);
int applyFile(const options &Options, const std::string &File);
int diffFile(const options &Options, const std::string &File);
// Prints the document in force, with its version.
int showDocument(const options &Options);
// Puts an earlier document in force again, as a new version. Version 0 stands
// for the one before the document in force.
int rollback(const options &Options, int64_t Version);

// Prints docs/CONFIGURATION.md.
int printReference();

// Callers' keys.
int giveKey(const options &Options, const std::string &Organisation);
int withdrawKey(const options &Options, const std::string &KeyId);
int listKeys(const options &Options);

// Nodes.
int showStatus(const options &Options);
int drainNode(const options &Options, const std::string &Admin);

// Where a request would go.
struct explain_options {
  std::string Entry; // address of its metrics listener
  std::string Host;
  std::string Path;
  std::string Key;    // empty: none
  std::string Tokens; // PROMPT,OUTPUT; empty: none
  std::string Parts;  // ID:TOKENS,...; empty: none
  bool Json = false;
};
// Asks an entry where it would send a request, and prints why. Exit status: 1
// if there is no explanation, 2 if the arguments are wrong.
int explainRequest(const explain_options &Asked);

} // namespace monsoonreel::cli

#endif // CLI_COMMANDS_H
