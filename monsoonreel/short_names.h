// Names in asks for slots as hashes of 4 bytes.
//
//   short_names Names = short_names::fromConfiguration(Configuration, Map);
//   Names.shorten(Ask);               // the asker
//   if (!Names.expand(Ask))           // the owner
//     ... // refuse: the asker sends the names in full
//
// A short name is a zero byte and 32 bits of a hash of the name. It needs no
// agreement on the configuration's version: a name has the same hash in every
// configuration, and a hash of no name or of several names of the own
// configuration has no meaning. Names that share a hash are not shortened; no
// finding of the configuration, because processes of earlier versions would
// accept what this one refuses.

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

  // Shortens those names of Ask that the configuration has.
  void shorten(wire::slot_ask &Ask) const;
  // Puts the names in place of short ones. False: one of them is not known.
  bool expand(wire::slot_ask &Ask) const;

private:
  // By hash; empty where several names share it.
  using name_table = absl::flat_hash_map<uint32_t, std::string>;

  static void add(const std::string &Name, name_table &Table);
  static void shortenName(const name_table &Table, std::string &Name);
  static bool expandName(const name_table &Table, std::string &Name);

  name_table Cells;
  name_table Classes;
  name_table Organisations;
};

} // namespace monsoonreel

#endif // MONSOONREEL_SHORT_NAMES_H
