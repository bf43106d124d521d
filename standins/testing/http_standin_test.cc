#include "standins/http_standin.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <gtest/gtest.h>

#include "io/testing/free_port.h"

namespace monsoonreel::standin {
namespace {

class http_standin_test : public ::testing::Test {
protected:
  // Long enough for loopback, also on a busy machine.
  static constexpr int longest_wait_ms = 5000;
  // An answer that has not come by then does not come.
  static constexpr int silence_ms = 100;

  void SetUp() override {
    for (quint16 *Port : {&North, &South, &Control})
      *Port = freePort();
    ASSERT_TRUE(Standin.listen("127.0.0.1",
                               {{North, "north"}, {South, "south"}}, Control));
  }

  static bool waitUntil(const std::function<bool()> &Condition,
                        int Millis = longest_wait_ms) {
    QDeadlineTimer Deadline(Millis);
    while (!Condition() && !Deadline.hasExpired())
      QCoreApplication::processEvents(QEventLoop::AllEvents, 5);
    return Condition();
  }

  static bool connectTo(QTcpSocket &Socket, quint16 Port) {
    Socket.connectToHost(QHostAddress::LocalHost, Port);
    return waitUntil([&Socket] {
             return Socket.state() == QAbstractSocket::ConnectedState ||
                    Socket.error() != QAbstractSocket::UnknownSocketError;
           }) &&
           Socket.state() == QAbstractSocket::ConnectedState;
  }

  static void sendRequest(QTcpSocket &Socket, const std::string &Path,
                          const std::string &Body = "") {
    std::string Wire = "POST " + Path + " HTTP/1.1\r\nHost: h\r\n" +
                       "Content-Length: " + std::to_string(Body.size()) +
                       "\r\n\r\n" + Body;
    Socket.write(Wire.c_str());
  }

  static bool isAnswered(QTcpSocket &Socket) {
    return waitUntil([&Socket] { return Socket.bytesAvailable() > 0; }) &&
           Socket.readAll().startsWith("HTTP/1.1 200");
  }

  static bool staysSilent(QTcpSocket &Socket) {
    return !waitUntil([&Socket] { return Socket.bytesAvailable() > 0; },
                      silence_ms);
  }

  static bool isClosed(QTcpSocket &Socket) {
    return waitUntil([&Socket] {
      return Socket.state() == QAbstractSocket::UnconnectedState;
    });
  }

  void applyFault(const std::string &Json) {
    QTcpSocket Socket;
    ASSERT_TRUE(connectTo(Socket, Control));
    sendRequest(Socket, "/fault", Json);
    ASSERT_TRUE(waitUntil([&Socket] { return Socket.bytesAvailable() > 0; }));
    ASSERT_TRUE(Socket.readAll().startsWith("HTTP/1.1 200"));
  }

  int Handled = 0;
  quint16 North = 0;
  quint16 South = 0;
  quint16 Control = 0;
  std::vector<std::shared_ptr<http_reply>> Held; // requests for /hold
  http_standin Standin{
      [this](const http_request &Request, std::shared_ptr<http_reply> Reply) {
        ++Handled;
        if (Request.Path == "/hold")
          Held.push_back(std::move(Reply));
        else
          Reply->sendJson(200, {{"ok", true}});
      },
      [] { return QJsonObject(); }};
};

TEST_F(http_standin_test, SilentExisting_OldConnectionDead_NewOneWorks) {
  QTcpSocket Old;
  ASSERT_TRUE(connectTo(Old, North));
  sendRequest(Old, "/a");
  ASSERT_TRUE(isAnswered(Old));
  applyFault(R"({"kind":"silent","existing_only":true})");
  sendRequest(Old, "/a");
  EXPECT_TRUE(staysSilent(Old));
  EXPECT_EQ(Old.state(), QAbstractSocket::ConnectedState);
  QTcpSocket New;
  ASSERT_TRUE(connectTo(New, North));
  sendRequest(New, "/a");
  EXPECT_TRUE(isAnswered(New));
}

TEST_F(http_standin_test, LoseAnswer_TakesEffectAndCloses) {
  applyFault(R"({"kind":"lose-answer","path":"/lost"})");
  QTcpSocket Socket;
  ASSERT_TRUE(connectTo(Socket, North));
  sendRequest(Socket, "/lost");
  EXPECT_TRUE(isClosed(Socket));
  EXPECT_EQ(Socket.bytesAvailable(), 0);
  EXPECT_EQ(Handled, 1);
}

TEST_F(http_standin_test, Crash_ClosesAndRefusesUntilCleared) {
  QTcpSocket Socket;
  ASSERT_TRUE(connectTo(Socket, North));
  sendRequest(Socket, "/hold");
  ASSERT_TRUE(waitUntil([this] { return Handled == 1; }));
  bool Gone = false;
  Held[0]->onGone([&Gone] { Gone = true; });
  applyFault(R"({"kind":"crash"})");
  EXPECT_TRUE(isClosed(Socket));
  EXPECT_TRUE(Gone);
  QTcpSocket Other;
  EXPECT_FALSE(connectTo(Other, North));
  applyFault(R"({"kind":"none"})");
  QTcpSocket Again;
  ASSERT_TRUE(connectTo(Again, North));
  sendRequest(Again, "/a");
  EXPECT_TRUE(isAnswered(Again));
}

TEST_F(http_standin_test, Partition_CutsOffOneZoneOnly) {
  applyFault(R"({"kind":"partition","zone":"north"})");
  QTcpSocket FromNorth;
  QTcpSocket FromSouth;
  ASSERT_TRUE(connectTo(FromNorth, North));
  ASSERT_TRUE(connectTo(FromSouth, South));
  sendRequest(FromNorth, "/a");
  sendRequest(FromSouth, "/a");
  EXPECT_TRUE(isAnswered(FromSouth));
  EXPECT_TRUE(staysSilent(FromNorth));
  EXPECT_EQ(Handled, 1);
}

TEST_F(http_standin_test, Reclaim_CrashesAfterTheNotice) {
  applyFault(R"({"kind":"reclaim","notice_ms":50})");
  QTcpSocket Socket;
  ASSERT_TRUE(connectTo(Socket, North));
  EXPECT_TRUE(Standin.faults().leaving());
  EXPECT_TRUE(isClosed(Socket));
}

TEST_F(http_standin_test, Pipelined_SecondRequest_IsNeverAnsweredFirst) {
  QTcpSocket Socket;
  ASSERT_TRUE(connectTo(Socket, North));
  sendRequest(Socket, "/hold");
  sendRequest(Socket, "/a");
  EXPECT_TRUE(isClosed(Socket));
  EXPECT_EQ(Socket.bytesAvailable(), 0);
}

} // namespace
} // namespace monsoonreel::standin
