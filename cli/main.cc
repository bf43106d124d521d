// monsoonreel: what operators do from a shell.
//
//   monsoonreel check FILE
//   monsoonreel diff FILE --platform 127.0.0.1:7900
//   monsoonreel apply FILE --platform 127.0.0.1:7900
//   monsoonreel key give ORGANISATION --platform 127.0.0.1:7900
//   monsoonreel key withdraw ID --platform 127.0.0.1:7900
//   monsoonreel key list --platform 127.0.0.1:7900
//
// Exit statuses: cli/commands.h.

#include <iostream>
#include <string>
#include <vector>

#include <QCoreApplication>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include "cli/commands.h"
#include "monsoonreel/address.h"

ABSL_FLAG(std::string, platform, "", "ip:port of the platform");
ABSL_FLAG(std::string, author, "operator", "Who makes the change");
ABSL_FLAG(std::string, output, "text", "text or json");

namespace {

using namespace monsoonreel;

constexpr const char *usage_text =
    "monsoonreel COMMAND [--platform ip:port] [--output json]\n"
    "  check FILE             checks a configuration\n"
    "  diff FILE              compares it with the one in force\n"
    "  apply FILE             puts it in force\n"
    "  key give ORGANISATION  makes a key and shows it once\n"
    "  key withdraw ID        ends a key\n"
    "  key list               lists the keys' ids";

constexpr int exit_usage = 64;

int usageError(const std::string &Message) {
  std::cerr << Message << std::endl << usage_text << std::endl;
  return exit_usage;
}

int run(const std::vector<std::string> &Words, const command_context &Context) {
  std::string Command = Words.empty() ? "" : Words[0];
  if (Words.size() == 2 && Command == "check")
    return static_cast<int>(checkFile(Context, Words[1]));
  if (!isAddress(Context.Platform.Value))
    return usageError("--platform must be an IP address and a port");
  if (Words.size() == 2 && Command == "diff")
    return static_cast<int>(diffFile(Context, Words[1]));
  if (Words.size() == 2 && Command == "apply")
    return static_cast<int>(applyFile(Context, Words[1]));
  std::string KeyCommand = Command == "key" && Words.size() > 1 ? Words[1] : "";
  if (Words.size() == 3 && KeyCommand == "give")
    return static_cast<int>(giveKey(Context, Words[2]));
  if (Words.size() == 3 && KeyCommand == "withdraw")
    return static_cast<int>(withdrawKey(Context, Words[2]));
  if (Words.size() == 2 && KeyCommand == "list")
    return static_cast<int>(listKeys(Context));
  return usageError("unknown command");
}

} // namespace

int main(int Argc, char **Argv) {
  absl::SetProgramUsageMessage(usage_text);
  std::vector<char *> Parsed = absl::ParseCommandLine(Argc, Argv);
  QCoreApplication Application(Argc, Argv);
  command_context Context;
  Context.Platform = address(absl::GetFlag(FLAGS_platform));
  Context.Author = absl::GetFlag(FLAGS_author);
  Context.Json = absl::GetFlag(FLAGS_output) == "json";
  return run({Parsed.begin() + 1, Parsed.end()}, Context);
}
