// A TCP server that records what it receives and answers with the bytes that a
// test gives it.
//
//   raw_server Server;
//   Server.OnRequest = [](QTcpSocket *Socket) { Socket->write("HTTP/1.1 ...");
//   };

#ifndef IO_TESTING_RAW_SERVER_H
#define IO_TESTING_RAW_SERVER_H

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include "monsoonreel/monsoonreel.h"

namespace monsoonreel {

class raw_server {
public:
  raw_server() {
    Server.listen(QHostAddress::LocalHost, 0);
    QObject::connect(&Server, &QTcpServer::newConnection, &Server,
                     [this] { accept(); });
  }

  address at() const {
    return address("127.0.0.1:" + std::to_string(Server.serverPort()));
  }

  // Begins every answer with First and goes on with More until the peer closes.
  void answerWithoutEnd(const QByteArray &First, const QByteArray &More) {
    OnRequest = [First, More](QTcpSocket *Socket) {
      auto WriteMore = [Socket, More] {
        constexpr qint64 written_ahead = 64 << 10;
        while (Socket->isOpen() && Socket->bytesToWrite() < written_ahead)
          Socket->write(More);
      };
      QObject::connect(Socket, &QTcpSocket::bytesWritten, Socket, WriteMore);
      Socket->write(First);
    };
  }

  // Called for each whole request; by default it is left without an answer.
  std::function<void(QTcpSocket *)> OnRequest;
  std::vector<std::string> Requests; // heads with their bodies
  int Connections = 0;
  int Closed = 0;

private:
  void accept() {
    while (QTcpSocket *Socket = Server.nextPendingConnection()) {
      ++Connections;
      QObject::connect(Socket, &QTcpSocket::readyRead, &Server,
                       [this, Socket] { read(Socket); });
      QObject::connect(Socket, &QTcpSocket::disconnected, &Server,
                       [this] { ++Closed; });
    }
  }

  void read(QTcpSocket *Socket) {
    std::string &Bytes = Pending[Socket];
    Bytes += Socket->readAll().toStdString();
    size_t HeadEnd = Bytes.find("\r\n\r\n");
    if (HeadEnd == std::string::npos)
      return;
    size_t Length = 0;
    size_t Field =
        QByteArray::fromStdString(Bytes).toLower().indexOf("content-length:");
    if (Field < HeadEnd)
      Length = std::stoul(Bytes.substr(Field + 15));
    if (Bytes.size() < HeadEnd + 4 + Length)
      return;
    Requests.push_back(Bytes);
    Bytes.clear();
    if (OnRequest)
      OnRequest(Socket);
  }

  QTcpServer Server;
  std::map<QTcpSocket *, std::string> Pending;
};

} // namespace monsoonreel

#endif // IO_TESTING_RAW_SERVER_H
