import { asId, type ClientAccountId } from "@wasabivane/common";
import type { AccountUse } from "@wasabivane/admission";
import { accountUseValues } from "@wasabivane/gateway";
import test from "ava";

function buildUse(account: string, starts: number): AccountUse {
  return {
    account: asId<ClientAccountId>(account),
    starts,
    waiting: 2,
    refused: 1,
  };
}

test("the log line of a cell lists its eight largest accounts", (t) => {
  // Guards against log lines that grow with the number of accounts.
  const uses = Array.from(
    { length: 20 },
    (_, index) => buildUse(`a${index}`, 10),
  );
  const values = accountUseValues(uses)!;
  t.is(values["accounts"], 20);
  t.is(values["starts"], 200);
  t.is(String(values["largest"]).split(" ").length, 8);
  t.true(String(values["largest"]).startsWith("a0=0.05/2/1 a1=0.05/2/1 "));
});

test("a cell with one account has no such log line", (t) => {
  t.is(accountUseValues([buildUse("a", 10)]), undefined);
});
