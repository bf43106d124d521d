#include "monsoonreel/document_difference.h"

#include <random>
#include <sstream>

#include <gtest/gtest.h>

#include "monsoonreel/ledger.h"
#include "monsoonreel/mechanism.h"
#include "monsoonreel/testing/records.h"

namespace monsoonreel {
namespace {

class document_difference_test : public ::testing::Test {
protected:
  static std::optional<std::string> roundTrip(const std::string &Base,
                                              const std::string &Document) {
    return applyDifference(Base, differenceBetween(Base, Document));
  }
};

TEST_F(document_difference_test, Document_AnyShape_IsRestored) {
  for (const std::string Base : {"", "a", "a\n", "a\nb\na\n", "\n\n\n"})
    for (const std::string Document : {"", "b", "a\n", "a\na\nb", "\n\n"})
      EXPECT_EQ(roundTrip(Base, Document), Document) << Base << Document;
}

TEST_F(document_difference_test, OneLineOfMany_Changed_IsShort) {
  std::string Base;
  for (int Line = 0; Line < 1000; ++Line)
    Base += "  - {name: upstream" + std::to_string(Line) + "}\n";
  std::string Document = Base;
  Document.replace(Document.find("upstream500"), 8, "another");
  wire::config_edit Edit = makeEdit(log_offset{7}, Base, Document, "");
  EXPECT_TRUE(Edit.Document.empty());
  EXPECT_EQ(Edit.Difference.Pieces.size(), 2U);
  wire::log_record Record;
  Record.__set_ConfigEdit(Edit);
  EXPECT_LT(encodeRecord(Record).size(), 100U);
}

TEST_F(document_difference_test, NothingInCommon_IsSentWhole) {
  wire::config_edit Edit = makeEdit(log_offset{7}, "a\n", "b\n", "");
  EXPECT_FALSE(Edit.__isset.Difference);
  EXPECT_EQ(Edit.Document, "b\n");
}

TEST_F(document_difference_test, OtherBase_MakesNothing) {
  wire::document_difference Difference = differenceBetween("a\nb\n", "a\nc\n");
  EXPECT_FALSE(applyDifference("x\nb\n", Difference));
  disabled_mechanism Without(mechanism::DifferenceHash);
  EXPECT_EQ(applyDifference("x\nb\n", Difference), "x\nc\n");
}

TEST_F(document_difference_test, InvalidPieces_AreRejected) {
  disabled_mechanism Without(mechanism::DifferenceHash);
  std::string Base(size_t{1} << 20, 'x');
  auto IsRefused = [&](int32_t Start, int32_t Length, size_t Count) {
    wire::document_piece Piece;
    Piece.Start = Start;
    Piece.Length = Length;
    wire::document_difference Difference;
    Difference.Pieces.assign(Count, Piece);
    return !applyDifference(Base, Difference);
  };
  EXPECT_TRUE(IsRefused(-1, 1, 1));
  EXPECT_TRUE(IsRefused(0, -1, 1));
  EXPECT_TRUE(IsRefused(1 << 20, 1, 1));
  EXPECT_TRUE(IsRefused(1, 1 << 20, 1));
  EXPECT_TRUE(IsRefused(INT32_MAX, INT32_MAX, 1));
  EXPECT_TRUE(IsRefused(0, 1 << 20, 5));
  EXPECT_TRUE(IsRefused(0, 0, max_document_pieces + 1));
  EXPECT_FALSE(IsRefused(0, 1 << 20, 4));
}

// Applies the same edits to two ledgers, as whole documents and as differences.
class random_documents_test : public document_difference_test,
                              public ::testing::WithParamInterface<unsigned> {
protected:
  std::string randomLine() {
    return "# note " + std::to_string(Random() % 40) + "\n";
  }
  // Adds, removes, repeats and moves lines.
  std::string edited(const std::string &Document) {
    std::vector<std::string> Lines;
    std::istringstream Stream(Document);
    for (std::string Line; std::getline(Stream, Line);)
      Lines.push_back(Line + "\n");
    for (size_t Edits = Random() % 6; Edits > 0; --Edits) {
      size_t Place = Random() % (Lines.size() + 1);
      auto At = Lines.begin() + static_cast<ptrdiff_t>(Place);
      bool Remove = Random() % 3 == 0 && Place < Lines.size();
      if (Remove && Lines[Place].starts_with("#"))
        Lines.erase(At);
      else
        Lines.insert(At, randomLine());
    }
    std::string Result;
    for (const std::string &Line : Lines)
      Result += Line;
    if (Random() % 4 == 0)
      Result.pop_back(); // without the last line break
    return Result;
  }
  static void apply(ledger &Ledger, const wire::config_edit &Edit) {
    wire::log_record Record;
    Record.Incarnation = 1;
    Record.Sequence = Ledger.applied().Value + 1;
    Record.__set_ConfigEdit(Edit);
    effect_list Effects;
    Ledger.apply(log_offset{Record.Sequence}, encodeRecord(Record), Effects);
  }

  std::mt19937 Random{GetParam()};
};

TEST_P(random_documents_test, WholeAndDifference_SameEdits_SameDocument) {
  ledger Whole(operator_stream);
  ledger Short(operator_stream);
  std::string Document = testing::makeDocument(100);
  for (ledger *Ledger : {&Whole, &Short})
    apply(*Ledger, makeEdit(log_offset(), "", Document, ""));
  int Differences = 0;
  for (int Edit = 0; Edit < 300; ++Edit) {
    // Some edits are made from a version that is not in force.
    bool Stale = Random() % 5 == 0;
    log_offset Base{Whole.configOffset().Value - (Stale ? 1 : 0)};
    std::string Next = edited(Document);
    wire::config_edit Plain;
    Plain.Base = Base.Value;
    Plain.Document = Next;
    apply(Whole, Plain);
    wire::config_edit Compact = makeEdit(Base, Document, Next, "");
    Differences += Compact.__isset.Difference ? 1 : 0;
    apply(Short, Compact);
    ASSERT_EQ(Whole.document(), Short.document());
    ASSERT_EQ(Whole.configOffset(), Short.configOffset());
    Document = Whole.document();
    if (!Stale) {
      ASSERT_EQ(Document, Next);
    }
  }
  EXPECT_GT(Differences, 250);
  EXPECT_EQ(Whole.state(), Short.state());
}

TEST_P(random_documents_test, DamagedDifference_IsVoidOrTheSame) {
  ledger Ledger(operator_stream);
  std::string Document = testing::makeDocument(100);
  apply(Ledger, makeEdit(log_offset(), "", Document, ""));
  for (int Try = 0; Try < 300; ++Try) {
    std::string Before = Ledger.document();
    std::string Next = edited(Before);
    wire::config_edit Edit = makeEdit(Ledger.configOffset(), Before, Next, "");
    if (!Edit.__isset.Difference || Edit.Difference.Pieces.empty())
      continue;
    auto &Pieces = Edit.Difference.Pieces;
    wire::document_piece &Piece = Pieces[Random() % Pieces.size()];
    int32_t Change = 1 + static_cast<int32_t>(Random() % 3);
    if (Random() % 2 == 0)
      Piece.Start += Change;
    else
      Piece.Length -= Change;
    apply(Ledger, Edit);
    EXPECT_TRUE(Ledger.document() == Before || Ledger.document() == Next);
  }
}

INSTANTIATE_TEST_SUITE_P(seeds, random_documents_test,
                         ::testing::Range(1u, 21u));

} // namespace
} // namespace monsoonreel
