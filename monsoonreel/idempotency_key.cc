#include "monsoonreel/idempotency_key.h"

#include <algorithm>
#include <charconv>

#include "monsoonreel/hash128.h"

namespace monsoonreel {

namespace {

constexpr size_t uuid_text_bytes = 36;
constexpr size_t uuid_version_place = 14;
constexpr size_t uuid_variant_place = 19;
constexpr size_t uuid_hyphens[] = {8, 13, 18, 23};

bool isPrintable(char C) { return C > ' ' && C <= '~'; }

bool isHexDigit(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f') ||
         (C >= 'A' && C <= 'F');
}

bool isUuid(std::string_view Text) {
  if (Text.size() != uuid_text_bytes)
    return false;
  for (size_t Place = 0; Place < Text.size(); ++Place) {
    bool Hyphen = std::find(std::begin(uuid_hyphens), std::end(uuid_hyphens),
                            Place) != std::end(uuid_hyphens);
    if (Hyphen ? Text[Place] != '-' : !isHexDigit(Text[Place]))
      return false;
  }
  return true;
}

// The Unix time in milliseconds in the first 48 bits of a UUIDv7.
std::optional<wall_time> timeOfUuid(std::string_view Text) {
  if (!isUuid(Text) || Text[uuid_version_place] != '7')
    return std::nullopt;
  if (std::string_view("89abAB").find(Text[uuid_variant_place]) ==
      std::string_view::npos)
    return std::nullopt;
  std::string Digits(Text.substr(0, 8));
  Digits += Text.substr(9, 4);
  uint64_t Millis = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Millis, 16);
  return wall_time(std::chrono::milliseconds(static_cast<int64_t>(Millis)));
}

std::string hashOf(const organisation_name &Organisation,
                   std::string_view Key) {
  // The length prefix makes the concatenation unambiguous.
  std::string Text = std::to_string(Organisation.Value.size());
  Text += ':';
  Text += Organisation.Value;
  Text += Key;
  return hash128(Text);
}

} // namespace

tl::expected<idempotency_key, idempotency_key_error>
parseIdempotencyKey(const organisation_name &Organisation, std::string_view Key,
                    wall_time Wall) {
  if (Key.empty() || Key.size() > max_idempotency_key_bytes)
    return tl::unexpected(idempotency_key_error{
        "an idempotency key has 1 to " +
        std::to_string(max_idempotency_key_bytes) + " characters"});
  if (!std::all_of(Key.begin(), Key.end(), isPrintable))
    return tl::unexpected(idempotency_key_error{
        "an idempotency key consists of printable ASCII without spaces"});
  idempotency_key Parsed;
  Parsed.Claim.Organisation = Organisation.Value;
  Parsed.Claim.KeyHash = hashOf(Organisation, Key);
  Parsed.MadeAt = timeOfUuid(Key);
  if (Parsed.MadeAt && *Parsed.MadeAt > Wall + max_key_clock_lead)
    Parsed.MadeAt.reset();
  return Parsed;
}

} // namespace monsoonreel
