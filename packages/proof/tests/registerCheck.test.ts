import test from "ava";
import {
  applyRegisterReply,
  handleRegisterRequest,
} from "@wasabivane/coordination";
import { checkRegister, REGISTER_RULES } from "@wasabivane/proof";

test("no run of the register chooses two values", (t) => {
  for (
    const bounds of [
      { holderProposals: 1, copyProposals: 1 },
      { holderProposals: 0, copyProposals: 2 },
    ]
  ) {
    const report = checkRegister(bounds);
    t.log(JSON.stringify({ ...bounds, ...report }));
    t.true(report.isComplete);
    t.is(report.violation, undefined);
    t.true(report.dispatched > 0);
    t.true(report.moved > 0);
  }
});

test("a violation is found if members forget their promises", (t) => {
  // The replica's move is chosen, then a majority accepts the holder's late
  // dispatch.
  const report = checkRegister({
    rules: {
      ...REGISTER_RULES,
      handleRequest: ({ accepted }, request) =>
        handleRegisterRequest(accepted ? { accepted } : {}, request),
    },
  });
  t.truthy(report.violation);
});

test("a violation is found if a proposer ignores accepted values", (t) => {
  // The replica proposes its move although a member reported an accepted
  // dispatch.
  const report = checkRegister({
    rules: {
      ...REGISTER_RULES,
      applyReply: (proposal, { from, reply }) => {
        if (reply.kind !== "promised") {
          return applyRegisterReply(proposal, { from, reply });
        }
        const { accepted: _accepted, ...stripped } = reply;
        return applyRegisterReply(proposal, { from, reply: stripped });
      },
    },
  });
  t.truthy(report.violation);
});

test("a violation is found if the holder uses its own round twice", (t) => {
  const rules = { ...REGISTER_RULES, canRepeatHolderRound: true };
  t.truthy(checkRegister({ rules }).violation);
});
