// The head of an HTTP/1.1 request: request line and header fields.
//
//   tl::expected<http_head, int> Head = parseRequestHead(Bytes);
//   if (!Head)
//     answerWithStatus(Head.error()); // 400, 411, 501 or 505
//
// The parser accepts only what every HTTP implementation reads in the same
// way. A head that two parsers could frame differently (several lengths,
// folded fields, bare line feeds) is an error, so that no request can be
// smuggled inside another one.

#ifndef IO_HTTP_HEAD_H
#define IO_HTTP_HEAD_H

#include <cstdint>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

#include "io/http_fields.h"

namespace monsoonreel {

struct http_head {
  std::string Method;
  std::string Path;  // as sent, without the query
  std::string Query; // without the question mark
  http_header_list Headers;
  int64_t ContentLength = 0;
  bool Chunked = false; // the body comes in chunks
  bool Http10 = false;
  bool KeepAlive = true;
  bool ExpectsContinue = false;

  // The request target: path and query.
  std::string target() const;
};

// Whether bodies in chunks are taken, or refused with 411.
enum class chunk_policy { Refuse, Accept };

// Bytes are a whole head with its closing blank line. The error is the status
// to answer with.
tl::expected<http_head, int>
parseRequestHead(std::string_view Bytes,
                 chunk_policy Chunks = chunk_policy::Refuse);

} // namespace monsoonreel

#endif // IO_HTTP_HEAD_H
