#include "monsoonreel/short_names.h"

#include <cstddef>

#include <xxhash.h>

namespace monsoonreel {

namespace {

constexpr char short_name_marker = '\0';
constexpr size_t hash_bytes = 4;
constexpr int bits_per_byte = 8;

uint32_t hashOf(const std::string &Name) {
  return static_cast<uint32_t>(XXH3_64bits(Name.data(), Name.size()));
}

bool isShort(const std::string &Name) {
  return !Name.empty() && Name[0] == short_name_marker;
}

// The marker byte followed by the hash in little-endian byte order.
std::string encodeHash(uint32_t Hash) {
  std::string Bytes(1, short_name_marker);
  for (size_t I = 0; I < hash_bytes; ++I)
    Bytes.push_back(static_cast<char>(Hash >> (bits_per_byte * I)));
  return Bytes;
}

uint32_t decodeHash(const std::string &Bytes) {
  uint32_t Hash = 0;
  for (size_t I = 0; I < hash_bytes; ++I)
    Hash |= uint32_t{static_cast<uint8_t>(Bytes[I + 1])} << (bits_per_byte * I);
  return Hash;
}

} // namespace

short_names short_names::fromConfiguration(const configuration &Configuration,
                                           const pool_map &Map) {
  short_names Names;
  for (const auto &[Name, Cell] : Map.all())
    add(Name.Value, Names.Pools);
  for (const auto &[Name, Class] : Configuration.Classes)
    add(Name.Value, Names.Classes);
  for (const auto &[Name, Organisation] : Configuration.Organisations)
    add(Name.Value, Names.Organisations);
  return Names;
}

void short_names::add(const std::string &Name, name_table &Table) {
  auto [Place, New] = Table.try_emplace(hashOf(Name), Name);
  if (!New)
    Place->second.clear();
}

void short_names::shortenName(const name_table &Table, std::string &Name) {
  uint32_t Hash = hashOf(Name);
  auto Found = Table.find(Hash);
  if (Found != Table.end() && !Name.empty() && Found->second == Name)
    Name = encodeHash(Hash);
}

bool short_names::expandName(const name_table &Table, std::string &Name) {
  if (!isShort(Name))
    return true;
  if (Name.size() != 1 + hash_bytes)
    return false;
  auto Found = Table.find(decodeHash(Name));
  if (Found == Table.end() || Found->second.empty())
    return false;
  Name = Found->second;
  return true;
}

void short_names::shorten(wire::slot_ask &Ask) const {
  shortenName(Pools, Ask.Pool);
  shortenName(Classes, Ask.ServiceClass);
  shortenName(Organisations, Ask.Organisation);
}

bool short_names::expand(wire::slot_ask &Ask) const {
  return expandName(Pools, Ask.Pool) && expandName(Classes, Ask.ServiceClass) &&
         expandName(Organisations, Ask.Organisation);
}

} // namespace monsoonreel
