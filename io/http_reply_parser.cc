#include "io/http_reply_parser.h"

#include <limits>
#include <utility>

#include <http_parser.h>

namespace monsoonreel {

struct http_reply_parser::state {
  http_parser Parser{};
  http_parser_settings Settings{};
  std::vector<reply_event> Events;
  http_reply_head Head;
  size_t HeadBytes = 0;
  bool InValue = false;
  bool InAnswer = false;
  bool HeadOnly = false;
  bool HadAnswer = false;

  static state &of(http_parser *Parser) {
    return *static_cast<state *>(Parser->data);
  }
  bool countHeadBytes(size_t Size) {
    HeadBytes += Size;
    return HeadBytes <= max_reply_head_bytes;
  }

  static int onBegin(http_parser *Parser) {
    state &S = of(Parser);
    S.Head = {};
    S.HeadBytes = 0;
    S.InValue = false;
    S.InAnswer = true;
    return 0;
  }
  static int onField(http_parser *Parser, const char *At, size_t Size) {
    state &S = of(Parser);
    if (S.Head.Headers.empty() || std::exchange(S.InValue, false))
      S.Head.Headers.emplace_back();
    S.Head.Headers.back().Name.append(At, Size);
    return S.countHeadBytes(Size) ? 0 : -1;
  }
  static int onValue(http_parser *Parser, const char *At, size_t Size) {
    state &S = of(Parser);
    S.InValue = true;
    S.Head.Headers.back().Value.append(At, Size);
    return S.countHeadBytes(Size) ? 0 : -1;
  }
  static int onHeadersComplete(http_parser *Parser) {
    state &S = of(Parser);
    S.Head.Status = static_cast<int>(Parser->status_code);
    S.Head.KeepAlive = http_should_keep_alive(Parser) != 0;
    constexpr int first_final_status = 200;
    S.Head.IsFirst = !S.HadAnswer;
    S.HadAnswer = S.HadAnswer || S.Head.Status >= first_final_status;
    S.Head.EndsWithConnection =
        (Parser->flags & F_CHUNKED) == 0 &&
        Parser->content_length == std::numeric_limits<uint64_t>::max();
    S.Events.emplace_back(S.Head);
    return std::exchange(S.HeadOnly, false) ? 1 : 0; // 1: no body follows
  }
  static int onBody(http_parser *Parser, const char *At, size_t Size) {
    of(Parser).Events.emplace_back(reply_data{std::string(At, Size)});
    return 0;
  }
  static int onComplete(http_parser *Parser) {
    of(Parser).InAnswer = false;
    of(Parser).Events.emplace_back(reply_end{});
    return 0;
  }
};

http_reply_parser::http_reply_parser() : State(std::make_unique<state>()) {
  http_parser_init(&State->Parser, HTTP_RESPONSE);
  http_parser_settings_init(&State->Settings);
  State->Parser.data = State.get();
  State->Settings.on_message_begin = state::onBegin;
  State->Settings.on_header_field = state::onField;
  State->Settings.on_header_value = state::onValue;
  State->Settings.on_headers_complete = state::onHeadersComplete;
  State->Settings.on_body = state::onBody;
  State->Settings.on_message_complete = state::onComplete;
}

http_reply_parser::~http_reply_parser() = default;

void http_reply_parser::expectHeadOnly() { State->HeadOnly = true; }

std::vector<reply_event> http_reply_parser::read(std::string_view Bytes) {
  State->Events.clear();
  size_t Parsed = http_parser_execute(&State->Parser, &State->Settings,
                                      Bytes.data(), Bytes.size());
  if (Parsed != Bytes.size() || State->Parser.upgrade != 0)
    State->Events.emplace_back(
        reply_error{http_errno_description(HTTP_PARSER_ERRNO(&State->Parser))});
  return std::move(State->Events);
}

std::vector<reply_event> http_reply_parser::finish() {
  State->Events.clear();
  http_parser_execute(&State->Parser, &State->Settings, nullptr, 0);
  return std::move(State->Events);
}

bool http_reply_parser::isBetweenAnswers() const { return !State->InAnswer; }

} // namespace monsoonreel
