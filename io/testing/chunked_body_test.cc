#include "io/chunked_body.h"

#include <gtest/gtest.h>

#include "io/http_server.h"
#include "io/testing/raw_client.h"

namespace monsoonreel {
namespace {

class chunked_body_test : public testing::Test {
protected:
  chunked_body Body{100};
};

TEST_F(chunked_body_test, Chunks_InPieces_AreJoined) {
  for (char Byte : std::string("3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n"))
    Body.read({&Byte, 1});
  ASSERT_TRUE(Body.isComplete());
  EXPECT_EQ(Body.takeBody(), "hello");
}

TEST_F(chunked_body_test, Bytes_AfterTheLastChunk_AreLeft) {
  std::string Chunks = "1\r\na\r\n0\r\n\r\n";
  EXPECT_EQ(Body.read(Chunks + "GET /next"), Chunks.size());
  EXPECT_TRUE(Body.isComplete());
  EXPECT_FALSE(Body.isBroken());
}

TEST_F(chunked_body_test, Body_AboveItsBound_IsTooLarge) {
  Body.read("65\r\n" + std::string(0x65, 'x') + "\r\n");
  EXPECT_TRUE(Body.isTooLarge());
}

TEST_F(chunked_body_test, Length_Malformed_IsBroken) {
  Body.read("zz\r\n");
  EXPECT_TRUE(Body.isBroken());
  EXPECT_FALSE(Body.isComplete());
}

// A server that answers with the body that it received.
class echo : public http_handler {
public:
  void handleRequest(const http_request &Request,
                     const std::shared_ptr<http_exchange> &Exchange) override {
    Exchange->answer(200, {}, Request.Method + "[" + Request.Body + "]");
  }
};

class chunked_request_test : public testing::Test {
protected:
  chunked_request_test() {
    http_bounds Bounds;
    Bounds.Chunks = chunk_policy::Accept;
    Bounds.BodyBytes = 1000;
    Server = std::make_unique<http_server>(Handler, Bounds);
    Server->listen(QHostAddress::LocalHost, 0);
  }
  echo Handler;
  std::unique_ptr<http_server> Server;
};

TEST_F(chunked_request_test, Request_InChunks_IsHandledAndTheNextToo) {
  raw_client Client(Server->port());
  Client.send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
              "GET /b HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(Client.waitFor("POST[hello]"));
  EXPECT_TRUE(Client.waitFor("GET[]"));
}

TEST_F(chunked_request_test, Request_WithChunksAndLength_IsRefused) {
  raw_client Client(Server->port());
  Client.send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
              "Content-Length: 5\r\n\r\n0\r\n\r\n");
  EXPECT_TRUE(Client.waitFor("HTTP/1.1 400"));
  EXPECT_TRUE(Client.waitForClose());
}

TEST_F(chunked_request_test, Request_WithAnotherCoding_IsRefused) {
  raw_client Client(Server->port());
  Client.send("POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n");
  EXPECT_TRUE(Client.waitFor("HTTP/1.1 400"));
}

TEST_F(chunked_request_test, Request_TooLarge_IsRefused) {
  raw_client Client(Server->port());
  Client.send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
              std::string(2000, 'x') + "\r\n0\r\n\r\n");
  EXPECT_TRUE(Client.waitFor("HTTP/1.1 413"));
}

TEST_F(chunked_request_test, Connections_Idle_AreClosedOnRequest) {
  raw_client Idle(Server->port());
  Idle.send("GET /a HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(Idle.waitFor("GET[]"));
  Server->closeIdle();
  EXPECT_TRUE(Idle.waitForClose());
}

} // namespace
} // namespace monsoonreel
