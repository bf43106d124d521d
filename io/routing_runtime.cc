#include "io/routing_runtime.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

#include <QCoreApplication>
#include <QRandomGenerator>

#include "spdlog/spdlog.h"

#include "io/clock.h"
#include "io/daemon_log.h"
#include "io/explain_handler.h"
#include "monsoonreel/http_status.h"
#include "routing/decision_log.h"

namespace monsoonreel {

namespace {

// Between two ticks: fine enough for timeouts of a few hundred milliseconds. In
// a large fleet most wakings of a process are ticks.
constexpr std::chrono::milliseconds routing_tick_period(50);
// Before the process is killed, for the last answers to leave.
constexpr duration last_answers_time = std::chrono::milliseconds(700);
// Connections that a caller may keep open after a drain, until it reads the
// answer that is under way.
constexpr std::chrono::milliseconds close_linger(300);

// For the platform's readiness checks and for whoever collects the metrics: a
// few connections with requests without a body. Without bounds of their own,
// clients of these listeners could take the memory and the descriptors that
// callers need.
http_bounds serviceBounds() {
  http_bounds Bounds;
  Bounds.Connections = 64;
  Bounds.ConnectionsPerAddress = Bounds.Connections;
  Bounds.ReplacesIdle = true;
  Bounds.HeldBytes = 1 << 20;
  Bounds.BodyBytes = 64 << 10;
  Bounds.LargeBodyBytes = Bounds.BodyBytes;
  Bounds.ReceiveBuffer = 16 << 10;
  return Bounds;
}

const char *reasonName(shed_reason Reason) {
  switch (Reason) {
  case shed_reason::Memory:
    return "memory";
  case shed_reason::Connections:
    return "connections";
  case shed_reason::Stalled:
    return "stalled";
  }
  return "";
}

} // namespace

class routing_runtime::caller_handler : public http_handler {
public:
  explicit caller_handler(routing_runtime &Owner) : Runtime(Owner) {}
  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override {
    Runtime.onRequest(Request, Exchange);
  }

private:
  routing_runtime &Runtime;
};

class routing_runtime::readiness_handler : public http_handler {
public:
  explicit readiness_handler(routing_runtime &Owner) : Runtime(Owner) {}
  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override {
    if (Request.Path != Runtime.Addresses.ReadinessPath)
      return Exchange->answer(http_status::not_found, {}, "");
    Exchange->answer(Runtime.Ready ? http_status::ok
                                   : http_status::service_unavailable,
                     {}, "");
  }

private:
  routing_runtime &Runtime;
};

class routing_runtime::metrics_handler : public http_handler {
public:
  explicit metrics_handler(routing_runtime &Owner)
      : Runtime(Owner), Explanations(Owner.Node, Owner.Dialect) {}
  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override {
    if (Request.Path == "/explain")
      return Explanations.handleRequest(Request, Exchange);
    // Only when it is asked for: it changes with almost every packet.
    Runtime.Metrics.set(
        {"monsoonreel_caller_bytes_held",
         {},
         static_cast<double>(Runtime.CallerServer->bytesHeld())});
    Exchange->answer(http_status::ok,
                     {{"Content-Type", "text/plain; version=0.0.4"}},
                     Runtime.Metrics.text());
  }

private:
  routing_runtime &Runtime;
  explain_handler Explanations;
};

// Turns the answer of one attempt into events.
class routing_runtime::attempt_handler : public call_handler {
public:
  attempt_handler(routing_runtime &Owner, attempt_number Number,
                  request_id Asked, std::string Id)
      : Runtime(Owner), Attempt(Number), Request(Asked),
        CallerId(std::move(Id)) {}

  reply_verdict onHead(const http_reply_head &Reply) override {
    answer_head Head;
    Head.Attempt = Attempt;
    reply_verdict Verdict = Runtime.Dialect.readReply(Reply, CallerId, Head);
    if (Verdict != reply_verdict::Own)
      return Verdict;
    if (open_request *Open = Runtime.find(Request))
      Open->Heads[Attempt] = Reply;
    Runtime.post(routing_event_body(Head));
    return Verdict;
  }
  std::string requestIdOf(const http_reply_head &Reply) const override {
    return Runtime.Dialect.requestIdOf(Reply);
  }
  void onData(std::string &&Data) override {
    Runtime.post(routing_event_body(answer_data{Attempt, std::move(Data)}));
  }
  void onEnd() override {
    Runtime.CallOf.erase(Attempt);
    Runtime.post(routing_event_body(answer_end{Attempt}));
  }
  void onFailed(attempt_failure Failure, const std::string &Why) override {
    Runtime.CallOf.erase(Attempt);
    Runtime.post(
        routing_event_body(route_attempt_failed{Attempt, Failure, Why}));
  }

private:
  routing_runtime &Runtime;
  attempt_number Attempt;
  request_id Request;
  std::string CallerId;
};

routing_runtime::routing_runtime(const node_identity &Self,
                                 routing_addresses Listen, routing_parts Parts,
                                 duration KilledAfter)
    : Identity(Self), Addresses(std::move(Listen)), Node(Parts.Node),
      Dialect(Parts.Dialect), Platform(Parts.Platform),
      ShutdownTime(KilledAfter), Peers(Self, *this),
      Datagrams(Self.Address, *this),
      Callers(std::make_unique<caller_handler>(*this)),
      Readiness(std::make_unique<readiness_handler>(*this)),
      MetricsPage(std::make_unique<metrics_handler>(*this)) {
  CallerServer = std::make_unique<http_server>(*Callers, callerBounds());
  CallerServer->setObserver(*this);
  ReadinessServer = std::make_unique<http_server>(*Readiness, serviceBounds());
  MetricsServer = std::make_unique<http_server>(*MetricsPage, serviceBounds());
}

routing_runtime::~routing_runtime() {
  // Exchanges call back when they end.
  for (auto &[Id, Request] : Requests)
    Request->Exchange->setOnGone(nullptr);
}

bool routing_runtime::start() {
  struct listener {
    http_server &Server;
    const address &At;
  };
  std::vector<listener> Listeners = {{*CallerServer, Addresses.Callers},
                                     {*ReadinessServer, Addresses.Readiness}};
  if (!Addresses.Metrics.empty())
    Listeners.push_back({*MetricsServer, Addresses.Metrics});
  for (const listener &Listener : Listeners)
    if (!Listener.Server.listen(Listener.At)) {
      spdlog::error("event=start-failed address={} reason=\"can't listen\"",
                    Listener.At.Value);
      return false;
    }
  if (!Peers.listen() || !Datagrams.bind()) {
    spdlog::error("event=start-failed address={} reason=\"can't listen\"",
                  Identity.Address.Value);
    return false;
  }
  Signals = std::make_unique<signal_watcher>(
      std::initializer_list<int>{SIGTERM, SIGINT, SIGHUP},
      [this](int Signal) { onSignal(Signal); });
  QObject::connect(&Ticks, &QTimer::timeout, &Ticks, [this] { onTick(); });
  Ticks.setTimerType(Qt::PreciseTimer);
  Ticks.start(routing_tick_period);
  spdlog::info("event=started callers={} peers={}", Addresses.Callers.Value,
               Identity.Address.Value);
  return true;
}

// ------------------------------------------------------------------- events

void routing_runtime::post(event_body Event) {
  if (auto *Received = std::get_if<peer_message_received>(&Event))
    post(routing_event_body(std::move(*Received)));
}

void routing_runtime::post(routing_event_body Event) {
  Waiting.push_back(std::move(Event));
  if (std::exchange(Handling, true))
    return;
  while (!Waiting.empty()) {
    routing_event_body Next = std::move(Waiting.front());
    Waiting.pop_front();
    handle(std::move(Next));
  }
  Handling = false;
}

void routing_runtime::handle(routing_event_body Body) {
  routing_event Event{bootNow(), wallNow(),
                      QRandomGenerator::global()->generate64(),
                      std::move(Body)};
  routing_effects Effects;
  Node.handle(Event, Effects);
  for (const routing_effect &Effect : Effects)
    std::visit([this](const auto &Value) { apply(Value); }, Effect);
}

// ------------------------------------------------------------------ callers

void routing_runtime::onRequest(
    const http_request &Message,
    const std::shared_ptr<http_exchange> &Exchange) {
  request_id Id{++LastRequest};
  route_request Arrived = Dialect.decodeRequest(Id, Message);
  auto Open = std::make_unique<open_request>();
  Open->CallerId = Arrived.CallerId;
  Open->Message = Message;
  Open->Exchange = Exchange;
  Exchange->setOnGone([this, Id] {
    post(routing_event_body(route_caller_gone{Id}));
    forget(Id);
  });
  Exchange->setOnRoom([this, Id] {
    if (open_request *Request = find(Id))
      holdBackUpstream(Id, *Request);
  });
  Requests[Id] = std::move(Open);
  post(routing_event_body(std::move(Arrived)));
}

routing_runtime::open_request *routing_runtime::find(request_id Request) {
  auto It = Requests.find(Request);
  return It == Requests.end() ? nullptr : It->second.get();
}

void routing_runtime::forget(request_id Request) {
  auto It = Requests.find(Request);
  if (It == Requests.end())
    return;
  It->second->Exchange->setOnGone(nullptr);
  It->second->Exchange->setOnRoom(nullptr);
  for (const auto &[Attempt, Head] : It->second->Heads)
    RequestOf.erase(Attempt);
  Requests.erase(It);
}

// A caller that reads slowly slows its upstream, not this process.
void routing_runtime::holdBackUpstream(request_id Id, open_request &Request) {
  bool Lags = Request.Exchange->bytesToWrite() >= max_unread_answer_bytes;
  Upstreams.setReading(Request.Call, !Lags);
  if (std::exchange(Request.Lags, Lags) != Lags)
    post(routing_event_body(caller_lags{Id, Lags}));
}

void routing_runtime::apply(const route_refusal &Effect) {
  open_request *Request = find(Effect.Request);
  if (!Request)
    return;
  std::string Body = "{\"error\":{\"code\":\"" + Effect.Code +
                     "\",\"outcome\":\"" + outcomeName(Effect.Outcome) +
                     "\"}}\n";
  Request->Exchange->answer(Effect.Status, Dialect.refusalHeaders(Effect),
                            Body);
  forget(Effect.Request);
}

void routing_runtime::apply(const route_begin &Effect) {
  open_request *Request = find(Effect.Request);
  if (!Request)
    return;
  const http_reply_head &Head = Request->Heads[Effect.Attempt];
  Request->Exchange->begin(Head.Status, Dialect.callerHeaders(Head));
}

void routing_runtime::apply(const route_write &Effect) {
  open_request *Request = find(Effect.Request);
  if (!Request)
    return;
  Request->Exchange->write(Effect.Data);
  if (Request->Exchange->bytesToWrite() >= max_unread_answer_bytes)
    holdBackUpstream(Effect.Request, *Request);
}

void routing_runtime::apply(const route_finish &Effect) {
  if (open_request *Request = find(Effect.Request))
    Request->Exchange->finish();
  forget(Effect.Request);
}

void routing_runtime::apply(const route_abort &Effect) {
  if (open_request *Request = find(Effect.Request))
    Request->Exchange->abort();
  forget(Effect.Request);
}

void routing_runtime::apply(const route_answer &Effect) {
  open_request *Request = find(Effect.Request);
  if (!Request)
    return;
  const http_reply_head &Head = Request->Heads[Effect.Attempt];
  Request->Exchange->answer(Head.Status, Dialect.callerHeaders(Head),
                            Effect.Body);
  forget(Effect.Request);
}

// ---------------------------------------------------------------- upstreams

void routing_runtime::apply(const route_dispatch &Effect) {
  open_request *Request = find(Effect.Request);
  if (!Request)
    return;
  call_options Options;
  Options.MaxConnections = Effect.MaxConnections;
  Options.HeadOnly = Request->Message.Method == "HEAD";
  Options.Id = Request->CallerId;
  auto Handler = std::make_shared<attempt_handler>(
      *this, Effect.Attempt, Effect.Request, Request->CallerId);
  Request->Call = Upstreams.start(
      Effect.Address, Dialect.encodeAttempt(Request->Message, Effect), Options,
      std::move(Handler));
  CallOf[Effect.Attempt] = Request->Call;
}

void routing_runtime::apply(const route_cancel &Effect) {
  auto It = CallOf.find(Effect.Attempt);
  if (It == CallOf.end())
    return;
  Upstreams.cancel(It->second);
  CallOf.erase(It);
}

void routing_runtime::apply(const apply_bounds &Effect) {
  Bounds = Effect.Bounds;
  CallerServer->setBounds(callerBounds());
}

http_bounds routing_runtime::callerBounds() const {
  http_bounds Limits;
  Limits.Chunks = chunk_policy::Accept;
  if (CallerConnections > 0) {
    Limits.Connections = CallerConnections;
    Limits.ReplacesIdle = true;
  }
  Limits.ConnectionsPerAddress = Limits.Connections;
  Limits.HeadBytes = Bounds.HeadBytes;
  Limits.BodyBytes = Bounds.BodyBytes;
  Limits.HeadTime = Bounds.HeadTime;
  Limits.IdleTime = Bounds.IdleTime;
  Limits.LargeBodyBytes = CallerMemory.LargeBodyBytes;
  Limits.HeldBytes = CallerMemory.HeldBytes;
  Limits.ReceiveBuffer = caller_receive_buffer;
  return Limits;
}

void routing_runtime::setMemoryLimit(int64_t Bytes) {
  CallerMemory.LargeBodyBytes = Bytes / memory_per_large_body_byte;
  CallerMemory.HeldBytes = Bytes / memory_per_held_byte;
  CallerServer->setBounds(callerBounds());
  // A whole frame has to fit in each direction. A sixteenth is enough for the
  // small frames of several hundred peers.
  constexpr int64_t PartForPeers = 16;
  PeerLimits.HeldBytes =
      std::max(Bytes / PartForPeers, 2 * static_cast<int64_t>(max_frame_bytes));
  Peers.setLimits(PeerLimits);
}

void routing_runtime::setDescriptorLimit(int Descriptors) {
  int ForSockets = std::max(Descriptors - file_descriptors, 0);
  // The other half is for upstreams, peers and the platform. Peers may have a
  // quarter, so that connections to their listener can't use up the rest.
  CallerConnections = std::max(ForSockets / 2, 1);
  CallerServer->setBounds(callerBounds());
  PeerLimits.Connections =
      std::min<size_t>(PeerLimits.Connections, std::max(ForSockets / 4, 1));
  Peers.setLimits(PeerLimits);
}

void routing_runtime::onConnectionShed(const shed_connection &Shed) {
  Metrics.count({"monsoonreel_callers_shed_total",
                 {{"reason", reasonName(Shed.Reason)}},
                 1});
  apply(decision("caller-shed")
            .add("reason", reasonName(Shed.Reason))
            .add("held", Shed.Held)
            .add("age", Shed.Age)
            .add("phase", Shed.Phase)
            .add("total", Shed.Total)
            .line(log_level::Warning));
}

void routing_runtime::apply(const send_message &Effect) {
  Peers.send(Effect.ToAddress, Effect.Message);
}

void routing_runtime::apply(const send_datagrams &Effect) {
  Datagrams.send(Effect.To, Effect.Message);
  countLost("unsent", Datagrams.takeUnsent());
  countLost("unreadable", Datagrams.takeUnreadable());
}

void routing_runtime::countLost(const char *Reason, int64_t Datagrams) {
  if (Datagrams == 0)
    return;
  Metrics.count({"monsoonreel_datagrams_lost_total",
                 {{"reason", Reason}},
                 static_cast<double>(Datagrams)});
  apply(decision("datagrams-lost")
            .add("reason", Reason)
            .add("datagrams", Datagrams)
            .line(log_level::Warning));
}

void routing_runtime::apply(const log_line &Effect) {
  steady_time Now = steadyNow();
  if (int64_t Dropped = Lines.takeDropped(Now))
    spdlog::warn("event=log-lines-dropped lines={}", Dropped);
  if (Lines.take(Effect.Level, Now))
    spdlog::log(levelOf(Effect.Level), "{}", Effect.Text);
}

// -------------------------------------------------------------------- drain

void routing_runtime::onTick() {
  if (Draining)
    post(
        routing_event_body(callers_reading{CallerServer->requestsBeingRead()}));
  post(routing_event_body(tick{}));
}

void routing_runtime::drain() {
  if (std::exchange(Draining, true))
    return;
  post(routing_event_body(drain_requested{}));
  CallerServer->startDraining();
  auto Longest = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(ShutdownTime - last_answers_time, ShutdownTime * 15 / 16));
  QTimer::singleShot(Longest, &Ticks, [this] {
    spdlog::warn("event=drain-timed-out open={}", Requests.size());
    finish();
  });
}

void routing_runtime::apply(const stop_accepting & /*Effect*/) {
  CallerServer->stopListening();
  CallerServer->closeIdle();
}

void routing_runtime::apply(const drain_finished & /*Effect*/) {
  QTimer::singleShot(close_linger, &Ticks, [this] { finish(); });
}

void routing_runtime::finish() {
  spdlog::info("event=stopped");
  QCoreApplication::quit();
}

void routing_runtime::onSignal(int Signal) {
  spdlog::info("event=signal number={}", Signal);
  if (Signal != SIGHUP)
    drain();
  else if (OnReload)
    OnReload();
}

} // namespace monsoonreel
