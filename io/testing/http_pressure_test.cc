#include <array>
#include <cerrno>
#include <memory>
#include <vector>

#include <arpa/inet.h>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "io/http_server.h"
#include "io/testing/raw_client.h"
#include "io/testing/wait.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

constexpr size_t body_size = 60000;

// Bytes that this process has allocated and not freed. Always 0 with
// AddressSanitizer, which replaces the allocator.
size_t allocatedBytes() {
  struct mallinfo2 Info = ::mallinfo2();
  return Info.uordblks + Info.hblkhd;
}

// Sends Request on a new connection and returns it as a plain socket: a
// QTcpSocket reports a reset as an orderly end.
int plainSocket(uint16_t Port, const std::string &Request) {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Port);
  To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  EXPECT_EQ(::connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)),
            0);
  EXPECT_EQ(::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(Request.size()));
  return Socket;
}

// A server and what its callers make it hold.
class http_pressure_test : public testing::Test,
                           public http_handler,
                           public http_server_observer {
protected:
  void start(const http_bounds &Bounds) {
    Server = std::make_unique<http_server>(*this, Bounds);
    Server->setObserver(*this);
    ASSERT_TRUE(Server->listen(QHostAddress::LocalHost, 0));
  }
  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override {
    ++Requests;
    if (Request.Path == "/later")
      Held.push_back(Exchange);
    else
      Exchange->answer(200, {}, Answer);
  }
  void onConnectionShed(const shed_connection &Connection) override {
    Shed.push_back(Connection);
  }
  static std::string get(const std::string &Path) {
    return "GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  static std::string post(const std::string &Path, size_t Size, size_t Sent) {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(Size) +
           "\r\n\r\n" + std::string(Sent, 'x');
  }
  void expectServed(const std::string &Request) {
    raw_client Client(Server->port());
    Client.send(Request);
    EXPECT_TRUE(Client.waitFor("HTTP/1.1 200"));
  }
  // A caller whose request is being answered.
  std::unique_ptr<raw_client> waiting(const std::string &Request) {
    size_t Before = Held.size();
    auto Client = std::make_unique<raw_client>(Server->port());
    Client->send(Request);
    EXPECT_TRUE(waitUntil([&] { return Held.size() > Before; }));
    return Client;
  }

  std::unique_ptr<http_server> Server;
  std::string Answer = "answer";
  int Requests = 0;
  std::vector<std::shared_ptr<http_exchange>> Held;
  std::vector<shed_connection> Shed;
};

// Guards against unread answers of pipelined requests that pile up without
// bound, and against requests that are never read after their caller reads on.
TEST_F(http_pressure_test, PipelinedRequests_AnswersUnread_WaitAndAreServed) {
  constexpr int Count = 60;
  Answer = std::string(1 << 20, 'x');
  start({});
  raw_client Client(Server->port());
  Client.stopReading();
  std::string All;
  for (int I = 0; I < Count; ++I)
    All += get("/");
  Client.send(All);
  EXPECT_FALSE(waitUntil([&] { return Requests == Count; }, 2s));
  EXPECT_LT(Server->bytesHeld(), 2 << 20);
  Client.startReading();
  EXPECT_TRUE(waitUntil([&] { return Requests == Count; }));
}

// Guards against bodies without reservations that exceed the memory together.
TEST_F(http_pressure_test, Bodies_SmallAndNotComplete_AreRefusedAsNotRun) {
  start({.HeldBytes = 200000});
  std::vector<std::unique_ptr<raw_client>> Clients;
  for (int I = 0; I < 5; ++I) {
    Clients.push_back(std::make_unique<raw_client>(Server->port()));
    Clients.back()->send(post("/", body_size, body_size - 1));
  }
  ASSERT_TRUE(waitUntil([&] { return Shed.size() == 2; }));
  EXPECT_EQ(Shed[0].Reason, shed_reason::Memory);
  EXPECT_STREQ(Shed[0].Phase, "body");
  EXPECT_GE(Shed[0].Held, static_cast<int64_t>(body_size) - 1);
  int Refused = 0;
  for (auto &Client : Clients) {
    Client->send("x");
    EXPECT_TRUE(Client->waitFor("HTTP/1.1 "));
    Refused += Client->received("HTTP/1.1 503") ? 1 : 0;
    EXPECT_EQ(Client->received("503"), Client->received("not-run"));
  }
  EXPECT_GE(Refused, 2);
  expectServed(get("/"));
}

// Guards against a request that is handed on although its copies don't fit, and
// against room that is not given back after the answer.
TEST_F(http_pressure_test, Body_OthersBeingAnswered_IsRefusedBeforeItRuns) {
  start({.HeldBytes = 150000});
  auto First = waiting(post("/later", body_size, body_size));
  raw_client Second(Server->port());
  Second.send(post("/", body_size, body_size));
  EXPECT_TRUE(Second.waitFor("HTTP/1.1 503"));
  EXPECT_EQ(Requests, 1);
  Held[0]->answer(200, {}, "whole");
  EXPECT_TRUE(First->waitFor("whole"));
  expectServed(post("/", body_size, body_size));
}

// Guards against a permitted request that is refused without any pressure.
TEST_F(http_pressure_test, LargeBody_Alone_IsServed) {
  start({.HeldBytes = 100000, .ReceiveBuffer = 32 << 10});
  expectServed(post("/", 4 << 20, 4 << 20));
  EXPECT_TRUE(Shed.empty());
}

// Guards against answers that several callers leave unread.
TEST_F(http_pressure_test, Answers_UnreadBySeveral_AreBrokenOff) {
  start({.HeldBytes = 4 << 20});
  std::vector<std::unique_ptr<raw_client>> Clients;
  for (size_t I = 0; I < 3; ++I) {
    Clients.push_back(waiting(get("/later")));
    Clients[I]->stopReading();
    Held[I]->begin(200, {});
    Held[I]->write(std::string(32 << 20, 'x'));
  }
  EXPECT_TRUE(waitUntil([&] { return Shed.size() == 2; }));
  expectServed(get("/"));
}

// Guards against a caller that keeps its answer for ever without being counted.
TEST_F(http_pressure_test, Answer_NotReadForLong_IsReportedAsStalled) {
  start({.StallTime = 300ms});
  auto Client = waiting(get("/later"));
  Client->stopReading();
  Held[0]->begin(200, {});
  Held[0]->write(std::string(32 << 20, 'x'));
  ASSERT_TRUE(waitUntil([&] { return !Shed.empty(); }));
  EXPECT_EQ(Shed[0].Reason, shed_reason::Stalled);
  EXPECT_TRUE(waitUntil([&] { return Server->connections() == 0; }));
}

// Guards against bodies that are kept, uncounted, after their answers.
TEST_F(http_pressure_test, LargeBodies_Answered_AreNotHeldByOpenConnections) {
  constexpr size_t Size = 4 << 20;
  start({});
  size_t Before = allocatedBytes();
  std::vector<std::unique_ptr<raw_client>> Clients;
  for (int I = 0; I < 8; ++I) {
    Clients.push_back(std::make_unique<raw_client>(Server->port()));
    Clients.back()->send(post("/", Size, Size));
    ASSERT_TRUE(Clients.back()->waitFor("HTTP/1.1 200"));
  }
  EXPECT_LT(allocatedBytes(), Before + Size);
  EXPECT_LT(Server->bytesHeld(), static_cast<int64_t>(Size));
  EXPECT_EQ(Server->connections(), 8);
}

// Guards against the part of an answer without a length that looks like the
// whole because its connection ends in an orderly way.
TEST_F(http_pressure_test, Answer_WithoutLengthNotReadForLong_EndsWithAReset) {
  start({.StallTime = 300ms});
  int Socket = plainSocket(Server->port(), "GET /later HTTP/1.0\r\n\r\n");
  ASSERT_TRUE(waitUntil([&] { return !Held.empty(); }));
  Held[0]->begin(200, {});
  Held[0]->write(std::string(32 << 20, 'x'));
  Held[0]->finish();
  ASSERT_TRUE(waitUntil([&] { return Server->connections() == 0; }));
  std::array<char, 64 << 10> Buffer;
  ssize_t Size = 0;
  do
    Size = ::recv(Socket, Buffer.data(), Buffer.size(), 0);
  while (Size > 0);
  int Error = errno;
  EXPECT_EQ(Size, -1);
  EXPECT_EQ(Error, ECONNRESET);
  ::close(Socket);
}

// Guards against a caller that does not read its answer and holds up a drain
// with the request behind it.
TEST_F(http_pressure_test, Drain_AnswerUnread_NextRequestIsNotWaitedFor) {
  Answer = std::string(32 << 20, 'x');
  start({});
  raw_client Client(Server->port());
  Client.stopReading();
  Client.send(get("/") + get("/"));
  ASSERT_TRUE(waitUntil([&] { return Requests == 1; }));
  Server->startDraining();
  Server->stopListening();
  Server->closeIdle();
  EXPECT_EQ(Server->requestsBeingRead(), 0U);
  Client.startReading();
  EXPECT_TRUE(Client.waitForClose());
  EXPECT_GT(Client.bytes().size(), Answer.size());
  EXPECT_EQ(Requests, 1);
}

// Guards against connections that send nothing and keep callers out, and
// against requests under way that end for a new connection.
TEST_F(http_pressure_test, Connections_AtTheLimit_LongestIdleIsReplaced) {
  start({.Connections = 2, .ReplacesIdle = true});
  raw_client First(Server->port());
  ASSERT_TRUE(waitUntil([&] { return Server->connections() == 1; }));
  raw_client Second(Server->port());
  ASSERT_TRUE(waitUntil([&] { return Server->connections() == 2; }));
  auto Third = waiting(get("/later"));
  EXPECT_TRUE(First.waitForClose());
  EXPECT_TRUE(Second.isConnected());
  auto Fourth = waiting(get("/later"));
  EXPECT_TRUE(Second.waitForClose());
  raw_client Fifth(Server->port());
  EXPECT_TRUE(Fifth.waitForClose());
  EXPECT_TRUE(Third->isConnected() && Fourth->isConnected());
  EXPECT_EQ(Shed.size(), 3U);
}

} // namespace
} // namespace monsoonreel
