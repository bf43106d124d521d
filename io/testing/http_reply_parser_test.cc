#include "io/http_reply_parser.h"

#include <gtest/gtest.h>

namespace monsoonreel {
namespace {

// What a parser makes of some bytes.
struct reading {
  std::vector<int> Statuses; // interim ones included
  std::string Body;
  int Ends = 0;
  std::string Error;
};

class http_reply_parser_test : public testing::Test {
protected:
  static void add(const std::vector<reply_event> &Events, reading &Reading) {
    for (const reply_event &Event : Events)
      if (const auto *Head = std::get_if<http_reply_head>(&Event))
        Reading.Statuses.push_back(Head->Status);
      else if (const auto *Data = std::get_if<reply_data>(&Event))
        Reading.Body += Data->Data;
      else if (const auto *Error = std::get_if<reply_error>(&Event))
        Reading.Error = Error->Reason;
      else
        ++Reading.Ends;
  }
  // Reads the bytes in pieces of this size; the connection then ends.
  static reading read(std::string_view Bytes, size_t Piece,
                      bool HeadOnly = false) {
    http_reply_parser Parser;
    if (HeadOnly)
      Parser.expectHeadOnly();
    reading Reading;
    while (!Bytes.empty() && Reading.Error.empty()) {
      add(Parser.read(Bytes.substr(0, Piece)), Reading);
      Bytes.remove_prefix(std::min(Piece, Bytes.size()));
    }
    if (Reading.Error.empty())
      add(Parser.finish(), Reading);
    return Reading;
  }
  static void expectWhole(const std::string &Bytes, const std::string &Body,
                          bool HeadOnly = false) {
    for (size_t Piece : {Bytes.size(), size_t{1}, size_t{7}}) {
      reading Reading = read(Bytes, Piece, HeadOnly);
      EXPECT_EQ(Reading.Error, "") << Bytes;
      EXPECT_EQ(Reading.Ends, std::ssize(Reading.Statuses)) << Bytes;
      EXPECT_GE(Reading.Ends, 1) << Bytes;
      EXPECT_EQ(Reading.Body, Body) << Bytes;
    }
  }
  // No part of such an answer may pass for a whole one.
  static void expectRefused(const std::string &Bytes) {
    for (size_t Piece : {Bytes.size(), size_t{1}, size_t{7}}) {
      reading Reading = read(Bytes, Piece);
      EXPECT_NE(Reading.Error, "") << Bytes;
      EXPECT_EQ(Reading.Ends, 0) << Bytes;
    }
  }
  static std::string withLine(const std::string &Line) {
    return "HTTP/1.1 200 OK\r\nId: a\r\n" + Line + "\r\n\r\nhello";
  }
  static std::string withStatusLine(const std::string &Line) {
    return Line + "\r\nId: a\r\nContent-Length: 5\r\n\r\nhello";
  }
  static std::string inChunks(const std::string &Chunks) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunks;
  }
};

TEST_F(http_reply_parser_test, Answer_Sound_IsWhole) {
  expectWhole(withLine("Content-Length: 5"), "hello");
  expectWhole(withLine("content-length:5"), "hello");
  expectWhole(withLine("Content-Length: \t5 "), "hello");
  expectWhole(withLine("Empty:\r\nContent-Length: 5"), "hello");
  expectWhole(withLine("Latin: \xe9t\xe9"), "hello"); // ends with connection
  expectWhole(withStatusLine("HTTP/1.0 404 Not Found"), "hello");
  expectWhole(withStatusLine("HTTP/1.1 599 "), "hello");
  expectWhole(withStatusLine("HTTP/1.1 200"), "hello");
  expectWhole(inChunks("3\r\nhel\r\n2;x=\"y\"\r\nlo\r\n0\r\nSum: 1\r\n\r\n"),
              "hello");
  expectWhole(inChunks("0000000005\r\nhello\r\n00\r\n\r\n"), "hello");
  expectWhole("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n0\r\n\r\n",
              "");
  expectWhole("HTTP/1.1 204 No Content\r\n\r\n", "");
  expectWhole("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "");
  expectWhole("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                  withLine("Content-Length: 5"),
              "hello");
}

TEST_F(http_reply_parser_test, Answer_ToHead_HasNoBodyAfterInterimHeads) {
  expectWhole("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
              "Content-Length: 5\r\n\r\n",
              "", /*HeadOnly=*/true);
  expectWhole(inChunks(""), "", /*HeadOnly=*/true);
}

// Guards against a body that is not the server's: a length that can't be read
// made the body end with the connection or elsewhere.
TEST_F(http_reply_parser_test, Framing_Spoilt_IsRefused) {
  for (const char *Line :
       {"Content-Length : 5",
        "Content-Length\t: 5",
        "Content Length: 5",
        "Content-Length 5",
        "Content-Length: 5 5",
        "Content-Length: 5, 5",
        "Content-Length: 5;",
        "Content-Length: +5",
        "Content-Length: -5",
        "Content-Length: 0x5",
        "Content-Length: 5a",
        "Content-Length: ",
        "Content-Length: 99999999999999999999",
        "Content-Length: 5\r\nContent-Length: 5",
        "Content-Length: 5\r\nContent-Length: 6",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunke",
        "Transfer-Encoding: gzip",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunked;q=1",
        "Transfer-Encoding:",
        "Transfer-Encoding : chunked",
        "Transfer Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"})
    expectRefused(withLine(Line));
  expectRefused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n");
  expectRefused("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello");
  expectRefused("HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n");
}

// Guards against a line that is no field, which was passed on or ignored.
TEST_F(http_reply_parser_test, Line_ThatIsNoField_IsRefused) {
  for (std::string Line :
       {"no field", ": no name", "a b: c", "a : b", " a: b", "\ta: b",
        "a: b\r\n folded: c", "a\x01: b", "a\x7f: b", "(a): b", "a/b: c",
        "\xe9: b", "a: b\x01", "a: b\rc", "a: b\nc: d", "a\r: b", "a: \x7f",
        "a: xHTTP/1.1 500 Internal Server Error"})
    expectRefused(withLine("Content-Length: 5\r\n" + Line));
  expectRefused(withLine(std::string("Content-Length: 5\r\na: b\0c", 25)));
  expectRefused(withLine(std::string("Content-Length: 5\r\na\0: c", 24)));
  // Directly behind the status line.
  expectRefused("HTTP/1.1 200 OK\r\n a: b\r\nContent-Length: 5\r\n\r\nhello");
  expectRefused("HTTP/1.1 200 OK\nContent-Length: 5\n\nhello");
}

// Guards against a status that no server has given.
TEST_F(http_reply_parser_test, StatusLine_Spoilt_IsRefused) {
  for (std::string Line : {"HTTP/1.1 000 OK",
                           "HTTP/1.1 099 OK",
                           "HTTP/1.1 600 OK",
                           "HTTP/1.1 999 OK",
                           "HTTP/1.1 20 OK",
                           "HTTP/1.1 2000 OK",
                           "HTTP/1.1 2x0 OK",
                           "HTTP/1.1  200 OK",
                           "HTTP/1.1 200\tOK",
                           "HTTP/1.1\t200 OK",
                           "HTTP/1.1200 OK",
                           "HTTP/1.2 200 OK",
                           "HTTP/2.0 200 OK",
                           "HTTP/0.9 200 OK",
                           "HTTP/1 200 OK",
                           "http/1.1 200 OK",
                           " HTTP/1.1 200 OK",
                           "\r\nHTTP/1.1 200 OK",
                           "HTTP/1.1 200 O\x01K",
                           "HTTP/1.1 200 OK\rx",
                           "HTTP/1.1 101 Switching",
                           "HTTP/1.1 200 OHTTP/1.1 500 Internal Server Error",
                           "HTTP/1.1 -20 OK",
                           "HTTP/1.1 +20 OK",
                           "ICY 200 OK"})
    expectRefused(withStatusLine(Line));
  expectRefused(withStatusLine(std::string("HTTP/1.1 200 O\0K", 16)));
}

// Guards against chunk sizes and lines between chunks in a caller's body.
TEST_F(http_reply_parser_test, Chunks_Spoilt_AreRefused) {
  for (std::string Chunks : {"5\r\nhelloXX0\r\n\r\n",
                             "5\r\nhello\r\r0\r\n\r\n",
                             "5\r\nhello\n0\r\n\r\n",
                             "5\nhello\r\n0\r\n\r\n",
                             "5\r\nhello\r\n\r\n0\r\n\r\n",
                             "5\r\nhelloo\r\n0\r\n\r\n",
                             "x\r\nhello\r\n0\r\n\r\n",
                             "\r\nhello\r\n0\r\n\r\n",
                             "-5\r\nhello\r\n0\r\n\r\n",
                             "+5\r\nhello\r\n0\r\n\r\n",
                             "0x5\r\nhello\r\n0\r\n\r\n",
                             "5 \r\nhello\r\n0\r\n\r\n",
                             "5 5\r\nhello\r\n0\r\n\r\n",
                             " 5\r\nhello\r\n0\r\n\r\n",
                             "5,\r\nhello\r\n0\r\n\r\n",
                             "10000000000000005\r\nhello\r\n0\r\n\r\n",
                             "5;\x01\r\nhello\r\n0\r\n\r\n",
                             "5\r\nhello\r\n0\r\nno field\r\n\r\n",
                             "5\r\nhello\r\n0\r\na b: c\r\n\r\n",
                             "5\r\nhello\r\n0\r\n: c\r\n\r\n",
                             "5\r\nhello\r\n0\r\n a: c\r\n\r\n",
                             "5\r\nhello\r\n0\r\na: \x01\r\n\r\n",
                             "5\r\nhello\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n"})
    expectRefused(inChunks(Chunks));
}

TEST_F(http_reply_parser_test, Bytes_BehindAnAnswer_AreNotBetweenAnswers) {
  std::string Answer = withLine("Content-Length: 5");
  for (size_t Cut = 0; Cut < Answer.size(); ++Cut) {
    http_reply_parser Parser;
    Parser.read(Answer + Answer.substr(0, Cut));
    EXPECT_EQ(Parser.isBetweenAnswers(), Cut == 0) << Cut;
  }
}

// Guards against a whole answer that is refused for what follows it.
TEST_F(http_reply_parser_test, Excess_BeginsAnAnswer_IsNoPartOfTheBody) {
  for (const char *Excess :
       {"\r\n", "\r\n\r\n", "\n", "\r\nHTTP/1.1 2",
        "HTTP/1.1 200 OK\r\nbad line", "HTTP/2.0 200 OK\r\n",
        "HTTP/1.1 000 x\r\n", "HTTP/1.1 200 O\x01"})
    for (bool MayBeBody : {false, true}) {
      http_reply_parser Parser;
      std::string More = MayBeBody ? "rest" : Excess;
      auto Events = Parser.read(withLine("Content-Length: 5") + More);
      const auto *Error = std::get_if<reply_error>(&Events.back());
      EXPECT_EQ(Error && Error->MayBeBody, MayBeBody) << More;
      EXPECT_FALSE(Parser.isBetweenAnswers()) << More;
    }
}

TEST_F(http_reply_parser_test, Answers_InARow_AreRead) {
  std::string Two = withLine("Content-Length: 5") + withStatusLine("HTTP/1.1 "
                                                                   "500 No");
  for (size_t Piece : {Two.size(), size_t{1}}) {
    reading Reading = read(Two, Piece);
    EXPECT_EQ(Reading.Error, "");
    EXPECT_EQ(Reading.Statuses, (std::vector{200, 500}));
    EXPECT_EQ(Reading.Body, "hellohello");
  }
}

} // namespace
} // namespace monsoonreel
