// What heads of requests and of answers have in common: lines, header fields,
// and the fields that say where the body ends.
//
//   http_line Line;
//   while (Line.read(Bytes) == line_status::Complete) {
//     if (auto Field = parseField(Line.text()))
//       Headers.push_back(*Field);
//     Line.clear();
//   }
//   tl::expected<http_framing, std::string> Framing =
//       parseFraming(Headers, /*Http10=*/false);
//
// Only what every HTTP implementation reads in the same way is accepted. A
// message that two parsers could frame differently (several lengths, folded
// fields, bare line feeds, another coding than chunks) is an error.

#ifndef IO_HTTP_FIELDS_H
#define IO_HTTP_FIELDS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace monsoonreel {

struct http_header {
  std::string Name;
  std::string Value;
};

using http_header_list = std::vector<http_header>;

// The value of the first field called Name, whatever its case, or nullptr.
const std::string *findHeader(const http_header_list &Headers,
                              std::string_view Name);

bool equalsIgnoreCase(std::string_view A, std::string_view B);

// Returns whether Text is a token (RFC 9110, 5.6.2), as names of fields are.
bool isToken(std::string_view Text);

// Returns whether Text holds no control characters but tabs.
bool isFieldText(std::string_view Text);

// Parses a line of a header or trailer section, without its end.
tl::expected<http_header, std::string> parseField(std::string_view Line);

// What the fields of a message say about its end.
struct http_framing {
  std::optional<int64_t> Length; // of the body, in bytes
  bool Chunked = false;
  bool KeepAlive = true; // the connection can be used again
};

// Http10: the message is of HTTP/1.0, which has no chunks. The error names the
// offending field.
tl::expected<http_framing, std::string>
parseFraming(const http_header_list &Headers, bool Http10);

enum class line_status {
  Incomplete,
  Complete,
  Invalid, // it holds a byte that no line may hold, or is too long
};

// Collects one line that ends with CRLF and holds no other control characters
// than tabs.
class http_line {
public:
  explicit http_line(size_t MaxBytes) : MaxBytes(MaxBytes) {}

  // Removes the line's bytes from the front of Bytes.
  line_status read(std::string_view &Bytes);
  // The line so far, without its end.
  std::string_view text() const { return Text; }
  bool isEmpty() const { return Text.empty() && !HasReturn; }
  void clear();

private:
  size_t MaxBytes;
  std::string Text;
  bool HasReturn = false; // a CR was read, and LF has to follow
};

} // namespace monsoonreel

#endif // IO_HTTP_FIELDS_H
