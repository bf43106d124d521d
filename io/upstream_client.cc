#include "io/upstream_client.h"

#include <algorithm>
#include <array>
#include <utility>

#include "spdlog/fmt/fmt.h"

#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

constexpr qint64 read_bytes = 16 << 10;
// A whole answer is kept up to this size to read its token count.
constexpr size_t max_counted_answer = size_t{1} << 20;

// Lower case. Credentials, cookies and connection fields are left out.
constexpr std::array<std::string_view, 6> forwarded_headers = {
    "accept",      "content-type", "idempotency-key",
    "traceparent", "tracestate",   "x-request-id"};

bool isForwarded(const std::string &Name) {
  QByteArray Lower = QByteArray::fromStdString(Name).toLower();
  return std::find(forwarded_headers.begin(), forwarded_headers.end(),
                   Lower.toStdString()) != forwarded_headers.end();
}

QByteArray bytes(const std::string &Text) {
  return QByteArray::fromStdString(Text);
}

// Qt rewinds the body for a 307 or 308 before it looks at the redirect policy,
// and reports that it could not. The answer itself is complete.
bool isUnfollowedRedirect(const QNetworkReply &Reply) {
  int Status = replyStatus(Reply);
  return (Status == http_status::temporary_redirect ||
          Status == http_status::permanent_redirect) &&
         Reply.error() == QNetworkReply::ContentReSendError;
}

duration retryAfterOf(const QNetworkReply &Reply) {
  bool Valid = false;
  int Seconds = Reply.rawHeader("Retry-After").toInt(&Valid);
  return std::chrono::seconds(Valid ? std::max(Seconds, 0) : 0);
}

} // namespace

struct upstream_client::exchange {
  attempt_number Attempt;
  address Address;
  QNetworkReply *Reply = nullptr;
  // Receives the reply's signals. Disconnecting the reply as a whole would
  // also cut Qt's own connections, and an abort would not reach the socket.
  std::unique_ptr<QObject> Receiver = std::make_unique<QObject>();
  QNetworkAccessManager *Shared = nullptr;
  // Set instead of Shared when a new connection was asked for.
  std::unique_ptr<QNetworkAccessManager> Own;
  bool TokenStream = false;
  bool HeadersSent = false;
  bool Ended = false; // Qt has reported the end; unread bytes may be left
  event_stream Events;
  std::string Answer; // of a whole JSON answer, for its token count

  bool cutsEvents() const {
    return TokenStream &&
           Reply->rawHeader("Content-Type").startsWith("text/event-stream");
  }
};

upstream_client::upstream_client(upstream_listener &Target)
    : Listener(Target) {}

upstream_client::~upstream_client() {
  while (!Exchanges.empty())
    remove(Exchanges.begin()->first);
}

void upstream_client::start(const upstream_request &Request) {
  auto Exchange = std::make_unique<exchange>();
  Exchange->Attempt = Request.Attempt;
  Exchange->Address = Request.Address;
  Exchange->TokenStream = Request.TokenStream;
  if (Request.FreshConnection)
    Exchange->Own = makeManager();
  else
    Exchange->Shared = Managers.acquire(Request.Address);
  QNetworkAccessManager *Manager =
      Request.FreshConnection ? Exchange->Own.get() : Exchange->Shared;
  if (!Manager)
    return fail(Request.Attempt, attempt_failure::NeverSent,
                "too many requests to this upstream");
  QNetworkRequest Wire = makeNetworkRequest(Request.Address, Request.Target);
  for (const http_header &Header : Request.CallerHeaders)
    if (isForwarded(Header.Name))
      Wire.setRawHeader(bytes(Header.Name), bytes(Header.Value));
  for (const http_header &Header : Request.OwnHeaders)
    Wire.setRawHeader(bytes(Header.Name), bytes(Header.Value));
  Exchange->Reply = sendOnce(*Manager, Wire, Request.Method, Request.Body);
  attempt_number Attempt = Request.Attempt;
  QNetworkReply *Reply = Exchange->Reply;
  QObject *Receiver = Exchange->Receiver.get();
  Exchanges[Attempt] = std::move(Exchange);
  QObject::connect(Reply, &QNetworkReply::metaDataChanged, Receiver,
                   [this, Attempt] { onInput(Attempt); });
  QObject::connect(Reply, &QNetworkReply::readyRead, Receiver,
                   [this, Attempt] { onInput(Attempt); });
  QObject::connect(Reply, &QNetworkReply::finished, Receiver,
                   [this, Attempt] { onFinished(Attempt); });
}

void upstream_client::cancel(attempt_number Attempt) { remove(Attempt); }

void upstream_client::resume(attempt_number Attempt) { onInput(Attempt); }

void upstream_client::fail(attempt_number Attempt, attempt_failure Failure,
                           std::string Detail) {
  remove(Attempt);
  Listener.onAttemptEvent(attempt_failed{Attempt, Failure, std::move(Detail)});
}

void upstream_client::onInput(attempt_number Attempt) {
  while (readSome(Attempt)) {
  }
}

// An event may cancel any attempt, so the exchange is looked up again after
// each one.
bool upstream_client::readSome(attempt_number Attempt) {
  auto It = Exchanges.find(Attempt);
  if (It == Exchanges.end() || replyStatus(*It->second->Reply) == 0)
    return false;
  exchange &Exchange = *It->second;
  if (!std::exchange(Exchange.HeadersSent, true)) {
    sendHeaders(Exchange);
    return true;
  }
  if (!Listener.hasRoom(Attempt))
    return false;
  QByteArray Read = Exchange.Reply->read(read_bytes);
  if (Read.isEmpty()) {
    if (Exchange.Ended)
      conclude(Attempt);
    return false;
  }
  attempt_chunk Chunk{Attempt, Read.toStdString(), 0};
  if (Exchange.cutsEvents()) {
    Exchange.Events.add(Chunk.Data);
    Chunk.Data = Exchange.Events.takeEvents(Chunk.Tokens);
    if (Exchange.Events.isOversized()) {
      fail(Attempt, attempt_failure::Truncated, "an event is too large");
      return false;
    }
  } else if (Exchange.Answer.size() < max_counted_answer) {
    Exchange.Answer += Chunk.Data;
  }
  if (!Chunk.Data.empty())
    Listener.onAttemptEvent(std::move(Chunk));
  return true;
}

void upstream_client::sendHeaders(exchange &Exchange) {
  const QNetworkReply &Reply = *Exchange.Reply;
  Listener.onAttemptEvent(attempt_headers{
      Exchange.Attempt, replyStatus(Reply),
      Reply.rawHeader("Content-Type").toStdString(),
      Reply.rawHeader("X-Not-Run") == "true", retryAfterOf(Reply)});
}

void upstream_client::onFinished(attempt_number Attempt) {
  auto It = Exchanges.find(Attempt);
  if (It == Exchanges.end())
    return;
  exchange &Exchange = *It->second;
  Exchange.Ended = true;
  if (replyStatus(*Exchange.Reply) != 0)
    return onInput(Attempt);
  conclude(Attempt);
}

// Called when Qt has ended the reply and all of it has been read.
void upstream_client::conclude(attempt_number Attempt) {
  exchange &Exchange = *Exchanges.find(Attempt)->second;
  const QNetworkReply &Reply = *Exchange.Reply;
  std::string Detail = fmt::format("error {}: {}", int(Reply.error()),
                                   Reply.errorString().toStdString());
  if (replyStatus(Reply) == 0)
    return fail(Attempt,
                isNeverSent(Reply) ? attempt_failure::NeverSent
                                   : attempt_failure::Broken,
                Detail);
  // A token stream names its own end; how its connection closed does not
  // matter then. Qt at times reports an orderly close as an error.
  bool WholeStream = Exchange.cutsEvents() && Exchange.Events.isDone();
  if (isTransportError(Reply.error()) && !WholeStream &&
      !isUnfollowedRedirect(Reply))
    return fail(Attempt, attempt_failure::Truncated, Detail);
  if (Exchange.cutsEvents() && !Exchange.Events.isDone())
    return fail(Attempt, attempt_failure::Truncated,
                "the stream ended without its last event");
  int Tokens = completionTokens(Exchange.Answer);
  remove(Attempt);
  if (Tokens > 0)
    Listener.onAttemptEvent(attempt_chunk{Attempt, "", Tokens});
  Listener.onAttemptEvent(attempt_finished{Attempt});
}

void upstream_client::remove(attempt_number Attempt) {
  auto It = Exchanges.find(Attempt);
  if (It == Exchanges.end())
    return;
  std::unique_ptr<exchange> Exchange = std::move(It->second);
  Exchanges.erase(It);
  QNetworkReply *Reply = Exchange->Reply;
  Exchange->Receiver.reset();
  if (Reply->isRunning())
    Reply->abort();
  if (Exchange->Own) {
    // Takes its reply and its thread with it, later, because this may be
    // called from a signal of the reply.
    QNetworkAccessManager *Own = Exchange->Own.release();
    Own->setParent(&Retired);
    Own->deleteLater();
    return;
  }
  Reply->deleteLater();
  Managers.release(Exchange->Shared, Exchange->Address);
}

} // namespace monsoonreel
