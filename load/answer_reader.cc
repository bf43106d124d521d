#include "load/answer_reader.h"

#include <utility>
#include <variant>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace monsoonreel::load {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view event_prefix = "data: ";

QJsonObject parseObject(std::string_view Json) {
  QByteArray Bytes =
      QByteArray::fromRawData(Json.data(), static_cast<qsizetype>(Json.size()));
  return QJsonDocument::fromJson(Bytes).object();
}

} // namespace

void answer_reader::feed(std::string_view Bytes, steady_time Now) {
  for (const reply_event &Event : Parser.read(Bytes)) {
    if (const auto *Reply = std::get_if<http_reply_head>(&Event))
      onHead(*Reply);
    else if (const auto *Data = std::get_if<reply_data>(&Event))
      takeBody(Data->Data, Now);
    else if (std::holds_alternative<reply_error>(Event))
      State = progress::Malformed;
    else if (State == progress::Body)
      State = progress::Complete;
  }
  // Nobody asked for what follows.
  if (State == progress::Complete && !Parser.isBetweenAnswers())
    State = progress::Malformed;
}

std::string answer_reader::header(const std::string &Name) const {
  const std::string *Value = Head.header(Name);
  return Value ? *Value : std::string();
}

void answer_reader::onHead(const http_reply_head &Reply) {
  constexpr int first_final_status = 200;
  if (Reply.Status < first_final_status)
    return;
  // A second answer, or one whose end can't be told from a broken connection.
  if (State != progress::Head || Reply.EndsWithConnection) {
    State = progress::Malformed;
    return;
  }
  Head = Reply;
  EventStream = header("content-type").starts_with("text/event-stream");
  State = progress::Body;
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
