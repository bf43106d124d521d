// Converts the platform's records to the types of this library.
//
// The feeds of the platform's store hold records in the platform's format,
// which the routing node does not know. An adapter for the platform implements
// this interface.

#ifndef ROUTING_LISTING_DECODER_H
#define ROUTING_LISTING_DECODER_H

#include <string>

#include <tl/expected.hpp>

#include "routing/routing_event.h"

namespace monsoonreel {

class listing_decoder {
public:
  virtual ~listing_decoder() = default;
  // Returns the findings that explain the failure if the value cannot be
  // decoded; the key then names no usable upstream.
  virtual tl::expected<upstream_entry, finding_list>
  decodeUpstream(const std::string &Key, const std::string &Value) const = 0;
  virtual tl::expected<site_config, finding_list>
  decodeConfig(const std::string &Value) const = 0;
};

} // namespace monsoonreel

#endif // ROUTING_LISTING_DECODER_H
