#include "io/node_runtime.h"

#include <csignal>

#include <utility>

#include <QCoreApplication>
#include <QJsonDocument>
#include <QJsonObject>
#include <QRandomGenerator>

#include "spdlog/spdlog.h"

#include "io/clock.h"
#include "io/daemon_log.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

namespace {

constexpr std::chrono::milliseconds tick_interval(10);
constexpr std::chrono::milliseconds quit_check_interval(20);
// The process ends with this status when a drain takes too long.
constexpr int drain_timeout_status = 3;

http_bounds boundsOf(const listener_limits &Limits) {
  http_bounds Bounds;
  Bounds.HeadBytes = Limits.HeaderBytes;
  Bounds.BodyBytes = Limits.BodyBytes;
  Bounds.Connections = Limits.Connections;
  Bounds.ConnectionsPerAddress = Limits.ConnectionsPerAddress;
  Bounds.HeadTime = Limits.HeaderTimeout;
  Bounds.IdleTime = Limits.IdleTimeout;
  return Bounds;
}

// Header fields that the router itself gives an attempt.
http_header_list ownHeaders(const dispatch_attempt &Effect) {
  http_header_list Headers = {{"X-Priority", std::to_string(Effect.Priority)}};
  if (Effect.ResumeAfterTokens > 0)
    Headers.push_back(
        {"X-Resume-After-Tokens", std::to_string(Effect.ResumeAfterTokens)});
  return Headers;
}

bool asksForStream(const http_request &Request) {
  if (!isCompletionPath(Request.Path))
    return false;
  return QJsonDocument::fromJson(QByteArray::fromStdString(Request.Body))
      .object()
      .value("stream")
      .toBool();
}

} // namespace

node_identity identityOf(const settings &Settings) {
  return {Settings.Name, Settings.Zone, Settings.Peer,
          makeIncarnation(Settings.Name, wallNow())};
}

node_runtime::node_runtime(const node_identity &Self, const settings &Chosen,
                           node &Target)
    : Identity(Self), Settings(Chosen), Node(Target), Upstreams(*this),
      Loads(*this), Peers(Self, *this), Platform(Chosen.Platform, *this),
      Admin(*this) {
  if (!Settings.Listen.empty()) {
    Callers = std::make_unique<caller_port>(Settings.Name,
                                            boundsOf(Settings.Limits), *this);
    Callers->setOnRoom([this](request_id Request) {
      auto It = AttemptOf.find(Request);
      if (It != AttemptOf.end())
        Upstreams.resume(It->second);
    });
  }
  QObject::connect(&Ticks, &QTimer::timeout, &Ticks, [this] { post(tick{}); });
  QObject::connect(&Quit, &QTimer::timeout, &Quit,
                   [this] { quitWhenAnswered(); });
}

node_runtime::~node_runtime() = default;

bool node_runtime::start() {
  if (!Peers.listen()) {
    spdlog::error("can't listen for peers at {}", Settings.Peer.Value);
    return false;
  }
  if (!Admin.listen(Settings.Admin)) {
    spdlog::error("can't listen for operators at {}", Settings.Admin.Value);
    return false;
  }
  if (Callers && !Callers->listen(Settings.Listen)) {
    spdlog::error("can't listen for callers at {}", Settings.Listen.Value);
    return false;
  }
  Signals = std::make_unique<signal_watcher>(
      std::initializer_list<int>{SIGTERM, SIGINT}, [this](int) { drain(); });
  Ticks.setTimerType(Qt::PreciseTimer);
  Ticks.start(tick_interval);
  spdlog::info("started, zone={} peer={} admin={} listen={}",
               Settings.Zone.Value, Settings.Peer.Value, Settings.Admin.Value,
               Settings.Listen.Value);
  return true;
}

// ------------------------------------------------------------------- events

void node_runtime::post(event_body Event) {
  Waiting.push_back(std::move(Event));
  if (Handling)
    return;
  Handling = true;
  while (!Waiting.empty()) {
    event_body Next = std::move(Waiting.front());
    Waiting.pop_front();
    handle(std::move(Next));
  }
  Handling = false;
}

void node_runtime::handle(event_body Body) {
  event Event{steadyNow(), wallNow(), QRandomGenerator::global()->generate64(),
              std::move(Body)};
  effect_list Effects;
  Node.handle(Event, Effects);
  for (effect &Effect : Effects)
    carryOut(Effect);
}

void node_runtime::onAttemptEvent(event_body Event) {
  if (auto *Finished = std::get_if<attempt_finished>(&Event))
    forget(Finished->Attempt);
  if (auto *Failed = std::get_if<attempt_failed>(&Event))
    forget(Failed->Attempt);
  post(std::move(Event));
}

bool node_runtime::hasRoom(attempt_number Attempt) {
  auto It = RequestOf.find(Attempt);
  return It == RequestOf.end() || !Callers || Callers->hasRoom(It->second);
}

void node_runtime::forget(attempt_number Attempt) {
  auto It = RequestOf.find(Attempt);
  if (It == RequestOf.end())
    return;
  auto Current = AttemptOf.find(It->second);
  if (Current != AttemptOf.end() && Current->second == Attempt)
    AttemptOf.erase(Current);
  RequestOf.erase(It);
}

// ------------------------------------------------------------------ effects

namespace {
template <typename... Fs> struct overloaded : Fs... {
  using Fs::operator()...;
};
template <typename... Fs> overloaded(Fs...) -> overloaded<Fs...>;
} // namespace

void node_runtime::carryOut(effect &Effect) {
  auto ToCaller = [this](const auto &E) {
    if (Callers)
      Callers->carryOut(E);
  };
  std::visit(
      overloaded{
          [&](const begin_answer &E) { ToCaller(E); },
          [&](const write_answer &E) { ToCaller(E); },
          [&](const finish_answer &E) { ToCaller(E); },
          [&](const abort_answer &E) { ToCaller(E); },
          [&](const refuse_request &E) { ToCaller(E); },
          [&](const poll_load &E) { Loads.poll(E); },
          [&](const send_message &E) { Peers.send(E.ToAddress, E.Message); },
          [&](const reset_link &E) { Peers.resetLink(E.ToAddress); },
          [&](const append_record &E) { Platform.append(E); },
          [&](const read_log &E) { Platform.read(E); },
          [&](const send_usage_report &E) { Platform.report(E); },
          [&](const send_order &E) { Platform.order(E); },
          [&](const read_vm_list &) { Platform.readVms(); },
          [&](const count_metric &E) { Metrics.count(E); },
          [&](const observe_metric &E) { Metrics.observe(E); },
          [&](const set_gauge &E) { Metrics.set(E); },
          [&](const auto &E) { apply(E); },
      },
      Effect);
}

void node_runtime::apply(const dispatch_attempt &Effect) {
  const http_request *Request =
      Callers ? Callers->find(Effect.Request) : nullptr;
  if (!Request)
    return post(attempt_failed{Effect.Attempt, attempt_failure::NeverSent,
                               "the caller is gone"});
  RequestOf[Effect.Attempt] = Effect.Request;
  AttemptOf[Effect.Request] = Effect.Attempt;
  upstream_request Wire;
  Wire.Attempt = Effect.Attempt;
  Wire.Address = Effect.Address;
  Wire.Method = Request->Method;
  Wire.Target = Request->Query.empty() ? Request->Path
                                       : Request->Path + "?" + Request->Query;
  Wire.CallerHeaders = Request->Headers;
  Wire.OwnHeaders = ownHeaders(Effect);
  Wire.Body = Request->Body;
  Wire.TokenStream = asksForStream(*Request);
  Wire.FreshConnection = Effect.FreshConnection;
  Upstreams.start(Wire);
}

void node_runtime::apply(const cancel_attempt &Effect) {
  forget(Effect.Attempt);
  Upstreams.cancel(Effect.Attempt);
}

void node_runtime::apply(const report_breach &Effect) {
  spdlog::error("invariant={} detail=\"{}\"", Effect.Invariant, Effect.Detail);
  Metrics.count({"monsoonreel_invariant_breaches_total",
                 {{"invariant", Effect.Invariant}},
                 1.0});
}

void node_runtime::apply(const log_line &Effect) {
  spdlog::log(levelOf(Effect.Level), "{}", Effect.Text);
}

void node_runtime::apply(const drain_finished & /*Effect*/) {
  spdlog::info("drained");
  DrainDone = steadyNow();
  Quit.start(quit_check_interval);
}

// -------------------------------------------------------------------- drain

void node_runtime::drain() {
  if (std::exchange(Draining, true))
    return;
  spdlog::info("draining");
  if (Callers)
    Callers->startDraining();
  QTimer::singleShot(std::chrono::duration_cast<std::chrono::milliseconds>(
                         Settings.Limits.DrainTimeout),
                     &Quit, [] {
                       spdlog::error("drain timed out");
                       QCoreApplication::exit(drain_timeout_status);
                     });
  post(drain_requested{});
}

// Refusals still go out while the last connections end.
void node_runtime::quitWhenAnswered() {
  if (Callers)
    Callers->stopListening();
  bool Lingered = steadyNow() - DrainDone > drain_linger;
  if (Callers && Callers->connections() > 0 && !Lingered)
    return;
  QCoreApplication::exit(0);
}

// ------------------------------------------------------------------- status

bool node_runtime::isReady() const {
  if (Draining)
    return false;
  QJsonObject Status =
      QJsonDocument::fromJson(QByteArray::fromStdString(Node.statusJson()))
          .object();
  // An entry that has no configuration yet can serve nobody.
  bool Configured = Status.value("role") != "entry" ||
                    Status.value("configuration_offset").toInteger() > 0;
  return Configured && Status.value("ready").toBool(true);
}

std::string node_runtime::metricsText() {
  auto Gauge = [this](const char *Name, int64_t Value) {
    Metrics.set({Name, {}, static_cast<double>(Value)});
  };
  // Tells a reader of the counters that they began from zero.
  Metrics.set(
      {"process_start_time_seconds",
       {},
       std::chrono::duration<double>(StartedAt.time_since_epoch()).count()});
  Gauge("monsoonreel_peer_bytes_sent", Peers.bytesSent());
  Gauge("monsoonreel_peer_bytes_received", Peers.bytesReceived());
  const message_traffic &Traffic = Peers.traffic();
  for (size_t Kind = 0; Kind < Traffic.size(); ++Kind) {
    auto Bytes = [&](const char *Direction, int64_t Value) {
      Metrics.set({"monsoonreel_peer_message_bytes",
                   {{"direction", Direction}, {"message", messageName(Kind)}},
                   static_cast<double>(Value)});
    };
    Bytes("sent", Traffic[Kind].Sent);
    Bytes("received", Traffic[Kind].Received);
  }
  Gauge("monsoonreel_peer_frames_dropped", Peers.framesDropped());
  Gauge("monsoonreel_upstream_exchanges",
        static_cast<int64_t>(Upstreams.running()));
  if (Callers)
    Gauge("monsoonreel_caller_connections", Callers->connections());
  return Metrics.text();
}

std::string node_runtime::statusJson() const { return Node.statusJson(); }

} // namespace monsoonreel
