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

class KeyTableWithoutTenure extends KeyTable {
  protected override isOlderThanTenure(): boolean {
    return false;
  }
}

class KeyTableWithoutExpiry extends KeyTable {
  protected override isPastLifetime(): boolean {
    return false;
  }
}

for (const [name, scope] of Object.entries(SMALL_SCOPES)) {
  test(`${name}: no interleaving violates an invariant`, (t) => {
    const { states, isComplete, violation } = checkModel(scope);
    t.log(`${states} states`);
    t.is(violation, undefined);
    t.true(isComplete);
  });
}

const WEAKENED_SCOPES: readonly {
  safeguard: string;
  scope: ModelScopeName;
  components: Partial<ModelComponents>;
}[] = [
  {
    safeguard: "the wait for former leases",
    scope: "viewChange",
    components: { createLease: (options) => new LeaseWithoutWait(options) },
  },
  {
    safeguard: "the wait after a restart",
    scope: "granterRestart",
    components: {
      createLease: (options) => new LeaseWithoutRestartWait(options),
    },
  },
  {
    safeguard: "the start of a tenure",
    scope: "homeChange",
    components: {
      createKeyTable: (options) => new KeyTableWithoutTenure(options),
    },
  },
  {
    safeguard: "the expiry of keys",
    scope: "keyExpiry",
    components: {
      createKeyTable: (options) => new KeyTableWithoutExpiry(options),
    },
  },
];

for (const { safeguard, scope, components } of WEAKENED_SCOPES) {
  test(`a violation is found without ${safeguard}`, (t) => {
    const { violation } = checkModel({
      ...SMALL_SCOPES[scope],
      components: { ...PRODUCTION_COMPONENTS, ...components },
    });
    t.truthy(violation);
    t.log(violation!.what, violation!.trace);
  });
}
