#include "io/testing/channel_pool_fixture.h"

namespace monsoonreel {
namespace {

TEST_F(channel_pool_test, Calls_OneAfterTheOther_UseOneConnection) {
  answerWith(answer("a", "hello", "Keep-Alive: timeout=5\r\n"));
  for (int I = 0; I < 3; ++I) {
    auto Call = run("a");
    EXPECT_TRUE(Call->Ended);
    EXPECT_EQ(Call->Body, "hello");
  }
  EXPECT_EQ(Server.Connections, 1);
}

TEST_F(channel_pool_test, Calls_AtTheSameTime_HaveAConnectionEach) {
  auto One = start("a");
  auto Two = start("a");
  EXPECT_TRUE(waitUntil([&] { return Server.Requests.size() == 2; }));
  EXPECT_EQ(Server.Connections, 2);
}

TEST_F(channel_pool_test, Connections_AtTheirBound_CallIsNotSent) {
  auto One = start("a", {1, false});
  auto Two = start("a", {1, false});
  EXPECT_TRUE(waitUntil([&] { return Two->isOver(); }));
  EXPECT_EQ(Two->Failure, attempt_failure::NeverSent);
  EXPECT_FALSE(One->isOver());
}

TEST_F(channel_pool_test, Port_WithoutListener_CallIsNotSent) {
  auto Call = std::make_shared<recorder>("a");
  Pool.start(address("127.0.0.1:1"), request("a"), {}, Call);
  EXPECT_TRUE(waitUntil([&] { return Call->isOver(); }));
  EXPECT_EQ(Call->Failure, attempt_failure::NeverSent);
}

TEST_F(channel_pool_test, Answer_InChunks_IsWhole) {
  answerWith("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n");
  EXPECT_EQ(run("a")->Body, "hello");
}

TEST_F(channel_pool_test, Answer_WithoutLength_EndsWithItsConnection) {
  answerWith("HTTP/1.1 200 OK\r\nId: a\r\n\r\nhello",
             [](QTcpSocket *Socket) { Socket->disconnectFromHost(); });
  auto Call = run("a");
  EXPECT_TRUE(Call->Ended);
  EXPECT_TRUE(Call->EndsWithConnection);
  EXPECT_EQ(Call->Body, "hello");
}

TEST_F(channel_pool_test, Answers_OnOneConnection_OnlyTheFirstIsFirst) {
  answerWith(answer("a", "hello", "Keep-Alive: timeout=5\r\n"));
  EXPECT_TRUE(run("a")->IsFirst);
  auto Second = run("a");
  EXPECT_EQ(Server.Connections, 1);
  EXPECT_FALSE(Second->IsFirst);
  EXPECT_FALSE(Second->EndsWithConnection);
}

TEST_F(channel_pool_test, Answer_WithoutLengthAndReset_IsTruncated) {
  answerWith("HTTP/1.1 200 OK\r\nId: a\r\n\r\nhello", [](QTcpSocket *Socket) {
    QTimer::singleShot(50, Socket, [Socket] { reset(Socket); });
  });
  EXPECT_EQ(run("a")->Failure, attempt_failure::Truncated);
}

TEST_F(channel_pool_test, Answer_ShorterThanItsLength_IsTruncated) {
  answerWith("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nhello",
             [](QTcpSocket *Socket) { Socket->disconnectFromHost(); });
  EXPECT_EQ(run("a")->Failure, attempt_failure::Truncated);
}

TEST_F(channel_pool_test, Answer_None_ConnectionCloses_IsBroken) {
  Server.OnRequest = [](QTcpSocket *Socket) { Socket->disconnectFromHost(); };
  EXPECT_EQ(run("a")->Failure, attempt_failure::Broken);
  EXPECT_EQ(Server.Requests.size(), 1u); // it is never sent again by itself
}

TEST_F(channel_pool_test, Answer_IsNoHttp_IsBroken) {
  answerWith("garbage garbage\r\n\r\n");
  EXPECT_EQ(run("a")->Failure, attempt_failure::Broken);
}

TEST_F(channel_pool_test, Answer_WithoutId_IsNotTrusted) {
  answerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
  EXPECT_EQ(run("a")->Failure, attempt_failure::Broken);
}

// Guards against an answer that is never read: the call before had ended while
// its reading was stopped.
TEST_F(channel_pool_test, Connection_OfACallThatWasPaused_IsReadAgain) {
  answerWith(answer("a", "one", "Keep-Alive: timeout=5\r\n"));
  auto First = start("a");
  First->OnBody = [&] { Pool.setReading(LastCall, false); };
  EXPECT_TRUE(waitUntil([&] { return First->isOver(); }));
  EXPECT_EQ(Pool.idleConnections(), 1u);
  EXPECT_TRUE(run("a")->Ended);
  EXPECT_EQ(Server.Connections, 1);
}

TEST_F(channel_pool_test, Call_Fresh_HasAConnectionOfItsOwn) {
  runFirst("a");
  call_options Options;
  Options.Fresh = true;
  auto Call = start("a", Options);
  EXPECT_TRUE(waitUntil([&] { return Call->Ended; }));
  EXPECT_EQ(Server.Connections, 2);
}

TEST_F(channel_pool_test, Address_OfIpV6_IsCalled) {
  QTcpServer Six;
  bool HasIpV6 = Six.listen(QHostAddress::LocalHostIPv6, 0);
  QObject::connect(&Six, &QTcpServer::newConnection, [&] {
    std::string Bytes = answer("a", "six");
    Six.nextPendingConnection()->write(Bytes.data(), std::ssize(Bytes));
  });
  auto Call = std::make_shared<recorder>("a");
  uint16_t Port = HasIpV6 ? Six.serverPort() : 1;
  Pool.start(address("[::1]:" + std::to_string(Port)), request("a"), {}, Call);
  EXPECT_TRUE(waitUntil([&] { return Call->isOver(); }));
  if (HasIpV6)
    EXPECT_EQ(Call->Body, "six");
  else
    EXPECT_EQ(Call->Failure, attempt_failure::NeverSent);
}

TEST_F(channel_pool_test, Connection_ClosedWhileIdle_IsNotUsedAgain) {
  answerWith(answer("a", "one", "Keep-Alive: timeout=5\r\n"),
             [](QTcpSocket *Socket) { Socket->disconnectFromHost(); });
  run("a");
  auto Call = run("a");
  EXPECT_TRUE(Call->Ended);
  EXPECT_EQ(Server.Connections, 2);
}

TEST_F(channel_pool_test, Connection_StatedAsClosing_IsNotUsedAgain) {
  answerWith(answer("a", "one", "Connection: close\r\n"));
  run("a");
  run("a");
  EXPECT_EQ(Server.Connections, 2);
}

TEST_F(channel_pool_test, Connection_IdleBeyondItsLimit_IsClosed) {
  answerWith(answer("a", "one")); // no limit is stated
  run("a");
  EXPECT_EQ(Pool.idleConnections(), 1u);
  EXPECT_TRUE(waitUntil([&] { return Pool.idleConnections() == 0; }));
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
}

TEST_F(channel_pool_test, Answer_BeforeTheBodyIsSent_ConnectionIsNotUsedAgain) {
  constexpr size_t large = size_t{32} << 20; // more than the kernel buffers
  auto Call = std::make_shared<recorder>("a");
  QTcpServer Early;
  Early.listen(QHostAddress::LocalHost, 0);
  int Accepted = 0;
  QObject::connect(&Early, &QTcpServer::newConnection, [&] {
    ++Accepted;
    QTcpSocket *Socket = Early.nextPendingConnection();
    Socket->setReadBufferSize(1024);
    std::string Bytes = answer("a", "early");
    Socket->write(Bytes.data(), static_cast<qint64>(Bytes.size()));
  });
  address To("127.0.0.1:" + std::to_string(Early.serverPort()));
  Pool.start(To,
             "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(large) +
                 "\r\n\r\n" + std::string(large, 'x'),
             {}, Call);
  EXPECT_TRUE(waitUntil([&] { return Call->isOver(); }));
  EXPECT_EQ(Call->Body, "early");
  EXPECT_EQ(Pool.idleConnections(), 0u);
}

TEST_F(channel_pool_test, Call_Cancelled_ClosesItsConnection) {
  auto Call = start("a");
  EXPECT_TRUE(waitUntil([&] { return Server.Requests.size() == 1; }));
  Pool.cancel(LastCall);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
  EXPECT_FALSE(Call->isOver());
}

} // namespace
} // namespace monsoonreel
