#include "io/daemon.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <QCoreApplication>

#include "spdlog/spdlog.h"

#include "io/node_runtime.h"

namespace monsoonreel {

tl::expected<settings, int> loadSettings(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream) {
    std::cerr << File << ": can't be read\n";
    return tl::unexpected(status_findings);
  }
  std::stringstream Text;
  Text << Stream.rdbuf();
  auto Parsed = parseSettings(Text.str(), File);
  if (Parsed)
    return *Parsed;
  std::cerr << Parsed.error().toString();
  return tl::unexpected(status_findings);
}

int runNode(int &Argc, char **Argv, const settings &Settings,
            const node_factory &MakeNode) {
  QCoreApplication Application(Argc, Argv);
  spdlog::set_level(spdlog::level::from_str(Settings.LogLevel));
  spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e%z level=%l node=" +
                      Settings.Name.Value + " %v");
  spdlog::flush_on(spdlog::level::info);
  node_identity Self = identityOf(Settings);
  std::unique_ptr<node> Node = MakeNode(Self, Settings);
  node_runtime Runtime(Self, Settings, *Node);
  if (!Runtime.start())
    return status_failed;
  return Application.exec();
}

} // namespace monsoonreel
