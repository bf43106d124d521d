// One entry's view of a feed, and the reads, news and marks that it gets.

#ifndef ROUTING_TESTING_KEYED_FEED_FIXTURE_H
#define ROUTING_TESTING_KEYED_FEED_FIXTURE_H

#include "routing/keyed_feed.h"

#include <random>

#include <gtest/gtest.h>

#include "routing/testing/test_time.h"

namespace monsoonreel {

using namespace std::chrono_literals;

class keyed_feed_test : public testing::Test {
protected:
  keyed_feed_test()
      : Feed({"servers", 450ms, 0ms, [](const wire::feed_record &Record) {
                return Record.Value != "same";
              }}) {}

  static wire::feed_record record(int64_t Offset, const std::string &Key,
                                  const char *Value) {
    wire::feed_record Record;
    Record.Offset = Offset;
    Record.Key = Key;
    if (Value)
      Record.__set_Value(Value);
    return Record;
  }

  // Returns the read that the feed starts at Now, if any.
  std::optional<read_feed> tick(duration Now, size_t Rank = 0) {
    routing_effects Effects;
    Feed.onTick(at(Now), Rank, Effects);
    for (const routing_effect &Effect : Effects)
      if (const auto *Read = std::get_if<read_feed>(&Effect))
        return *Read;
    return std::nullopt;
  }

  std::vector<feed_change> read(duration Now, bool Whole, int64_t From,
                                int64_t End,
                                std::vector<wire::feed_record> Records,
                                int64_t Era = 0) {
    Announced.clear();
    return Feed.onRead({"servers", Whole, From, End, std::move(Records), Era},
                       at(Now), Announced);
  }

  void startWith(std::vector<wire::feed_record> Records, int64_t End) {
    ASSERT_TRUE(tick(0ms));
    read(5ms, true, 0, End, std::move(Records));
  }

  static wire::feed_news news(int64_t From, int64_t End,
                              std::vector<wire::feed_record> Records,
                              bool Whole = false) {
    wire::feed_news News;
    News.Feed = "servers";
    News.From = From;
    News.End = End;
    News.Records = std::move(Records);
    News.Whole = Whole;
    return News;
  }

  keyed_feed Feed;
  routing_effects Announced;
};

} // namespace monsoonreel

#endif // ROUTING_TESTING_KEYED_FEED_FIXTURE_H
