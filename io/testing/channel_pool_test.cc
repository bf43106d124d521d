#include "io/channel_pool.h"

#include <array>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/testing/raw_server.h"
#include "io/testing/wait.h"

namespace monsoonreel {
namespace {

using namespace std::chrono_literals;

// Records what becomes of a call. Answers are told apart by the field "Id".
class recorder : public call_handler {
public:
  explicit recorder(std::string Wanted) : Id(std::move(Wanted)) {}

  reply_verdict onHead(const http_reply_head &Head) override {
    const std::string *Echo = Head.header("Id");
    if (!Echo)
      return reply_verdict::Invalid;
    if (*Echo != Id)
      return reply_verdict::Foreign;
    Status = Head.Status;
    IsFirst = Head.IsFirst;
    EndsWithConnection = Head.EndsWithConnection;
    return reply_verdict::Own;
  }
  std::string requestIdOf(const http_reply_head &Head) const override {
    return *Head.header("Id");
  }
  void onData(std::string &&Data) override {
    Body += Data;
    if (OnBody)
      OnBody();
  }
  void onEnd() override { Ended = true; }
  void onFailed(attempt_failure How, const std::string & /*Why*/) override {
    Failure = How;
  }
  bool isOver() const { return Ended || Failure; }

  std::function<void()> OnBody;
  std::string Id;
  int Status = 0;
  std::string Body;
  bool IsFirst = false;
  bool EndsWithConnection = false;
  bool Ended = false;
  std::optional<attempt_failure> Failure;
};

class channel_pool_test : public testing::Test {
protected:
  static std::string request(const std::string &Id) {
    return "POST /x HTTP/1.1\r\nHost: h\r\nId: " + Id +
           "\r\nContent-Length: 2\r\n\r\nhi";
  }
  static std::string answer(const std::string &Id, const std::string &Body,
                            const std::string &Fields = "") {
    return "HTTP/1.1 200 OK\r\nId: " + Id + "\r\n" + Fields +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  }
  // Its connection is not kept.
  static std::string failure(const std::string &Id) {
    return "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nId: " +
           Id + "\r\nContent-Length: 6\r\n\r\nfailed";
  }
  std::shared_ptr<recorder> start(const std::string &Id,
                                  call_options Options = {}) {
    auto Call = std::make_shared<recorder>(Id);
    Options.Id = Id;
    LastCall = Pool.start(Server.at(), request(Id), Options, Call);
    return Call;
  }
  std::shared_ptr<recorder> run(const std::string &Id) {
    auto Call = start(Id);
    EXPECT_TRUE(waitUntil([&] { return Call->isOver(); }));
    return Call;
  }
  // Has a call answered on a connection that is kept.
  void runFirst(const std::string &Id) {
    answerWith(answer(Id, "first", "Keep-Alive: timeout=5\r\n"));
    EXPECT_TRUE(run(Id)->Ended);
  }
  // Answers every request with these bytes, then does Then.
  void answerWith(std::string Bytes,
                  const std::function<void(QTcpSocket *)> &Then = nullptr) {
    Server.OnRequest = [Bytes = std::move(Bytes), Then](QTcpSocket *Socket) {
      Socket->write(Bytes.data(), static_cast<qint64>(Bytes.size()));
      Socket->flush();
      if (Then)
        Then(Socket);
    };
  }
  static void reset(QTcpSocket *Socket) {
    linger Now{1, 0};
    ::setsockopt(static_cast<int>(Socket->socketDescriptor()), SOL_SOCKET,
                 SO_LINGER, &Now, sizeof(Now));
    Socket->abort();
  }

  raw_server Server;
  channel_pool Pool;
  call_id LastCall;
};

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

TEST_F(channel_pool_test, Answer_OfAnEarlierRequestFirst_IsDropped) {
  runFirst("old");
  answerWith(answer("old", "theirs") + answer("a", "ours"));
  auto Call = run("a");
  EXPECT_TRUE(Call->Ended);
  EXPECT_EQ(Call->Body, "ours");
  EXPECT_EQ(Server.Connections, 1);
  EXPECT_EQ(Pool.idleConnections(), 0u);
}

TEST_F(channel_pool_test, Answer_OfARequestThatWasNeverSent_FailsTheCall) {
  answerWith(answer("old", "theirs") + answer("a", "ours"));
  auto Call = run("a");
  EXPECT_EQ(Call->Failure, attempt_failure::Broken);
  EXPECT_EQ(Call->Body, "");
}

// Guards against a 200 with another answer's bytes: a repeated answer comes in
// two pieces, and the answer to the next request between them.
TEST_F(channel_pool_test, RepeatedAnswer_AroundTheNextOne_FailsTheCall) {
  std::string Repeated =
      "HTTP/1.1 200 OK\r\nMore: x\r\n" + answer("old", "theirs").substr(17);
  for (size_t Cut = 1; Cut < Repeated.size(); ++Cut) {
    runFirst("old");
    answerWith(Repeated.substr(0, Cut) + answer("a", "ours") +
               Repeated.substr(Cut) + answer("a", "xxxx"));
    auto Call = run("a");
    EXPECT_TRUE(Call->Failure) << Cut << " " << Call->Body;
  }
}

// Guards against a failure that reaches the caller as a success: the beginning
// of a repeated answer became a part of the next status line (review/6).
TEST_F(channel_pool_test, Answer_BegunAgain_NextCallHasAnotherConnection) {
  std::string First = answer("a", "first", "Keep-Alive: timeout=5\r\n");
  for (size_t Cut = 1; Cut < First.size(); ++Cut) {
    answerWith(First + First.substr(0, Cut));
    EXPECT_TRUE(run("a")->Ended) << Cut;
    EXPECT_EQ(Pool.idleConnections(), 0u) << Cut;
    answerWith(failure("b"));
    auto Call = run("b");
    EXPECT_EQ(Call->Status, 500) << Cut;
    EXPECT_EQ(Call->Body, "failed") << Cut;
  }
}

// Guards against a whole answer that fails for what follows it.
TEST_F(channel_pool_test, Answer_FollowedByExcess_IsWhole) {
  for (const char *Excess :
       {"\r\n", "\r\n\r\n", "HTTP/1.1 500 x\r\nno field\r\n",
        "HTTP/1.1 000 x\r\n", "HTTP/2.0 200 OK\r\n"}) {
    answerWith(answer("a", "whole", "Keep-Alive: timeout=5\r\n") + Excess);
    auto Call = run("a");
    EXPECT_TRUE(Call->Ended) << Excess;
    EXPECT_EQ(Call->Body, "whole") << Excess;
    EXPECT_EQ(Pool.idleConnections(), 0u) << Excess;
  }
}

// Guards against a part of a body that passes for the whole one, because its
// length is too small.
TEST_F(channel_pool_test, Answer_LongerThanItsLength_IsNotWhole) {
  answerWith("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nwhole");
  EXPECT_EQ(run("a")->Failure, attempt_failure::Truncated);
}

// The same with bytes that come when the next request is already on its way.
TEST_F(channel_pool_test, LateBytes_BeforeTheNextAnswer_AreNoSuccess) {
  std::string First = answer("a", "first", "Keep-Alive: timeout=5\r\n");
  for (size_t Cut = 1; Cut < First.size(); ++Cut) {
    answerWith(First);
    EXPECT_TRUE(run("a")->Ended) << Cut;
    answerWith(First.substr(0, Cut) + failure("b"));
    auto Call = run("b");
    EXPECT_FALSE(Call->Ended && Call->Status != 500) << Cut;
    EXPECT_EQ(Pool.idleConnections(), 0u) << Cut;
  }
}

// Guards against a head with a line that is no field, which reached the caller
// as an answer.
TEST_F(channel_pool_test, Answer_HeadIsSpoilt_FailsTheCall) {
  for (const char *Line :
       {"Content-Length : 5", "a b: c", "no field", "Transfer-Encoding: chunke",
        "Content-Length: 5,5"}) {
    answerWith("HTTP/1.1 200 OK\r\nId: a\r\n" + std::string(Line) +
                   "\r\n\r\nhello",
               [](QTcpSocket *Socket) { Socket->disconnectFromHost(); });
    auto Call = run("a");
    EXPECT_EQ(Call->Failure, attempt_failure::Broken) << Line;
    EXPECT_EQ(Call->Status, 0) << Line;
  }
}

// The same within the body: the end of the answer follows as garbage.
TEST_F(channel_pool_test, Answer_WithAnotherOneWithin_IsNotWhole) {
  runFirst("old");
  std::string Own = answer("a", std::string(200, 'y'));
  answerWith(Own.substr(0, 100) + answer("old", "theirs") + Own.substr(100));
  EXPECT_EQ(run("a")->Failure, attempt_failure::Truncated);
}

TEST_F(channel_pool_test, Head_WithoutEnd_FailsTheCallAndItsConnection) {
  Server.answerWithoutEnd("HTTP/1.1 200 OK\r\nId: 1\r\n", "More: x\r\n");
  EXPECT_EQ(run("1")->Failure, attempt_failure::Broken);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
}

TEST_F(channel_pool_test, Heads_InterimWithoutEnd_FailTheCall) {
  Server.answerWithoutEnd("HTTP/1.1 100 Continue\r\n\r\n",
                          "HTTP/1.1 103 Early Hints\r\n\r\n");
  EXPECT_EQ(run("1")->Failure, attempt_failure::Broken);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
}

// Guards against a process that keeps bytes without end until its memory is
// used up.
TEST_F(channel_pool_test, HeadParts_WithoutEnd_FailTheCallAndItsConnection) {
  const char *Own = "HTTP/1.1 200 OK\r\nId: 1\r\n";
  const std::vector<std::pair<QByteArray, QByteArray>> Answers = {
      {"garbage", "garbage"},
      {"HTTP/1.1 200 ", "reason"},
      {Own, "a"},                                   // a field's name
      {QByteArray(Own) + "More: ", "value"},        // its value
      {Own, "x: y\r\n"},                            // fields
      {QByteArray(Own) + "More: x", "\r\n y"},      // folded lines
      {"HTTP/1.1 103 Early Hints\r\n", "x: y\r\n"}, // before the answer
      {"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"},
  };
  for (const auto &[First, More] : Answers) {
    int Closed = Server.Closed;
    Server.answerWithoutEnd(First, More);
    EXPECT_TRUE(run("1")->Failure) << First.toStdString() << More.toStdString();
    EXPECT_TRUE(waitUntil([&] { return Server.Closed > Closed; }));
  }
}

TEST_F(channel_pool_test, ChunkSizes_WithoutEnd_TruncateTheAnswer) {
  QByteArray Head =
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto &[First, More] :
       {std::pair<QByteArray, QByteArray>{Head, "1"},
        {Head, "0"},
        {Head + "2;", "extension"},
        {Head + "2\r\nhi\r\n0\r\n", "x: y\r\n"}}) {
    int Closed = Server.Closed;
    Server.answerWithoutEnd(First, More);
    EXPECT_EQ(run("1")->Failure, attempt_failure::Truncated)
        << First.toStdString() << More.toStdString();
    EXPECT_TRUE(waitUntil([&] { return Server.Closed > Closed; }));
  }
}

// Guards against a 200 with an empty or short body, framed as whole.
TEST_F(channel_pool_test, Answer_StopsAnywhere_IsNeverWhole) {
  for (const std::string &Whole :
       {answer("a", "hello"),
        std::string("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked"
                    "\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n")})
    for (size_t Cut = 0; Cut < Whole.size(); ++Cut) {
      answerWith(Whole.substr(0, Cut),
                 [](QTcpSocket *Socket) { Socket->disconnectFromHost(); });
      auto Call = run("a");
      EXPECT_TRUE(Call->Failure) << Whole.substr(0, Cut);
      EXPECT_FALSE(Call->Ended) << Whole.substr(0, Cut);
    }
}

TEST_F(channel_pool_test, Body_OfAnotherRequestWithoutEnd_FailsTheCall) {
  Server.answerWithoutEnd("HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", "bytes");
  EXPECT_EQ(run("1")->Failure, attempt_failure::Broken);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
}

TEST_F(channel_pool_test, Trailers_WithoutEnd_TruncateTheAnswer) {
  Server.answerWithoutEnd("HTTP/1.1 200 OK\r\nId: 1\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n",
                          "More: x\r\n");
  EXPECT_EQ(run("1")->Failure, attempt_failure::Truncated);
  EXPECT_TRUE(waitUntil([&] { return Server.Closed == 1; }));
}

TEST_F(channel_pool_test, Answer_LargeOfAnEarlierRequestFirst_IsDropped) {
  runFirst("0");
  answerWith(answer("0", std::string(max_bytes_before_answer / 2, 'x')) +
             answer("1", "mine"));
  EXPECT_EQ(run("1")->Body, "mine");
}

TEST_F(channel_pool_test, Answer_Twice_ConnectionIsNotUsedAgain) {
  answerWith(answer("a", "one") + answer("a", "two"));
  EXPECT_EQ(run("a")->Body, "one");
  answerWith(answer("b", "three"));
  EXPECT_EQ(run("b")->Body, "three");
  EXPECT_EQ(Server.Connections, 2);
}

TEST_F(channel_pool_test, Bytes_OnIdleConnection_EndIt) {
  answerWith(answer("a", "one", "Keep-Alive: timeout=5\r\n"),
             [](QTcpSocket *Socket) {
               QTimer::singleShot(30, Socket, [Socket] {
                 Socket->write("HTTP/1.1 200 OK\r\nId: a\r\n");
               });
             });
  run("a");
  EXPECT_TRUE(waitUntil([&] { return Pool.idleConnections() == 0; }));
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

// A listener of the system's own: Qt's sockets can't tell a reset from an
// orderly end.
class plain_listener {
public:
  plain_listener() : Listening(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in At{};
    At.sin_family = AF_INET;
    At.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(At);
    (void)::bind(Listening, reinterpret_cast<sockaddr *>(&At), Size);
    ::listen(Listening, 1);
    ::getsockname(Listening, reinterpret_cast<sockaddr *>(&At), &Size);
    Port = ntohs(At.sin_port);
  }
  ~plain_listener() {
    ::close(Accepted);
    ::close(Listening);
  }
  plain_listener(const plain_listener &) = delete;
  plain_listener &operator=(const plain_listener &) = delete;

  address at() const { return address("127.0.0.1:" + std::to_string(Port)); }
  // Of connections that are accepted later.
  void setReceiveBuffer(int Bytes) const {
    ::setsockopt(Listening, SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  }
  void accept() {
    close();
    Accepted = ::accept(Listening, nullptr, nullptr);
  }
  void write(const std::string &Bytes) const {
    EXPECT_EQ(::send(Accepted, Bytes.data(), Bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(Bytes.size()));
  }
  // Reads what has arrived.
  size_t read() const {
    std::array<char, 4096> Buffer;
    ssize_t Size = 0;
    size_t All = 0;
    while ((Size = ::recv(Accepted, Buffer.data(), Buffer.size(),
                          MSG_DONTWAIT)) > 0)
      All += static_cast<size_t>(Size);
    return All;
  }
  void endWriting() const { ::shutdown(Accepted, SHUT_WR); }
  // Resets the connection if it has unread bytes.
  void close() { ::close(std::exchange(Accepted, -1)); }
  void reset() {
    linger Now{1, 0};
    ::setsockopt(Accepted, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
    close();
  }
  // 0 after an orderly end, the error's number after another one.
  std::optional<int> ending() const {
    char Byte = 0;
    ssize_t Size = ::recv(Accepted, &Byte, 1, MSG_DONTWAIT);
    if (Size == 0)
      return 0;
    if (Size < 0 && errno != EAGAIN)
      return errno;
    return std::nullopt;
  }

private:
  int Listening;
  int Accepted = -1;
  uint16_t Port = 0;
};

class early_answer_test : public channel_pool_test {
protected:
  static constexpr size_t upload_bytes = size_t{4} << 20;

  early_answer_test() { Peer.setReceiveBuffer(4096); }
  // Begins an upload that the kernel's buffers can't hold.
  std::shared_ptr<recorder> upload() {
    auto Call = std::make_shared<recorder>("a");
    Pool.start(
        Peer.at(),
        "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(upload_bytes) +
            "\r\n\r\n" + std::string(upload_bytes, 'x'),
        {}, Call);
    Peer.accept();
    waitUntil([] { return false; }, 20ms);
    return Call;
  }
  static void expectTruncated(const std::shared_ptr<recorder> &Call) {
    EXPECT_TRUE(waitUntil([&] { return Call->isOver(); }));
    EXPECT_EQ(Call->Failure, attempt_failure::Truncated);
    EXPECT_FALSE(Call->Ended);
  }

  const std::string Unframed = "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart";
  plain_listener Peer;
};

// Guards against a part of an answer that passes for a whole one: the write of
// the upload's rest took the reset's error, and the next read saw an orderly
// end (review/7).
TEST_F(early_answer_test, Unframed_ConnectionReset_IsTruncated) {
  for (bool HasUnread : {true, false}) {
    auto Call = upload();
    Peer.write(Unframed);
    if (!HasUnread)
      Peer.read();
    Peer.reset();
    expectTruncated(Call);
  }
}

TEST_F(early_answer_test, Unframed_ClosedWithUnreadBytes_IsTruncated) {
  auto Call = upload();
  Peer.write(Unframed);
  Peer.close();
  expectTruncated(Call);
}

// The end comes first, and the reset only answers further bytes.
TEST_F(early_answer_test, Unframed_EndsAndIsThenReset_IsTruncated) {
  for (bool Closes : {true, false}) {
    auto Call = upload();
    Peer.write(Unframed);
    Peer.read();
    Peer.endWriting();
    if (Closes) {
      Peer.close();
    } else {
      waitUntil([&] { return Call->isOver(); }, 50ms);
      EXPECT_FALSE(Call->isOver());
      Peer.reset();
    }
    expectTruncated(Call);
  }
}

TEST_F(early_answer_test, Unframed_UploadIsReadOn_IsWhole) {
  auto Call = upload();
  Peer.write(Unframed);
  Peer.endWriting();
  EXPECT_TRUE(waitUntil([&] {
    Peer.read();
    return Call->isOver();
  }));
  EXPECT_TRUE(Call->Ended);
  EXPECT_EQ(Call->Body, "part");
}

TEST_F(early_answer_test, WholeLength_ConnectionReset_IsWhole) {
  auto Call = upload();
  Peer.write(answer("a", "whole"));
  Peer.reset();
  EXPECT_TRUE(waitUntil([&] { return Call->isOver(); }));
  EXPECT_TRUE(Call->Ended);
  EXPECT_EQ(Call->Body, "whole");
  EXPECT_EQ(Pool.idleConnections(), 0u);
}

// A cut holds bytes up and delivers them when it heals, unless their sender has
// reset the connection.
TEST_F(channel_pool_test, Call_Cancelled_ResetsItsConnection) {
  plain_listener Peer;
  auto Call = std::make_shared<recorder>("a");
  call_id Number = Pool.start(Peer.at(), request("a"), {}, Call);
  Peer.accept();
  Pool.cancel(Number);
  std::optional<int> Ending;
  EXPECT_TRUE(waitUntil([&] {
    Ending = Peer.ending();
    return Ending.has_value();
  }));
  EXPECT_EQ(Ending, ECONNRESET);
}

} // namespace
} // namespace monsoonreel
