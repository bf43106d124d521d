#include "io/gated_socket.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <QHostAddress>
#include <QTimer>

#include "io/chunked_body.h"
#include "io/clock.h"
#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

// Must exceed the largest head, which is read line by line from the buffer.
constexpr qint64 wire_buffer_bytes = 64 << 10;

// How long refused input is read and dropped, so that the caller gets the
// error answer in place of a reset connection.
constexpr duration discard_time = std::chrono::seconds(2);

// The kernel's buffer while a large body comes in: with a small one, its sender
// waits for each acknowledgement. The kernel's own limit is usually about this.
constexpr int large_body_receive_buffer = 208 << 10;

// Bytes of an answer that the kernel takes before they can be sent. By default
// these are up to 4 MB a connection, which no account sees, and a slow reader
// can take more than a minute until the kernel takes more, as if it had
// stalled.
constexpr int max_unsent_in_kernel = 128 << 10;

// Without an option the system's default remains, so errors are ignored.
void setOption(const QTcpSocket &Wire, int Level, int Name, int Value) {
  ::setsockopt(static_cast<int>(Wire.socketDescriptor()), Level, Name, &Value,
               sizeof(Value));
}

void setReceiveBuffer(const QTcpSocket &Wire, int Bytes) {
  setOption(Wire, SOL_SOCKET, SO_RCVBUF, Bytes);
}

const char *reasonPhrase(int Status) {
  switch (Status) {
  case http_status::bad_request:
    return "Bad Request";
  case http_status::request_timeout:
    return "Request Timeout";
  case http_status::length_required:
    return "Length Required";
  case http_status::content_too_large:
    return "Content Too Large";
  case http_status::header_fields_too_large:
    return "Request Header Fields Too Large";
  case http_status::service_unavailable:
    return "Service Unavailable";
  case http_status::not_implemented:
    return "Not Implemented";
  case http_status::version_not_supported:
    return "HTTP Version Not Supported";
  default:
    return "Error";
  }
}

QByteArray errorAnswer(int Status) {
  QByteArray Reason = reasonPhrase(Status);
  QByteArray Body = "{\"error\":{\"message\":\"" + Reason +
                    "\",\"type\":\"invalid_request_error\",\"code\":\"http-" +
                    QByteArray::number(Status) +
                    "\",\"outcome\":\"not-run\"}}\n";
  return "HTTP/1.1 " + QByteArray::number(Status) + " " + Reason +
         (Status == http_status::service_unavailable ? "\r\nRetry-After: 1"
                                                     : "") +
         "\r\nContent-Type: application/json\r\nX-Outcome: not-run\r\n"
         "Connection: close\r\nContent-Length: " +
         QByteArray::number(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

gated_socket::gated_socket(std::unique_ptr<QTcpSocket> Connection,
                           const http_bounds &Limits,
                           std::shared_ptr<memory_account> Memory)
    : Wire(std::move(Connection)), Bounds(Limits), Account(std::move(Memory)),
      Opened(steadyNow()), LastInput(Opened), PhaseStart(Opened),
      LastWriteProgress(Opened) {
  Wire->setReadBufferSize(wire_buffer_bytes);
  setOption(*Wire, IPPROTO_TCP, TCP_NOTSENT_LOWAT, max_unsent_in_kernel);
  if (Bounds.ReceiveBuffer > 0)
    setReceiveBuffer(*Wire, Bounds.ReceiveBuffer);
  setPeerAddress(Wire->peerAddress());
  setPeerPort(Wire->peerPort());
  setLocalAddress(Wire->localAddress());
  setLocalPort(Wire->localPort());
  setSocketState(ConnectedState);
  QIODevice::open(QIODevice::ReadWrite);
  connect(Wire.get(), &QTcpSocket::readyRead, this, [this] {
    LastInput = steadyNow();
    onInput();
  });
  connect(Wire.get(), &QTcpSocket::disconnected, this,
          [this] { onWireClosed(); });
  connect(Wire.get(), &QTcpSocket::bytesWritten, this,
          [this](qint64 Bytes) { onWritten(Bytes); });
}

gated_socket::~gated_socket() {
  Wire->disconnect(this);
  Account->bodies().release(this);
  Account->remove(this);
  // The base class would otherwise try to close a connection of its own.
  setSocketState(UnconnectedState);
}

void gated_socket::enter(phase Next) {
  Phase = Next;
  PhaseStart = steadyNow();
}

void gated_socket::onInput() {
  if (state() == UnconnectedState)
    return;
  if (Phase == phase::Discarding)
    Wire->readAll();
  if (Phase == phase::Idle && Wire->bytesAvailable() > 0)
    enter(phase::Head);
  if (Phase == phase::Head)
    readHead();
  if (Phase == phase::Body)
    readBody();
  updateAccount();
}

void gated_socket::onWritten(qint64 Bytes) {
  LastWriteProgress = steadyNow();
  if (Phase == phase::Discarding)
    endOutput();
  if (Phase == phase::Sending)
    readNext();
  updateAccount();
  emit bytesWritten(Bytes);
}

// Reads the next request once the kernel has taken the whole answer before it.
// Otherwise the unread answers of pipelined requests pile up here.
void gated_socket::readNext() {
  if (Wire->state() != ConnectedState || Wire->bytesToWrite() > 0)
    return;
  if (closesAfterAnswer())
    return closeWhenWritten();
  enter(phase::Idle);
  // Not from within the server's own handling of the request before.
  QTimer::singleShot(0, this, [this] { onInput(); });
}

void gated_socket::readHead() {
  while (Wire->canReadLine()) {
    QByteArray Line = Wire->readLine();
    // An empty line before the request line is ignored (RFC 9112, 2.2).
    if (HeadBytes.isEmpty() && Line == "\r\n")
      continue;
    HeadBytes += Line;
    if (HeadBytes.size() > Bounds.HeadBytes)
      return refuse(http_status::header_fields_too_large);
    if (Line == "\n")
      return refuse(http_status::bad_request);
    if (Line != "\r\n")
      continue;
    auto Parsed = parseRequestHead(
        {HeadBytes.constData(), static_cast<size_t>(HeadBytes.size())},
        Bounds.Chunks);
    if (!Parsed)
      return refuse(Parsed.error());
    Head = std::move(*Parsed);
    if (Head.ContentLength > Bounds.BodyBytes)
      return refuse(http_status::content_too_large);
    if (Head.ExpectsContinue && !Head.Http10)
      Wire->write("HTTP/1.1 100 Continue\r\n\r\n");
    if (Head.Chunked)
      Chunks = std::make_unique<chunked_body>(Bounds.BodyBytes);
    return enter(phase::Body);
  }
  if (HeadBytes.size() + Wire->bytesAvailable() > Bounds.HeadBytes)
    refuse(http_status::header_fields_too_large);
}

// Takes exactly the body's bytes out of the connection.
void gated_socket::readChunks() {
  while (Wire->bytesAvailable() > 0) {
    // The length is not known before the end, so the largest is reserved.
    if (Chunks->size() > small_body_bytes && !hasRoom(Bounds.BodyBytes))
      return;
    QByteArray Bytes = Wire->peek(Wire->bytesAvailable());
    size_t Used =
        Chunks->read({Bytes.constData(), static_cast<size_t>(Bytes.size())});
    Wire->skip(static_cast<qint64>(Used));
    if (Chunks->isTooLarge())
      return refuse(http_status::content_too_large);
    if (Chunks->isBroken())
      return refuse(http_status::bad_request);
    if (!Chunks->isComplete())
      continue;
    BodyBytes = Chunks->takeBody();
    Head.ContentLength = std::ssize(BodyBytes);
    Chunks.reset();
    return release();
  }
}

bool gated_socket::hasRoom(int64_t Size) {
  if (BodyReserved)
    return true;
  BodyReserved = Account->bodies().reserve(this, Size, [this] { onInput(); });
  WaitsForRoom = !BodyReserved;
  if (BodyReserved && Bounds.ReceiveBuffer > 0)
    setReceiveBuffer(*Wire, large_body_receive_buffer);
  return BodyReserved;
}

void gated_socket::readBody() {
  if (Chunks)
    return readChunks();
  if (Head.ContentLength > small_body_bytes && !hasRoom(Head.ContentLength))
    return;
  if (BodyReserved)
    BodyBytes.reserve(static_cast<size_t>(Head.ContentLength));
  qint64 Missing = Head.ContentLength - std::ssize(BodyBytes);
  BodyBytes +=
      Wire->read(std::min(Missing, Wire->bytesAvailable())).toStdString();
  if (std::ssize(BodyBytes) == Head.ContentLength)
    release();
}

void gated_socket::release() {
  RequestBytes = HeadBytes.size() + (BodyReserved ? 0 : std::ssize(BodyBytes));
  updateAccount();
  // While there is no memory for it the request is refused here, where it has
  // not run yet.
  Account->enforce();
  if (Phase != phase::Body)
    return;
  // The server gets the head as it was understood here, so that no second
  // reading of the original bytes can differ from it, and no body, see
  // `takeBody`.
  Readable =
      QByteArray::fromStdString(Head.Method + " " + Head.target() +
                                " HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  ReadPosition = 0;
  HeadBytes.clear();
  enter(phase::Answering);
  emit readyRead();
}

void gated_socket::finishRequest() {
  if (Phase != phase::Answering)
    return;
  Readable.clear();
  ReadPosition = 0;
  releaseRequest();
  if (closesAfterAnswer())
    return closeWhenWritten();
  enter(phase::Sending);
  readNext();
  updateAccount();
}

void gated_socket::releaseRequest() {
  RequestBytes = 0;
  WaitsForRoom = false;
  if (std::exchange(BodyReserved, false) && Bounds.ReceiveBuffer > 0)
    setReceiveBuffer(*Wire, Bounds.ReceiveBuffer);
  Account->bodies().release(this);
}

void gated_socket::refuse(int Status) {
  HeadBytes.clear();
  BodyBytes = std::string();
  Chunks.reset();
  releaseRequest();
  Wire->write(errorAnswer(Status));
  closeWhenWritten();
}

void gated_socket::closeWhenWritten() {
  enter(phase::Discarding);
  Wire->readAll();
  Wire->flush();
  endOutput();
  updateAccount();
}

// Half-closes the connection: closing it whole while input is unread would
// reset it, and the caller would lose the answer.
void gated_socket::endOutput() {
  if (Wire->bytesToWrite() == 0)
    ::shutdown(static_cast<int>(Wire->socketDescriptor()), SHUT_WR);
}

void gated_socket::breakOff() {
  Wire->flush();
  // A body that ends with its connection looks complete after an orderly close,
  // also when the rest of a complete answer is not written yet.
  if (Head.Http10 && (Phase == phase::Answering || Wire->bytesToWrite() > 0)) {
    linger Reset{1, 0};
    ::setsockopt(static_cast<int>(Wire->socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &Reset, sizeof(Reset));
  }
  Wire->abort();
  updateAccount();
}

void gated_socket::checkTimes(steady_time Now) {
  updateAccount(); // bytes in the kernel's buffer come without an event
  duration InPhase = Now - PhaseStart;
  if (Wire->bytesToWrite() > 0 &&
      Now - std::max(LastWriteProgress, PhaseStart) > Bounds.StallTime) {
    reportShed(shed_reason::Stalled, Account->held());
    return breakOff();
  }
  switch (Phase) {
  case phase::Idle:
    if (InPhase > Bounds.IdleTime)
      Wire->disconnectFromHost();
    return;
  case phase::Head:
    if (InPhase > Bounds.HeadTime)
      refuse(http_status::request_timeout);
    return;
  case phase::Body:
    if (WaitsForRoom && InPhase > Bounds.HeadTime)
      return refuse(http_status::service_unavailable);
    if (InPhase > Bounds.BodyTime)
      refuse(http_status::request_timeout);
    return;
  case phase::Answering:
  case phase::Sending:
    return;
  case phase::Discarding:
    if (InPhase > discard_time)
      Wire->disconnectFromHost();
    return;
  }
}

bool gated_socket::isReading() const {
  return Phase == phase::Head || Phase == phase::Body ||
         (Phase == phase::Idle && Wire->bytesAvailable() > 0);
}

std::optional<steady_time> gated_socket::idleSince() const {
  if (Phase != phase::Idle || Wire->bytesAvailable() > 0)
    return std::nullopt;
  return PhaseStart;
}

bool gated_socket::closeIfIdle() {
  // The rest of a complete answer is still sent.
  if ((Phase != phase::Idle && Phase != phase::Sending) ||
      Wire->bytesAvailable() > 0)
    return false;
  // A request may have arrived that the event loop has not seen yet.
  char Byte = 0;
  ssize_t Waiting = ::recv(static_cast<int>(Wire->socketDescriptor()), &Byte,
                           sizeof(Byte), MSG_PEEK | MSG_DONTWAIT);
  if (Waiting > 0) {
    closeAfterAnswer();
    return false;
  }
  Wire->disconnectFromHost();
  return true;
}

// ------------------------------------------------------------------- account

int64_t gated_socket::unreadInput() const {
  int64_t Unread = Wire->bytesAvailable();
  int InKernel = 0;
  // Below this, Qt empties the kernel's buffer at once.
  if (Unread >= wire_buffer_bytes &&
      ::ioctl(static_cast<int>(Wire->socketDescriptor()), FIONREAD,
              &InKernel) == 0)
    Unread += InKernel;
  return Unread;
}

int64_t gated_socket::heldBytes() const {
  int64_t Request = RequestBytes * copies_while_answering;
  if (Request == 0)
    Request = HeadBytes.size() + (BodyReserved ? 0 : std::ssize(BodyBytes));
  if (Chunks && !BodyReserved)
    Request += Chunks->size();
  return unreadInput() + Request + Wire->bytesToWrite();
}

void gated_socket::updateAccount() {
  int64_t Held = state() == UnconnectedState ? 0 : heldBytes();
  if (Held != std::exchange(Reported, Held))
    Account->update(this, Held);
}

bool gated_socket::isShedFirst() const {
  return Phase != phase::Answering || Wire->bytesToWrite() >= min_shed_bytes;
}

steady_time gated_socket::lastProgress() const {
  return std::max(LastInput, LastWriteProgress);
}

void gated_socket::shed(int64_t Total) {
  reportShed(shed_reason::Memory, Total);
  if (Phase == phase::Head || Phase == phase::Body)
    return refuse(http_status::service_unavailable);
  breakOff();
}

void gated_socket::reportShed(shed_reason Reason, int64_t Total) {
  if (!OnShed)
    return;
  int64_t Reserved = BodyReserved ? Head.ContentLength : 0;
  OnShed(
      {Reason, Reported + Reserved, steadyNow() - Opened, phaseName(), Total});
}

const char *gated_socket::phaseName() const {
  switch (Phase) {
  case phase::Idle:
    return "idle";
  case phase::Head:
    return "head";
  case phase::Body:
    return "body";
  case phase::Answering:
    return "answering";
  case phase::Sending:
    return "sending";
  case phase::Discarding:
    return "closing";
  }
  return "";
}

void gated_socket::onWireClosed() {
  if (state() == UnconnectedState)
    return;
  setSocketState(UnconnectedState);
  updateAccount(); // otherwise it counts until the server destroys it
  emit stateChanged(UnconnectedState);
  emit disconnected();
}

// QAbstractSocket's own versions would ask a socket engine, which this socket
// does not have.
// NOLINTBEGIN(bugprone-parent-virtual-call)
qint64 gated_socket::bytesAvailable() const {
  return Readable.size() - ReadPosition + QIODevice::bytesAvailable();
}

qint64 gated_socket::bytesToWrite() const { return Wire->bytesToWrite(); }

bool gated_socket::canReadLine() const {
  return Readable.indexOf('\n', ReadPosition) >= 0 || QIODevice::canReadLine();
}

void gated_socket::disconnectFromHost() { Wire->disconnectFromHost(); }

void gated_socket::close() {
  Wire->disconnectFromHost();
  QIODevice::close();
}
// NOLINTEND(bugprone-parent-virtual-call)

qint64 gated_socket::readData(char *Data, qint64 MaxSize) {
  qint64 Size = std::min(MaxSize, Readable.size() - ReadPosition);
  std::memcpy(Data, Readable.constData() + ReadPosition,
              static_cast<size_t>(Size));
  ReadPosition += Size;
  // The server has its own copy of a head that it has read.
  if (ReadPosition == Readable.size()) {
    Readable.clear();
    ReadPosition = 0;
  }
  return Size;
}

qint64 gated_socket::writeData(const char *Data, qint64 Size) {
  qint64 Written = Wire->write(Data, Size);
  updateAccount();
  return Written;
}

} // namespace monsoonreel
