// Reads the HTTP/1.1 answer to one request as it comes in.
//
//   answer_reader Reader;
//   Reader.feed(Socket.readAll(), Now);
//   if (Reader.state() == answer_reader::progress::Complete)
//     use(Reader.content());
//
// Takes answers with a length and chunked ones. The content of a chat
// completion, streamed or not, is put together from its JSON.

#ifndef LOAD_ANSWER_READER_H
#define LOAD_ANSWER_READER_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/http_reply_parser.h"
#include "monsoonreel/monsoonreel.h"

namespace monsoonreel::load {

class answer_reader {
public:
  enum class progress { Head, Body, Complete, Malformed };

  void feed(std::string_view Bytes, steady_time Now);

  progress state() const { return State; }
  int status() const { return Head.Status; }
  // Empty when the header did not come.
  std::string header(const std::string &Name) const;
  // The body without chunk framing.
  const std::string &body() const { return Body; }
  // Whether the body is a stream of events, and whether its end has come.
  bool isEventStream() const { return EventStream; }
  bool sawDone() const { return Done; }
  // The text of a chat completion.
  std::string content() const;
  // When each token of a stream came.
  const std::vector<steady_time> &tokenTimes() const { return TokenTimes; }

private:
  void onHead(const http_reply_head &Reply);
  void takeBody(std::string_view Part, steady_time Now);
  void readEvents(steady_time Now);
  void readEvent(std::string_view Event, steady_time Now);

  progress State = progress::Head;
  http_reply_parser Parser;
  http_reply_head Head;
  std::string Body;
  bool EventStream = false;
  size_t EventsRead = 0; // bytes of Body
  bool Done = false;
  std::string StreamContent;
  std::vector<steady_time> TokenTimes;
};

} // namespace monsoonreel::load

#endif // LOAD_ANSWER_READER_H
