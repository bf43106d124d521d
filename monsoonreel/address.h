// Validates and parses addresses of the form ip:port.
//
//   if (auto Parts = splitAddress(address("127.0.0.1:7400")))
//     listen(Parts->Host, Parts->Port);
//
// IPv6 addresses are written in brackets: [::1]:7400.

#ifndef MONSOONREEL_ADDRESS_H
#define MONSOONREEL_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>

#include "monsoonreel/types.h"

namespace monsoonreel {

struct address_parts {
  std::string Host;
  uint16_t Port = 0;
};

// Returns nothing when Address is not an IP address with a port from 1 to
// 65535.
std::optional<address_parts> splitAddress(const address &Address);

bool isAddress(const std::string &Text);

} // namespace monsoonreel

#endif // MONSOONREEL_ADDRESS_H
