import { asId, type ServiceId, type UpstreamId } from "@wasabivane/common";
import { DirectLinks, type LinkEnd } from "@wasabivane/admission";
import test from "ava";

const SERVICE = asId<ServiceId>("plans");

function end(name: string): LinkEnd {
  return { upstream: asId<UpstreamId>(name), service: SERVICE };
}

function linksTo(count: number): DirectLinks {
  return new DirectLinks({ countUpstreams: () => count });
}

test("a broken link to one upstream says nothing about the others", (t) => {
  const links = linksTo(13);
  links.recordFailure(end("u0"), 0);
  t.true(links.isBroken(end("u0"), 1));
  t.false(links.isBroken(end("u1"), 1));
});

test("several broken links in a row break all links to a service", (t) => {
  // Guards against a host that has to find out for each upstream.
  const links = linksTo(13);
  for (const name of ["u0", "u1", "u2"]) links.recordFailure(end(name), 0);
  t.true(links.isBroken(end("u9"), 1));
  links.recordSuccess(end("u0"));
  t.false(links.isBroken(end("u9"), 2));
  t.true(links.isBroken(end("u1"), 2));
});

test("connections that succeed in between keep a lossy link in use", (t) => {
  const links = linksTo(13);
  for (const name of ["u0", "u1", "u2", "u3"]) {
    links.recordFailure(end(name), 0);
    links.recordSuccess(end("u5"));
  }
  t.false(links.isServiceBroken(SERVICE, 1));
});

test("a service with fewer upstreams is cut off when all of them fail", (t) => {
  const links = linksTo(2);
  for (const name of ["u0", "u1"]) links.recordFailure(end(name), 0);
  t.true(links.isServiceBroken(SERVICE, 1));
});

test("a link that was not tried for seconds counts as working", (t) => {
  const links = linksTo(1);
  links.recordFailure(end("u0"), 0);
  t.false(links.isBroken(end("u0"), 5_000));
  t.deepEqual(links.broken(5_000), []);
});
