// A socket that lets only complete and bounded requests through.
//
//   auto *Gate = new gated_socket(std::move(Wire), Bounds, Account);
//   addPendingConnection(Gate);    // for QAbstractHttpServer
//   ...
//   Gate->finishRequest();         // the answer has been written
//
// QAbstractHttpServer has no bounds of its own, and it hands a pipelined
// request on while the one before it is still being answered. This socket
// stands between it and the connection: it collects one request within the
// bounds, makes it readable as a whole, and leaves all further bytes in the
// connection until that request's answer has been handed to the kernel, so that
// a connection holds at most one request and one answer. Input that breaks a
// bound is answered here and never reaches the server.

#ifndef IO_GATED_SOCKET_H
#define IO_GATED_SOCKET_H

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <QByteArray>
#include <QTcpSocket>

#include "io/http_head.h"
#include "io/memory_account.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

// Bounds on what callers may send and for how long they may take.
struct http_bounds {
  int HeadBytes = 32 << 10;
  int64_t BodyBytes = int64_t{8} << 20;
  duration HeadTime = std::chrono::seconds(10);  // for a whole head
  duration BodyTime = std::chrono::seconds(60);  // for a whole body
  duration IdleTime = std::chrono::seconds(120); // between two requests
  duration StallTime = std::chrono::seconds(60); // without reading an answer
  int Connections = 4096;
  int ConnectionsPerAddress = 1024;
  // Bodies in chunks are taken, and handed on as if they had a length.
  chunk_policy Chunks = chunk_policy::Refuse;
  // Bytes of all large bodies together, see `body_budget`. A body that finds no
  // room within HeadTime is refused.
  int64_t LargeBodyBytes = int64_t{64} << 20;
  // Bytes of everything else that is held for connections, see
  // `memory_account`.
  int64_t HeldBytes = std::numeric_limits<int64_t>::max();
  // At the limit of connections the one that is idle longest is closed for a
  // new one.
  bool ReplacesIdle = false;
  // Bytes that the kernel may receive for a connection and that are not read
  // yet; 0: the system's default, which may grow to several MB.
  int ReceiveBuffer = 0;

  memory_limits memory() const { return {HeldBytes, LargeBodyBytes}; }
};

// A byte of a small request counts this many times while it is being answered:
// the handler has one copy, and an upstream that does not read has another one
// that is not sent yet.
constexpr int64_t copies_while_answering = 2;

enum class shed_reason { Memory, Connections, Stalled };

// A connection that is closed because of what it takes from others.
struct shed_connection {
  shed_reason Reason = shed_reason::Memory;
  int64_t Held = 0; // bytes, with its reserved body
  duration Age = duration::zero();
  const char *Phase = "";
  int64_t Total = 0; // bytes that all connections hold
};

class chunked_body;

class gated_socket : public QTcpSocket, private memory_holder {
public:
  gated_socket(std::unique_ptr<QTcpSocket> Wire, const http_bounds &Bounds,
               std::shared_ptr<memory_account> Account);
  ~gated_socket() override;

  // The request that is being answered.
  const http_head &head() const { return Head; }
  // Its body, without a copy left here. The server reads only the head:
  // QAbstractHttpServer keeps a body until the connection's next input, which
  // may never come.
  std::string takeBody() { return std::exchange(BodyBytes, {}); }
  // The answer is complete; the next request may come in.
  void finishRequest();
  // The connection ends with the next answer.
  void closeAfterAnswer() { Closing = true; }
  bool closesAfterAnswer() const { return Closing || !Head.KeepAlive; }
  // Closes the connection in a way that the caller can tell from an end.
  void breakOff();
  // Ends the connection when it has taken longer than the bounds allow.
  void checkTimes(steady_time Now);
  // Returns whether a request has begun to arrive and is not complete. Input
  // behind an answer that is not written yet does not count: its caller may
  // never read that answer, and a drain would wait for it.
  bool isReading() const;
  // Closes the connection if no request has begun on it. Returns whether it
  // did.
  bool closeIfIdle();
  // Since when the connection has been idle without unread input; no value if
  // it is not.
  std::optional<steady_time> idleSince() const;
  // Called when the connection is shed.
  void setOnShed(std::function<void(const shed_connection &)> Callback) {
    OnShed = std::move(Callback);
  }
  // Reports that the connection is being closed for Reason.
  void reportShed(shed_reason Reason, int64_t Total);
  // For what comes from now on.
  void setBounds(const http_bounds &Changed) { Bounds = Changed; }

  qint64 bytesAvailable() const override;
  qint64 bytesToWrite() const override;
  bool canReadLine() const override;
  void disconnectFromHost() override;
  void close() override;

protected:
  qint64 readData(char *Data, qint64 MaxSize) override;
  qint64 writeData(const char *Data, qint64 Size) override;

private:
  // Sending: the answer is complete and not handed to the kernel yet.
  enum class phase { Idle, Head, Body, Answering, Sending, Discarding };

  bool isShedFirst() const override;
  steady_time lastProgress() const override;
  void shed(int64_t Total) override;

  void onInput();
  void readHead();
  void readBody();
  // Returns whether there is room for Size bytes of a body.
  bool hasRoom(int64_t Size);
  void readChunks();
  void release();
  // Gives back what the request has reserved.
  void releaseRequest();
  void refuse(int Status);
  void closeWhenWritten();
  void endOutput();
  void onWireClosed();
  void enter(phase Next);
  void readNext();
  void onWritten(qint64 Bytes);
  // States what is held to the account.
  void updateAccount();
  int64_t heldBytes() const;
  int64_t unreadInput() const;
  const char *phaseName() const;

  std::unique_ptr<QTcpSocket> Wire;
  http_bounds Bounds;
  std::shared_ptr<memory_account> Account;
  std::function<void(const shed_connection &)> OnShed;
  steady_time Opened;
  steady_time LastInput;
  int64_t Reported = 0;      // to the account
  int64_t RequestBytes = 0;  // of the request that is being answered
  bool WaitsForRoom = false; // for its body
  bool BodyReserved = false;
  phase Phase = phase::Idle;
  bool Closing = false;
  steady_time PhaseStart;
  steady_time LastWriteProgress;
  QByteArray HeadBytes;
  std::string BodyBytes;
  std::unique_ptr<chunked_body> Chunks; // while a body comes in chunks
  http_head Head;
  QByteArray Readable; // what the server may read
  qint64 ReadPosition = 0;
};

} // namespace monsoonreel

#endif // IO_GATED_SOCKET_H
