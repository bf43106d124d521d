// The 128-bit hash that identifies documents and idempotency keys in messages
// and records.
//
//   std::string Hash = hash128(Document); // 16 bytes
//
// It is XXH3 in its canonical byte order, so that it is the same on all
// machines. It is not a cryptographic hash: the keys that authorize callers are
// hashed with SHA-256.

#ifndef MONSOONREEL_HASH128_H
#define MONSOONREEL_HASH128_H

#include <string>
#include <string_view>

namespace monsoonreel {

std::string hash128(std::string_view Bytes);

} // namespace monsoonreel

#endif // MONSOONREEL_HASH128_H
