#include "io/http_server.h"

#include <array>
#include <map>
#include <memory>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "io/testing/raw_client.h"
#include "io/testing/wait.h"

namespace monsoonreel {
namespace {

const http_header_list plain_text = {{"Content-Type", "text/plain"}};

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: test\r\n\r\n";
}

class http_server_test : public testing::Test, public http_handler {
protected:
  void start(const http_bounds &Bounds) {
    Server = std::make_unique<http_server>(*this, Bounds);
    ASSERT_TRUE(Server->listen(QHostAddress::LocalHost, 0));
  }

  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override {
    Requests.push_back(Request);
    if (Request.Path.starts_with("/later"))
      Held.push_back(Exchange);
    else
      Exchange->answer(200, plain_text, "answer to " + Request.Path);
  }

  // The server still serves others after what a test did to it.
  void expectAlive() {
    raw_client Other(Server->port());
    Other.send(get("/alive"));
    EXPECT_TRUE(Other.waitFor("answer to /alive"));
  }

  std::unique_ptr<http_server> Server;
  std::vector<http_request> Requests;
  std::vector<std::shared_ptr<http_exchange>> Held;
};

TEST_F(http_server_test, Request_WithBodyAndQuery_ArrivesWhole) {
  start({});
  raw_client Client(Server->port());
  Client.send("POST /a%20b?x=1&y=%26 HTTP/1.1\r\nX-Name:  value \r\n"
              "Content-Length: 5\r\n\r\nhel");
  Client.send("lo");
  ASSERT_TRUE(Client.waitFor("answer to /a%20b"));
  ASSERT_EQ(Requests.size(), 1U);
  EXPECT_EQ(Requests[0].Method, "POST");
  EXPECT_EQ(Requests[0].Body, "hello");
  EXPECT_EQ(*Requests[0].header("x-name"), "value");
  EXPECT_EQ(Requests[0].parameter("y", ""), "&");
}

// Guards against a body that ends at its first zero byte.
TEST_F(http_server_test, Body_WithZeroBytes_ArrivesWhole) {
  start({.Chunks = chunk_policy::Accept});
  const std::string Body("a\0b\0", 4);
  raw_client Client(Server->port());
  Client.send("POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\n" + Body);
  ASSERT_TRUE(Client.waitFor("answer to /x"));
  Client.send("POST /y HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n" +
              Body + "\r\n0\r\n\r\n");
  ASSERT_TRUE(Client.waitFor("answer to /y"));
  ASSERT_EQ(Requests.size(), 2U);
  EXPECT_EQ(Requests[0].Body, Body);
  EXPECT_EQ(Requests[1].Body, Body);
}

TEST_F(http_server_test, AnswerHead_AnyAnswer_EndsWithOneBlankLine) {
  start({});
  raw_client Client(Server->port());
  Client.send(get("/x"));
  ASSERT_TRUE(Client.waitFor("answer to /x"));
  EXPECT_TRUE(Client.bytes().ends_with("\r\n\r\nanswer to /x"));
  EXPECT_FALSE(Client.received("\r\n\r\n\r\n"));
}

TEST_F(http_server_test, StreamedAnswer_WrittenInParts_ArrivesInChunks) {
  start({});
  raw_client Client(Server->port());
  Client.send(get("/later"));
  ASSERT_TRUE(waitUntil([&] { return !Held.empty(); }));
  Held[0]->begin(200, plain_text);
  ASSERT_TRUE(Client.waitFor("Transfer-Encoding: chunked\r\n\r\n"));
  Held[0]->write("first");
  ASSERT_TRUE(Client.waitFor("\r\n\r\n5\r\nfirst\r\n"));
  Held[0]->write("0123456789abcdef");
  Held[0]->finish();
  ASSERT_TRUE(Client.waitFor("10\r\n0123456789abcdef\r\n0\r\n\r\n"));
  Client.send(get("/next"));
  EXPECT_TRUE(Client.waitFor("answer to /next"));
}

TEST_F(http_server_test, AnswerStatus_UnknownToTheLibrary_IsKept) {
  start({});
  raw_client Client(Server->port());
  Client.send(get("/later"));
  ASSERT_TRUE(waitUntil([&] { return !Held.empty(); }));
  Held[0]->answer(299, plain_text, "odd");
  ASSERT_TRUE(Client.waitFor("odd"));
  EXPECT_TRUE(Client.bytes().starts_with("HTTP/1.1 299"));
}

TEST_F(http_server_test, PipelinedRequests_FirstIsSlow_AnsweredInOrder) {
  start({});
  raw_client Client(Server->port());
  Client.send(get("/later") + get("/second"));
  ASSERT_TRUE(waitUntil([&] { return !Held.empty(); }));
  Client.send(get("/third"));
  // Another connection's whole exchange gives the second request every chance
  // to be handled early.
  expectAlive();
  EXPECT_FALSE(Client.received("answer to"));
  Held[0]->answer(200, plain_text, "the first");
  ASSERT_TRUE(Client.waitFor("answer to /third"));
  EXPECT_LT(Client.bytes().find("the first"),
            Client.bytes().find("answer to /second"));
  EXPECT_LT(Client.bytes().find("answer to /second"),
            Client.bytes().find("answer to /third"));
}

TEST_F(http_server_test, Head_TooLarge_Gets431) {
  start({});
  raw_client Client(Server->port());
  Client.send("GET / HTTP/1.1\r\nX-Long: " + std::string(40 << 10, 'x') +
              "\r\n\r\n");
  EXPECT_TRUE(Client.waitFor("HTTP/1.1 431 "));
  EXPECT_TRUE(Client.waitForClose());
  EXPECT_TRUE(Requests.empty());
  expectAlive();
}

TEST_F(http_server_test, Body_TooLarge_Gets413BeforeItIsRead) {
  start({.BodyBytes = 1000});
  raw_client Client(Server->port());
  Client.send("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n");
  EXPECT_TRUE(Client.waitFor("HTTP/1.1 413 "));
  EXPECT_TRUE(Client.waitForClose());
  EXPECT_TRUE(Requests.empty());
  expectAlive();
}

TEST_F(http_server_test, Input_Malformed_GetsItsStatusAndNoHandling) {
  start({});
  const std::map<std::string, std::string> Cases = {
      {"nonsense\r\n\r\n", "400"},
      {"GET / HTTP/1.1\n\n", "400"},
      {"GET /%zz HTTP/1.1\r\n\r\n", "400"},
      {"GET http://other/ HTTP/1.1\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nNo colon\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nName : space\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400"},
      {"GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
       "400"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "411"},
      {"BREW / HTTP/1.1\r\n\r\n", "501"},
      {"GET / HTTP/2.7\r\n\r\n", "505"},
      {std::string("GET / HTTP/1.1\r\nA: \0\r\n\r\n", 24), "400"},
  };
  for (const auto &[Input, Status] : Cases) {
    raw_client Client(Server->port());
    Client.send(Input);
    EXPECT_TRUE(Client.waitFor("HTTP/1.1 " + Status + " ")) << Input;
    EXPECT_TRUE(Client.waitForClose()) << Input;
  }
  EXPECT_TRUE(Requests.empty());
  expectAlive();
}

TEST_F(http_server_test, Head_SentTooSlowly_Gets408) {
  start({.HeadTime = std::chrono::milliseconds(100)});
  raw_client Client(Server->port());
  Client.send("GET / HTTP/1.1\r\nX-");
  EXPECT_TRUE(Client.waitFor("HTTP/1.1 408 "));
  EXPECT_TRUE(Client.waitForClose());
  expectAlive();
}

TEST_F(http_server_test, Connection_IdleTooLong_IsClosed) {
  start({.IdleTime = std::chrono::milliseconds(100)});
  raw_client Client(Server->port());
  EXPECT_TRUE(Client.waitForClose());
  EXPECT_TRUE(Client.bytes().empty());
}

TEST_F(http_server_test, Connections_MoreThanAllowed_AreClosed) {
  start({.ConnectionsPerAddress = 2});
  raw_client First(Server->port());
  raw_client Second(Server->port());
  raw_client Third(Server->port());
  EXPECT_TRUE(Third.waitForClose());
  EXPECT_TRUE(First.isConnected());
  EXPECT_EQ(Server->connections(), 2);
  Second.close();
  ASSERT_TRUE(waitUntil([&] { return Server->connections() == 1; }));
  expectAlive();
}

TEST_F(http_server_test, Caller_LeavesBeforeTheAnswer_IsNoticed) {
  start({});
  raw_client Client(Server->port());
  Client.send(get("/later"));
  ASSERT_TRUE(waitUntil([&] { return !Held.empty(); }));
  bool Gone = false;
  Held[0]->setOnGone([&] { Gone = true; });
  Client.close();
  EXPECT_TRUE(waitUntil([&] { return Gone; }));
  Held[0]->answer(200, plain_text, "too late");
  EXPECT_TRUE(waitUntil([&] { return Server->connections() == 0; }));
  expectAlive();
}

TEST_F(http_server_test, Answer_NeverCompleted_BreaksTheConnection) {
  start({});
  raw_client Client(Server->port());
  Client.send(get("/later"));
  ASSERT_TRUE(waitUntil([&] { return !Held.empty(); }));
  Held[0]->begin(200, plain_text);
  Held[0]->write("part");
  Held.clear();
  EXPECT_TRUE(Client.waitForClose());
  EXPECT_FALSE(Client.received("0\r\n\r\n"));
}

TEST_F(http_server_test, Caller_StopsReading_ShowsInBytesToWrite) {
  start({});
  raw_client Client(Server->port());
  Client.send(get("/later"));
  ASSERT_TRUE(waitUntil([&] { return !Held.empty(); }));
  Client.stopReading();
  Held[0]->begin(200, plain_text);
  const std::string Part(1 << 20, 'x');
  int Written = 0;
  while (Held[0]->bytesToWrite() < (1 << 20) && Written++ < 64) {
    Held[0]->write(Part);
    QCoreApplication::processEvents();
  }
  EXPECT_GE(Held[0]->bytesToWrite(), 1 << 20);
}

TEST_F(http_server_test, Request_WithoutKeepAlive_ClosesAfterTheAnswer) {
  start({});
  raw_client Client(Server->port());
  Client.send("GET /old HTTP/1.0\r\n\r\n");
  EXPECT_TRUE(Client.waitFor("answer to /old"));
  EXPECT_TRUE(Client.waitForClose());
}

// A client outside the event loop, so that the server has not seen yet what the
// kernel has taken.
class unseen_client {
public:
  explicit unseen_client(uint16_t Port)
      : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in To{};
    To.sin_family = AF_INET;
    To.sin_port = htons(Port);
    To.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(::connect(Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To)),
              0);
  }
  ~unseen_client() { ::close(Socket); }
  unseen_client(const unseen_client &) = delete;
  unseen_client &operator=(const unseen_client &) = delete;

  void send(const std::string &Text) const {
    EXPECT_EQ(::send(Socket, Text.data(), Text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(Text.size()));
  }
  bool waitFor(const std::string &Text) {
    return waitUntil([&] {
      std::array<char, 4096> Buffer;
      ssize_t Size = ::recv(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Size > 0)
        Bytes.append(Buffer.data(), static_cast<size_t>(Size));
      return Bytes.find(Text) != std::string::npos;
    });
  }

private:
  int Socket;
  std::string Bytes;
};

// Guards against a process that runs out of memory by large bodies, each within
// its bound, and ends with the requests of all other callers.
class large_body_test : public http_server_test {
protected:
  static constexpr size_t size = 200000;
  static std::string post(const std::string &Path, size_t Sent) {
    return "POST " + Path +
           " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) +
           "\r\n\r\n" + std::string(Sent, 'x');
  }
  void startWithRoomForOne(duration Wait = std::chrono::seconds(10)) {
    http_bounds Bounds;
    Bounds.LargeBodyBytes = size * 3 / 2;
    Bounds.HeadTime = Wait;
    start(Bounds);
  }
};

TEST_F(large_body_test, Body_NoRoom_WaitsForTheOneBefore) {
  startWithRoomForOne();
  raw_client First(Server->port());
  First.send(post("/first", size - 1));
  ASSERT_TRUE(waitUntil([&] { return Server->requestsBeingRead() == 1; }));
  raw_client Second(Server->port());
  Second.send(post("/second", size));
  ASSERT_TRUE(waitUntil([&] { return Server->requestsBeingRead() == 2; }));
  expectAlive(); // small requests need no room
  EXPECT_EQ(Requests.size(), 1u);
  First.send("x");
  EXPECT_TRUE(First.waitFor("answer to /first"));
  EXPECT_TRUE(Second.waitFor("answer to /second"));
}

TEST_F(large_body_test, Body_NoRoomForLong_IsRefusedAsNotRun) {
  startWithRoomForOne(std::chrono::milliseconds(600));
  raw_client First(Server->port());
  First.send(post("/later", size));
  ASSERT_TRUE(waitUntil([&] { return Requests.size() == 1; }));
  raw_client Second(Server->port());
  Second.send(post("/second", size));
  EXPECT_TRUE(Second.waitFor("HTTP/1.1 503"));
  EXPECT_TRUE(Second.waitFor("not-run"));
  EXPECT_TRUE(Second.received("Retry-After: 1"));
  Held[0]->answer(200, plain_text, "answer to /later");
  raw_client Third(Server->port());
  Third.send(post("/third", size));
  EXPECT_TRUE(Third.waitFor("answer to /third"));
}

TEST_F(large_body_test, Body_CallerLeaves_ItsRoomIsFree) {
  startWithRoomForOne();
  raw_client First(Server->port());
  First.send(post("/first", size / 2));
  ASSERT_TRUE(waitUntil([&] { return Server->requestsBeingRead() == 1; }));
  raw_client Second(Server->port());
  Second.send(post("/second", size));
  ASSERT_TRUE(waitUntil([&] { return Server->requestsBeingRead() == 2; }));
  First.close();
  EXPECT_TRUE(Second.waitFor("answer to /second"));
}

TEST_F(large_body_test, BodiesInChunks_NoRoom_AreTakenOneAfterTheOther) {
  http_bounds Bounds;
  Bounds.Chunks = chunk_policy::Accept;
  Bounds.BodyBytes = size;
  Bounds.LargeBodyBytes = size * 3 / 2;
  start(Bounds);
  std::string Body = "30d40\r\n" + std::string(size, 'x') + "\r\n0\r\n\r\n";
  std::vector<std::unique_ptr<raw_client>> Clients;
  for (int I = 0; I < 4; ++I) {
    Clients.push_back(std::make_unique<raw_client>(Server->port()));
    Clients.back()->send("POST /" + std::to_string(I) +
                         " HTTP/1.1\r\nHost: h\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n" +
                         Body);
  }
  for (int I = 0; I < 4; ++I)
    EXPECT_TRUE(Clients[I]->waitFor("answer to /" + std::to_string(I))) << I;
}

TEST_F(http_server_test, Request_NotComplete_CountsAsBeingRead) {
  start(http_bounds());
  unseen_client Client(Server->port());
  Client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nh");
  EXPECT_TRUE(waitUntil([&] { return Server->requestsBeingRead() == 1; }));
  Server->startDraining();
  Server->stopListening();
  Server->closeIdle();
  EXPECT_EQ(Server->requestsBeingRead(), 1u);
  Client.send("i");
  EXPECT_TRUE(Client.waitFor("answer to /x"));
  EXPECT_EQ(Server->requestsBeingRead(), 0u);
}

TEST_F(http_server_test, Drain_ConnectionsNotTakenYet_GetTheirAnswers) {
  start(http_bounds());
  std::vector<std::unique_ptr<unseen_client>> Clients;
  for (int I = 0; I < 20; ++I) {
    Clients.push_back(std::make_unique<unseen_client>(Server->port()));
    Clients.back()->send(get("/" + std::to_string(I)));
  }
  Server->startDraining();
  Server->stopListening();
  Server->closeIdle();
  for (int I = 0; I < 20; ++I)
    EXPECT_TRUE(Clients[I]->waitFor("answer to /" + std::to_string(I))) << I;
}

TEST_F(http_server_test,
       Drain_RequestJustArrivedOnAnOpenConnection_IsAnswered) {
  start(http_bounds());
  unseen_client Client(Server->port());
  Client.send(get("/first"));
  ASSERT_TRUE(Client.waitFor("answer to /first"));
  Client.send(get("/second"));
  Server->startDraining();
  Server->stopListening();
  Server->closeIdle();
  EXPECT_TRUE(Client.waitFor("answer to /second"));
}

} // namespace
} // namespace monsoonreel
