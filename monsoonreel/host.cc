#include "monsoonreel/host.h"

namespace monsoonreel {

namespace {

// The position of the colon before the port, or npos when there is no port. An
// IPv6 address can have a port only when it is in brackets.
size_t portColon(const std::string &Text) {
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return Colon;
  if (Text.front() == '[')
    return Text[Colon - 1] == ']' ? Colon : std::string::npos;
  return Text.find(':') == Colon ? Colon : std::string::npos;
}

} // namespace

bool hasPort(const address &Address) {
  return portColon(Address.Value) != std::string::npos;
}

std::string hostOf(const address &Address) {
  std::string Host = Address.Value.substr(0, portColon(Address.Value));
  if (Host.size() >= 2 && Host.front() == '[' && Host.back() == ']')
    return Host.substr(1, Host.size() - 2);
  return Host;
}

address withPortOf(const address &Host, const address &Other) {
  size_t Colon = portColon(Other.Value);
  if (Colon == std::string::npos)
    return Host;
  return address(Host.Value + Other.Value.substr(Colon));
}

} // namespace monsoonreel
