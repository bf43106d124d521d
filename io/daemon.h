// What the daemons have in common: settings, logs, the event loop.
//
//   auto Settings = loadSettings(absl::GetFlag(FLAGS_settings));
//   if (!Settings)
//     return Settings.error();
//   return runNode(Argc, Argv, *Settings,
//                  [](const node_identity &Self, const settings &Chosen) {
//                    return entry_node_builder(Self).build();
//                  });
//
// Exit status of a daemon: 0 after a drain, 1 when an address can't be had, 2
// when the settings have findings, 3 when a drain timed out.

#ifndef IO_DAEMON_H
#define IO_DAEMON_H

#include <functional>
#include <memory>
#include <string>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

constexpr int status_ok = 0;
constexpr int status_failed = 1;
constexpr int status_findings = 2;

using node_factory = std::function<std::unique_ptr<node>(
    const node_identity &Self, const settings &Settings)>;

// Reads and checks the settings in File. Prints all findings and returns
// nothing when there are any.
tl::expected<settings, int> loadSettings(const std::string &File);

// Makes the node and runs it until it has drained.
int runNode(int &Argc, char **Argv, const settings &Settings,
            const node_factory &MakeNode);

} // namespace monsoonreel

#endif // IO_DAEMON_H
