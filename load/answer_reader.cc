#include "load/answer_reader.h"

#include <charconv>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

namespace monsoonreel::load {

namespace {

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view event_end = "\n\n";
constexpr std::string_view event_prefix = "data: ";
constexpr size_t max_head_bytes = 65536;

QJsonObject parseObject(std::string_view Json) {
  QByteArray Bytes =
      QByteArray::fromRawData(Json.data(), static_cast<qsizetype>(Json.size()));
  return QJsonDocument::fromJson(Bytes).object();
}

// False when Text is no number.
bool parseSize(std::string_view Text, int Base, size_t &Value) {
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Value, Base);
  return Result.ec == std::errc() && Result.ptr != Text.data();
}

} // namespace

void answer_reader::feed(std::string_view Bytes, steady_time Now) {
  Pending += Bytes;
  if (State == progress::Head)
    readHead();
  if (State != progress::Body)
    return;
  if (Chunked)
    readChunks(Now);
  else
    readSizedBody(Now);
}

std::string answer_reader::header(const std::string &Name) const {
  auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

void answer_reader::readHead() {
  size_t End = Pending.find(head_end);
  if (End == std::string::npos) {
    if (Pending.size() > max_head_bytes)
      State = progress::Malformed;
    return;
  }
  std::string Head = Pending.substr(0, End);
  Pending.erase(0, End + head_end.size());
  std::vector<std::string> Lines = absl::StrSplit(Head, "\r\n");
  std::vector<std::string> StatusLine = absl::StrSplit(Lines[0], ' ');
  size_t Code = 0;
  if (StatusLine.size() < 2 || !parseSize(StatusLine[1], 10, Code)) {
    State = progress::Malformed;
    return;
  }
  Status = static_cast<int>(Code);
  for (size_t I = 1; I < Lines.size(); ++I) {
    std::pair<std::string, std::string> Field =
        absl::StrSplit(Lines[I], absl::MaxSplits(':', 1));
    Headers[absl::AsciiStrToLower(Field.first)] =
        std::string(absl::StripAsciiWhitespace(Field.second));
  }
  Chunked = header("transfer-encoding") == "chunked";
  EventStream = header("content-type").starts_with("text/event-stream");
  State = progress::Body;
  if (!Chunked && !parseSize(header("content-length"), 10, BodyLength))
    State = progress::Malformed;
}

void answer_reader::readSizedBody(steady_time Now) {
  takeBody(Pending, Now);
  Pending.clear();
  if (Body.size() == BodyLength)
    State = progress::Complete;
  else if (Body.size() > BodyLength)
    State = progress::Malformed;
}

void answer_reader::readChunks(steady_time Now) {
  while (State == progress::Body) {
    size_t End = Pending.find(line_end);
    if (End == std::string::npos)
      return;
    size_t Size = 0;
    if (!parseSize(std::string_view(Pending).substr(0, End), 16, Size)) {
      State = progress::Malformed;
      return;
    }
    size_t Start = End + line_end.size();
    size_t Next = Start + Size + line_end.size();
    if (Pending.size() < Next)
      return;
    takeBody(std::string_view(Pending).substr(Start, Size), Now);
    Pending.erase(0, Next);
    if (Size == 0)
      State = progress::Complete;
  }
}

void answer_reader::takeBody(std::string_view Part, steady_time Now) {
  Body += Part;
  if (EventStream)
    readEvents(Now);
}

void answer_reader::readEvents(steady_time Now) {
  for (;;) {
    size_t End = Body.find(event_end, EventsRead);
    if (End == std::string::npos)
      return;
    std::string_view Event(Body);
    readEvent(Event.substr(EventsRead, End - EventsRead), Now);
    EventsRead = End + event_end.size();
  }
}

void answer_reader::readEvent(std::string_view Event, steady_time Now) {
  if (!Event.starts_with(event_prefix))
    return;
  Event.remove_prefix(event_prefix.size());
  if (Event == "[DONE]") {
    Done = true;
    return;
  }
  QJsonObject Choice =
      parseObject(Event)["choices"].toArray().first().toObject();
  QString Content = Choice["delta"].toObject()["content"].toString();
  if (Content.isEmpty())
    return;
  StreamContent += Content.toStdString();
  TokenTimes.push_back(Now);
}

std::string answer_reader::content() const {
  if (EventStream)
    return StreamContent;
  QJsonObject Choice =
      parseObject(Body)["choices"].toArray().first().toObject();
  return Choice["message"].toObject()["content"].toString().toStdString();
}

} // namespace monsoonreel::load
