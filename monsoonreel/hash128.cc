#include "monsoonreel/hash128.h"

#include <xxhash.h>

namespace monsoonreel {

std::string hash128(std::string_view Bytes) {
  XXH128_canonical_t Canonical;
  XXH128_canonicalFromHash(&Canonical,
                           XXH3_128bits(Bytes.data(), Bytes.size()));
  return {reinterpret_cast<const char *>(Canonical.digest),
          sizeof(Canonical.digest)};
}

} // namespace monsoonreel
