#include "io/caller_port.h"

#include <utility>

#include <QJsonDocument>
#include <QJsonObject>

#include "spdlog/spdlog.h"

#include "monsoonreel/http_status.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

namespace {

std::string errorType(int Status) {
  switch (Status) {
  case http_status::unauthorized:
    return "authentication_error";
  case http_status::forbidden:
    return "permission_error";
  case http_status::too_many_requests:
    return "rate_limit_error";
  default:
    return Status < 500 ? "invalid_request_error" : "server_error";
  }
}

// Rounds up, so that a caller does not come back early.
int64_t inUnits(duration Value, duration Unit) {
  return (Value + Unit - duration(1)) / Unit;
}

std::string errorBody(const refuse_request &Refusal) {
  QJsonObject Error{{"message", QString::fromStdString(Refusal.Message)},
                    {"type", QString::fromStdString(errorType(Refusal.Status))},
                    {"code", QString::fromStdString(Refusal.Code)},
                    {"outcome", outcomeName(Refusal.Outcome)}};
  return QJsonDocument(QJsonObject{{"error", Error}})
             .toJson(QJsonDocument::Compact)
             .toStdString() +
         "\n";
}

http_header_list errorHeaders(const refuse_request &Refusal) {
  http_header_list Headers = {{"Content-Type", "application/json"},
                              {"X-Outcome", outcomeName(Refusal.Outcome)}};
  if (Refusal.RetryAfter > duration::zero()) {
    int64_t Seconds = inUnits(Refusal.RetryAfter, std::chrono::seconds(1));
    int64_t Millis = inUnits(Refusal.RetryAfter, std::chrono::milliseconds(1));
    Headers.push_back({"Retry-After", std::to_string(Seconds)});
    Headers.push_back({"Retry-After-Ms", std::to_string(Millis)});
  }
  return Headers;
}

http_header_list answerHeaders(const begin_answer &Head, const node_name &Name,
                               request_id Request) {
  http_header_list Headers;
  if (!Head.ContentType.empty())
    Headers.push_back({"Content-Type", Head.ContentType});
  Headers.push_back({"X-Outcome", "run"});
  Headers.push_back(
      {"X-Request-Id", Name.Value + "-" + std::to_string(Request.Value)});
  if (!Head.Upstream.empty())
    Headers.push_back({"X-Upstream", Head.Upstream.Value});
  return Headers;
}

} // namespace

struct caller_port::pending {
  http_request Request;
  std::shared_ptr<http_exchange> Exchange;
  class_name Class;
  begin_answer Head;
  bool HasHead = false;
  std::string Whole; // of an answer that is not streamed
};

caller_port::caller_port(node_name Self, const http_bounds &Bounds,
                         event_sink &Target)
    : Name(std::move(Self)), Sink(Target), Server(*this, Bounds) {}

caller_port::~caller_port() = default;

bool caller_port::listen(const address &At) { return Server.listen(At); }

void caller_port::startDraining() { Server.startDraining(); }

void caller_port::setOnRoom(std::function<void(request_id)> Callback) {
  OnRoom = std::move(Callback);
}

void caller_port::handleRequest(
    const http_request &Request,
    const std::shared_ptr<http_exchange> &Exchange) {
  request_reading Reading = readRequest(Request);
  request_id Id{++LastRequest};
  if (Reading.Status != 0) {
    refuse_request Refusal{Id, Reading.Status, Reading.Code, Reading.Message};
    Exchange->answer(Reading.Status, errorHeaders(Refusal), errorBody(Refusal));
    return;
  }
  auto Pending = std::make_unique<pending>();
  Pending->Request = Request;
  Pending->Exchange = Exchange;
  Pending->Class = Reading.Event.Class;
  Requests[Id] = std::move(Pending);
  Exchange->setOnGone([this, Id] {
    Requests.erase(Id);
    Sink.post(caller_disconnected{Id});
  });
  Exchange->setOnRoom([this, Id] {
    if (OnRoom)
      OnRoom(Id);
  });
  Reading.Event.Request = Id;
  Sink.post(std::move(Reading.Event));
}

caller_port::pending *caller_port::findPending(request_id Request) {
  auto It = Requests.find(Request);
  return It == Requests.end() ? nullptr : It->second.get();
}

std::unique_ptr<caller_port::pending> caller_port::take(request_id Request) {
  auto Node = Requests.extract(Request);
  return Node ? std::move(Node.mapped()) : nullptr;
}

const http_request *caller_port::find(request_id Request) const {
  auto It = Requests.find(Request);
  return It == Requests.end() ? nullptr : &It->second->Request;
}

bool caller_port::hasRoom(request_id Request) const {
  auto It = Requests.find(Request);
  return It == Requests.end() ||
         It->second->Exchange->bytesToWrite() < max_unsent_bytes;
}

void caller_port::logEnd(request_id Request, const pending &Pending, int Status,
                         const std::string &Outcome) {
  spdlog::info("request={} method={} path={} class={} status={} outcome={} "
               "upstream={}",
               Request.Value, Pending.Request.Method, Pending.Request.Path,
               Pending.Class.Value, Status, Outcome,
               Pending.Head.Upstream.Value);
}

void caller_port::carryOut(const begin_answer &Effect) {
  pending *Pending = findPending(Effect.Request);
  if (!Pending)
    return;
  Pending->Head = Effect;
  Pending->HasHead = true;
  if (Effect.Stream)
    Pending->Exchange->begin(Effect.Status,
                             answerHeaders(Effect, Name, Effect.Request));
}

void caller_port::carryOut(const write_answer &Effect) {
  pending *Pending = findPending(Effect.Request);
  if (!Pending || !Pending->HasHead)
    return;
  if (Pending->Exchange->hasBegun())
    return Pending->Exchange->write(Effect.Data);
  Pending->Whole += Effect.Data;
  if (Pending->Whole.size() <= max_whole_answer_bytes)
    return;
  Pending->Exchange->begin(Pending->Head.Status,
                           answerHeaders(Pending->Head, Name, Effect.Request));
  Pending->Exchange->write(std::exchange(Pending->Whole, {}));
}

void caller_port::carryOut(const finish_answer &Effect) {
  std::unique_ptr<pending> Pending = take(Effect.Request);
  if (!Pending)
    return;
  logEnd(Effect.Request, *Pending, Pending->Head.Status, "run");
  if (Pending->Exchange->hasBegun())
    return Pending->Exchange->finish();
  if (Pending->HasHead)
    Pending->Exchange->answer(
        Pending->Head.Status,
        answerHeaders(Pending->Head, Name, Effect.Request), Pending->Whole);
}

void caller_port::carryOut(const abort_answer &Effect) {
  std::unique_ptr<pending> Pending = take(Effect.Request);
  if (!Pending)
    return;
  logEnd(Effect.Request, *Pending, Pending->Head.Status, "aborted");
  if (Pending->Exchange->hasBegun())
    return Pending->Exchange->abort();
  // Nothing has gone out yet, so the caller can be told.
  refuse_request Refusal{Effect.Request, http_status::bad_gateway,
                         "upstream-broke-off", Effect.Reason,
                         execution_outcome::Unknown};
  Pending->Exchange->answer(http_status::bad_gateway, errorHeaders(Refusal),
                            errorBody(Refusal));
}

void caller_port::carryOut(const refuse_request &Effect) {
  std::unique_ptr<pending> Pending = take(Effect.Request);
  if (!Pending)
    return;
  logEnd(Effect.Request, *Pending, Effect.Status, outcomeName(Effect.Outcome));
  if (Pending->Exchange->hasBegun())
    return Pending->Exchange->abort();
  Pending->Exchange->answer(Effect.Status, errorHeaders(Effect),
                            errorBody(Effect));
}

} // namespace monsoonreel
