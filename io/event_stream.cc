#include "io/event_stream.h"

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace monsoonreel {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_field = "data:";

QJsonObject parseObject(std::string_view Json) {
  QByteArray Bytes =
      QByteArray::fromRawData(Json.data(), static_cast<qsizetype>(Json.size()));
  return QJsonDocument::fromJson(Bytes).object();
}

std::string_view dataOf(std::string_view Event) {
  if (!Event.starts_with(data_field))
    return {};
  Event.remove_prefix(data_field.size());
  while (!Event.empty() && Event.front() == ' ')
    Event.remove_prefix(1);
  while (!Event.empty() && (Event.back() == '\n' || Event.back() == '\r'))
    Event.remove_suffix(1);
  return Event;
}

} // namespace

std::string event_stream::takeEvents(int &Tokens) {
  size_t Start = 0;
  while (true) {
    size_t End = Pending.find(event_end, Start);
    if (End == std::string::npos)
      break;
    Tokens += tokensOf(std::string_view(Pending).substr(Start, End - Start));
    Start = End + event_end.size();
  }
  std::string Whole = Pending.substr(0, Start);
  Pending.erase(0, Start);
  return Whole;
}

int event_stream::tokensOf(std::string_view Event) {
  std::string_view Data = dataOf(Event);
  if (Data.empty())
    return 0;
  if (Data == "[DONE]") {
    Done = true;
    return 0;
  }
  QJsonObject Choice =
      parseObject(Data).value("choices").toArray().at(0).toObject();
  QString Text = Choice.value("delta").toObject().value("content").toString();
  if (Text.isEmpty())
    Text = Choice.value("text").toString();
  return Text.isEmpty() ? 0 : 1;
}

int completionTokens(std::string_view Json) {
  return parseObject(Json)
      .value("usage")
      .toObject()
      .value("completion_tokens")
      .toInt();
}

} // namespace monsoonreel
