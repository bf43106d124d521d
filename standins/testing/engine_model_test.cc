#include "standins/engine_model.h"

#include <gtest/gtest.h>

#include "standins/answer_text.h"

namespace monsoonreel::standin {
namespace {

using std::chrono::milliseconds;

class engine_model_test : public ::testing::Test {
protected:
  static engine_costs costs() {
    engine_costs Costs;
    Costs.MaxRunning = 2;
    Costs.MaxWaiting = 2;
    return Costs;
  }

  static engine_request job(int64_t Id, int Priority = 0, int Tokens = 4) {
    engine_request Request;
    Request.Id = Id;
    Request.Prompt = std::string(1024, 'p');
    Request.PromptTokens = 257;
    Request.OutputTokens = Tokens;
    Request.Priority = Priority;
    return Request;
  }

  // Runs until nothing is left. Returns the tokens with their times.
  std::vector<std::pair<steady_time, made_token>> runToEnd() {
    std::vector<std::pair<steady_time, made_token>> All;
    while (auto End = Engine.nextStep()) {
      Now = *End;
      for (const made_token &Token : Engine.advance(Now))
        All.emplace_back(Now, Token);
    }
    return All;
  }

  steady_time Now{};
  engine_model Engine{costs()};
};

TEST_F(engine_model_test, Step_LargerBatch_TakesLonger) {
  Engine.submit(job(1), Now);
  runToEnd();
  steady_time Alone = Now;
  Engine.submit(job(2), Now);
  Engine.submit(job(3), Now);
  runToEnd();
  EXPECT_GT(Now - Alone, Alone - steady_time{});
}

TEST_F(engine_model_test, Prompt_CachedBefore_IsNotReadAgain) {
  Engine.submit(job(1), Now);
  runToEnd();
  EXPECT_EQ(Engine.totals().PrefillTokens, 257);
  Engine.submit(job(2), Now);
  runToEnd();
  EXPECT_EQ(Engine.totals().PrefillTokens, 258);
}

TEST_F(engine_model_test, HigherPriority_BatchFull_TakesThePlace) {
  Engine.submit(job(1, 2, 50), Now);
  Engine.submit(job(2, 3, 50), Now);
  Now = *Engine.nextStep();
  Engine.advance(Now); // both run from here on
  Engine.submit(job(3, 0, 5), Now);
  auto Tokens = runToEnd();
  EXPECT_EQ(Engine.totals().Preempted, 1);
  auto LastOf = [&Tokens](int64_t Id) {
    for (const auto &[Time, Token] : Tokens)
      if (Token.Id == Id && Token.Last)
        return Time;
    return steady_time{};
  };
  EXPECT_LT(LastOf(3), LastOf(1));
  EXPECT_LT(LastOf(1), LastOf(2));
  EXPECT_EQ(Engine.totals().TokensMade, 105);
}

TEST_F(engine_model_test, Cancel_WhileRunning_MakesNoMoreTokens) {
  Engine.submit(job(1, 0, 50), Now);
  while (Engine.totals().TokensMade < 3)
    Engine.advance(*Engine.nextStep());
  Engine.cancel(1);
  EXPECT_TRUE(runToEnd().empty());
  EXPECT_EQ(Engine.totals().TokensMade, 3);
  EXPECT_EQ(Engine.totals().TokensOfCancelled, 3);
}

TEST_F(engine_model_test, Resume_AfterTwoTokens_GoesOnWithTheThird) {
  engine_request Request = job(1);
  Request.FirstToken = 2;
  Engine.submit(Request, Now);
  auto Tokens = runToEnd();
  ASSERT_EQ(Tokens.size(), 2U);
  EXPECT_EQ(Tokens[0].second.Index, 2);
  EXPECT_TRUE(Tokens[1].second.Last);
}

TEST_F(engine_model_test, WaitingList_Full_RefusesAndDoesNothing) {
  for (int64_t Id = 1; Id <= 4; ++Id)
    EXPECT_TRUE(Engine.submit(job(Id), Now) || Id > 3);
  EXPECT_FALSE(Engine.submit(job(5), Now));
  EXPECT_EQ(Engine.totals().Refused, 2);
}

TEST_F(engine_model_test, LoadReport_YoungerThanLag_IsTheOldOne) {
  EXPECT_EQ(Engine.load(Now).Running, 0);
  Engine.submit(job(1, 0, 500), Now);
  engine_load Early = Engine.load(Now + milliseconds(499));
  EXPECT_EQ(Early.Running, 0);
  EXPECT_EQ(Early.Age, milliseconds(499));
  EXPECT_EQ(Engine.load(Now + milliseconds(500)).Running, 1);
}

class answer_text_test : public ::testing::Test {};

TEST_F(answer_text_test, Answer_SameBody_IsTheSameAndResumable) {
  std::string Body =
      R"({"model":"m","max_tokens":40,"messages":[{"content":"a"}]})";
  answer_text Answer = answerFor(Body);
  EXPECT_EQ(Answer.text(0), answerFor(Body).text(0));
  EXPECT_EQ(Answer.text(0), Answer.token(0) + Answer.text(1));
  EXPECT_LE(Answer.tokens(), 40);
  EXPECT_NE(Answer.token(0), answerFor(Body + " ").token(0));
}

TEST_F(answer_text_test, Request_Hostile_IsNotValid) {
  for (const char *Body : {"", "[", "{}", R"({"messages":3})", "\xff\xfe"})
    EXPECT_FALSE(parseChatRequest(Body).Valid) << Body;
}

} // namespace
} // namespace monsoonreel::standin
