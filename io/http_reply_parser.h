// Reads answers of upstreams from the bytes of one connection.
//
//   http_reply_parser Parser;
//   for (reply_event &Event : Parser.read(Bytes)) ...
//   for (reply_event &Event : Parser.finish()) ...   // an orderly end
//
// The parser accepts any number of answers in a row; who asked for them is the
// caller's matter. After a `reply_error` the connection is of no more use.
//
// Blank lines behind an answer are skipped, as some servers send them there;
// the connection is not used again all the same.
//
// Heads follow the grammar of `http_fields.h`, and anything else in their place
// is an error, because a body whose end is guessed may be another one than the
// server's. So is a status line within a head: there, a server has begun
// another answer.

#ifndef IO_HTTP_REPLY_PARSER_H
#define IO_HTTP_REPLY_PARSER_H

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "io/http_fields.h"

namespace monsoonreel {

// Heads beyond this size are refused.
constexpr size_t max_reply_head_bytes = 32 << 10;

struct http_reply_head {
  int Status = 0;
  http_header_list Headers;
  bool KeepAlive = true; // the connection can be used again
  bool IsFirst = true;   // the first final answer on its connection
  // The body has neither a length nor chunks.
  bool EndsWithConnection = false;

  const std::string *header(std::string_view Name) const {
    return findHeader(Headers, Name);
  }
};

struct reply_data {
  std::string Data;
};
struct reply_end {};
struct reply_error {
  std::string Reason;
  // The bytes do not begin an answer, so they may be the rest of the body
  // before them, whose length was wrong.
  bool MayBeBody = false;
};
using reply_event =
    std::variant<http_reply_head, reply_data, reply_end, reply_error>;

class http_reply_parser {
public:
  http_reply_parser();
  ~http_reply_parser();
  http_reply_parser(http_reply_parser &&Other) noexcept;
  http_reply_parser &operator=(http_reply_parser &&Other) noexcept;

  // The next answer has no body, whatever its head says.
  void expectHeadOnly();
  std::vector<reply_event> read(std::string_view Bytes);
  // The connection has ended in an orderly way. Completes an answer whose
  // length its end tells.
  std::vector<reply_event> finish();
  // Returns whether the end of the connection would complete the answer.
  bool endsWithConnection() const;
  // Returns whether no byte was read behind the last whole answer.
  bool isBetweenAnswers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace monsoonreel

#endif // IO_HTTP_REPLY_PARSER_H
