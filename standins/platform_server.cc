#include "standins/platform_server.h"

#include <algorithm>

#include <QJsonArray>
#include <QJsonDocument>

#include "standins/steady_clock.h"

namespace monsoonreel::standin {

namespace {

constexpr std::chrono::milliseconds read_check_period{20};
constexpr int default_max_records = 1000;
constexpr int max_wait_ms = 60000;
constexpr size_t weight_bytes = 1 << 16;

// The stream of "/log/{stream}/records", or an empty text.
std::string streamOf(const std::string &Path) {
  constexpr std::string_view Prefix = "/log/";
  constexpr std::string_view Suffix = "/records";
  if (!Path.starts_with(Prefix) || !Path.ends_with(Suffix) ||
      Path.size() <= Prefix.size() + Suffix.size())
    return {};
  return Path.substr(Prefix.size(),
                     Path.size() - Prefix.size() - Suffix.size());
}

int64_t queryNumber(const http_request &Request, const QString &Name,
                    int64_t Default) {
  QString Text = Request.Query.queryItemValue(Name);
  return Text.isEmpty() ? Default : Text.toLongLong();
}

int statusOf(acceptance Acceptance) {
  return Acceptance == acceptance::OldFence ? 409 : 200;
}

QJsonObject bodyObject(const http_request &Request) {
  return QJsonDocument::fromJson(Request.Body).object();
}

std::string text(const QJsonValue &Value) {
  return Value.toString().toStdString();
}

std::string compact(const QJsonArray &Array) {
  return QJsonDocument(Array).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

platform_server::platform_server(platform_settings Given)
    : Settings(std::move(Given)), Log(Settings.Log),
      Reports(Settings.UsageChecksFence), Orders(Settings.OrdersCheckFence),
      Vms(Settings.VmLag), WeightTokens(Settings.WeightsPerSecond),
      Http([this](const http_request &Request,
                  const reply_ptr &Reply) { handle(Request, Reply); },
           [this] { return records(); }) {
  Vms.set(Settings.Vms, steadyNow());
  Http.onFault([this](const fault &Fault) { handleFault(Fault); });
  QObject::connect(&ReadTimer, &QTimer::timeout, [this] { endOldReads(); });
  ReadTimer.start(read_check_period);
}

bool platform_server::listen(const std::string &Ip,
                             const std::vector<zone_port> &Ports,
                             quint16 ControlPort) {
  return Http.listen(Ip, Ports, ControlPort);
}

void platform_server::handle(const http_request &Request,
                             const reply_ptr &Reply) {
  auto Latency = std::chrono::duration_cast<std::chrono::milliseconds>(
      Settings.Latency * Http.faults().slowFactor());
  if (Latency.count() == 0) {
    route(Request, Reply);
    return;
  }
  QTimer::singleShot(Latency, Qt::PreciseTimer,
                     [this, Request, Reply] { route(Request, Reply); });
}

void platform_server::route(const http_request &Request,
                            const reply_ptr &Reply) {
  constexpr std::string_view WeightsPrefix = "/weights/";
  std::string Stream = streamOf(Request.Path);
  bool IsPost = Request.Method == "POST";
  if (!Stream.empty() && IsPost)
    handleAppend(Stream, Request, *Reply);
  else if (!Stream.empty())
    handleRead(Stream, Request, Reply);
  else if (Request.Path == "/usage" && IsPost)
    handleUsage(Request, *Reply);
  else if (Request.Path == "/orders" && IsPost)
    handleOrder(Request, *Reply);
  else if (Request.Path == "/vms")
    handleVms(*Reply);
  else if (Request.Path.starts_with(WeightsPrefix))
    handleWeights(*Reply);
  else
    Reply->sendJson(404, {{"error", "no such path"}});
}

// ---------------------------------------------------------------------- log

void platform_server::handleAppend(const std::string &Stream,
                                   const http_request &Request,
                                   http_reply &Reply) {
  using status = append_result::status;
  append_result Result =
      Log.append(Stream, Request.Body.toStdString(), steadyNow());
  if (Result.Status == status::TooLarge) {
    Reply.sendJson(413, {{"error", "record too large"}});
    return;
  }
  if (Result.Status == status::OverRate) {
    ++AppendsOverRate;
    Reply.sendJson(429, {{"error", "over rate"}}, {{"Retry-After", "1"}});
    return;
  }
  ++Appends[Stream];
  AppendedBytes += Request.Body.size();
  Reply.sendJson(200, {{"offset", qint64(Result.Offset)}});
  answerReads(Stream);
}

void platform_server::handleRead(const std::string &Stream,
                                 const http_request &Request,
                                 const reply_ptr &Reply) {
  waiting_read Read;
  Read.Stream = Stream;
  Read.From = queryNumber(Request, "from", 1);
  Read.Max = static_cast<int>(queryNumber(Request, "max", default_max_records));
  int64_t WaitMs =
      std::clamp<int64_t>(queryNumber(Request, "wait_ms", 0), 0, max_wait_ms);
  Read.Until = steadyNow() + std::chrono::milliseconds(WaitMs);
  Read.Reply = Reply;
  if (!answerRead(Read, WaitMs == 0))
    Reads.push_back(std::move(Read));
}

bool platform_server::answerRead(const waiting_read &Read, bool EvenIfEmpty) {
  log_slice Slice = Log.read(Read.Stream, Read.From, Read.Max, steadyNow());
  if (Slice.Records.empty() && !EvenIfEmpty)
    return false;
  QJsonArray Records;
  for (const log_entry &Entry : Slice.Records) {
    QByteArray Bytes = QByteArray::fromStdString(Entry.Bytes);
    Records.append(
        QJsonObject{{"offset", qint64(Entry.Offset)},
                    {"data", QString::fromLatin1(Bytes.toBase64())}});
  }
  Read.Reply->sendJson(200, {{"horizon", qint64(Slice.Horizon)},
                             {"end", qint64(Slice.End)},
                             {"records", Records}});
  return true;
}

void platform_server::answerReads(const std::string &Stream) {
  Reads.remove_if([this, &Stream](const waiting_read &Read) {
    return Read.Stream == Stream && answerRead(Read, false);
  });
}

void platform_server::endOldReads() {
  steady_time Now = steadyNow();
  Reads.remove_if([this, Now](const waiting_read &Read) {
    return Now >= Read.Until && answerRead(Read, true);
  });
}

// --------------------------------------------------------- usage and orders

void platform_server::handleUsage(const http_request &Request,
                                  http_reply &Reply) {
  QJsonObject Body = bodyObject(Request);
  usage_report Report;
  Report.Window = Body["window"].toInteger();
  Report.Fence = Body["fence"].toInteger();
  Report.Figures = compact(Body["figures"].toArray());
  acceptance Answer = Reports.take(Report);
  Reply.sendJson(statusOf(Answer), {{"taken", Answer == acceptance::Taken}});
}

void platform_server::handleOrder(const http_request &Request,
                                  http_reply &Reply) {
  QJsonObject Body = bodyObject(Request);
  upstream_order Order;
  Order.OrderId = text(Body["order_id"]);
  Order.Zone = text(Body["zone"]);
  Order.Fence = Body["fence"].toInteger();
  Order.Kind = text(Body["kind"]);
  Order.Target = text(Body["target"]);
  Order.Count = Body["count"].toInt();
  acceptance Answer = Orders.take(Order);
  Reply.sendJson(statusOf(Answer), {{"taken", Answer == acceptance::Taken}});
}

void platform_server::handleVms(http_reply &Reply) {
  QJsonArray List;
  for (const listed_vm &Vm : Vms.shown(steadyNow()))
    List.append(QJsonObject{{"name", QString::fromStdString(Vm.Name)},
                            {"zone", QString::fromStdString(Vm.Zone)},
                            {"address", QString::fromStdString(Vm.Address)},
                            {"leaving", Vm.Leaving}});
  Reply.sendJson(200, {{"vms", List}});
}

void platform_server::handleWeights(http_reply &Reply) {
  steady_time Now = steadyNow();
  double Passed = std::chrono::duration<double>(Now - WeightsRefilled).count();
  WeightTokens = std::min(Settings.WeightsPerSecond,
                          WeightTokens + Passed * Settings.WeightsPerSecond);
  WeightsRefilled = Now;
  if (WeightTokens < 1) {
    Reply.sendJson(429, {{"error", "over rate"}}, {{"Retry-After", "1"}});
    return;
  }
  WeightTokens -= 1;
  Reply.send(200, "application/octet-stream", std::string(weight_bytes, 'w'));
}

// ------------------------------------------------------------------ control

void platform_server::handleFault(const fault &Fault) {
  if (Fault.Kind == fault_kind::Reclaim)
    Vms.markLeaving(Fault.Zone, steadyNow());
  if (Fault.Kind == fault_kind::Crash)
    Reads.clear();
}

QJsonObject platform_server::records() const {
  QJsonObject Streams;
  for (const auto &[Stream, Count] : Appends)
    Streams[QString::fromStdString(Stream)] = qint64(Count);
  QJsonArray Windows;
  for (const auto &[Window, Report] : Reports.windows()) {
    QByteArray Figures = QByteArray::fromStdString(Report.Figures);
    Windows.append(
        QJsonObject{{"window", qint64(Window)},
                    {"fence", qint64(Report.Fence)},
                    {"figures", QJsonDocument::fromJson(Figures).array()}});
  }
  QJsonArray Effective;
  for (const upstream_order &Order : Orders.effective())
    Effective.append(
        QJsonObject{{"order_id", QString::fromStdString(Order.OrderId)},
                    {"zone", QString::fromStdString(Order.Zone)},
                    {"fence", qint64(Order.Fence)},
                    {"kind", QString::fromStdString(Order.Kind)},
                    {"target", QString::fromStdString(Order.Target)},
                    {"count", Order.Count}});
  return {{"appends", Streams},
          {"appends_over_rate", qint64(AppendsOverRate)},
          {"appended_bytes", qint64(AppendedBytes)},
          {"windows", Windows},
          {"window_repeats", qint64(Reports.repeats())},
          {"window_conflicts", qint64(Reports.conflicts())},
          {"usage_old_fences", qint64(Reports.oldFences())},
          {"orders", Effective},
          {"order_repeats", qint64(Orders.repeats())},
          {"order_old_fences", qint64(Orders.oldFences())}};
}

} // namespace monsoonreel::standin
