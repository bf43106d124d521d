// Reads what a caller's request says about itself.

#include <algorithm>
#include <charconv>

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <xxhash.h>

#include "io/caller_port.h"
#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

constexpr size_t max_key_bytes = 512;
constexpr size_t max_idempotency_key_bytes = 255;
constexpr size_t max_class_bytes = 128;
constexpr int64_t max_timeout_ms = int64_t{24} * 3600 * 1000;
constexpr int bytes_per_token = 4;
// The part of a prompt that decides which engine may have it cached.
constexpr qsizetype prefix_bytes = 1 << 10;
constexpr std::string_view bearer = "Bearer ";

void refuse(request_reading &Reading, std::string Code, std::string Message) {
  Reading.Status = http_status::bad_request;
  Reading.Code = std::move(Code);
  Reading.Message = std::move(Message);
}

bool isVisible(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C > ' ' && C < 0x7f; });
}

// Reads the key and makes sure that it is in no part that goes upstream.
void readKey(const http_request &Request, request_reading &Reading) {
  const std::string *Field = Request.header("Authorization");
  if (!Field)
    return;
  std::string Key =
      Field->starts_with(bearer) ? Field->substr(bearer.size()) : std::string();
  if (Key.empty() || Key.size() > max_key_bytes || !isVisible(Key))
    return refuse(Reading, "malformed-key",
                  "Authorization must be \"Bearer\" and a key");
  auto HoldsKey = [&](const std::string &Text) {
    return Text.find(Key) != std::string::npos;
  };
  bool InFields = std::any_of(
      Request.Headers.begin(), Request.Headers.end(), [&](const auto &Header) {
        return &Header.Value != Field && HoldsKey(Header.Value);
      });
  if (InFields || HoldsKey(Request.Path) || HoldsKey(Request.Query))
    return refuse(Reading, "key-outside-authorization",
                  "send the key in Authorization only");
  QByteArray Hash = QCryptographicHash::hash(QByteArray::fromStdString(Key),
                                             QCryptographicHash::Sha256);
  Reading.Event.Key = key_hash(Hash.toStdString());
}

void readFields(const http_request &Request, request_reading &Reading) {
  if (const std::string *Class = Request.header("X-Service-Class")) {
    if (Class->size() > max_class_bytes)
      return refuse(Reading, "malformed-class", "X-Service-Class is too long");
    Reading.Event.Class = class_name(*Class);
  }
  if (const std::string *Key = Request.header("Idempotency-Key")) {
    if (Key->empty() || Key->size() > max_idempotency_key_bytes ||
        !isVisible(*Key))
      return refuse(Reading, "malformed-idempotency-key",
                    "Idempotency-Key must be 1 to 255 visible characters");
    Reading.Event.IdempotencyKey = *Key;
  }
  if (const std::string *Field = Request.header("X-Request-Timeout-Ms")) {
    int64_t Millis = 0;
    const char *End = Field->data() + Field->size();
    auto [Stop, Error] = std::from_chars(Field->data(), End, Millis);
    if (Error != std::errc() || Stop != End || Millis <= 0 ||
        Millis > max_timeout_ms)
      return refuse(Reading, "malformed-timeout",
                    "X-Request-Timeout-Ms must be 1 to 86400000");
    Reading.Event.Timeout = std::chrono::milliseconds(Millis);
  }
}

// The texts of a request's messages, or its prompt.
QByteArray promptOf(const QJsonObject &Body) {
  QByteArray Prompt = Body.value("prompt").toString().toUtf8();
  for (const auto &Message : Body.value("messages").toArray()) {
    QJsonValue Content = Message.toObject().value("content");
    Prompt += Content.toString().toUtf8();
    for (const auto &Part : Content.toArray())
      Prompt += Part.toObject().value("text").toString().toUtf8();
  }
  return Prompt;
}

void readModelBody(const http_request &Request, request_reading &Reading) {
  QJsonParseError Error;
  QJsonDocument Document = QJsonDocument::fromJson(
      QByteArray::fromRawData(Request.Body.data(),
                              static_cast<qsizetype>(Request.Body.size())),
      &Error);
  if (!Document.isObject())
    return refuse(Reading, "malformed-body",
                  "the body must be a JSON object: " +
                      Error.errorString().toStdString());
  QJsonObject Body = Document.object();
  request_arrived &Event = Reading.Event;
  Event.Model = Body.value("model").toString().toStdString();
  if (Event.Model.empty())
    return refuse(Reading, "missing-model", "the body must name a model");
  Event.Stream = Body.value("stream").toBool();
  Event.MaxTokens = std::max(0, Body.value("max_completion_tokens")
                                    .toInt(Body.value("max_tokens").toInt()));
  QByteArray Prompt = promptOf(Body);
  Event.PromptTokens =
      static_cast<int>((Prompt.size() + bytes_per_token - 1) / bytes_per_token);
  Event.PrefixHash =
      XXH3_64bits(Prompt.constData(),
                  static_cast<size_t>(std::min(Prompt.size(), prefix_bytes)));
}

uint64_t hashOf(const http_request &Request) {
  std::string Whole = Request.Method + "\n" + Request.Path + "\n" +
                      Request.Query + "\n" + Request.Body;
  return XXH3_64bits(Whole.data(), Whole.size());
}

} // namespace

bool isCompletionPath(std::string_view Path) {
  return Path == "/v1/chat/completions" || Path == "/v1/completions";
}

request_reading readRequest(const http_request &Request) {
  request_reading Reading;
  Reading.Event.Method = Request.Method;
  Reading.Event.Path = Request.Path;
  Reading.Event.BodyHash = hashOf(Request);
  readKey(Request, Reading);
  if (Reading.Status == 0)
    readFields(Request, Reading);
  if (Reading.Status == 0 && Request.Method == "POST" &&
      isCompletionPath(Request.Path))
    readModelBody(Request, Reading);
  return Reading;
}

} // namespace monsoonreel
