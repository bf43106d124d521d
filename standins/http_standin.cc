#include "standins/http_standin.h"

#include <cstdio>

#include <QCoreApplication>
#include <QHostAddress>
#include <QHttpServerRequest>
#include <QJsonDocument>
#include <QUrl>

namespace monsoonreel::standin {

namespace {

QByteArray bytes(const std::string &Text) {
  return {Text.data(), static_cast<qsizetype>(Text.size())};
}

std::string methodName(QHttpServerRequest::Method Method) {
  using method = QHttpServerRequest::Method;
  switch (Method) {
  case method::Get:
    return "GET";
  case method::Post:
    return "POST";
  case method::Put:
    return "PUT";
  case method::Delete:
    return "DELETE";
  default:
    return "OTHER";
  }
}

http_request convert(const QHttpServerRequest &Request) {
  http_request Converted;
  Converted.Method = methodName(Request.method());
  Converted.Path = Request.url().path().toStdString();
  Converted.Query = Request.query();
  Converted.Body = Request.body();
  for (const auto &[Name, Value] : Request.headers())
    Converted.Headers.emplace_back(Name.toLower().toStdString(),
                                   Value.toStdString());
  return Converted;
}

} // namespace

std::string http_request::header(const std::string &LowerCaseName) const {
  for (const auto &[Name, Value] : Headers)
    if (Name == LowerCaseName)
      return Value;
  return {};
}

// ------------------------------------------------------------------ replies

http_reply::http_reply(QHttpServerResponder Responder,
                       std::shared_ptr<connection> Connection, bool Lost)
    : Responder(std::move(Responder)), Connection(std::move(Connection)),
      Lost(Lost) {
  this->Connection->Busy = true;
}

bool http_reply::mayWrite() {
  if (*Done || !Connection->Socket || Connection->Frozen)
    return false;
  if (Lost)
    abort();
  return !Lost;
}

void http_reply::send(int Status, const std::string &ContentType,
                      const std::string &Body, const header_list &Headers) {
  if (!mayWrite())
    return;
  Responder.writeStatusLine(
      static_cast<QHttpServerResponder::StatusCode>(Status));
  Responder.writeHeader("Content-Type", bytes(ContentType));
  Responder.writeHeader("Content-Length",
                        QByteArray::number(qulonglong(Body.size())));
  for (const auto &[Name, Value] : Headers)
    Responder.writeHeader(bytes(Name), bytes(Value));
  Responder.writeBody(bytes(Body));
  finish();
}

void http_reply::sendJson(int Status, const QJsonObject &Body,
                          const header_list &Headers) {
  QByteArray Text = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  send(Status, "application/json", Text.toStdString(), Headers);
}

void http_reply::sendChunk(const std::string &ContentType,
                           const std::string &Data) {
  if (!mayWrite())
    return;
  if (!Began) {
    Began = true;
    Responder.writeStatusLine(QHttpServerResponder::StatusCode::Ok);
    Responder.writeHeader("Content-Type", bytes(ContentType));
    Responder.writeHeader("Transfer-Encoding", "chunked");
  }
  QByteArray Frame = QByteArray::number(qulonglong(Data.size()), 16);
  Responder.writeBody(Frame + "\r\n" + bytes(Data) + "\r\n");
}

void http_reply::endChunks() {
  if (!mayWrite())
    return;
  Responder.writeBody("0\r\n\r\n");
  finish();
}

void http_reply::abort() {
  *Done = true;
  if (Connection->Socket)
    Connection->Socket->abort();
}

void http_reply::onGone(std::function<void()> Callback) {
  if (!Connection->Socket)
    return;
  QObject::connect(Connection->Socket, &QTcpSocket::disconnected,
                   Connection->Socket,
                   [Callback = std::move(Callback), Done = Done] {
                     if (!std::exchange(*Done, true))
                       Callback();
                   });
}

void http_reply::finish() {
  *Done = true;
  Connection->Busy = false;
}

// ------------------------------------------------------------------ servers

void tracking_server::incomingConnection(qintptr Descriptor) {
  auto *Socket = new QTcpSocket(this);
  Socket->setSocketDescriptor(Descriptor);
  Socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  std::erase_if(Connections, [](const auto &C) { return !C->Socket; });
  auto Connection = std::make_shared<connection>();
  Connection->Socket = Socket;
  Connection->Zone = Port.Zone;
  Connections.push_back(std::move(Connection));
  addPendingConnection(Socket);
}

std::shared_ptr<connection>
tracking_server::find(const QTcpSocket *Socket) const {
  for (const auto &Connection : Connections)
    if (Connection->Socket == Socket)
      return Connection;
  return nullptr;
}

void tracking_server::freezeAll() {
  for (const auto &Connection : Connections)
    Connection->Frozen = true;
}

void tracking_server::abortAll() {
  // A closed connection calls back into users of the list.
  auto Copy = Connections;
  for (const auto &Connection : Copy)
    if (Connection->Socket)
      Connection->Socket->abort();
}

bool request_server::handleRequest(const QHttpServerRequest &Request,
                                   QTcpSocket *Socket) {
  Callback(convert(Request), Socket,
           [&Request, Socket] { return makeResponder(Request, Socket); });
  return true;
}

void request_server::missingHandler(const QHttpServerRequest &,
                                    QTcpSocket *Socket) {
  Socket->abort();
}

// ----------------------------------------------------------------- stand-in

http_standin::http_standin(http_handler Handler, records_source Records)
    : Handler(std::move(Handler)), Records(std::move(Records)),
      Data([this](const auto &Request, auto *Socket, const auto &Make) {
        handleData(Request, Socket, Make);
      }),
      Control([this](const auto &Request, auto *Socket, const auto &Make) {
        handleControl(Request, Socket, Make);
      }) {
  ReclaimTimer.setSingleShot(true);
  QObject::connect(&ReclaimTimer, &QTimer::timeout, [this] {
    applyFault({.Kind = fault_kind::Crash, .PathPrefix = {}, .Zone = {}});
  });
}

void http_standin::onFault(std::function<void(const fault &)> Callback) {
  FaultCallback = std::move(Callback);
}

bool http_standin::listen(const std::string &Ip,
                          const std::vector<zone_port> &Ports,
                          quint16 ControlPort) {
  this->Ip = Ip;
  QHostAddress Address(QString::fromStdString(Ip));
  for (const zone_port &Port : Ports) {
    DataServers.push_back(openPort(Data, Address, Port));
    if (!DataServers.back())
      return false;
  }
  ControlServer = openPort(Control, Address, {ControlPort, ""});
  return ControlServer != nullptr;
}

tracking_server *http_standin::openPort(request_server &Server,
                                        const QHostAddress &Address,
                                        const zone_port &Port) {
  auto Listener = std::make_unique<tracking_server>(Port);
  if (!Listener->listen(Address, Port.Port))
    return nullptr;
  // The Qt server owns it from `bind` on.
  Server.bind(Listener.get());
  return Listener.release();
}

std::shared_ptr<connection> http_standin::find(const QTcpSocket *Socket) const {
  for (const tracking_server *Server : DataServers)
    if (auto Found = Server->find(Socket))
      return Found;
  return nullptr;
}

bool http_standin::isCutOff(const connection &Connection) const {
  return Connection.Frozen || Faults.silent() ||
         Faults.partitioned(Connection.Zone);
}

void http_standin::handleData(const http_request &Request, QTcpSocket *Socket,
                              const make_responder &MakeResponder) {
  std::shared_ptr<connection> Connection = find(Socket);
  // Qt's server would answer pipelined requests crossed.
  if (!Connection || Connection->Busy) {
    Socket->abort();
    return;
  }
  Connection->Frozen = isCutOff(*Connection);
  if (Connection->Frozen)
    return;
  bool Lost = Faults.losesAnswer(Request.Path);
  auto Reply = std::make_shared<http_reply>(MakeResponder(), Connection, Lost);
  if (Faults.out()) {
    Reply->sendJson(503, {{"error", "out of service"}});
    return;
  }
  Handler(Request, std::move(Reply));
}

void http_standin::handleControl(const http_request &Request,
                                 QTcpSocket *Socket,
                                 const make_responder &MakeResponder) {
  auto Reply = std::make_shared<http_reply>(MakeResponder(),
                                            ControlServer->find(Socket), false);
  if (Request.Path == "/records") {
    Reply->sendJson(200, Records());
    return;
  }
  auto Fault = parseFault(
      std::string_view(Request.Body.data(), size_t(Request.Body.size())));
  if (Request.Path != "/fault" || !Fault) {
    Reply->sendJson(400, {{"error", "not a fault"}});
    return;
  }
  applyFault(*Fault);
  Reply->sendJson(200, {{"applied", true}});
}

void http_standin::applyFault(const fault &Fault) {
  bool WasCrashed = Faults.crashed();
  Faults.apply(Fault);
  if (Fault.Kind == fault_kind::Silent)
    for (tracking_server *Server : DataServers)
      Server->freezeAll();
  if (Fault.Kind == fault_kind::Partition)
    for (tracking_server *Server : DataServers)
      if (Server->port().Zone == Fault.Zone)
        Server->freezeAll();
  // A notice that names a zone is about other VMs.
  if (Fault.Kind == fault_kind::Reclaim && Fault.Zone.empty())
    ReclaimTimer.start(
        std::chrono::duration_cast<std::chrono::milliseconds>(Fault.Notice));
  if (Fault.Kind == fault_kind::None)
    ReclaimTimer.stop();
  if (FaultCallback)
    FaultCallback(Fault);
  if (Faults.crashed() && !WasCrashed)
    crash();
  if (!Faults.crashed() && WasCrashed)
    recover();
  if (Fault.Kind == fault_kind::Crash && Fault.Exit)
    QCoreApplication::exit(1);
}

void http_standin::crash() {
  for (tracking_server *Server : DataServers) {
    Server->close();
    Server->abortAll();
  }
}

void http_standin::recover() {
  for (tracking_server *Server : DataServers)
    Server->listen(QHostAddress(QString::fromStdString(Ip)),
                   Server->port().Port);
}

int runStandin(const char *Program, bool Listening) {
  if (Listening)
    return QCoreApplication::exec();
  std::fprintf(stderr, "%s: cannot listen\n", Program);
  return 1;
}

} // namespace monsoonreel::standin
