#include "io/http_call.h"

#include <memory>
#include <utility>

#include <QTimer>

namespace monsoonreel {

namespace {

// What one call has received so far.
struct call_state {
  QByteArray Body;
  bool TooLarge = false;
  bool TimedOut = false;
};

http_result resultOf(const QNetworkReply &Reply, const call_state &State) {
  http_result Result;
  Result.TooLarge = State.TooLarge;
  if (State.TooLarge)
    Result.Error = "the answer is too large";
  else if (State.TimedOut)
    Result.Error = "no answer in time";
  else if (isTransportError(Reply.error()))
    Result.Error = Reply.errorString().toStdString();
  if (!Result.Error.empty())
    return Result;
  Result.Status = replyStatus(Reply);
  Result.Body = State.Body.toStdString();
  return Result;
}

} // namespace

void http_caller::call(const http_call &Call, callback Callback) {
  QNetworkAccessManager *Manager = Managers.acquire(Call.Address);
  if (!Manager) {
    http_result Result;
    Result.Error = "too many calls at once";
    QMetaObject::invokeMethod(
        &Receiver, [Result, Callback] { Callback(Result); },
        Qt::QueuedConnection);
    return;
  }
  QNetworkRequest Request = makeNetworkRequest(Call.Address, Call.Target);
  Request.setRawHeader("Content-Type",
                       QByteArray::fromStdString(Call.ContentType));
  QNetworkReply *Reply = sendOnce(*Manager, Request, Call.Method, Call.Body);
  auto State = std::make_shared<call_state>();
  auto *Timer = new QTimer(Reply);
  Timer->setSingleShot(true);
  QObject::connect(Timer, &QTimer::timeout, Reply, [Reply, State] {
    State->TimedOut = true;
    Reply->abort();
  });
  Timer->start(
      std::chrono::duration_cast<std::chrono::milliseconds>(Call.Timeout));
  QObject::connect(Reply, &QNetworkReply::readyRead, &Receiver, [Reply, State] {
    State->Body += Reply->readAll();
    if (State->Body.size() <= max_result_bytes)
      return;
    State->TooLarge = true;
    Reply->abort();
  });
  QObject::connect(Reply, &QNetworkReply::finished, &Receiver,
                   [this, Reply, State, Manager, To = Call.Address,
                    Done = std::move(Callback)] {
                     // An aborted reply is closed and can't be read.
                     if (Reply->isReadable())
                       State->Body += Reply->readAll();
                     Managers.release(Manager, To);
                     Reply->deleteLater();
                     Done(resultOf(*Reply, *State));
                   });
}

} // namespace monsoonreel
