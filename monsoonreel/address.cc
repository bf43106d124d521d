#include "monsoonreel/address.h"

#include <arpa/inet.h>
#include <charconv>

namespace monsoonreel {

namespace {

bool isIp(const std::string &Host) {
  in6_addr Buffer;
  return inet_pton(AF_INET, Host.c_str(), &Buffer) == 1 ||
         inet_pton(AF_INET6, Host.c_str(), &Buffer) == 1;
}

std::string withoutBrackets(const std::string &Host) {
  bool Bracketed = Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  return Bracketed ? Host.substr(1, Host.size() - 2) : Host;
}

} // namespace

std::optional<address_parts> splitAddress(const address &Address) {
  const std::string &Text = Address.Value;
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  address_parts Parts;
  Parts.Host = withoutBrackets(Text.substr(0, Colon));
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data() + Colon + 1, End, Parts.Port);
  if (Result.ec != std::errc() || Result.ptr != End || Parts.Port == 0)
    return std::nullopt;
  if (!isIp(Parts.Host))
    return std::nullopt;
  return Parts;
}

bool isAddress(const std::string &Text) {
  return splitAddress(address(Text)).has_value();
}

} // namespace monsoonreel
