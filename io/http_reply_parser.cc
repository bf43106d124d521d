#include "io/http_reply_parser.h"

#include <algorithm>
#include <utility>

#include <QRegularExpression>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"

#include "io/chunk_decoder.h"
#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

constexpr std::string_view protocol = "HTTP/1.";
constexpr std::string_view protocol_name = "HTTP/";
constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;

// Returns whether a text contains a status line, as "ab1HTTP/1.1 200" does: a
// server has begun an answer within the head of another one.
bool containsStatusLine(const std::string &Text) {
  static const QRegularExpression StatusLine("HTTP/[0-9]\\.[0-9] [0-9]{3}");
  return absl::StrContains(Text, "HTTP/") &&
         QString::fromStdString(Text).contains(StatusLine);
}

// Returns whether Text begins with Prefix, as far as it goes.
bool beginsWith(std::string_view Text, std::string_view Prefix) {
  size_t Size = std::min(Text.size(), Prefix.size());
  return Text.substr(0, Size) == Prefix.substr(0, Size);
}

struct status_line {
  bool Http10 = false;
  int Status = 0;
};

// "HTTP/1.1 200 OK". The phrase, and the blank before it, may be missing.
tl::expected<status_line, std::string> parseStatusLine(std::string_view Line) {
  constexpr size_t status_place = std::string_view("HTTP/1.1 ").size();
  constexpr size_t status_digits = 3;
  constexpr int decimal = 10;
  status_line Parsed;
  Parsed.Http10 = Line.starts_with("HTTP/1.0 ");
  if (!Parsed.Http10 && !Line.starts_with("HTTP/1.1 "))
    return tl::unexpected<std::string>("malformed status line");
  std::string_view Digits = Line.substr(status_place, status_digits);
  std::string_view Phrase = Line.substr(status_place + Digits.size());
  if (Digits.size() != status_digits ||
      !std::all_of(Digits.begin(), Digits.end(), absl::ascii_isdigit) ||
      !(Phrase.empty() || Phrase.front() == ' '))
    return tl::unexpected<std::string>("malformed status line");
  for (char Digit : Digits)
    Parsed.Status = Parsed.Status * decimal + (Digit - '0');
  if (Parsed.Status < first_status || Parsed.Status > last_status)
    return tl::unexpected<std::string>("status out of range");
  if (containsStatusLine(std::string(Phrase)))
    return tl::unexpected<std::string>("a head with two status lines");
  return Parsed;
}

} // namespace

struct http_reply_parser::state {
  enum class step { StatusLine, Fields, Chunks, Length, UntilEnd, Failed };

  step Step = step::StatusLine;
  std::vector<reply_event> Events;
  http_line Line{max_reply_head_bytes};
  http_reply_head Head;
  bool Http10 = false;
  size_t HeadBytes = 0;
  int64_t Left = 0; // of a body with a length
  chunk_decoder Chunks;
  bool HeadOnly = false;
  bool HadAnswer = false;
  bool HadBlankLine = false; // behind an answer

  // MayBeBody: see reply_error.
  void fail(std::string Why, bool MayBeBody = false) {
    Step = step::Failed;
    Events.emplace_back(reply_error{std::move(Why), MayBeBody});
  }
  void endAnswer() {
    Step = step::StatusLine;
    Events.emplace_back(reply_end{});
  }

  void skipBlankLines(std::string_view &Bytes) {
    size_t Size = std::min(Bytes.find_first_not_of("\r\n"), Bytes.size());
    HadBlankLine = HadBlankLine || Size > 0;
    Bytes.remove_prefix(Size);
  }

  void readLine(std::string_view &Bytes) {
    if (Step == step::StatusLine && HadAnswer && Line.isEmpty())
      skipBlankLines(Bytes);
    size_t Given = Bytes.size();
    line_status Status = Line.read(Bytes);
    HeadBytes += Given - Bytes.size();
    if (HeadBytes > max_reply_head_bytes)
      return fail("head too large");
    std::string_view Text = Line.text();
    bool IsStatusLine = Step == step::StatusLine;
    if (Status == line_status::Invalid ||
        (IsStatusLine && !beginsWith(Text, protocol)))
      return fail("malformed line in a head",
                  IsStatusLine && !Text.starts_with(protocol_name));
    if (Status == line_status::Incomplete)
      return;
    onLine();
    Line.clear();
  }

  void onLine() {
    if (Step == step::Fields)
      return Line.text().empty() ? onHeadEnd() : onField();
    auto Parsed = parseStatusLine(Line.text());
    if (!Parsed)
      return fail(std::move(Parsed.error()));
    Head = {};
    Head.Status = Parsed->Status;
    Http10 = Parsed->Http10;
    Step = step::Fields;
  }

  void onField() {
    auto Field = parseField(Line.text());
    if (!Field)
      return fail(std::move(Field.error()));
    if (containsStatusLine(Field->Value))
      return fail("a head with two status lines");
    Head.Headers.push_back(std::move(*Field));
  }

  void onHeadEnd() {
    HeadBytes = 0;
    auto Framing = parseFraming(Head.Headers, Http10);
    if (!Framing)
      return fail(std::move(Framing.error()));
    if (Head.Status == http_status::switching_protocols)
      return fail("a change of protocol that nobody asked for");
    bool IsFinal = Head.Status >= first_final_status;
    bool NeverHasBody = !IsFinal || Head.Status == http_status::no_content;
    if (NeverHasBody && (Framing->Chunked || Framing->Length.value_or(0) > 0))
      return fail("a body with a status that has none");
    bool HasBody = !NeverHasBody && Head.Status != http_status::not_modified &&
                   !(IsFinal && std::exchange(HeadOnly, false));
    Head.EndsWithConnection = HasBody && !Framing->Chunked && !Framing->Length;
    Head.KeepAlive = Framing->KeepAlive && !Head.EndsWithConnection;
    Head.IsFirst = !HadAnswer;
    HadAnswer = HadAnswer || IsFinal;
    Events.emplace_back(Head);
    if (!HasBody || Framing->Length == 0)
      return endAnswer();
    if (Framing->Chunked) {
      Chunks = {};
      Step = step::Chunks;
    } else {
      Left = Framing->Length.value_or(0);
      Step = Framing->Length ? step::Length : step::UntilEnd;
    }
  }

  void readChunks(std::string_view &Bytes) {
    Bytes.remove_prefix(Chunks.read(Bytes, [this](std::string_view Data) {
      Events.emplace_back(reply_data{std::string(Data)});
    }));
    if (!Chunks.error().empty())
      fail(Chunks.error());
    else if (Chunks.isComplete())
      endAnswer();
  }

  void readBody(std::string_view &Bytes) {
    size_t Size = Bytes.size();
    if (Step == step::Length)
      Size = std::min(Size, static_cast<size_t>(Left));
    Events.emplace_back(reply_data{std::string(Bytes.substr(0, Size))});
    Bytes.remove_prefix(Size);
    if (Step != step::Length)
      return;
    Left -= static_cast<int64_t>(Size);
    if (Left == 0)
      endAnswer();
  }
};

http_reply_parser::http_reply_parser() : State(std::make_unique<state>()) {}

http_reply_parser::~http_reply_parser() = default;
http_reply_parser::http_reply_parser(http_reply_parser &&Other) noexcept =
    default;
http_reply_parser &
http_reply_parser::operator=(http_reply_parser &&Other) noexcept = default;

void http_reply_parser::expectHeadOnly() { State->HeadOnly = true; }

std::vector<reply_event> http_reply_parser::read(std::string_view Bytes) {
  using step = state::step;
  State->Events.clear();
  if (State->Step == step::Failed)
    State->fail("bytes after an error");
  while (!Bytes.empty() && State->Step != step::Failed) {
    if (State->Step == step::StatusLine || State->Step == step::Fields)
      State->readLine(Bytes);
    else if (State->Step == step::Chunks)
      State->readChunks(Bytes);
    else
      State->readBody(Bytes);
  }
  return std::move(State->Events);
}

std::vector<reply_event> http_reply_parser::finish() {
  State->Events.clear();
  if (endsWithConnection())
    State->endAnswer();
  return std::move(State->Events);
}

bool http_reply_parser::endsWithConnection() const {
  return State->Step == state::step::UntilEnd;
}

bool http_reply_parser::isBetweenAnswers() const {
  return State->Step == state::step::StatusLine && State->Line.isEmpty() &&
         !State->HadBlankLine;
}

} // namespace monsoonreel
