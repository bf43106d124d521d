// A TCP client that sends exactly the bytes that a test gives it.
//
//   raw_client Client(Server.port());
//   Client.send("GET / HTTP/1.1\r\n\r\n");
//   ASSERT_TRUE(Client.waitFor("200 OK"));

#ifndef IO_TESTING_RAW_CLIENT_H
#define IO_TESTING_RAW_CLIENT_H

#include <string>

#include <QHostAddress>
#include <QTcpSocket>

#include "io/testing/wait.h"

namespace monsoonreel {

class raw_client {
public:
  explicit raw_client(uint16_t Port) {
    QObject::connect(&Socket, &QTcpSocket::readyRead, &Socket, [this] {
      if (Reading)
        Bytes += Socket.readAll().toStdString();
    });
    Socket.connectToHost(QHostAddress::LocalHost, Port);
    waitUntil([this] { return Socket.state() != QTcpSocket::ConnectingState; });
  }

  void send(const std::string &Text) {
    Socket.write(Text.data(), static_cast<qint64>(Text.size()));
  }

  // Leaves what arrives in the kernel's buffers, as a stalled caller does.
  void stopReading() {
    Reading = false;
    Socket.setReadBufferSize(1);
  }

  void startReading() {
    Reading = true;
    Socket.setReadBufferSize(0);
    Bytes += Socket.readAll().toStdString();
  }

  bool waitFor(const std::string &Text) {
    return waitUntil([&] { return received(Text); });
  }
  bool waitForClose() {
    return waitUntil(
        [&] { return Socket.state() == QTcpSocket::UnconnectedState; });
  }
  bool received(const std::string &Text) const {
    return Bytes.find(Text) != std::string::npos;
  }
  const std::string &bytes() const { return Bytes; }
  bool isConnected() const {
    return Socket.state() == QTcpSocket::ConnectedState;
  }
  void close() { Socket.abort(); }

private:
  QTcpSocket Socket;
  std::string Bytes;
  bool Reading = true;
};

} // namespace monsoonreel

#endif // IO_TESTING_RAW_CLIENT_H
