#include "monsoonreel/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace monsoonreel {

namespace {

bool isIp(int Family, const std::string &Host) {
  in6_addr Buffer;
  return inet_pton(Family, Host.c_str(), &Buffer) == 1;
}

// Returns the IP address before the port, or nothing when it is invalid. An
// IPv6 address must be in brackets: without them its last group and a port
// can't be distinguished.
std::optional<std::string> hostOf(const std::string &Text) {
  if (isIp(AF_INET, Text))
    return Text;
  if (Text.size() < 2 || Text.front() != '[' || Text.back() != ']')
    return std::nullopt;
  std::string Host = Text.substr(1, Text.size() - 2);
  return isIp(AF_INET6, Host) ? std::optional(Host) : std::nullopt;
}

} // namespace

std::optional<address_parts> splitAddress(const address &Address) {
  const std::string &Text = Address.Value;
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::optional<std::string> Host = hostOf(Text.substr(0, Colon));
  if (!Host)
    return std::nullopt;
  address_parts Parts;
  Parts.Host = *Host;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data() + Colon + 1, End, Parts.Port);
  if (Result.ec != std::errc() || Result.ptr != End || Parts.Port == 0)
    return std::nullopt;
  return Parts;
}

bool isAddress(const std::string &Text) {
  return splitAddress(address(Text)).has_value();
}

} // namespace monsoonreel
