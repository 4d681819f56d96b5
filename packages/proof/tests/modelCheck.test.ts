import test from "ava";
import { KeyTable, ViewLease } from "@wasabivane/coordination";
import {
  checkModel,
  type ModelComponents,
  type ModelScopeName,
  PRODUCTION_COMPONENTS,
  SMALL_SCOPES,
} from "@wasabivane/proof";

class LeaseWithoutWait extends ViewLease {
  protected override haveFormerLeasesExpired(): boolean {
    return true;
  }
}

class LeaseWithoutRestartWait extends ViewLease {
  protected override haveForgottenLeasesExpired(): boolean {
    return true;
  }
}

class HomeWithoutTenure extends KeyTable {
  protected override isOlderThanTenure(): boolean {
    return false;
  }
}

class HomeWithoutExpiry extends KeyTable {
  protected override isPastLifetime(): boolean {
    return false;
  }
}

for (const [name, scope] of Object.entries(SMALL_SCOPES)) {
  test(`${name}: no order of events breaks a promise`, (t) => {
    const { states, isComplete, violation } = checkModel(scope);
    t.log(`${states} states`);
    t.is(violation, undefined);
    t.true(isComplete);
  });
}

const weakened: readonly {
  safeguard: string;
  scope: ModelScopeName;
  machines: Partial<ModelComponents>;
}[] = [
  {
    safeguard: "the wait for former leases",
    scope: "viewChange",
    machines: { createLease: (options) => new LeaseWithoutWait(options) },
  },
  {
    safeguard: "the wait after a restart",
    scope: "granterRestart",
    machines: {
      createLease: (options) => new LeaseWithoutRestartWait(options),
    },
  },
  {
    safeguard: "the start of a tenure",
    scope: "homeChange",
    machines: { createKeyTable: (options) => new HomeWithoutTenure(options) },
  },
  {
    safeguard: "the expiry of keys",
    scope: "keyExpiry",
    machines: { createKeyTable: (options) => new HomeWithoutExpiry(options) },
  },
];

for (const { safeguard, scope, machines } of weakened) {
  test(`without ${safeguard} a broken promise is found`, (t) => {
    const { violation } = checkModel({
      ...SMALL_SCOPES[scope],
      components: { ...PRODUCTION_COMPONENTS, ...machines },
    });
    t.truthy(violation);
    t.log(violation!.what, violation!.trace);
  });
}
