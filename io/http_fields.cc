#include "io/http_fields.h"

#include <algorithm>
#include <charconv>

#include <QByteArray>
#include <QByteArrayView>
#include <QList>

#include "absl/strings/ascii.h"

namespace monsoonreel {

namespace {

QByteArrayView view(std::string_view Text) {
  return {Text.data(), static_cast<qsizetype>(Text.size())};
}

bool isTokenChar(char C) {
  return absl::ascii_isalnum(C) ||
         std::string_view("!#$%&'*+-.^_`|~").find(C) != std::string_view::npos;
}

bool isFieldChar(char C) {
  constexpr char del = 0x7f;
  return C == '\t' || (static_cast<unsigned char>(C) >= ' ' && C != del);
}

std::optional<int64_t> parseLength(const std::string &Value) {
  int64_t Length = 0;
  const char *End = Value.data() + Value.size();
  auto [Stop, Error] = std::from_chars(Value.data(), End, Length);
  bool Digits = std::all_of(Value.begin(), Value.end(), absl::ascii_isdigit);
  if (Error != std::errc() || Stop != End || !Digits)
    return std::nullopt;
  return Length;
}

void applyConnection(const std::string &Value, http_framing &Framing) {
  for (const QByteArray &Option : QByteArray::fromStdString(Value).split(','))
    if (Option.trimmed().compare("close", Qt::CaseInsensitive) == 0)
      Framing.KeepAlive = false;
}

bool asksToKeep(const http_header_list &Headers) {
  const std::string *Value = findHeader(Headers, "connection");
  return Value && equalsIgnoreCase(*Value, "keep-alive");
}

} // namespace

const std::string *findHeader(const http_header_list &Headers,
                              std::string_view Name) {
  for (const http_header &Header : Headers)
    if (equalsIgnoreCase(Header.Name, Name))
      return &Header.Value;
  return nullptr;
}

bool equalsIgnoreCase(std::string_view A, std::string_view B) {
  return view(A).compare(view(B), Qt::CaseInsensitive) == 0;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

bool isFieldText(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isFieldChar);
}

tl::expected<http_header, std::string> parseField(std::string_view Line) {
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos)
    return tl::unexpected<std::string>("a header line without a colon");
  if (!isToken(Line.substr(0, Colon)))
    return tl::unexpected<std::string>("malformed header field name");
  std::string_view Value = Line.substr(Colon + 1);
  if (!isFieldText(Value))
    return tl::unexpected<std::string>("control character in a header field");
  return http_header{std::string(Line.substr(0, Colon)),
                     view(Value).trimmed().toByteArray().toStdString()};
}

tl::expected<http_framing, std::string>
parseFraming(const http_header_list &Headers, bool Http10) {
  http_framing Framing;
  Framing.KeepAlive = !Http10 || asksToKeep(Headers);
  for (const http_header &Header : Headers) {
    if (equalsIgnoreCase(Header.Name, "transfer-encoding")) {
      if (!equalsIgnoreCase(Header.Value, "chunked") || Framing.Chunked ||
          Http10)
        return tl::unexpected<std::string>("unsupported Transfer-Encoding");
      Framing.Chunked = true;
    }
    if (equalsIgnoreCase(Header.Name, "content-length")) {
      if (Framing.Length)
        return tl::unexpected<std::string>("more than one Content-Length");
      Framing.Length = parseLength(Header.Value);
      if (!Framing.Length)
        return tl::unexpected<std::string>("malformed Content-Length");
    }
    if (equalsIgnoreCase(Header.Name, "connection"))
      applyConnection(Header.Value, Framing);
  }
  if (Framing.Chunked && Framing.Length)
    return tl::unexpected<std::string>(
        "Content-Length beside Transfer-Encoding");
  return Framing;
}

line_status http_line::read(std::string_view &Bytes) {
  while (!Bytes.empty()) {
    char C = Bytes.front();
    if (HasReturn && C != '\n')
      return line_status::Invalid;
    Bytes.remove_prefix(1);
    if (HasReturn)
      return line_status::Complete;
    if (C == '\r') {
      HasReturn = true;
      continue;
    }
    if (!isFieldChar(C) || Text.size() == MaxBytes)
      return line_status::Invalid;
    Text.push_back(C);
  }
  return line_status::Incomplete;
}

void http_line::clear() {
  Text.clear();
  HasReturn = false;
}

} // namespace monsoonreel
