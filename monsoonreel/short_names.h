// Replaces the names in requests for slots by hashes of 4 bytes.
//
//   short_names Names = short_names::fromConfiguration(Configuration, Map);
//   Names.shorten(Ask);               // in the sender
//   if (!Names.expand(Ask))           // in the slot owner
//     ... // refuse: the sender resends the request with the full names
//
// A short name is a zero byte followed by 32 bits of a hash of the name. Sender
// and receiver need not have the same version of the configuration: a name has
// the same hash in every configuration, and a hash that matches no name or
// several names of the receiver's configuration is refused. Names with equal
// hashes are not shortened. They are not a finding of the configuration,
// because processes of earlier versions would accept a configuration that this
// version refuses.

#ifndef MONSOONREEL_SHORT_NAMES_H
#define MONSOONREEL_SHORT_NAMES_H

#include <cstdint>
#include <string>

#include "absl/container/flat_hash_map.h"

#include "monsoonreel/configuration.h"
#include "monsoonreel/pool_map.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

class short_names {
public:
  static short_names fromConfiguration(const configuration &Configuration,
                                       const pool_map &Map);

  // Shortens the names in Ask that are in the configuration.
  void shorten(wire::slot_ask &Ask) const;
  // Replaces short names by full names. Returns false if a short name is
  // malformed, unknown or ambiguous.
  bool expand(wire::slot_ask &Ask) const;

private:
  // Names by their hash; empty if several names have the same hash.
  using name_table = absl::flat_hash_map<uint32_t, std::string>;

  static void add(const std::string &Name, name_table &Table);
  static void shortenName(const name_table &Table, std::string &Name);
  static bool expandName(const name_table &Table, std::string &Name);

  name_table Pools;
  name_table Classes;
  name_table Organisations;
};

} // namespace monsoonreel

#endif // MONSOONREEL_SHORT_NAMES_H
