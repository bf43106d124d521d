#include "io/load_poller.h"

#include <utility>

#include <QJsonDocument>
#include <QJsonObject>

#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

constexpr int max_count = 1000000;
constexpr int max_age_ms = 24 * 3600 * 1000;

bool isCount(const QJsonValue &Value, int Max) {
  return Value.isDouble() && Value.toDouble() >= 0 && Value.toDouble() <= Max;
}

} // namespace

std::optional<load_report> parseLoadReport(const upstream_name &Upstream,
                                           const std::string &Json) {
  QJsonDocument Document =
      QJsonDocument::fromJson(QByteArray::fromStdString(Json));
  QJsonObject Object = Document.object();
  if (!isCount(Object.value("running"), max_count) ||
      !isCount(Object.value("waiting"), max_count) ||
      !isCount(Object.value("cache_use"), 1) ||
      !isCount(Object.value("age_ms"), max_age_ms))
    return std::nullopt;
  load_report Report;
  Report.Upstream = Upstream;
  Report.Running = static_cast<int>(Object.value("running").toDouble());
  Report.Waiting = static_cast<int>(Object.value("waiting").toDouble());
  Report.CacheUse = Object.value("cache_use").toDouble();
  Report.Age = std::chrono::milliseconds(
      static_cast<int64_t>(Object.value("age_ms").toDouble()));
  Report.Leaving = Object.value("leaving").toBool();
  return Report;
}

void load_poller::poll(const poll_load &Poll) {
  Caller.call({Poll.Address, "GET", "/load", "", load_timeout},
              [this, Upstream = Poll.Upstream](const http_result &Result) {
                auto Report = Result.Status == http_status::ok
                                  ? parseLoadReport(Upstream, Result.Body)
                                  : std::nullopt;
                if (Report)
                  Sink.post(std::move(*Report));
                else
                  Sink.post(load_report_failed{Upstream});
              });
}

} // namespace monsoonreel
