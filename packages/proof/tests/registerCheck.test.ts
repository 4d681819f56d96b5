import test from "ava";
import {
  applyRegisterReply,
  handleRegisterRequest,
} from "@wasabivane/coordination";
import { checkRegister, REGISTER_RULES } from "@wasabivane/proof";

test("no run of the register chooses two values", (t) => {
  for (
    const attempts of [
      { holderProposals: 1, copyProposals: 1 },
      { holderProposals: 0, copyProposals: 2 },
    ]
  ) {
    const report = checkRegister(attempts);
    t.log(JSON.stringify({ ...attempts, ...report }));
    t.true(report.isComplete);
    t.is(report.violation, undefined);
    t.true(report.dispatched > 0);
    t.true(report.moved > 0);
  }
});

test("without promises a paused holder dispatches what a copy has moved on", (t) => {
  // The safeguard is off: members forget what they promised. The copy gets its
  // move chosen, then the holder's late request is accepted by a majority, too.
  const report = checkRegister({
    rules: {
      ...REGISTER_RULES,
      handleRequest: ({ accepted }, request) =>
        handleRegisterRequest(accepted ? { accepted } : {}, request),
    },
  });
  t.truthy(report.violation);
});

test("a copy that ignores accepted values moves a job that may run", (t) => {
  // The safeguard is off: the copy proposes its own wish although a member told
  // it of an accepted dispatch. The holder heard the majority; both go ahead.
  const report = checkRegister({
    rules: {
      ...REGISTER_RULES,
      applyReply: (attempt, { from, reply }) => {
        if (reply.kind !== "promised") {
          return applyRegisterReply(attempt, { from, reply });
        }
        const { accepted: _accepted, ...blank } = reply;
        return applyRegisterReply(attempt, { from, reply: blank });
      },
    },
  });
  t.truthy(report.violation);
});

test("a holder that uses its own round twice can dispatch and move one job", (t) => {
  const rules = { ...REGISTER_RULES, canRepeatHolderRound: true };
  t.truthy(checkRegister({ rules }).violation);
});
