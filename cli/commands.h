// The subcommands of `monsoonreel`.
//
// Each returns the program's exit status:
//   0  done
//   1  the platform or a node could not be reached
//   2  the input has findings
//   3  a conflict: somebody else changed what this was based on
//   4  there is nothing of this name

#ifndef CLI_COMMANDS_H
#define CLI_COMMANDS_H

#include <string>
#include <vector>

#include "monsoonreel/types.h"

namespace monsoonreel {

enum class exit_status {
  Done = 0,
  Unreachable = 1,
  Findings = 2,
  Conflict = 3,
  NotFound = 4,
};

// Where the command finds the system.
struct command_context {
  address Platform;
  std::string Author;
  bool Json = false; // --output json
};

exit_status checkFile(const command_context &Context, const std::string &File);
exit_status applyFile(const command_context &Context, const std::string &File);
exit_status diffFile(const command_context &Context, const std::string &File);
exit_status giveKey(const command_context &Context,
                    const std::string &Organisation);
exit_status withdrawKey(const command_context &Context, const std::string &Id);
exit_status listKeys(const command_context &Context);

} // namespace monsoonreel

#endif // CLI_COMMANDS_H
