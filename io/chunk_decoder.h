// Decodes a body in chunks (RFC 9112, 7.1), of a request or of an answer.
//
//   chunk_decoder Chunks;
//   size_t Used = Chunks.read(Bytes, [&](std::string_view Data) { ... });
//   if (Chunks.isComplete()) // Bytes from Used on belong to the next message
//
// Chunk extensions and trailers are checked and dropped.

#ifndef IO_CHUNK_DECODER_H
#define IO_CHUNK_DECODER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/functional/function_ref.h"

#include "io/http_fields.h"

namespace monsoonreel {

// Longest line with a chunk's size and its extensions.
constexpr size_t max_chunk_line_bytes = 1 << 10;
// Size of all trailers together.
constexpr size_t max_trailer_bytes = 16 << 10;

class chunk_decoder {
public:
  // Decodes up to the end of the body and returns the number of bytes used. It
  // uses no more after an error.
  size_t read(std::string_view Bytes,
              absl::FunctionRef<void(std::string_view)> OnData);
  bool isComplete() const { return Step == step::Complete; }
  // Empty while the bytes are valid.
  const std::string &error() const { return Error; }

private:
  enum class step { Size, Data, DataEnd, Trailer, Complete, Failed };

  void onLine();
  void onSize(std::string_view Text);
  void onTrailer(std::string_view Text);
  void fail(std::string Why);

  step Step = step::Size;
  http_line Line{max_chunk_line_bytes};
  uint64_t Left = 0; // of the chunk's data
  size_t TrailerBytes = 0;
  std::string Error;
};

} // namespace monsoonreel

#endif // IO_CHUNK_DECODER_H
