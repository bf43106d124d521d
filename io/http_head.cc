#include "io/http_head.h"

#include <algorithm>
#include <array>
#include <utility>

#include "absl/strings/ascii.h"

#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

constexpr std::array<std::string_view, 7> methods = {
    "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

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
  return 0;
}

int addField(std::string_view Line, http_head &Head) {
  tl::expected<http_header, std::string> Field = parseField(Line);
  if (!Field)
    return http_status::bad_request;
  Head.Headers.push_back(std::move(*Field));
  return 0;
}

int applyFraming(chunk_policy Chunks, http_head &Head) {
  if (Chunks == chunk_policy::Refuse &&
      findHeader(Head.Headers, "transfer-encoding"))
    return http_status::length_required;
  tl::expected<http_framing, std::string> Framing =
      parseFraming(Head.Headers, Head.Http10);
  if (!Framing)
    return http_status::bad_request;
  Head.ContentLength = Framing->Length.value_or(0);
  Head.Chunked = Framing->Chunked;
  Head.KeepAlive = Framing->KeepAlive && !Head.Http10;
  for (const http_header &Header : Head.Headers)
    if (equalsIgnoreCase(Header.Name, "expect")) {
      if (!equalsIgnoreCase(Header.Value, "100-continue"))
        return http_status::bad_request;
      Head.ExpectsContinue = true;
    }
  return 0;
}

} // namespace

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
    int Status = First ? parseRequestLine(Line, Head) : addField(Line, Head);
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
