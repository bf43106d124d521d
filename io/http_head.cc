#include "io/http_head.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <QByteArray>
#include <QByteArrayView>

#include "absl/strings/ascii.h"

#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

constexpr std::array<std::string_view, 7> methods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

QByteArrayView view(std::string_view Text) {
  return {Text.data(), static_cast<qsizetype>(Text.size())};
}

bool equalsIgnoreCase(std::string_view A, std::string_view B) {
  return view(A).compare(view(B), Qt::CaseInsensitive) == 0;
}

bool isTokenChar(char C) {
  return absl::ascii_isalnum(C) ||
         std::string_view("!#$%&'*+-.^_`|~").find(C) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

// Only characters that a URL may hold unescaped, and whole percent escapes.
bool isTarget(std::string_view Text) {
  if (Text.empty() || Text.front() != '/')
    return false;
  for (size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (C == '%') {
      if (I + 2 >= Text.size() || !absl::ascii_isxdigit(Text[I + 1]) ||
          !absl::ascii_isxdigit(Text[I + 2]))
        return false;
    } else if (!absl::ascii_isalnum(C) &&
               std::string_view("-._~!$&'()*+,;=:@/?").find(C) ==
                   std::string_view::npos) {
      return false;
    }
  }
  return true;
}

bool isFieldValue(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return C == '\t' || (static_cast<unsigned char>(C) >= ' ' && C != 0x7f);
  });
}

// Returns 0 or the status to answer with.
int parseRequestLine(std::string_view Line, http_head &Head) {
  size_t First = Line.find(' ');
  size_t Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last)
    return http_status::bad_request;
  std::string_view Method = Line.substr(0, First);
  std::string_view Target = Line.substr(First + 1, Last - First - 1);
  std::string_view Version = Line.substr(Last + 1);
  if (!isToken(Method) || !isTarget(Target) || !Version.starts_with("HTTP/"))
    return http_status::bad_request;
  if (Version != "HTTP/1.1" && Version != "HTTP/1.0")
    return http_status::version_not_supported;
  if (std::find(methods.begin(), methods.end(), Method) == methods.end())
    return http_status::not_implemented;
  Head.Method = Method;
  size_t Mark = Target.find('?');
  Head.Path = Target.substr(0, Mark);
  if (Mark != std::string_view::npos)
    Head.Query = Target.substr(Mark + 1);
  Head.Http10 = Version == "HTTP/1.0";
  Head.KeepAlive = !Head.Http10;
  return 0;
}

int parseField(std::string_view Line, http_head &Head) {
  size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || !isToken(Line.substr(0, Colon)))
    return http_status::bad_request;
  std::string_view Value = Line.substr(Colon + 1);
  if (!isFieldValue(Value))
    return http_status::bad_request;
  QByteArrayView Trimmed = view(Value).trimmed();
  Head.Headers.push_back({std::string(Line.substr(0, Colon)),
                          std::string(Trimmed.data(), Trimmed.size())});
  return 0;
}

int parseLength(const std::string &Value, http_head &Head) {
  int64_t Length = 0;
  const char *End = Value.data() + Value.size();
  auto [Stop, Error] = std::from_chars(Value.data(), End, Length);
  bool Digits = std::all_of(Value.begin(), Value.end(), absl::ascii_isdigit);
  if (Error != std::errc() || Stop != End || !Digits)
    return http_status::bad_request;
  Head.ContentLength = Length;
  return 0;
}

// Two lengths, or chunks beside a length, could be read in two ways.
int applyChunks(const std::string &Coding, chunk_policy Chunks,
                http_head &Head) {
  if (Chunks == chunk_policy::Refuse)
    return http_status::length_required;
  if (!equalsIgnoreCase(Coding, "chunked") || Head.Chunked || Head.Http10)
    return http_status::bad_request;
  Head.Chunked = true;
  return 0;
}

int applyFraming(chunk_policy Chunks, http_head &Head) {
  int Lengths = 0;
  for (const http_header &Header : Head.Headers) {
    if (equalsIgnoreCase(Header.Name, "transfer-encoding"))
      if (int Status = applyChunks(Header.Value, Chunks, Head))
        return Status;
    if (equalsIgnoreCase(Header.Name, "content-length")) {
      if (++Lengths > 1)
        return http_status::bad_request;
      if (int Status = parseLength(Header.Value, Head))
        return Status;
    }
    if (equalsIgnoreCase(Header.Name, "connection") &&
        QByteArray::fromStdString(Header.Value).toLower().contains("close"))
      Head.KeepAlive = false;
    if (equalsIgnoreCase(Header.Name, "expect")) {
      if (!equalsIgnoreCase(Header.Value, "100-continue"))
        return http_status::bad_request;
      Head.ExpectsContinue = true;
    }
  }
  return Head.Chunked && Lengths > 0 ? http_status::bad_request : 0;
}

} // namespace

const std::string *findHeader(const http_header_list &Headers,
                              std::string_view Name) {
  for (const http_header &Header : Headers)
    if (equalsIgnoreCase(Header.Name, Name))
      return &Header.Value;
  return nullptr;
}

std::string http_head::target() const {
  return Query.empty() ? Path : Path + "?" + Query;
}

tl::expected<http_head, int> parseRequestHead(std::string_view Bytes,
                                              chunk_policy Chunks) {
  http_head Head;
  bool First = true;
  while (true) {
    size_t End = Bytes.find("\r\n");
    if (End == std::string_view::npos)
      return tl::unexpected(http_status::bad_request);
    std::string_view Line = Bytes.substr(0, End);
    Bytes.remove_prefix(End + 2);
    if (Line.empty())
      break;
    if (Line.find('\n') != std::string_view::npos)
      return tl::unexpected(http_status::bad_request);
    int Status = First ? parseRequestLine(Line, Head) : parseField(Line, Head);
    if (Status != 0)
      return tl::unexpected(Status);
    First = false;
  }
  if (First || !Bytes.empty())
    return tl::unexpected(http_status::bad_request);
  if (int Status = applyFraming(Chunks, Head))
    return tl::unexpected(Status);
  return Head;
}

} // namespace monsoonreel
