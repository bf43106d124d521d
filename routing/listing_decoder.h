// Turns the platform's records into the product's types.
//
// The feeds of the platform's store hold records in the platform's format. The
// routing node does not know it: an adapter implements this interface.

#ifndef ROUTING_LISTING_DECODER_H
#define ROUTING_LISTING_DECODER_H

#include <string>

#include <tl/expected.hpp>

#include "routing/routing_event.h"

namespace monsoonreel {

class listing_decoder {
public:
  virtual ~listing_decoder() = default;
  // An entry that can't be read names no upstream; the findings say why.
  virtual tl::expected<upstream_entry, finding_list>
  decodeUpstream(const std::string &Key, const std::string &Value) const = 0;
  virtual tl::expected<site_config, finding_list>
  decodeConfig(const std::string &Value) const = 0;
};

} // namespace monsoonreel

#endif // ROUTING_LISTING_DECODER_H
