import { asId, type UpstreamId } from "@wasabivane/common";
import { LinkFailures } from "@wasabivane/admission";
import test from "ava";

const [U0, U1] = ["u0", "u1"].map((id) => asId<UpstreamId>(id));

test("a host that fails at several upstreams in a row is cut off", (t) => {
  const links = new LinkFailures();
  links.observe(U0!, "unreachable", 0);
  links.observe(U0!, "unreachable", 100);
  t.false(links.isCutOff(100));
  links.observe(U1!, "silent", 200);
  t.true(links.isCutOff(200));
  links.observe(U0!, "cancelled", 300);
  t.true(links.isCutOff(300));
});

test("a response from any upstream ends a cut, and the failures of that one only", (t) => {
  const links = new LinkFailures();
  links.observe(U0!, "unreachable", 0);
  links.observe(U1!, "unreachable", 10);
  links.observe(U1!, "whole", 20);
  t.false(links.isCutOff(20));
  t.true(links.isFailing(U0!, 20));
  t.false(links.isFailing(U1!, 20));
});

test("failures count for a few seconds only", (t) => {
  const links = new LinkFailures();
  links.observe(U0!, "unreachable", 0);
  links.observe(U1!, "unreachable", 10);
  t.false(links.isCutOff(4_000));
  t.false(links.isFailing(U0!, 4_000));
});
