// Parses a caller's idempotency key: its hash and, for a UUIDv7, the time in
// it.
//
//   auto Key = parseIdempotencyKey(Org, HeaderValue, Wall);
//   if (!Key)
//     refuse(400, Key.error().Message);
//   Ask.Key = Key->Claim;
//
// Only the hash of a key is stored and sent. The hash also covers the
// organisation, so equal keys of two organisations do not conflict.

#ifndef MONSOONREEL_IDEMPOTENCY_KEY_H
#define MONSOONREEL_IDEMPOTENCY_KEY_H

#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "monsoonreel/types.h"
#include "monsoonreel/wire.h"

namespace monsoonreel {

constexpr size_t max_idempotency_key_bytes = 255;
// A UUIDv7 whose time is further ahead than this is treated as an opaque key.
constexpr duration max_key_clock_lead = std::chrono::minutes(10);

struct idempotency_key {
  wire::claim_key Claim;
  // When the caller created the key; empty for an opaque key.
  std::optional<wall_time> MadeAt;
};

struct idempotency_key_error {
  std::string Message;
};

// A key consists of 1 to 255 printable ASCII characters without spaces.
// Anything else is an error. Wall is this node's wall clock.
tl::expected<idempotency_key, idempotency_key_error>
parseIdempotencyKey(const organisation_name &Organisation, std::string_view Key,
                    wall_time Wall);

} // namespace monsoonreel

#endif // MONSOONREEL_IDEMPOTENCY_KEY_H
