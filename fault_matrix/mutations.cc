#include "fault_matrix/mutations.h"

#include <utility>

namespace monsoonreel::fault_matrix {

namespace {

constexpr size_t calm_seeds = 4;
// Of the cells that fit. A mutation that no run has to notice gets a few cells
// only, for the table.
constexpr size_t most_fitting_cells = 80;
constexpr size_t most_unexpected_cells = 16;
constexpr size_t random_seeds = 16;
constexpr duration random_length = std::chrono::seconds(100);
constexpr duration random_fault_period = std::chrono::seconds(10);

#define MONSOONREEL_MUTATION(Name, ...)                                        \
  mutation { mechanism::Name, #Name, __VA_ARGS__ }

std::vector<mutation> makeMutations() {
  return {
      MONSOONREEL_MUTATION(ClaimBeforeDispatch, "", {}, true, ""),
      MONSOONREEL_MUTATION(ClaimReadBack, "message/claim_ask", {}, true,
                           "claims_test."
                           "TwoDesks_WithoutReadBack_RunItTwice"),
      MONSOONREEL_MUTATION(LeaseMargin, "report/call", fault::ZoneCutLog, true,
                           "lease_holder_test."
                           "Takeover_SlowClockWithoutMargin_Overlaps"),
      MONSOONREEL_MUTATION(LeaseCheckBeforeWrite, "append/usage_close",
                           fault::SenderFrozen, true,
                           "steward_site_test."
                           "RandomFaults_WithoutLeaseCheck_Violation"),
      MONSOONREEL_MUTATION(Fencing, "append/lease_claim", {}, true,
                           "ledger_test."
                           "Close_OldClaimWithoutFencing_IsTaken"),
      MONSOONREEL_MUTATION(VersionCheck, "append/config_edit",
                           fault::OperatorsRace, true,
                           "ledger_test."
                           "Edit_WithoutVersionCheck_OverwritesTheOther"),
      MONSOONREEL_MUTATION(OffsetOnlyGrows, "message/state_push", {}, true,
                           "state_sync_test."
                           "OlderState_WithoutTheRule_BreaksTheInvariant"),
      MONSOONREEL_MUTATION(WriterSequence, "append/order_intent", {}, false,
                           "ledger_test."
                           "LateCopy_OfAnIntent_DoesNotOpenTheOrderAgain"),
      MONSOONREEL_MUTATION(UsageSequence, "append/usage_append", {}, true,
                           "steward_site_test."
                           "RandomFaults_WithoutUsageSequence_Violation"),
      MONSOONREEL_MUTATION(UsageHold, "message/usage_offer", {}, false,
                           "steward_site_test."
                           "RandomFaults_WithoutUsageHold_Violation"),
      MONSOONREEL_MUTATION(RetryOnlyIdempotent, "", fault::UpstreamCrash, true,
                           ""),
      MONSOONREEL_MUTATION(TierOrder, "", {}, false,
                           "slot_owner_test."
                           "Waiting_TierOrderTakenAway_LowerTierIsNext"),
      MONSOONREEL_MUTATION(MinimumShare, "", {}, false,
                           "slot_owner_test."
                           "Batch_MinimumShareTakenAway_StarvesAndIsReported"),
      MONSOONREEL_MUTATION(DrainWaits, "", {}, true,
                           "entry_node_test."
                           "Drain_WithoutWaiting_CutsTheRequest"),
      MONSOONREEL_MUTATION(LeavingStopsGrants, "", fault::ZoneReclaimed, true,
                           "slot_owner_test."
                           "Upstream_ReclaimNoticeIgnored_GetsGrants"),
      MONSOONREEL_MUTATION(WithdrawalCancels, "", {}, true,
                           "entry_node_test."
                           "Chat_KeyWithdrawnWithoutCancelling_StreamGoesOn"),
      MONSOONREEL_MUTATION(AttemptFilter, "dispatch/chunk", fault::Stalled,
                           true,
                           "entry_node_test."
                           "Chat_LateChunkWithoutFilter_IsTakenForTheSecond"),
      MONSOONREEL_MUTATION(ClaimGiveUp, "message/claim_answer", {}, true,
                           "claims_test."
                           "AnswerAfterTheDeadline_WithoutGiveUp_"
                           "BreaksTheInvariant"),
      MONSOONREEL_MUTATION(ClaimReleaseVoids, "append/claim_batch", {}, false,
                           "claim_table_test."
                           "LateClaim_WithoutReleaseVoids_BlocksTheKey"),
      MONSOONREEL_MUTATION(ClaimHorizon, "append/claim_batch", {}, false,
                           "claim_table_test."
                           "TimedKey_WithoutHorizon_IsClaimedASecondTime"),
      MONSOONREEL_MUTATION(ClaimTimeVouched, "append/claim_batch", {}, false,
                           "claim_table_test."
                           "OneWrongClock_WithoutVouching_ForgetsClaims"),
      MONSOONREEL_MUTATION(SuspicionBeforeDeath, "message/heartbeat", {}, false,
                           "membership_test."
                           "PausedNode_WithoutSuspicion_IsHeldDead"),
      MONSOONREEL_MUTATION(IndirectProbe, "message/heartbeat", {}, false,
                           "membership_test."
                           "LostLinkBetweenTwo_WithoutIndirectProbe_"
                           "IsSuspected"),
      MONSOONREEL_MUTATION(SilentLinkReset, "message/heartbeat", {}, false,
                           "membership_test."
                           "SilentLink_WithoutReset_StaysSilent"),
      MONSOONREEL_MUTATION(ReconnectProbe, "", fault::ZoneCutBoth, true,
                           "membership_test."
                           "ZonesCutOff_WithoutReconnectProbe_StayApart"),
      MONSOONREEL_MUTATION(EagerPush, "append/key_withdraw", {}, false,
                           "state_sync_test."
                           "NewRecord_WithoutEagerPush_WaitsForAPull"),
      MONSOONREEL_MUTATION(FreshnessNeedsOffset, "message/state_push", {},
                           false,
                           "key_trust_test."
                           "FreshPeer_WithoutOffsetRule_HidesAMissingRecord"),
      MONSOONREEL_MUTATION(KeyTrustExpires, "", fault::ZoneCutBoth, true,
                           "key_trust_test."
                           "CutOffNode_WithoutExpiry_TrustsForEver"),
      MONSOONREEL_MUTATION(OrganisationFairness, "", {}, false,
                           "slot_owner_test."
                           "SmallOrganisation_FairnessTakenAway_"
                           "WaitsForBurst"),
      MONSOONREEL_MUTATION(Preemption, "", {}, false,
                           "slot_owner_test."
                           "Chat_PreemptionTakenAway_WaitsForTheLowerTier"),
      MONSOONREEL_MUTATION(Admission, "", {}, false,
                           "slot_owner_test."
                           "Hopeless_LongQueue_"
                           "IsRefusedAtOnceWithTimeToComeBack"),
      MONSOONREEL_MUTATION(UpstreamEjection, "", fault::UpstreamSilent, false,
                           "slot_owner_test."
                           "Straggler_EjectionTakenAway_KeepsItsWork"),
      MONSOONREEL_MUTATION(SlotExpiry, "message/slot_release", {}, true,
                           "slot_owner_test.Slot_AskerDies_ComesFree"),
      MONSOONREEL_MUTATION(StaleGrantRelease, "message/slot_grant", {}, false,
                           "remote_owner_test."
                           "Grant_ForWithdrawnAskWithoutMechanism_LeaksSlot"),
      MONSOONREEL_MUTATION(DifferenceHash, "append/config_edit", {}, false,
                           "document_difference_test.OtherBase_MakesNothing"),
  };
}

#undef MONSOONREEL_MUTATION

bool fits(const mutation &Mutation, const planned_fault &Planned) {
  std::string Step = Mutation.Step;
  return (Step.empty() || Planned.Step == Step) &&
         (!Mutation.Fault || Planned.Fault == *Mutation.Fault);
}

// The singles of the mutation's step and fault, again with further seeds until
// there are enough.
std::vector<matrix_cell> fittingCells(const mutation &Mutation) {
  std::vector<matrix_cell> Cells;
  if (*Mutation.Step == '\0' && !Mutation.Fault)
    return Cells;
  size_t Most =
      Mutation.CaughtByMatrix ? most_fitting_cells : most_unexpected_cells;
  for (uint64_t Seed = 1; Cells.size() < Most; ++Seed)
    for (matrix_cell &Cell : singleCells()) {
      if (!fits(Mutation, Cell.Faults[0]) || Cells.size() >= Most)
        continue;
      Cell.Seed = Seed;
      Cells.push_back(std::move(Cell));
    }
  return Cells;
}

world_options randomOptions() {
  world_options Options;
  Options.Length = random_length;
  Options.RandomFaultPeriod = random_fault_period;
  return Options;
}

// Runs Cells without the mechanism, and the first one that fails with it.
void tryCells(const std::vector<matrix_cell> &Cells,
              const world_options &Options, int Threads,
              mutation_result &Result) {
  if (Result.Failure)
    return;
  {
    disabled_mechanism Without(Result.Mutation.Mechanism);
    Result.Failure = findFailure(Cells, Options, Threads);
  }
  if (Result.Failure)
    Result.FailsAnyway =
        findFailure({Result.Failure->Cell}, Options, 1).has_value();
}

} // namespace

const std::vector<mutation> &allMutations() {
  static const std::vector<mutation> Mutations = makeMutations();
  return Mutations;
}

mutation_result runMutation(const mutation &Mutation, int Threads) {
  mutation_result Result{Mutation, std::nullopt, false};
  tryCells(faultlessCells(1, calm_seeds), world_options(), Threads, Result);
  tryCells(fittingCells(Mutation), world_options(), Threads, Result);
  if (Mutation.CaughtByMatrix)
    tryCells(faultlessCells(1, random_seeds), randomOptions(), Threads, Result);
  return Result;
}

std::string toString(const mutation_result &Result) {
  std::string Text = std::string(Result.Mutation.Name) + " | ";
  if (Result.FailsAnyway)
    Text += "FAILS WITH IT TOO ";
  if (Result.Failure)
    Text += Result.Failure->Cell.name() + ": " + Result.Failure->Findings[0];
  else
    Text += Result.isAsExpected() ? "no run" : "NOT CAUGHT";
  return Text + " | " + Result.Mutation.UnitTest;
}

} // namespace monsoonreel::fault_matrix
