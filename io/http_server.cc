#include "io/http_server.h"

#include <algorithm>
#include <utility>

#include <QAbstractHttpServer>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QTcpServer>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "spdlog/fmt/fmt.h"

#include "io/clock.h"
#include "monsoonreel/http_status.h"

namespace monsoonreel {

namespace {

constexpr std::chrono::milliseconds watchdog_period(250);
constexpr int listen_backlog = 512;

bool hasNoBody(int Status) {
  return Status == http_status::no_content ||
         Status == http_status::not_modified;
}

QByteArray toBytes(std::string_view Text) {
  return {Text.data(), static_cast<qsizetype>(Text.size())};
}

} // namespace

std::string http_request::parameter(std::string_view Name,
                                    std::string Otherwise) const {
  QUrlQuery Parsed(QString::fromStdString(Query));
  QString Key =
      QString::fromUtf8(Name.data(), static_cast<qsizetype>(Name.size()));
  if (!Parsed.hasQueryItem(Key))
    return Otherwise;
  return Parsed.queryItemValue(Key, QUrl::FullyDecoded).toStdString();
}

// ---------------------------------------------------------------- exchange

http_exchange::http_exchange(QHttpServerResponder &&Answer,
                             gated_socket *Connection)
    : Responder(std::make_unique<QHttpServerResponder>(std::move(Answer))),
      Socket(Connection), HeadOnly(Connection->head().Method == "HEAD") {
  connect(Connection, &QTcpSocket::disconnected, this, [this] {
    Socket.clear();
    if (std::exchange(Done, true) || !OnGone)
      return;
    // The callback may drop the last reference to this exchange, and with it
    // the place where it is kept.
    auto Callback = std::exchange(OnGone, nullptr);
    Callback();
  });
  connect(Connection, &QTcpSocket::bytesWritten, this, [this] {
    if (!Done && OnRoom)
      OnRoom();
  });
}

http_exchange::~http_exchange() { abort(); }

bool http_exchange::isOpen() const { return !Done && Socket; }

void http_exchange::setOnGone(std::function<void()> Callback) {
  OnGone = std::move(Callback);
}

void http_exchange::setOnRoom(std::function<void()> Callback) {
  OnRoom = std::move(Callback);
}

int64_t http_exchange::bytesToWrite() const {
  return Socket ? Socket->bytesToWrite() : 0;
}

void http_exchange::writeHead(int Status, const http_header_list &Headers) {
  Begun = true;
  Responder->writeStatusLine(
      static_cast<QHttpServerResponder::StatusCode>(Status));
  for (const http_header &Header : Headers)
    Responder->writeHeader(toBytes(Header.Name), toBytes(Header.Value));
  if (Socket->closesAfterAnswer())
    Responder->writeHeader("Connection", "close");
}

void http_exchange::answer(int Status, const http_header_list &Headers,
                           std::string_view Body) {
  if (!isOpen() || Begun)
    return;
  writeHead(Status, Headers);
  if (!hasNoBody(Status))
    Responder->writeHeader("Content-Length",
                           QByteArray::number(qint64(Body.size())));
  // The first writeBody ends the head.
  bool WithoutBody = HeadOnly || hasNoBody(Status);
  Responder->writeBody(WithoutBody ? QByteArray() : toBytes(Body));
  complete();
}

void http_exchange::begin(int Status, const http_header_list &Headers) {
  if (!isOpen() || Begun)
    return;
  writeHead(Status, Headers);
  HeadOnly = HeadOnly || hasNoBody(Status);
  Chunked = !Socket->head().Http10 && !hasNoBody(Status);
  // Without chunks the end of the connection is the end of the body.
  if (Chunked)
    Responder->writeHeader("Transfer-Encoding", "chunked");
  Responder->writeBody(QByteArray());
}

void http_exchange::write(std::string_view Data) {
  if (!isOpen() || !Begun || HeadOnly || Data.empty())
    return;
  if (!Chunked) {
    Responder->writeBody(toBytes(Data));
    return;
  }
  std::string Frame = fmt::format("{:x}\r\n{}\r\n", Data.size(), Data);
  Responder->writeBody(toBytes(Frame));
}

void http_exchange::finish() {
  if (!isOpen() || !Begun)
    return;
  if (Chunked && !HeadOnly)
    Responder->writeBody(QByteArray("0\r\n\r\n"));
  complete();
}

void http_exchange::complete() {
  Done = true;
  Socket->finishRequest();
}

void http_exchange::abort() {
  if (!isOpen())
    return;
  Done = true;
  Socket->breakOff();
}

// ---------------------------------------------------------------- listener

// Accepts connections within the bounds and puts a gate before each.
class http_server::listener : public QTcpServer {
public:
  listener(const http_bounds &Limits, QObject *Parent)
      : QTcpServer(Parent), Bounds(Limits),
        Account(std::make_shared<memory_account>(Limits.memory())) {
    setListenBacklogSize(listen_backlog);
    connect(&Watchdog, &QTimer::timeout, this, [this] { checkTimes(); });
    Watchdog.start(watchdog_period);
  }

  int connections() const { return static_cast<int>(Open.size()); }

  size_t requestsBeingRead() const {
    return static_cast<size_t>(
        std::count_if(Open.begin(), Open.end(), [](const gated_socket *Gate) {
          return Gate->isReading();
        }));
  }

  void closeIdle() {
    auto Sockets = Open;
    for (gated_socket *Gate : Sockets)
      Gate->closeIfIdle();
  }

  // Closing the socket would reset connections that the kernel has made and
  // that were not taken yet, with the requests on them.
  void stop() {
    for (int I = 0; I < Bounds.Connections && waitForNewConnection(0); ++I) {
    }
    close();
  }

  void setBounds(const http_bounds &Changed) {
    Bounds = Changed;
    Account->setLimits(Changed.memory());
    for (gated_socket *Gate : Open)
      Gate->setBounds(Changed);
  }

  void setObserver(http_server_observer &Target) { Observer = &Target; }
  int64_t bytesHeld() const { return Account->held(); }

  void startDraining() {
    Draining = true;
    for (gated_socket *Gate : Open)
      Gate->closeAfterAnswer();
  }

protected:
  void incomingConnection(qintptr Descriptor) override {
    auto Wire = std::make_unique<QTcpSocket>();
    if (!Wire->setSocketDescriptor(Descriptor))
      return;
    std::string Peer = Wire->peerAddress().toString().toStdString();
    if (!canAccept(Peer))
      return Wire->abort();
    Wire->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    auto *Gate = new gated_socket(std::move(Wire), Bounds, Account);
    Gate->setParent(this);
    Gate->setOnShed([this](const shed_connection &Shed) { report(Shed); });
    if (Draining)
      Gate->closeAfterAnswer();
    Open.insert(Gate);
    ++PerAddress[Peer];
    // A closed connection has given its descriptor back before it is destroyed.
    auto Forget = [this, Gate, Peer] {
      if (Open.erase(Gate) > 0 && --PerAddress[Peer] == 0)
        PerAddress.erase(Peer);
    };
    connect(Gate, &QTcpSocket::disconnected, this, Forget);
    connect(Gate, &QObject::destroyed, this, Forget);
    connect(Gate, &QTcpSocket::disconnected, Gate, &QObject::deleteLater);
    addPendingConnection(Gate);
  }

private:
  bool canAccept(const std::string &Peer) {
    auto Here = PerAddress.find(Peer);
    if (Here != PerAddress.end() &&
        Here->second >= Bounds.ConnectionsPerAddress &&
        Bounds.ConnectionsPerAddress < Bounds.Connections)
      return false;
    if (connections() < Bounds.Connections || replaceIdle())
      return true;
    report({shed_reason::Connections, 0, duration::zero(), "new",
            Account->held()});
    return false;
  }

  // Returns whether a connection was closed that had been idle.
  bool replaceIdle() {
    if (!Bounds.ReplacesIdle)
      return false;
    // A connection on which a request has just arrived is not closed; then the
    // next one is tried, a few times in all because each takes a walk.
    constexpr int Attempts = 3;
    steady_time After = steady_time::min();
    for (int I = 0; I < Attempts; ++I) {
      gated_socket *Longest = nullptr;
      steady_time Since = steady_time::max();
      for (gated_socket *Gate : Open)
        if (auto Idle = Gate->idleSince();
            Idle && *Idle > After && *Idle < Since) {
          Longest = Gate;
          Since = *Idle;
        }
      if (!Longest)
        return false;
      shed_connection Shed{shed_reason::Connections, 0, steadyNow() - Since,
                           "idle", Account->held()};
      if (Longest->closeIfIdle()) {
        report(Shed);
        return true;
      }
      After = Since;
    }
    return false;
  }

  void report(const shed_connection &Shed) {
    if (Observer)
      Observer->onConnectionShed(Shed);
  }

  void checkTimes() {
    steady_time Now = steadyNow();
    // A copy, because ending a connection changes the set.
    auto Sockets = Open;
    for (gated_socket *Gate : Sockets)
      Gate->checkTimes(Now);
  }

  http_bounds Bounds;
  // Connections outlive the members of this object.
  std::shared_ptr<memory_account> Account;
  http_server_observer *Observer = nullptr;
  bool Draining = false;
  QTimer Watchdog;
  absl::flat_hash_set<gated_socket *> Open;
  absl::flat_hash_map<std::string, int> PerAddress;
};

// -------------------------------------------------------------- dispatcher

class http_server::dispatcher : public QAbstractHttpServer {
public:
  explicit dispatcher(http_handler &Target) : Handler(Target) {}

protected:
  bool handleRequest(const QHttpServerRequest &Request,
                     QTcpSocket *Socket) override {
    auto *Gate = static_cast<gated_socket *>(Socket);
    const http_head &Head = Gate->head();
    http_request Whole{Head.Method, Head.Path, Head.Query, Head.Headers,
                       Gate->takeBody()};
    auto Exchange =
        std::make_shared<http_exchange>(makeResponder(Request, Socket), Gate);
    Handler.handleRequest(Whole, Exchange);
    return true;
  }

  void missingHandler(const QHttpServerRequest & /*Request*/,
                      QTcpSocket * /*Socket*/) override {}

private:
  http_handler &Handler;
};

http_server::http_server(http_handler &Handler, const http_bounds &Bounds)
    : Dispatcher(std::make_unique<dispatcher>(Handler)),
      Listener(new listener(Bounds, Dispatcher.get())) {}

http_server::~http_server() = default;

bool http_server::listen(const QHostAddress &Address, uint16_t Port) {
  if (!Listener->listen(Address, Port))
    return false;
  Dispatcher->bind(Listener);
  return true;
}

bool http_server::listen(const address &At) {
  auto Parts = splitAddress(At);
  return Parts &&
         listen(QHostAddress(QString::fromStdString(Parts->Host)), Parts->Port);
}

uint16_t http_server::port() const { return Listener->serverPort(); }

void http_server::stopListening() { Listener->stop(); }

void http_server::startDraining() { Listener->startDraining(); }

int http_server::connections() const { return Listener->connections(); }

size_t http_server::requestsBeingRead() const {
  return Listener->requestsBeingRead();
}

void http_server::closeIdle() { Listener->closeIdle(); }

void http_server::setObserver(http_server_observer &Observer) {
  Listener->setObserver(Observer);
}

int64_t http_server::bytesHeld() const { return Listener->bytesHeld(); }

void http_server::setBounds(const http_bounds &Bounds) {
  Listener->setBounds(Bounds);
}

} // namespace monsoonreel
