// The HTTP side that all stand-ins share: a data port and a control port.
//
//   http_standin Standin(Handler, Records);
//   if (!Standin.listen("127.0.0.1", {{8001, ""}}, 9001))
//     return 1;
//
// The handler gets each request with a reply, which it may answer later and in
// parts. Faults come by `POST /fault` on the control port and are applied
// here, but for slowness, which is the handler's. `GET /records` on the
// control port answers with what Records returns.

#ifndef STANDINS_HTTP_STANDIN_H
#define STANDINS_HTTP_STANDIN_H

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <QAbstractHttpServer>
#include <QByteArray>
#include <QHostAddress>
#include <QHttpServerResponder>
#include <QJsonObject>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrlQuery>

#include "standins/fault_switch.h"

namespace monsoonreel::standin {

struct http_request {
  std::string Method;
  std::string Path;
  QUrlQuery Query;
  QByteArray Body;
  std::vector<std::pair<std::string, std::string>> Headers; // names lower case

  // Empty when the header did not come.
  std::string header(const std::string &LowerCaseName) const;
};

// State of one connection. A frozen one neither sends nor answers any more.
struct connection {
  QPointer<QTcpSocket> Socket;
  std::string Zone; // of the port that it came by
  bool Frozen = false;
  bool Busy = false;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

// The answer to one request. Calls after the connection closed do nothing.
class http_reply {
public:
  http_reply(QHttpServerResponder Responder,
             std::shared_ptr<connection> Connection, bool Lost);

  void send(int Status, const std::string &ContentType, const std::string &Body,
            const header_list &Headers = {});
  void sendJson(int Status, const QJsonObject &Body,
                const header_list &Headers = {});
  // An answer in chunks: the first `sendChunk` sends the head.
  void sendChunk(const std::string &ContentType, const std::string &Data);
  void endChunks();
  void abort();
  // Called once when the connection closes before the answer is complete.
  void onGone(std::function<void()> Callback);

private:
  bool mayWrite();
  void finish();

  QHttpServerResponder Responder;
  std::shared_ptr<connection> Connection;
  bool Lost;
  bool Began = false;
  std::shared_ptr<bool> Done = std::make_shared<bool>(false);
};

using http_handler =
    std::function<void(const http_request &, std::shared_ptr<http_reply>)>;
using records_source = std::function<QJsonObject()>;

// A port, and the zone whose callers come by it. Empty when that is of no
// interest.
struct zone_port {
  quint16 Port = 0;
  std::string Zone;
};

// Accepts connections and keeps their state.
class tracking_server : public QTcpServer {
public:
  explicit tracking_server(zone_port Port) : Port(std::move(Port)) {}
  const zone_port &port() const { return Port; }
  std::shared_ptr<connection> find(const QTcpSocket *Socket) const;
  void freezeAll();
  void abortAll();

protected:
  void incomingConnection(qintptr Descriptor) override;

private:
  zone_port Port;
  std::list<std::shared_ptr<connection>> Connections;
};

// The Qt server that passes each request on to a function.
class request_server : public QAbstractHttpServer {
public:
  using callback =
      std::function<void(const http_request &, QTcpSocket *,
                         const std::function<QHttpServerResponder()> &)>;
  explicit request_server(callback Callback) : Callback(std::move(Callback)) {}

protected:
  bool handleRequest(const QHttpServerRequest &Request,
                     QTcpSocket *Socket) override;
  void missingHandler(const QHttpServerRequest &Request,
                      QTcpSocket *Socket) override;

private:
  callback Callback;
};

// The end of a stand-in's main: runs the event loop if its server listens.
// Returns the exit status of Program.
int runStandin(const char *Program, bool Listening);

class http_standin {
public:
  http_standin(http_handler Handler, records_source Records);

  // Called after each change of the faults.
  void onFault(std::function<void(const fault &)> Callback);
  bool listen(const std::string &Ip, const std::vector<zone_port> &Ports,
              quint16 ControlPort);
  const fault_switch &faults() const { return Faults; }

private:
  using make_responder = std::function<QHttpServerResponder()>;

  // Returns nullptr when the port can't be had.
  static tracking_server *openPort(request_server &Server,
                                   const QHostAddress &Address,
                                   const zone_port &Port);
  void handleData(const http_request &Request, QTcpSocket *Socket,
                  const make_responder &MakeResponder);
  void handleControl(const http_request &Request, QTcpSocket *Socket,
                     const make_responder &MakeResponder);
  std::shared_ptr<connection> find(const QTcpSocket *Socket) const;
  bool isCutOff(const connection &Connection) const;
  void applyFault(const fault &Fault);
  void crash();
  void recover();

  http_handler Handler;
  records_source Records;
  std::function<void(const fault &)> FaultCallback;
  fault_switch Faults;
  std::string Ip;
  request_server Data;
  request_server Control;
  std::vector<tracking_server *> DataServers;
  tracking_server *ControlServer = nullptr;
  QTimer ReclaimTimer;
};

} // namespace monsoonreel::standin

#endif // STANDINS_HTTP_STANDIN_H
