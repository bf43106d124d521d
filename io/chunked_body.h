// A request's body that comes in chunks.
//
//   chunked_body Body(MaxBytes);
//   size_t Used = Body.read(Bytes);   // what belongs to the body
//   if (Body.isComplete())
//     use(Body.takeBody());
//
// Bytes after the last chunk are left to the caller: they belong to the next
// request.

#ifndef IO_CHUNKED_BODY_H
#define IO_CHUNKED_BODY_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "io/chunk_decoder.h"

namespace monsoonreel {

class chunked_body {
public:
  explicit chunked_body(int64_t MaxBytes)
      : MaxBytes(static_cast<size_t>(MaxBytes)) {}

  size_t read(std::string_view Bytes);
  bool isComplete() const { return Chunks.isComplete(); }
  bool isTooLarge() const { return TooLarge; }
  bool isBroken() const { return !Chunks.error().empty(); }
  // Bytes of the body so far.
  int64_t size() const { return static_cast<int64_t>(Body.size()); }
  std::string takeBody();

private:
  size_t MaxBytes;
  chunk_decoder Chunks;
  std::string Body;
  bool TooLarge = false;
};

} // namespace monsoonreel

#endif // IO_CHUNKED_BODY_H
