// Describes what the reader of a YAML document accepts for one key.
//
//   yaml_field Tier{"classes[].tier", "a whole number from 0 to 3", {}};

#ifndef MONSOONREEL_YAML_FIELD_H
#define MONSOONREEL_YAML_FIELD_H

#include <optional>
#include <string>

namespace monsoonreel {

struct yaml_field {
  std::string Path;
  std::string Accepts;
  std::optional<std::string> Default; // empty when the key is required
};

} // namespace monsoonreel

#endif // MONSOONREEL_YAML_FIELD_H
