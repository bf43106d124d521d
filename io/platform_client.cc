#include "io/platform_client.h"

#include <utility>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "spdlog/fmt/fmt.h"

#include "io/clock.h"
#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

int64_t millis(duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

QString text(const std::string &Value) { return QString::fromStdString(Value); }

std::string toJson(const QJsonObject &Object) {
  return QJsonDocument(Object).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<QJsonObject> parseObject(const std::string &Json) {
  QJsonDocument Document =
      QJsonDocument::fromJson(QByteArray::fromStdString(Json));
  if (!Document.isObject())
    return std::nullopt;
  return Document.object();
}

const char *kindName(wire::order_kind::type Kind) {
  switch (Kind) {
  case wire::order_kind::StartUpstream:
    return "start";
  case wire::order_kind::StopUpstream:
    return "stop";
  case wire::order_kind::LoadModel:
    return "load";
  }
  return "";
}

} // namespace

std::optional<platform_error> platformErrorOf(const http_result &Result) {
  switch (Result.Status) {
  case http_status::ok:
    return std::nullopt;
  case 0:
    return platform_error::Unreachable;
  case http_status::conflict:
    return platform_error::Fenced;
  case http_status::too_many_requests:
    return platform_error::RateLimited;
  default:
    return platform_error::Refused;
  }
}

std::optional<log_records_read> parseLogRecords(const std::string &Stream,
                                                log_offset From,
                                                const std::string &Json) {
  auto Object = parseObject(Json);
  if (!Object || !Object->value("records").isArray() ||
      !Object->value("horizon").isDouble() || !Object->value("end").isDouble())
    return std::nullopt;
  log_records_read Read;
  Read.Stream = Stream;
  Read.From = From;
  Read.Horizon = log_offset{Object->value("horizon").toInteger()};
  Read.End = log_offset{Object->value("end").toInteger()};
  for (const auto &Value : Object->value("records").toArray()) {
    QJsonObject Item = Value.toObject();
    auto Data =
        QByteArray::fromBase64Encoding(Item.value("data").toString().toLatin1(),
                                       QByteArray::AbortOnBase64DecodingErrors);
    if (!Item.value("offset").isDouble() ||
        Data.decodingStatus != QByteArray::Base64DecodingStatus::Ok)
      return std::nullopt;
    wire::stored_record Record;
    Record.Offset = Item.value("offset").toInteger();
    Record.Bytes = Data.decoded.toStdString();
    Read.Records.push_back(std::move(Record));
  }
  return Read;
}

std::optional<vm_list_read> parseVmList(const std::string &Json) {
  auto Object = parseObject(Json);
  if (!Object || !Object->value("vms").isArray())
    return std::nullopt;
  vm_list_read List;
  for (const auto &Value : Object->value("vms").toArray()) {
    QJsonObject Item = Value.toObject();
    vm_entry Vm;
    Vm.Name = node_name(Item.value("name").toString().toStdString());
    Vm.Zone = zone_name(Item.value("zone").toString().toStdString());
    Vm.Address = address(Item.value("address").toString().toStdString());
    Vm.Leaving = Item.value("leaving").toBool();
    List.Vms.push_back(std::move(Vm));
  }
  return List;
}

std::optional<log_offset> parseAppended(const std::string &Json) {
  auto Object = parseObject(Json);
  if (!Object || !Object->value("offset").isDouble())
    return std::nullopt;
  return log_offset{Object->value("offset").toInteger()};
}

http_call makeAppendCall(const address &Platform, const std::string &Stream,
                         const std::string &Record) {
  return {Platform, "POST",           "/log/" + Stream + "/records",
          Record,   platform_timeout, "application/octet-stream"};
}

http_call makeReadCall(const address &Platform, const std::string &Stream,
                       log_offset From, int MaxRecords, duration Wait) {
  return {Platform, "GET",
          fmt::format("/log/{}/records?from={}&max={}&wait_ms={}", Stream,
                      From.Value, MaxRecords, millis(Wait)),
          "", Wait + platform_timeout};
}

platform_client::platform_client(address Address, event_sink &Target)
    : Platform(std::move(Address)), Sink(Target) {}

void platform_client::append(const append_record &Append) {
  http_call Call =
      makeAppendCall(Platform, Append.Stream, encodeRecord(Append.Record));
  Caller.call(Call, [this, Id = Append.Call](const http_result &Result) {
    if (auto Error = platformErrorOf(Result))
      return Sink.post(append_failed{Id, *Error});
    auto Offset = parseAppended(Result.Body);
    if (!Offset)
      return Sink.post(append_failed{Id, platform_error::Unreachable});
    Sink.post(append_answered{Id, *Offset});
  });
}

void platform_client::read(const read_log &Read) {
  int Max = TooLarge.erase(Read.Stream) > 0 ? 1 : log_read_records;
  http_call Call =
      makeReadCall(Platform, Read.Stream, Read.From, Max, log_poll_wait);
  Caller.call(Call, [this, Read](const http_result &Result) {
    onRead(Read.Stream, Read.From, Result);
  });
}

void platform_client::onRead(const std::string &Stream, log_offset From,
                             const http_result &Result) {
  if (Result.TooLarge)
    TooLarge.insert(Stream);
  if (auto Error = platformErrorOf(Result))
    return Sink.post(log_read_failed{Stream, *Error});
  auto Records = parseLogRecords(Stream, From, Result.Body);
  if (!Records)
    return Sink.post(log_read_failed{Stream, platform_error::Refused});
  Sink.post(std::move(*Records));
}

void platform_client::report(const send_usage_report &Report) {
  // The lease may have lapsed while this process was frozen.
  if (steadyNow() > Report.NotAfter)
    return;
  QJsonArray Figures;
  for (const wire::usage_increment &Figure : Report.Figures)
    Figures.append(QJsonObject{
        {"organisation", text(Figure.Organisation)},
        {"service_class", text(Figure.ServiceClass)},
        {"requests", static_cast<qint64>(Figure.Requests)},
        {"prompt_tokens", static_cast<qint64>(Figure.PromptTokens)},
        {"output_tokens", static_cast<qint64>(Figure.OutputTokens)}});
  QJsonObject Body{{"window", static_cast<qint64>(Report.Window)},
                   {"fence", static_cast<qint64>(Report.Fence)},
                   {"figures", Figures}};
  Caller.call(
      {Platform, "POST", "/usage", toJson(Body), max_report_delay},
      [this, Window = Report.Window](const http_result &Result) {
        Sink.post(usage_report_answered{Window, platformErrorOf(Result)});
      });
}

void platform_client::order(const send_order &Order) {
  if (steadyNow() > Order.NotAfter)
    return;
  const wire::order_intent &Intent = Order.Intent;
  QJsonObject Body{{"order_id", text(Intent.OrderId)},
                   {"zone", text(Intent.Zone)},
                   {"fence", static_cast<qint64>(Intent.Fence)},
                   {"kind", kindName(Intent.Kind)},
                   {"target", text(Intent.Target)},
                   {"count", Intent.Count}};
  Caller.call({Platform, "POST", "/orders", toJson(Body), max_order_delay},
              [this, Id = Intent.OrderId](const http_result &Result) {
                Sink.post(order_answered{Id, platformErrorOf(Result)});
              });
}

void platform_client::readVms() {
  Caller.call({Platform, "GET", "/vms", "", platform_timeout},
              [this](const http_result &Result) {
                if (platformErrorOf(Result))
                  return;
                if (auto List = parseVmList(Result.Body))
                  Sink.post(std::move(*List));
              });
}

} // namespace monsoonreel
