#include "io/chunked_body.h"

#include <utility>

namespace monsoonreel {

size_t chunked_body::read(std::string_view Bytes) {
  return Chunks.read(Bytes, [this](std::string_view Data) {
    TooLarge = TooLarge || Data.size() > MaxBytes - Body.size();
    if (!TooLarge)
      Body += Data;
  });
}

std::string chunked_body::takeBody() { return std::move(Body); }

} // namespace monsoonreel
